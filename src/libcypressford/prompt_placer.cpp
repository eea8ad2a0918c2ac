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

/// Bytes that cross between halls weigh as much as one token that is read again: 1.5 MB
/// as much as a shared prompt of 500 tokens.
constexpr double kBytesOfToken = 3000;
/// An answer whose upstream is in another hall than its caller's daemon weighs as much,
/// whatever else it reads.
constexpr double kTokensOfOtherHall = 64;
/// A running answer slows the reading of prompts by about this many tokens.
constexpr double kTokensOfRunning = 48;
/// Parts are believed to be kept in this part of an upstream's memory; the rest is
/// taken by answers that run.
constexpr double kKeptPart = 0.6;
/// An upstream is about as good as the best if it costs no more than this part of
/// the prompt's shared tokens in addition.
constexpr double kToleratedPart = 1.5;
/// Or no more than these: short prompts leave their upstream only when it is busy.
constexpr double kToleratedTokens = 1500;
/// A hall without upstreams for pieces counts as having this part of them.
constexpr double kLeastPart = 0.02;
/// Upstreams that failed for others are avoided while at least this part of those that are
/// usable is left; otherwise the fault is the teller's: one hall of six is enough to go on.
constexpr double kLeastPartLeft = 0.16;
/// Of a set of at most so many upstreams all are looked at ...
constexpr std::size_t kConsideredWhole = 256;
/// ... of a larger one about so many that come first for the prompt, ...
constexpr std::size_t kConsideredOfMany = 64;
/// ... and so many that keep parts of it.
constexpr std::size_t kMostKeepers = 32;
/// Without a word of it, a request is forgotten after this time.
constexpr Micros kForgetAfter = 15 * kSecond;
/// An engine that was not among the upstreams for so long has ended: what it kept is gone.
/// Longer than evacuations and outages after which the same run is there again.
constexpr Micros kForgetEngineAfter = 120 * kSecond;
constexpr Micros kExpirePace = 1 * kSecond;

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
    return std::log(hash) / std::max(weight, kLeastPart);
}

/// Tokens that other prompts share, if nothing is known of them.
double
shared_tokens(const PromptQuery& query)
{
    if (query.parts.empty())
        return 0;
    return static_cast<double>(query.tokens - query.parts.back().tokens);
}

/// What it costs to answer in another hall than the preferred one, in tokens.
double
crossing_weight(const PromptQuery& query)
{
    if (query.near.empty())
        return 0;
    return kTokensOfOtherHall + static_cast<double>(query.near_bytes) / kBytesOfToken;
}

/// How much more than the least costly upstream one may cost.
double
tolerated(const PromptQuery& query)
{
    return std::max(kToleratedTokens, kToleratedPart * shared_tokens(query));
}

} // namespace

void
PromptPlacer::keep(Engine& engine, const PrefixPart& part, std::int64_t capacity)
{
    const auto it = engine.kept.find(part.id);
    if (it != engine.kept.end()) {
        engine.by_use.splice(engine.by_use.begin(), engine.by_use, it->second.use);
        return;
    }
    engine.by_use.push_front(part.id);
    engine.kept[part.id] = {part.tokens, engine.by_use.begin()};
    engine.kept_tokens += part.tokens;
    m_keepers[part.id].insert(&engine);
    while (engine.kept_tokens > capacity && engine.by_use.size() > 1)
        forget_part(engine, engine.by_use.back());
}

void
PromptPlacer::forget_part(Engine& engine, std::uint64_t part)
{
    const auto it = engine.kept.find(part);
    engine.kept_tokens -= it->second.tokens;
    engine.by_use.erase(it->second.use);
    engine.kept.erase(it);
    const auto keepers = m_keepers.find(part);
    keepers->second.erase(&engine);
    if (keepers->second.empty())
        m_keepers.erase(keepers);
}

