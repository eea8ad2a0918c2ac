// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/prompt_placer.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_set>

#include "candidates.h"
#include "mix.h"

namespace cypressford {

namespace {

/// Bytes that cross between halls and cost as much as one token that is read again: 1.5 MB
/// cost as much as a shared prompt of 500 tokens.
constexpr double kBytesPerToken = 3000;
/// Cost of an answer whose upstream is in another hall than its caller's daemon, regardless
/// of other inputs.
constexpr double kOtherHallCostTokens = 64;
/// A running answer slows the reading of prompts by about this many tokens.
constexpr double kRunningAnswerCostTokens = 48;
/// Fraction of an upstream's memory that is assumed to hold prompt parts; the rest is used
/// by running answers.
constexpr double kCacheFraction = 0.6;
/// An upstream is considered equivalent to the cheapest if its extra cost is at most this
/// multiple of the prompt's shared tokens.
constexpr double kToleratedMultiple = 1.5;
/// Extra cost that is tolerated in any case, so that short prompts leave their upstream
/// only when it is busy.
constexpr double kToleratedTokens = 1500;
/// Fraction assumed for a hall without upstreams for pieces.
constexpr double kMinHallFraction = 0.02;
/// Upstreams that were unreachable for other requests are avoided only while at least this
/// fraction of the usable upstreams is left; otherwise the fault is assumed to be the
/// reporter's.  One hall of six is enough.
constexpr double kMinUnavoidedFraction = 0.16;
/// A software version with at most this fraction of the usable upstreams keeps places for
/// the streams that began at it and can go on nowhere else.
constexpr double kScarceVersionFraction = 0.34;
/// In a set of at most this many upstreams, all are examined.
constexpr std::size_t kMaxExaminedWhole = 256;
/// In a larger set, about this many upstreams that rank first for the prompt are examined.
constexpr std::size_t kExaminedFirst = 64;
/// Maximum number of upstreams holding parts of the prompt that are examined as well.
constexpr std::size_t kMaxHolders = 32;
/// A placement without a further report is dropped after this time.
constexpr Micros kPlacementTimeout = 15 * kSecond;
/// An engine that was not among the upstreams for this long is assumed to have ended, with
/// the loss of its cache.  Longer than evacuations and outages after which the same run
/// returns.
constexpr Micros kEngineTimeout = 120 * kSecond;
constexpr Micros kExpiryInterval = 1 * kSecond;

/// Weight of an upstream in weighted rendezvous hashing (Schindelhauer and
/// Schomaker, 2005); the highest is preferred.
double
weight_of(const UpstreamState& upstream, const PromptQuery& query, std::uint64_t key)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const double hash = (static_cast<double>(mix(upstream.address_hash ^ key)) + 1) / range;
    const auto part = query.hall_parts.find(upstream.hall);
    if (query.hall_parts.empty())
        return std::log(hash);
    const double weight = part == query.hall_parts.end() ? 0 : part->second;
    return std::log(hash) / std::max(weight, kMinHallFraction);
}

/// Tokens that the prompt may share with others: all but its last part.
double
shared_tokens(const PromptQuery& query)
{
    if (query.parts.empty())
        return 0;
    return static_cast<double>(query.tokens - query.parts.back().tokens);
}

/// Cost in tokens of an answer in another hall than the preferred one.
double
crossing_weight(const PromptQuery& query)
{
    if (query.near.empty())
        return 0;
    return kOtherHallCostTokens + static_cast<double>(query.near_bytes) / kBytesPerToken;
}

/// Tokens by which an upstream's cost may exceed the lowest cost.
double
tolerated(const PromptQuery& query)
{
    return std::max(kToleratedTokens, kToleratedMultiple * shared_tokens(query));
}

} // namespace

void
PromptPlacer::cache_part(Engine& engine, const PrefixPart& part, std::int64_t capacity)
{
    const auto it = engine.cached.find(part.id);
    if (it != engine.cached.end()) {
        engine.lru.splice(engine.lru.begin(), engine.lru, it->second.use);
        return;
    }
    engine.lru.push_front(part.id);
    engine.cached[part.id] = {part.tokens, engine.lru.begin()};
    engine.cached_tokens += part.tokens;
    m_holders[part.id].insert(&engine);
    while (engine.cached_tokens > capacity && engine.lru.size() > 1)
        evict_part(engine, engine.lru.back());
}

void
PromptPlacer::evict_part(Engine& engine, std::uint64_t part)
{
    const auto it = engine.cached.find(part);
    engine.cached_tokens -= it->second.tokens;
    engine.lru.erase(it->second.use);
    engine.cached.erase(it);
    const auto holders = m_holders.find(part);
    holders->second.erase(&engine);
    if (holders->second.empty())
        m_holders.erase(holders);
}

