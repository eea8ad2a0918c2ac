// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "candidates.h"

#include <algorithm>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

// The learned latency of an upstream without answers is halved this often, so
// that one that was slow is tried again.
constexpr Micros kLatencyHalfLife = 5 * kSecond;
constexpr int kMaxHalvings = 20;

int
slots_of(const UpstreamState& upstream, const UpstreamSet& set)
{
    const int own = upstream.slots.load(std::memory_order_relaxed);
    return own > 0 ? own : set.spec.slots;
}

bool
has_slot(const UpstreamState& upstream, int slots, int daemons)
{
    return upstream.in_flight.load(std::memory_order_relaxed)
        < slot_limit(upstream, slots, daemons);
}

/// An upstream that failed lately and is due for one trial call.
bool
needs_probe(const UpstreamState& upstream)
{
    return upstream.ejections.load(std::memory_order_relaxed) > 0;
}

Micros
aged_latency(const UpstreamState& upstream, Micros now)
{
    const Micros latency = upstream.latency.load(std::memory_order_relaxed);
    const Micros idle = now - upstream.answered_at.load(std::memory_order_relaxed);
    const auto halvings = std::clamp<Micros>(idle / kLatencyHalfLife, 0, kMaxHalvings);
    return latency >> halvings;
}

Candidate
candidate(const UpstreamState& upstream, std::uint32_t index, int slots, bool remote,
          Micros now)
{
    Candidate c;
    c.index = index;
    c.in_flight = upstream.in_flight.load(std::memory_order_relaxed);
    c.others = upstream.others.load(std::memory_order_relaxed);
    c.queued = upstream.queued.load(std::memory_order_relaxed);
    c.slots = slots;
    c.latency = aged_latency(upstream, now);
    c.remote = remote;
    c.address_hash = upstream.address_hash;
    return c;
}

bool
was_tried(const UpstreamState& upstream, const CandidateQuery& query)
{
    return std::find(query.tried.begin(), query.tried.end(), &upstream)
        != query.tried.end();
}

/// True for warm upstreams, and for cold ones that the call may go to.
bool
is_warm_enough(const UpstreamState& upstream, const CandidateQuery& query)
{
    if (!upstream.cold.is_cold(query.now))
        return true;
    if (!query.granted.empty() && upstream.identity == query.granted)
        return true;
    return query.allow_cold && upstream.cold.may_send(query.daemons, query.now);
}

/// Adds the upstream to `out` if it can take the call.
void
consider(const std::shared_ptr<UpstreamState>& upstream, const UpstreamSet& set,
         const CandidateQuery& query, bool remote, Candidates& out)
{
    if (!is_usable(*upstream, query.now) || was_tried(*upstream, query)
        || !is_warm_enough(*upstream, query))
        return;
    if (query.halls && !query.halls->allows(upstream->hall))
        return;
    if (query.limit_slots
        && !has_slot(*upstream, slots_of(*upstream, set), query.daemons_in_hall))
        return;
    const bool probing = needs_probe(*upstream);
    if (probing
        && (!query.allow_probe || upstream->probing.load(std::memory_order_relaxed)))
        return;
    const auto index = static_cast<std::uint32_t>(out.values.size());
    out.values.push_back(
        candidate(*upstream, index, slots_of(*upstream, set), remote, query.now));
    out.states.push_back(&upstream);
}

void
collect(const std::vector<std::shared_ptr<UpstreamState>>& upstreams,
        const UpstreamSet& set, const CandidateQuery& query, bool remote, Candidates& out)
{
    const std::size_t count = upstreams.size();
    if (!query.want_all && count > kWholeScan) {
        // Two random choices are nearly as good as a look at all of them
        // (Mitzenmacher), and their cost does not grow with the hall.
        const std::size_t start = query.random % count;
        const std::size_t stride = 1 + (query.random >> 32) % (count - 1);
        for (std::size_t i = 0; i < 2 * kSample && out.values.size() < kSample; ++i)
            consider(upstreams[(start + i * stride) % count], set, query, remote, out);
        if (!out.empty())
            return;
    }
    for (const auto& upstream : upstreams)
        consider(upstream, set, query, remote, out);
}

} // namespace

void
Candidates::clear()
{
    values.clear();
    states.clear();
}

int
slot_limit(const UpstreamState& upstream, int slots, int daemons_in_hall)
{
    // The report on others lags, so what they seem to leave is used with care:
    // one call beyond the even part at most.
    const int even = (slots + daemons_in_hall - 1) / std::max(1, daemons_in_hall);
    const int left = slots - upstream.others.load(std::memory_order_relaxed);
    return std::clamp(left, even, std::min(slots, even + 1));
}

