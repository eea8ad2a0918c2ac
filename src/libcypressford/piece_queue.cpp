// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <algorithm>
#include <map>

#include "candidates.h"

namespace cypressford {

namespace {

/// A piece waits for an upstream of its hall for at most its slack divided by this.
constexpr Micros kHallWaitSlackDivisor = 3;
constexpr Micros kFirstBackOff = 400 * kMillisecond;
constexpr int kMaxBackOffDoublings = 4;
/// Pieces that a search for a match examines at most.
constexpr int kMaxExamined = 64;
/// Pieces, or groups of pieces, that do not fit a call and that filling it passes over at
/// most.  In a simulated burst with five halls and groups of 8, this bound makes 0.533 of
/// the pieces in their own hall (0.534 without a bound, 0.528 with a bound of 64).
constexpr int kMaxPassedOver = 256;
/// Upper bound of reported waits (us); longer than any request's deadline.
constexpr double kMaxReportedWaitUs = 3600.0 * kSecond;

} // namespace

void
PieceQueue::add(const WaitingPiece& piece)
{
    const auto [it, is_new] = m_by_id.try_emplace(piece.id, Waiting {piece, false});
    if (!is_new)
        return;
    m_waiting.insert(rank_of(it->second));
    m_prompt_by_due.emplace(piece.due, piece.id);
    Group& group = m_groups[piece.group];
    const bool is_earliest = group.ids.empty() || piece.queued_at < group.queued_at;
    if (is_earliest)
        group.queued_at = piece.queued_at;
    group.ids.insert(piece.id);
    ++m_queued.at(static_cast<std::size_t>(piece.priority));
}

/// Removes the piece's records; it must have been removed from m_waiting before.
void
PieceQueue::erase(PieceId id)
{
    const auto it = m_by_id.find(id);
    const auto& [piece, late] = it->second;
    const auto priority = static_cast<std::size_t>(piece.priority);
    --m_queued.at(priority);
    if (late) {
        --m_late_queued.at(priority);
        m_late_by_time.erase({late_since(piece), id});
    } else {
        m_prompt_by_due.erase({piece.due, id});
    }
    const auto group = m_groups.find(piece.group);
    group->second.ids.erase(id);
    if (group->second.ids.empty())
        m_groups.erase(group);
    m_by_id.erase(it);
}

bool
PieceQueue::remove(PieceId id)
{
    const auto it = m_by_id.find(id);
    if (it == m_by_id.end())
        return false;
    m_waiting.erase(rank_of(it->second));
    erase(id);
    return true;
}

void
PieceQueue::demote_late(Micros now)
{
    if (!m_switches.uses(Mechanism::LateTier))
        return;
    while (!m_prompt_by_due.empty() && m_prompt_by_due.begin()->first < now) {
        ++m_visits;
        Waiting& waiting = m_by_id.at(m_prompt_by_due.begin()->second);
        m_prompt_by_due.erase(m_prompt_by_due.begin());
        m_waiting.erase(rank_of(waiting));
        waiting.late = true;
        m_waiting.insert(rank_of(waiting));
        m_late_by_time.emplace(late_since(waiting.piece), waiting.piece.id);
        ++m_late_queued.at(static_cast<std::size_t>(waiting.piece.priority));
    }
}

bool
PieceQueue::is_free(const UpstreamState& upstream, const UpstreamSet& set, Micros now) const
{
    const auto backed_off = m_backed_off.find(&upstream);
    if (backed_off != m_backed_off.end() && backed_off->second > now)
        return false;
    const int slots = std::max(1, set.spec.slots);
    return is_usable(upstream, now, RatePart::Granted)
        && (!upstream.cold.is_cold(now) || upstream.cold.may_grant(now))
        && upstream.in_flight.load(std::memory_order_relaxed) < slots;
}

bool
PieceQueue::has_free_upstream(const UpstreamSet& set, Micros now) const
{
    const auto free = [&](const auto& upstream) { return is_free(*upstream, set, now); };
    return std::any_of(set.own.begin(), set.own.end(), free)
        || std::any_of(set.remote.begin(), set.remote.end(), free);
}

PieceQueue::Upstreams
PieceQueue::free_upstreams(const UpstreamSet& set, Micros now)
{
    Upstreams free;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (is_free(*upstream, set, now))
                free.push_back({upstream, free_memory(*upstream, set, now)});
    const auto is_cold
        = [now](const FreeUpstream& f) { return f.upstream->cold.is_cold(now); };
    if (!std::all_of(free.begin(), free.end(), is_cold))
        std::erase_if(free, is_cold);
    return free;
}

Micros
PieceQueue::hall_wait_limit(const UpstreamSet& set, const WaitingPiece& piece)
{
    if (piece.near.empty() || !set.spec.batch)
        return 0;
    const Micros slack = std::max<Micros>(0, piece.due - piece.queued_at);
    return std::min(full_call_time(set.spec), slack / kHallWaitSlackDivisor);
}

/// True while the piece should go to its own hall only; false if that hall has no usable
/// upstream.
bool
PieceQueue::waits_for_hall(const WaitingPiece& piece, const UpstreamSet& set,
                           Micros now) const
{
    if (!m_switches.uses(Mechanism::HallWaits) || !piece.halls.allows(piece.near))
        return false;
    if (now - piece.queued_at >= hall_wait_limit(set, piece))
        return false;
    const auto is_there = [&](const auto& upstream) {
        return upstream->hall == piece.near && is_usable(*upstream, now, RatePart::Granted);
    };
    return std::any_of(set.own.begin(), set.own.end(), is_there)
        || std::any_of(set.remote.begin(), set.remote.end(), is_there);
}

std::int64_t
PieceQueue::free_memory(const UpstreamState& upstream, const UpstreamSet& set, Micros now)
{
    return m_memory.free_bytes(upstream, set.spec.batch.value_or(BatchSpec {}), now);
}

/// Latest time at which a result of a call that starts now expires.
Micros
PieceQueue::result_expiry(const UpstreamSet& set, Micros now)
{
    const Micros retention_time = set.spec.batch ? set.spec.batch->retention_time : 0;
    return now + full_call_time(set.spec) + retention_time;
}

std::shared_ptr<UpstreamState>
PieceQueue::upstream_for(const WaitingPiece& piece, const Upstreams& free,
                         const UpstreamSet& set, bool saturated, Micros now)
{
    const bool must_wait = !saturated && waits_for_hall(piece, set, now);
    std::shared_ptr<UpstreamState> any;
    // Round robin, so that results spread over the upstreams' memory.
    ++m_rotation;
    for (std::size_t i = 0; i < free.size(); ++i) {
        const auto& [upstream, memory] = free[(m_rotation + i) % free.size()];
        if (memory < piece.result_bytes || !piece.halls.allows(upstream->hall))
            continue;
        if (upstream->hall == piece.near)
            return upstream;
        if (!any)
            any = upstream;
    }
    return must_wait ? nullptr : any;
}

PieceQueue::Choice
PieceQueue::choose(const Upstreams& free, const UpstreamSet& set, bool saturated,
                   Micros now)
{
    int examined = 0;
    /// Found no upstream; the other pieces of its group have the same requirements.
    const WaitingPiece* unplaced = nullptr;
    for (const Rank& rank : m_waiting) {
        if (++examined > kMaxExamined)
            break;
        ++m_visits;
        const WaitingPiece& piece = piece_of(rank);
        const bool is_same_group = unplaced && piece.group == unplaced->group
            && piece.queued_at == unplaced->queued_at;
        if (is_same_group)
            continue;
        if (auto upstream = upstream_for(piece, free, set, saturated, now))
            return {std::move(upstream), &piece};
        unplaced = &piece;
    }
    return {};
}

/// The chosen upstream, unless its memory holds fewer results than the call could contain
/// and the piece may go to a free upstream whose memory holds more.  Upstreams that failed
/// are chosen by round robin only: no results are made there, so that their memory is free,
/// but a probe takes only one group.
std::shared_ptr<UpstreamState>
PieceQueue::roomiest_for(const Choice& choice, const Upstreams& free,
                         const UpstreamSet& set, bool saturated, Micros now) const
{
    const auto& [chosen, piece] = choice;
    if (piece->result_bytes <= 0 || m_failures.contains(chosen.get()))
        return chosen;
    const std::int64_t items = set.spec.batch ? set.spec.batch->items : 1;
    const auto wanted = std::min(items, static_cast<std::int64_t>(m_by_id.size()));
    const auto room = [&](const FreeUpstream& at) {
        return std::min(wanted, at.memory / piece->result_bytes);
    };
    const auto is_chosen = [&](const FreeUpstream& at) { return at.upstream == chosen; };
    const FreeUpstream* best = &*std::find_if(free.begin(), free.end(), is_chosen);
    if (room(*best) >= wanted)
        return chosen;
    const bool must_wait = !saturated && waits_for_hall(*piece, set, now);
    for (std::size_t i = 0; i < free.size(); ++i) {
        const FreeUpstream& other = free[(m_rotation + i) % free.size()];
        const std::string& hall = other.upstream->hall;
        const bool may_go = piece->halls.allows(hall) && (!must_wait || hall == piece->near)
            && !m_failures.contains(other.upstream.get());
        const bool is_nearer = hall == piece->near && best->upstream->hall != piece->near;
        const bool is_better
            = room(other) > room(*best) || (room(other) == room(*best) && is_nearer);
        if (may_go && is_better)
            best = &other;
    }
    return best->upstream;
}

bool
PieceQueue::is_saturated(const UpstreamSet& set, Micros now) const
{
    if (!m_switches.uses(Mechanism::FullCallsFirst))
        return false;
    const int items = set.spec.batch ? set.spec.batch->items : 1;
    const auto half_round = static_cast<std::size_t>(items)
        * static_cast<std::size_t>(count_usable(set, now, {}, RatePart::Granted));
    return 2 * m_by_id.size() > half_round;
}

/// Adds the piece to the call and removes it from the queue; returns the next rank.
PieceQueue::Ranks::iterator
PieceQueue::take(PieceCall& call, Ranks::iterator it, const UpstreamSet& set, Micros now)
{
    const PieceId id = it->id;
    m_memory.reserve(*call.upstream, id, piece_of(*it).result_bytes,
                     result_expiry(set, now));
    call.pieces.push_back(id);
    const auto next = m_waiting.erase(it);
    erase(id);
    return next;
}

/// The first rank after those of the group's pieces.
PieceQueue::Ranks::iterator
PieceQueue::skip(Ranks::iterator it, const Group& group) const
{
    Rank last = *it;
    last.id = *group.ids.rbegin();
    return last.id <= it->id ? std::next(it) : m_waiting.upper_bound(last);
}

void
PieceQueue::fill(PieceCall& call, const UpstreamSet& set, FillRule rule, Micros now)
{
    const auto items = static_cast<std::size_t>(set.spec.batch ? set.spec.batch->items : 1);
    std::int64_t memory = free_memory(*call.upstream, set, now);
    rule.split = rule.split || !m_switches.uses(Mechanism::WholeGroups);
    PieceId taking = 0; ///< group of which pieces are being added
    int misses = 0;
    for (auto it = m_waiting.begin();
         it != m_waiting.end() && call.pieces.size() < items && misses < kMaxPassedOver;) {
        ++m_visits;
        const WaitingPiece& piece = piece_of(*it);
        const bool fits_hall = rule.any_hall || piece.near == call.upstream->hall
            || !waits_for_hall(piece, set, now);
        const Group& group = m_groups.at(piece.group);
        const std::size_t size = group.ids.size();
        const bool goes_whole = size <= items - call.pieces.size()
            && static_cast<std::int64_t>(size) * piece.result_bytes <= memory;
        // A group larger than a call cannot stay together.
        const bool too_large = size > items && call.pieces.empty();
        const bool started = piece.group == taking || goes_whole || too_large;
        const bool fits = started || rule.split;
        const bool allowed = piece.halls.allows(call.upstream->hall);
        if (!allowed || !fits_hall || !fits || piece.result_bytes > memory) {
            ++misses;
            // Pieces of the group that have waited longer may wait for their hall no more.
            const bool is_first = piece.queued_at <= group.queued_at;
            it = is_first ? skip(it, group) : std::next(it);
            continue;
        }
        if (started)
            taking = piece.group;
        memory -= piece.result_bytes;
        it = take(call, it, set, now);
    }
}

SkippedPieces
PieceQueue::count_skipped(const PieceCall& call, const UpstreamSet& set, Micros now)
{
    SkippedPieces skipped;
    const auto items = static_cast<std::size_t>(set.spec.batch ? set.spec.batch->items : 1);
    if (call.pieces.size() >= items)
        return skipped;
    const std::int64_t memory = free_memory(*call.upstream, set, now);
    int examined = 0;
    for (const auto& [id, waiting] : m_by_id) {
        if (++examined > kMaxExamined)
            break;
        ++m_visits;
        const WaitingPiece& piece = waiting.piece;
        if (piece.result_bytes > memory)
            ++skipped.memory;
        else if (piece.near != call.upstream->hall && waits_for_hall(piece, set, now))
            ++skipped.hall;
        else
            ++skipped.group;
    }
    return skipped;
}

/// Takes the least urgent waiting group, since a probe call is likely to fail.
void
PieceQueue::take_probe(PieceCall& call, const UpstreamSet& set, Micros now)
{
    const auto items = static_cast<std::size_t>(set.spec.batch ? set.spec.batch->items : 1);
    Ranks ranks;
    for (const PieceId id : m_groups.at(piece_of(*m_waiting.rbegin()).group).ids)
        ranks.insert(rank_of(m_by_id.at(id)));
    for (const Rank& rank : ranks) {
        ++m_visits;
        if (call.pieces.size() < items && piece_of(rank).halls.allows(call.upstream->hall))
            take(call, m_waiting.find(rank), set, now);
    }
}

std::optional<PieceCall>
PieceQueue::next_call(const UpstreamSet& set, Micros now)
{
    if (m_by_id.empty())
        return std::nullopt;
    demote_late(now);
    const Upstreams free = free_upstreams(set, now);
    if (free.empty())
        return std::nullopt;
    const bool saturated = is_saturated(set, now);
    const Choice choice = choose(free, set, saturated, now);
    if (!choice.upstream)
        return std::nullopt;
    PieceCall call;
    call.upstream = m_switches.uses(Mechanism::RoomiestUpstream)
        ? roomiest_for(choice, free, set, saturated, now)
        : choice.upstream;
    call.roomiest = call.upstream != choice.upstream;
    if (m_failures.contains(call.upstream.get())) {
        take_probe(call, set, now);
    } else {
        fill(call, set, {false, false}, now);
        if (saturated || call.pieces.empty())
            fill(call, set, {saturated, true}, now);
        call.skipped = count_skipped(call, set, now);
    }
    if (call.pieces.empty())
        return std::nullopt;
    if (call.upstream->cold.is_cold(now))
        call.upstream->cold.take_grant(now);
    return call;
}

namespace {

/// Number of usable upstreams; an upstream with a rate limit counts as the fraction of one
/// that its permitted calls a second amount to.
double
usable_capacity(const UpstreamSet& set, Micros now)
{
    const double call_s = static_cast<double>(full_call_time(set.spec)) / kSecond;
    double sum = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            const SharedRate& limit = upstream->self_report->limit();
            if (!is_in_service(*upstream, now) || upstream->self_report->in_backoff(now))
                continue;
            sum += limit.is_set() ? std::min(1.0, limit.rate_of(RatePart::Granted) * call_s)
                                  : 1.0;
        }
    return sum;
}

} // namespace