std::vector<PromptPlacer::Engine*>
PromptPlacer::holders_of(const PromptQuery& query) const
{
    std::vector<Engine*> result;
    // Engines that hold a late part also hold the parts before it.
    for (auto part = query.parts.rbegin(); part != query.parts.rend(); ++part) {
        const auto holders = m_holders.find(part->id);
        if (holders == m_holders.end())
            continue;
        for (Engine* engine : holders->second) {
            if (result.size() >= kMaxHolders)
                return result;
            result.push_back(engine);
        }
    }
    return result;
}

std::int64_t
PromptPlacer::tokens_to_read(const Engine& engine, const PromptQuery& query)
{
    std::int64_t tokens = query.tokens;
    for (const PrefixPart& part : query.parts) {
        if (!engine.cached.contains(part.id))
            break;
        tokens -= part.tokens;
    }
    return std::max<std::int64_t>(0, tokens);
}

PromptPlacer::Engine&
PromptPlacer::examine(const UpstreamPtr& upstream, Micros now)
{
    Engine& engine = m_engines[upstream->run()];
    engine.seen_at = now;
    if (engine.upstream.expired())
        engine.upstream = upstream;
    return engine;
}

/// In tokens that an upstream of usual speed reads in the same time.
double
PromptPlacer::cost(const Engine& engine, const PromptQuery& query) const
{
    double tokens = static_cast<double>(engine.unread + tokens_to_read(engine, query));
    tokens += kRunningAnswerCostTokens * engine.running;
    if (m_switches.uses(Mechanism::UpstreamSpeeds))
        tokens *= m_speeds.factor(engine.speed);
    return tokens;
}

/// Upstreams of about equal cost receive prompts in proportion to their speed.
double
PromptPlacer::order_factor(const Engine& engine) const
{
    return m_switches.uses(Mechanism::UpstreamSpeeds) ? m_speeds.factor(engine.speed) : 1;
}

bool
PromptPlacer::is_slow(const UpstreamState& upstream, const Engine& engine, Micros now) const
{
    if (!m_switches.uses(Mechanism::UpstreamSpeeds))
        return false;
    const auto first = engine.unread_prompts.begin();
    const bool is_overdue = first != engine.unread_prompts.end()
        && first->second.overdue_at.value_or(now + 1) <= now;
    return is_overdue || upstream.speed.slowdown(now) >= kTemporarilySlow;
}

std::uint64_t
PromptPlacer::key_of(const PromptQuery& query) const
{
    return m_switches.uses(Mechanism::StableEngines)
        ? query.affinity
        : std::hash<std::string> {}(query.attempt);
}

std::vector<UpstreamPtr>
PromptPlacer::candidates_for(const UpstreamSet& set, const PromptQuery& query,
                             std::uint64_t key)
{
    std::vector<UpstreamPtr> upstreams;
    if (set.own.size() + set.remote.size() <= kMaxExaminedWhole) {
        for (const auto* side : {&set.own, &set.remote})
            upstreams.insert(upstreams.end(), side->begin(), side->end());
        return upstreams;
    }
    m_ring.update(set);
    upstreams = m_ring.first_for(key, kExaminedFirst);
    for (const Engine* engine : holders_of(query))
        if (UpstreamPtr upstream = engine->upstream.lock())
            upstreams.push_back(std::move(upstream));
    // An upstream that ranks first may hold parts, too.
    std::sort(upstreams.begin(), upstreams.end());
    upstreams.erase(std::unique(upstreams.begin(), upstreams.end()), upstreams.end());
    return upstreams;
}

std::vector<PromptPlacer::Choice>
PromptPlacer::choices(const UpstreamSet& set, const std::vector<UpstreamPtr>& upstreams,
                      const PromptQuery& query, std::uint64_t key, Micros now)
{
    std::vector<Choice> result;
    m_last_candidate_count = upstreams.size();
    const bool keeps_near = m_switches.uses(Mechanism::NearResults)
        && crossing_weight(query) > shared_tokens(query);
    const std::unordered_set<std::string_view> avoided(query.avoid.begin(),
                                                       query.avoid.end());
    for (const UpstreamPtr& upstream : upstreams) {
        if (!is_in_service(*upstream, now) || avoided.contains(upstream->identity)
            || !query.halls.allows(upstream->hall)
            || (query.version && !may_continue(set, *upstream, *query.version)))
            continue;
        // An engine that is cold or has a rate limit receives what it can take; further
        // prompts go to the other engines.
        if (upstream->cold.is_cold(now) && !upstream->cold.may_grant(now))
            continue;
        if (upstream->self_report->limit().next_allowed_at(RatePart::Granted) > now)
            continue;
        const bool is_near = keeps_near && upstream->hall == query.near;
        const bool is_avoided = m_switches.uses(Mechanism::SharedReach)
            && m_reach.should_avoid(query.from, upstream->run(), upstream->hall, now);
        const Engine& engine = examine(upstream, now);
        // It would reject the prompt, and may reject only few.
        const int slots = upstream->slot_count();
        if (upstream->self_report->rejections().is_set() && slots > 0
            && engine.running >= slots) {
            m_last_was_full = true;
            continue;
        }
        result.push_back({upstream, cost(engine, query),
                          weight_of(*upstream, query, key) * order_factor(engine), is_near,
                          is_avoided, is_slow(*upstream, engine, now),
                          slots > 0 && engine.running >= slots,
                          slots > 0 && 2 * engine.running >= slots});
    }
    drop_avoided(result);
    if (!query.version && set.versions.size() > 1)
        keep_for_streams(result);
    return result;
}