namespace {

bool
is_closed(const UpstreamState& upstream)
{
    const bool leaving = upstream.is_leaving() && !mutated(Mutation::SendToLeaving);
    const bool evacuated = upstream.evacuated.load(std::memory_order_relaxed)
        && !mutated(Mutation::SendToEvacuated);
    return leaving || evacuated;
}

bool
rests(const UpstreamState& upstream, Micros now)
{
    return upstream.said->rests(now) && !mutated(Mutation::SendToResting);
}

} // namespace

bool
takes_calls(const UpstreamState& upstream, Micros now)
{
    if (mutated(Mutation::AskBeforeQueueOnly))
        return true;
    return !is_closed(upstream) && !rests(upstream, now);
}

bool
is_in_service(const UpstreamState& upstream, Micros now)
{
    return !is_closed(upstream)
        && upstream.ejected_until.load(std::memory_order_relaxed) <= now;
}

bool
is_usable(const UpstreamState& upstream, Micros now)
{
    return is_in_service(upstream, now) && !rests(upstream, now);
}

void
collect_candidates(const UpstreamSet& set, const CandidateQuery& query, Candidates& out)
{
    out.clear();
    if (!query.near.empty()) {
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& upstream : *side)
                if (upstream->hall == query.near)
                    consider(upstream, set, query, side == &set.remote, out);
        if (!out.empty())
            return;
    }
    collect(set.own, set, query, false, out);
    if (out.empty() || query.any_hall)
        collect(set.remote, set, query, true, out);
}

namespace {

/// This daemon's part of the slots of warm upstreams.
double
warm_share(const std::vector<std::shared_ptr<UpstreamState>>& upstreams,
           const UpstreamSet& set, int daemons, Micros now)
{
    double share = 0;
    for (const auto& upstream : upstreams) {
        if (!is_usable(*upstream, now) || upstream->cold.is_cold(now))
            continue;
        const int slots = slots_of(*upstream, set);
        const double even = static_cast<double>(slots) / std::max(1, daemons);
        const int left = slots - upstream->others.load(std::memory_order_relaxed);
        share += std::clamp(static_cast<double>(left), even, 2 * even);
    }
    return share;
}

/// Calls under way at cold upstreams if this daemon sends them what it may (Little's law).
double
cold_share(const UpstreamSet& set, int daemons, Micros typical, Micros now)
{
    double calls_per_s = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (is_usable(*upstream, now) && upstream->cold.is_cold(now))
                calls_per_s += upstream->cold.own_rate(daemons);
    return calls_per_s * static_cast<double>(typical) / kSecond;
}

} // namespace

double
share_of_slots(const UpstreamSet& set, Sharers sharers, Micros typical, Micros now)
{
    double share = warm_share(set.own, set, sharers.daemons_in_hall, now);
    // A daemon whose hall is evacuated, cut down or cold works with the other halls: held
    // to the slots of its own it would run one call at a time.
    if (share <= 0)
        share = warm_share(set.remote, set, sharers.daemons, now);
    return share + cold_share(set, sharers.daemons, typical, now);
}

namespace {

template <class Predicate>
int
count_upstreams(const UpstreamSet& set, Predicate&& counts)
{
    const auto own = std::count_if(set.own.begin(), set.own.end(), counts);
    const auto remote = std::count_if(set.remote.begin(), set.remote.end(), counts);
    return static_cast<int>(own + remote);
}

} // namespace

int
count_in_service(const UpstreamSet& set)
{
    return count_upstreams(set, [](const auto& upstream) {
        return !upstream->evacuated.load(std::memory_order_relaxed);
    });
}

Micros
time_to_end_of_rest(const UpstreamSet& set, Micros now, const HallLimit& halls)
{
    Micros shortest = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            if (!is_in_service(*upstream, now) || !halls.allows(upstream->hall))
                continue;
            if (!rests(*upstream, now))
                return 0;
            const Micros left = upstream->said->rests_until() - now;
            shortest = shortest == 0 ? left : std::min(shortest, left);
        }
    return shortest;
}

int
count_usable(const UpstreamSet& set, Micros now, const HallLimit& halls)
{
    return count_upstreams(set, [now, &halls](const auto& upstream) {
        return is_usable(*upstream, now) && halls.allows(upstream->hall);
    });
}

} // namespace cypressford