Micros
PieceQueue::expected_wait(const UpstreamSet& set, int priority, Micros now) const
{
    const BatchSpec batch = set.spec.batch.value_or(BatchSpec {});
    const Micros backoff = time_to_first_usable(set, now, {}, RatePart::Granted);
    const double usable = usable_capacity(set, now + backoff);
    if (usable <= 0)
        return kSecond;
    // Less urgent pieces, and late pieces of the same priority, wait behind the new piece.
    int ahead = 0;
    for (int other = 0; other <= std::min(priority, kLowestPriority); ++other) {
        const auto at = static_cast<std::size_t>(other);
        ahead += m_queued.at(at) - (other == priority ? m_late_queued.at(at) : 0);
    }
    if (ahead == 0 && has_free_upstream(set, now))
        return 0;
    const auto full_call = static_cast<double>(full_call_time(set.spec));
    const double calls_ahead = 0.5 + static_cast<double>(ahead) / std::max(1, batch.items);
    const double wait = std::min(calls_ahead * full_call / usable, kMaxReportedWaitUs);
    return backoff + static_cast<Micros>(wait);
}

std::vector<PieceId>
PieceQueue::take_overdue(const UpstreamSet& set, Micros now)
{
    if (!m_switches.uses(Mechanism::DropLatePieces))
        return {};
    demote_late(now);
    const Micros full_call = full_call_time(set.spec);
    Ranks ranks;
    for (const auto& [since, id] : m_late_by_time) {
        if (now - since <= full_call)
            break;
        ++m_visits;
        ranks.insert(rank_of(m_by_id.at(id)));
    }
    std::vector<PieceId> overdue;
    for (const Rank& rank : ranks) {
        overdue.push_back(rank.id);
        remove(rank.id);
    }
    return overdue;
}

void
PieceQueue::record_failure(const UpstreamState& upstream, Micros now)
{
    const int before = m_failures[&upstream]++;
    m_backed_off[&upstream]
        = now + (kFirstBackOff << std::min(before, kMaxBackOffDoublings));
}

void
PieceQueue::back_off(const UpstreamState& upstream, Micros until)
{
    m_backed_off[&upstream] = until;
}

} // namespace cypressford