/// New prompts leave half of the slots of a scarce version to streams while others can take
/// them.
void
PromptPlacer::keep_for_streams(std::vector<Choice>& choices)
{
    std::map<std::string_view, std::size_t> counts;
    for (const Choice& choice : choices)
        ++counts[choice.upstream->version];
    const double most = kScarceVersionFraction * static_cast<double>(choices.size());
    const auto is_kept = [&](const Choice& choice) {
        return choice.is_half_full
            && static_cast<double>(counts[choice.upstream->version]) <= most;
    };
    if (!std::all_of(choices.begin(), choices.end(), is_kept))
        std::erase_if(choices, is_kept);
}

void
PromptPlacer::drop_avoided(std::vector<Choice>& choices)
{
    const auto is_avoided = [](const Choice& choice) { return choice.is_avoided; };
    const auto avoided = std::count_if(choices.begin(), choices.end(), is_avoided);
    const auto left = static_cast<double>(choices.size()) - static_cast<double>(avoided);
    if (left >= kMinUnavoidedFraction * static_cast<double>(choices.size()))
        std::erase_if(choices, is_avoided);
}

/// A temporarily slow upstream is avoided for another that costs no more.  Reading a cached
/// part again at a costlier upstream would take longer than the slow state lasts: with that
/// allowed, the 99th percentile of the first event at 550 prompts/s was 2.0 s instead of
/// 0.9 s in upstream_speed_load_test.cpp.
void
PromptPlacer::drop_slow(std::vector<Choice>& choices)
{
    std::optional<double> least;
    for (const Choice& choice : choices)
        if (!choice.is_slow)
            least = std::min(choice.cost, least.value_or(choice.cost));
    if (least)
        std::erase_if(choices, [least](const Choice& choice) {
            return choice.is_slow && choice.cost >= *least;
        });
}

std::shared_ptr<UpstreamState>
PromptPlacer::place(const UpstreamSet& set, const PromptQuery& query, Micros now)
{
    expire(now);
    m_last_was_full = false;
    const std::uint64_t key = key_of(query);
    std::vector<Choice> all
        = choices(set, candidates_for(set, query, key), query, key, now);
    if (all.empty()) {
        // None of the few examined can be used; fall back to the whole set.
        std::vector<UpstreamPtr> whole(set.own.begin(), set.own.end());
        whole.insert(whole.end(), set.remote.begin(), set.remote.end());
        all = choices(set, whole, query, key, now);
    }
    if (all.empty())
        return nullptr;
    m_last_was_full = false;
    drop_slow(all);
    const auto is_cheaper
        = [](const Choice& a, const Choice& b) { return a.cost < b.cost; };
    const double limit = std::min_element(all.begin(), all.end(), is_cheaper)->cost
        + (m_switches.uses(Mechanism::ToleratedCost) ? tolerated(query) : 0);
    const Choice* best = nullptr;
    // Of upstreams of about equal cost, one where the request would wait for a slot comes
    // last.
    const auto is_better = [&](const Choice& choice) {
        if (choice.is_full != best->is_full)
            return !choice.is_full;
        if (choice.is_near != best->is_near)
            return choice.is_near;
        return choice.weight > best->weight;
    };
    for (const Choice& choice : all)
        if (choice.cost <= limit && (!best || is_better(choice)))
            best = &choice;
    m_last_had_slot = best->upstream->slot_count() > 0 && !best->is_full;
    if (query.reserve) {
        if (best->upstream->cold.is_cold(now))
            best->upstream->cold.take_grant(now);
        best->upstream->self_report->limit().take(RatePart::Granted, now);
        reserve(*best->upstream, set, query, now);
    }
    return best->upstream;
}

/// Of the tokens to be read, those that another engine has cached.
std::int64_t
PromptPlacer::tokens_cached_elsewhere(const PromptQuery& query, std::int64_t unread) const
{
    std::int64_t least = unread;
    for (const Engine* engine : holders_of(query))
        least = std::min(least, tokens_to_read(*engine, query));
    return unread - least;
}