std::vector<PromptPlacer::Engine*>
PromptPlacer::keepers_of(const PromptQuery& query) const
{
    std::vector<Engine*> result;
    // Whoever keeps a late part keeps those before it, too.
    for (auto part = query.parts.rbegin(); part != query.parts.rend(); ++part) {
        const auto keepers = m_keepers.find(part->id);
        if (keepers == m_keepers.end())
            continue;
        for (Engine* engine : keepers->second) {
            if (result.size() >= kMostKeepers)
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
        if (!engine.kept.contains(part.id))
            break;
        tokens -= part.tokens;
    }
    return std::max<std::int64_t>(0, tokens);
}

double
PromptPlacer::cost(const UpstreamPtr& upstream, const PromptQuery& query, Micros now)
{
    Engine& engine = m_engines[upstream->run()];
    engine.seen_at = now;
    if (engine.upstream.expired())
        engine.upstream = upstream;
    double tokens = static_cast<double>(engine.unread + tokens_to_read(engine, query));
    tokens += kTokensOfRunning * engine.running;
    return tokens;
}

std::uint64_t
PromptPlacer::key_of(const PromptQuery& query) const
{
    return m_switches.uses(Mechanism::StableEngines)
        ? query.affinity
        : std::hash<std::string> {}(query.attempt);
}

std::vector<UpstreamPtr>
PromptPlacer::considered(const UpstreamSet& set, const PromptQuery& query,
                         std::uint64_t key)
{
    std::vector<UpstreamPtr> upstreams;
    if (set.own.size() + set.remote.size() <= kConsideredWhole) {
        for (const auto* side : {&set.own, &set.remote})
            upstreams.insert(upstreams.end(), side->begin(), side->end());
        return upstreams;
    }
    m_ring.follow(set);
    upstreams = m_ring.first_for(key, kConsideredOfMany);
    for (const Engine* engine : keepers_of(query))
        if (UpstreamPtr upstream = engine->upstream.lock())
            upstreams.push_back(std::move(upstream));
    // One that comes first may keep parts, too.
    std::sort(upstreams.begin(), upstreams.end());
    upstreams.erase(std::unique(upstreams.begin(), upstreams.end()), upstreams.end());
    return upstreams;
}

std::vector<PromptPlacer::Choice>
PromptPlacer::choices(const std::vector<UpstreamPtr>& upstreams, const PromptQuery& query,
                      std::uint64_t key, Micros now)
{
    std::vector<Choice> result;
    m_last_considered = upstreams.size();
    const bool keeps_near = m_switches.uses(Mechanism::NearResults)
        && crossing_weight(query) > shared_tokens(query);
    const std::unordered_set<std::string_view> avoided(query.avoid.begin(),
                                                       query.avoid.end());
    for (const UpstreamPtr& upstream : upstreams) {
        if (!is_in_service(*upstream, now) || avoided.contains(upstream->identity)
            || !query.halls.allows(upstream->hall))
            continue;
        // An engine that is cold or names a limit takes what it bears; the others go on
        // to the rest.
        if (upstream->cold.is_cold(now) && !upstream->cold.may_grant(now))
            continue;
        if (upstream->said->limit().next_allowed_at(RatePart::Granted) > now)
            continue;
        const bool is_near = keeps_near && upstream->hall == query.near;
        const bool is_avoided = m_switches.uses(Mechanism::SharedReach)
            && m_reach.should_avoid(query.from, upstream->run(), upstream->hall, now);
        result.push_back({upstream, cost(upstream, query, now),
                          weight_of(*upstream, query, key), is_near, is_avoided});
    }
    leave_out_avoided(result);
    return result;
}

void
PromptPlacer::leave_out_avoided(std::vector<Choice>& choices)
{
    const auto is_avoided = [](const Choice& choice) { return choice.is_avoided; };
    const auto avoided = std::count_if(choices.begin(), choices.end(), is_avoided);
    const auto left = static_cast<double>(choices.size()) - static_cast<double>(avoided);
    if (left >= kLeastPartLeft * static_cast<double>(choices.size()))
        std::erase_if(choices, is_avoided);
}

std::shared_ptr<UpstreamState>
PromptPlacer::place(const UpstreamSet& set, const PromptQuery& query, Micros now)
{
    expire(now);
    const std::uint64_t key = key_of(query);
    std::vector<Choice> all = choices(considered(set, query, key), query, key, now);
    if (all.empty()) {
        // None of a few can be used; any other will do.
        std::vector<UpstreamPtr> whole(set.own.begin(), set.own.end());
        whole.insert(whole.end(), set.remote.begin(), set.remote.end());
        all = choices(whole, query, key, now);
    }
    if (all.empty())
        return nullptr;
    const auto cheaper = [](const Choice& a, const Choice& b) { return a.cost < b.cost; };
    const double limit = std::min_element(all.begin(), all.end(), cheaper)->cost
        + (m_switches.uses(Mechanism::ToleratedCost) ? tolerated(query) : 0);
    const Choice* best = nullptr;
    const auto is_better = [&](const Choice& choice) {
        if (choice.is_near != best->is_near)
            return choice.is_near;
        return choice.weight > best->weight;
    };
    for (const Choice& choice : all)
        if (choice.cost <= limit && (!best || is_better(choice)))
            best = &choice;
    if (query.reserve) {
        if (best->upstream->cold.is_cold(now))
            best->upstream->cold.take_grant(now);
        best->upstream->said->limit().take(RatePart::Granted, now);
        reserve(*best->upstream, set, query, now);
    }
    return best->upstream;
}

/// Tokens of those to be read that some other engine keeps.
std::int64_t
PromptPlacer::tokens_known_elsewhere(const PromptQuery& query, std::int64_t unread) const
{
    std::int64_t least = unread;
    for (const Engine* engine : keepers_of(query))
        least = std::min(least, tokens_to_read(*engine, query));
    return unread - least;
}

void
PromptPlacer::reserve(const UpstreamState& upstream, const UpstreamSet& set,
                      const PromptQuery& query, Micros now)
{
    note_ended(query.attempt);
    Engine& engine = m_engines[upstream.run()];
    const std::int64_t unread = tokens_to_read(engine, query);
    m_last_read = {unread, tokens_known_elsewhere(query, unread)};
    engine.unread += unread;
    ++engine.running;
    m_placed[query.attempt] = {upstream.run(), unread, now, upstream.hall, query.from};
    m_reach.record_sent(query.from, upstream.run(), upstream.hall, now);
    const auto capacity = static_cast<std::int64_t>(
        kKeptPart * static_cast<double>(set.spec.memory_tokens));
    for (const PrefixPart& part : query.parts)
        keep(engine, part, capacity);
}

void
PromptPlacer::note_begun(const std::string& attempt)
{
    const auto it = m_placed.find(attempt);
    if (it == m_placed.end())
        return;
    Placed& placed = it->second;
    m_engines[placed.run].unread -= placed.unread;
    placed.unread = 0;
    m_reach.record_answer(placed.from, placed.run, placed.hall);
}

void
PromptPlacer::record_unreachable(const std::string& attempt, Micros now)
{
    const auto it = m_placed.find(attempt);
    if (it == m_placed.end())
        return;
    const Placed& placed = it->second;
    m_reach.record_unreachable(placed.from, placed.run, placed.hall, now);
    // It goes elsewhere now: its answer says nothing of this upstream.
    note_ended(attempt);
}

void
PromptPlacer::note_ended(const std::string& attempt)
{
    const auto it = m_placed.find(attempt);
    if (it == m_placed.end())
        return;
    Engine& engine = m_engines[it->second.run];
    engine.unread -= it->second.unread;
    --engine.running;
    m_placed.erase(it);
}

void
PromptPlacer::expire(Micros now)
{
    if (now - m_expired_at < kExpirePace)
        return;
    m_expired_at = now;
    std::vector<std::string> over;
    for (const auto& [attempt, placed] : m_placed)
        if (now - placed.at > kForgetAfter)
            over.push_back(attempt);
    for (const std::string& attempt : over)
        note_ended(attempt);
    for (auto item = m_engines.begin(); item != m_engines.end();) {
        Engine& engine = item->second;
        const bool ended = engine.running <= 0 && now - engine.seen_at > kForgetEngineAfter;
        while (ended && !engine.by_use.empty())
            forget_part(engine, engine.by_use.back());
        item = ended ? m_engines.erase(item) : std::next(item);
    }
}

} // namespace cypressford