void
PromptPlacer::reserve(const UpstreamState& upstream, const UpstreamSet& set,
                      const PromptQuery& query, Micros now)
{
    record_ended(query.attempt);
    Engine& engine = m_engines[upstream.run()];
    const std::int64_t unread = tokens_to_read(engine, query);
    m_last_read = {unread, tokens_cached_elsewhere(query, unread)};
    const auto ahead = tokens_ahead(engine, unread, now);
    if (engine.unread_prompts.empty())
        engine.reading_since = now;
    engine.unread += unread;
    ++engine.running;
    UnreadPrompt& prompt = engine.unread_prompts[++m_last_number];
    prompt.tokens = unread;
    if (const auto after
        = ahead ? m_speeds.overdue_after(engine.speed, *ahead) : std::nullopt)
        prompt.overdue_at = now + *after;
    m_placements[query.attempt] = {.number = m_last_number,
                                   .run = upstream.run(),
                                   .unread = unread,
                                   .ahead = ahead,
                                   .at = now,
                                   .hall = upstream.hall,
                                   .from = query.from};
    m_reach.record_sent(query.from, upstream.run(), upstream.hall, now);
    const auto capacity = static_cast<std::int64_t>(
        kCacheFraction * static_cast<double>(set.spec.memory_tokens));
    for (const PrefixPart& part : query.parts)
        cache_part(engine, part, capacity);
}

/// Tokens to be read before the answer to a prompt with `unread` tokens that is placed now.
/// The upstream has read a part of its first unread prompt; nothing while that can't be
/// estimated.
std::optional<double>
PromptPlacer::tokens_ahead(const Engine& engine, std::int64_t unread, Micros now) const
{
    const auto all = static_cast<double>(engine.unread + unread);
    if (engine.unread_prompts.empty())
        return all;
    const auto read = m_speeds.tokens_read_in(engine.speed, now - engine.reading_since);
    if (!read)
        return std::nullopt;
    const auto first = static_cast<double>(engine.unread_prompts.begin()->second.tokens);
    return all - std::min(first, *read);
}

std::optional<PromptPlacer::SpeedChange>
PromptPlacer::on_answer_started(const std::string& attempt, std::optional<Micros> now)
{
    const auto it = m_placements.find(attempt);
    if (it == m_placements.end())
        return std::nullopt;
    Placement& placed = it->second;
    Engine& engine = m_engines[placed.run];
    engine.unread -= placed.unread;
    placed.unread = 0;
    m_reach.record_answer(placed.from, placed.run, placed.hall);
    // Only the first report of an answer says when the prompt was read.
    const bool is_first = engine.unread_prompts.erase(placed.number) > 0;
    if (!now || !is_first)
        return std::nullopt;
    engine.reading_since = *now;
    if (!placed.ahead || !m_switches.uses(Mechanism::UpstreamSpeeds))
        return std::nullopt;
    m_speeds.record(engine.speed, *placed.ahead, *now - placed.at);
    const auto step = m_speeds.take_step(engine.speed);
    if (!step)
        return std::nullopt;
    return SpeedChange {placed.run.identity, *step};
}

void
PromptPlacer::record_unreachable(const std::string& attempt, Micros now)
{
    const auto it = m_placements.find(attempt);
    if (it == m_placements.end())
        return;
    const Placement& placed = it->second;
    m_reach.record_unreachable(placed.from, placed.run, placed.hall, now);
    // The request is sent elsewhere now; its answer says nothing about this upstream.
    record_ended(attempt);
}

void
PromptPlacer::record_ended(const std::string& attempt)
{
    const auto it = m_placements.find(attempt);
    if (it == m_placements.end())
        return;
    Engine& engine = m_engines[it->second.run];
    engine.unread -= it->second.unread;
    --engine.running;
    engine.unread_prompts.erase(it->second.number);
    m_placements.erase(it);
}

void
PromptPlacer::expire(Micros now)
{
    if (now - m_expired_at < kExpiryInterval)
        return;
    m_expired_at = now;
    std::vector<std::string> expired;
    for (const auto& [attempt, placed] : m_placements)
        if (now - placed.at > kPlacementTimeout)
            expired.push_back(attempt);
    for (const std::string& attempt : expired)
        record_ended(attempt);
    for (auto item = m_engines.begin(); item != m_engines.end();) {
        Engine& engine = item->second;
        const bool ended = engine.running <= 0 && now - engine.seen_at > kEngineTimeout;
        while (ended && !engine.lru.empty())
            evict_part(engine, engine.lru.back());
        if (ended)
            m_speeds.forget(engine.speed);
        item = ended ? m_engines.erase(item) : std::next(item);
    }
}

} // namespace cypressford
