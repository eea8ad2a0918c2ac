// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "candidates.h"

#include <algorithm>
#include <cmath>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

// The recorded latency of an upstream that sends no answers is halved at this interval, so
// that calls are sent to a slow upstream again.
constexpr Micros kLatencyHalfLife = 5 * kSecond;
constexpr int kMaxHalvings = 20;

int
slots_of(const UpstreamState& upstream, const UpstreamSet& set)
{
    const int own = upstream.slots.load(std::memory_order_relaxed);
    return own > 0 ? own : set.spec.slots;
}

/// True if `in_flight` calls of this daemon, together with the parts of all others, fit
/// into the upstream's slots.
bool
fits_own_slots(const UpstreamState& upstream, int in_flight)
{
    return in_flight
        <= upstream.self_report->own_slots(upstream.slot_count(), upstream.address_hash);
}

/// `placed`: the leader of the set, which counts the calls of all daemons, chose the
/// upstream.
bool
has_slot(const UpstreamState& upstream, int slots, bool placed, const CandidateQuery& query)
{
    const int in_flight = upstream.in_flight.load(std::memory_order_relaxed);
    const SharedRate& rejections = upstream.self_report->rejections();
    if (rejections.is_set() && !placed)
        return fits_own_slots(upstream, in_flight + 1)
            || rejections.next_allowed_at(RatePart::Own) <= query.now;
    if (placed && query.has_granted_slot)
        return true;
    return in_flight
        < slot_limit(upstream, slots, query.daemons_in_hall, query.usable_fraction);
}

/// True if the upstream failed recently and is due for one trial call.
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
          const CandidateQuery& query)
{
    Candidate c;
    c.index = index;
    c.in_flight = upstream.in_flight.load(std::memory_order_relaxed);
    c.others_in_flight = upstream.others_in_flight.load(std::memory_order_relaxed);
    c.queued = upstream.queued.load(std::memory_order_relaxed);
    c.slots = slots;
    c.latency = aged_latency(upstream, query.now);
    c.remote = remote;
    c.address_hash = upstream.address_hash;
    if (query.use_speeds)
        c.slowdown = upstream.speed.slowdown(query.now);
    return c;
}

bool
was_tried(const UpstreamState& upstream, const CandidateQuery& query)
{
    return std::find(query.tried.begin(), query.tried.end(), &upstream)
        != query.tried.end();
}

/// True if the leader of the set chose the upstream for this call.
bool
is_placed(const UpstreamState& upstream, const CandidateQuery& query)
{
    return !query.granted.empty() && upstream.identity == query.granted;
}

/// True for warm upstreams, and for cold ones that the call may be sent to.
bool
is_warm_enough(const UpstreamState& upstream, const CandidateQuery& query)
{
    if (!upstream.cold.is_cold(query.now))
        return true;
    if (is_placed(upstream, query))
        return true;
    return query.allow_cold && upstream.cold.may_send(query.daemons, query.now);
}

/// A call that was granted by the leader of the set is already counted, so the limit of the
/// upstream is not checked for it.
bool
is_usable_for(const UpstreamState& upstream, const CandidateQuery& query)
{
    if (query.is_counted && is_placed(upstream, query))
        return is_in_service(upstream, query.now)
            && !upstream.self_report->in_backoff(query.now);
    return is_usable(upstream, query.now);
}

/// Adds the upstream to `out` if it can take the call.
void
add_if_eligible(const std::shared_ptr<UpstreamState>& upstream, const UpstreamSet& set,
                const CandidateQuery& query, bool remote, Candidates& out)
{
    if (!is_usable_for(*upstream, query) || was_tried(*upstream, query)
        || !is_warm_enough(*upstream, query))
        return;
    if (query.halls && !query.halls->allows(upstream->hall))
        return;
    if (query.version && !may_continue(set, *upstream, *query.version))
        return;
    if (query.limit_slots
        && !has_slot(*upstream, slots_of(*upstream, set), is_placed(*upstream, query),
                     query))
        return;
    const bool probing = needs_probe(*upstream);
    if (probing
        && (!query.allow_probe || upstream->probing.load(std::memory_order_relaxed)))
        return;
    const auto index = static_cast<std::uint32_t>(out.values.size());
    out.values.push_back(
        candidate(*upstream, index, slots_of(*upstream, set), remote, query));
    out.states.push_back(&upstream);
}

void
collect(const std::vector<std::shared_ptr<UpstreamState>>& upstreams,
        const UpstreamSet& set, const CandidateQuery& query, bool remote, Candidates& out)
{
    const std::size_t count = upstreams.size();
    if (!query.want_all && count > kFullScanLimit) {
        // The better of two random choices is nearly as good as the best of all
        // (Mitzenmacher), at a cost that does not grow with the hall.
        const std::size_t start = query.random % count;
        const std::size_t stride = 1 + (query.random >> 32) % (count - 1);
        for (std::size_t i = 0; i < 2 * kSampleSize && out.values.size() < kSampleSize; ++i)
            add_if_eligible(upstreams[(start + i * stride) % count], set, query, remote,
                            out);
        if (!out.empty())
            return;
    }
    for (const auto& upstream : upstreams)
        add_if_eligible(upstream, set, query, remote, out);
}

} // namespace

void
Candidates::clear()
{
    values.clear();
    states.clear();
}

int
slot_limit(const UpstreamState& upstream, int slots, int daemons_in_hall,
           double usable_fraction)
{
    // Reports on the calls of other daemons lag, so the slots that they seem to leave free
    // are used cautiously: at most one call beyond the even share.
    const int even = (slots + daemons_in_hall - 1) / std::max(1, daemons_in_hall);
    const int left = slots - upstream.others_in_flight.load(std::memory_order_relaxed);
    const int reported = std::clamp(left, even, std::min(slots, even + 1));
    const int usable = static_cast<int>(std::ceil(usable_fraction * slots));
    return std::max(reported, std::min(usable, left));
}

namespace {

bool
is_closed(const UpstreamState& upstream, Micros now)
{
    const bool leaving = upstream.is_leaving(now) && !mutated(Mutation::SendToLeaving);
    const bool evacuated = upstream.evacuated.load(std::memory_order_relaxed)
        && !mutated(Mutation::SendToEvacuated);
    return leaving || evacuated;
}

bool
has_backoff(const UpstreamState& upstream, Micros now)
{
    return upstream.self_report->in_backoff(now) && !mutated(Mutation::SendToResting);
}

} // namespace

bool
begin_call(UpstreamState& upstream, CallCount count, Micros now)
{
    if (mutated(Mutation::AskBeforeQueueOnly))
        return true;
    if (is_closed(upstream, now) || has_backoff(upstream, now))
        return false;
    if (count == CallCount::Counted)
        return true;
    const bool may_be_rejected = count == CallCount::Own
        && !fits_own_slots(upstream, upstream.in_flight.load(std::memory_order_relaxed));
    if (may_be_rejected && !upstream.self_report->rejections().take(RatePart::Own, now))
        return false;
    const RatePart part = count == CallCount::Granted ? RatePart::Granted : RatePart::Own;
    return upstream.self_report->limit().take(part, now);
}

Micros
unavailable_until(const UpstreamState& upstream, RatePart part)
{
    return std::max(upstream.self_report->backoff_until(),
                    upstream.self_report->limit().next_allowed_at(part));
}

bool
is_in_service(const UpstreamState& upstream, Micros now)
{
    return !is_closed(upstream, now)
        && upstream.ejected_until.load(std::memory_order_relaxed) <= now;
}

bool
is_usable(const UpstreamState& upstream, Micros now, RatePart part)
{
    return is_in_service(upstream, now) && !has_backoff(upstream, now)
        && upstream.self_report->limit().next_allowed_at(part) <= now;
}

void
collect_candidates(const UpstreamSet& set, const CandidateQuery& query, Candidates& out)
{
    out.clear();
    if (!query.near.empty()) {
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& upstream : *side)
                if (upstream->hall == query.near)
                    add_if_eligible(upstream, set, query, side == &set.remote, out);
        if (!out.empty())
            return;
    }
    collect(set.own, set, query, false, out);
    if (out.empty() || query.any_hall)
        collect(set.remote, set, query, true, out);
}

namespace {

/// True if calls to the upstream are rate-limited (paced), independent of its slots.
bool
is_paced(const UpstreamState& upstream, Micros now)
{
    return upstream.cold.is_cold(now) || upstream.self_report->limit().is_set();
}

/// This daemon's share of the slots of upstreams that are not rate-limited.
double
slot_share(const std::vector<std::shared_ptr<UpstreamState>>& upstreams,
           const UpstreamSet& set, int daemons, Micros now)
{
    double share = 0;
    for (const auto& upstream : upstreams) {
        if (!is_usable(*upstream, now) || is_paced(*upstream, now))
            continue;
        const int slots = slots_of(*upstream, set);
        const double even = static_cast<double>(slots) / std::max(1, daemons);
        const int left = slots - upstream->others_in_flight.load(std::memory_order_relaxed);
        share += std::clamp(static_cast<double>(left), even, 2 * even);
    }
    return share;
}

/// Calls per second that this daemon may send to a rate-limited upstream.
double
paced_rate(const UpstreamState& upstream, int daemons, Micros now)
{
    const SharedRate& limit = upstream.self_report->limit();
    const double cold = upstream.cold.own_rate(daemons);
    if (!limit.is_set())
        return cold;
    const double limited = limit.expected_rate();
    return upstream.cold.is_cold(now) ? std::min(limited, cold) : limited;
}

/// Calls per second that this daemon may send to all rate-limited upstreams.
double
paced_calls_per_s(const UpstreamSet& set, int daemons, Micros now)
{
    double calls_per_s = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (is_in_service(*upstream, now) && !has_backoff(*upstream, now)
                && is_paced(*upstream, now))
                calls_per_s += paced_rate(*upstream, daemons, now);
    return calls_per_s;
}

} // namespace

double
calls_per_s_if_paced(const UpstreamSet& set, int daemons, Micros now)
{
    const auto has_slots = [now](const auto& upstream) {
        return is_usable(*upstream, now) && !is_paced(*upstream, now);
    };
    const bool has_others = std::any_of(set.own.begin(), set.own.end(), has_slots)
        || std::any_of(set.remote.begin(), set.remote.end(), has_slots);
    return has_others ? 0 : paced_calls_per_s(set, daemons, now);
}

double
share_of_slots(const UpstreamSet& set, Sharers sharers, Micros typical, Micros now)
{
    double share = slot_share(set.own, set, sharers.daemons_in_hall, now);
    // A daemon whose hall is evacuated, out of service or cold uses the upstreams of other
    // halls; limited to the slots of its own hall it would run one call at a time.
    if (share <= 0)
        share = slot_share(set.remote, set, sharers.daemons, now);
    // Concurrent calls at a given rate, by Little's law.
    return share
        + paced_calls_per_s(set, sharers.daemons, now) * static_cast<double>(typical)
        / kSecond;
}

UsableUpstreams
usable_upstreams(const UpstreamSet& set, Micros now, RatePart part)
{
    UsableUpstreams usable;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            if (!is_usable(*upstream, now, part))
                continue;
            ++usable.count;
            if (!is_paced(*upstream, now))
                usable.slots += slots_of(*upstream, set);
        }
    return usable;
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

bool
may_continue(const UpstreamSet& set, const UpstreamState& upstream,
             const std::string& version)
{
    if (mutated(Mutation::ContinueAtAnyVersion))
        return true;
    return upstream.version == version && (!version.empty() || !set.names_versions());
}

std::optional<Micros>
time_to_continue(const UpstreamSet& set, const std::string& version, Micros now,
                 const HallLimit& halls, RatePart part)
{
    std::optional<Micros> shortest;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            if (is_closed(*upstream, now) || !halls.allows(upstream->hall)
                || !may_continue(set, *upstream, version))
                continue;
            const Micros ejected = upstream->ejected_until.load(std::memory_order_relaxed);
            const Micros usable_at = std::max(ejected, unavailable_until(*upstream, part));
            const Micros wait = std::max<Micros>(0, usable_at - now);
            shortest = std::min(wait, shortest.value_or(wait));
        }
    return shortest;
}

int
count_in_service(const UpstreamSet& set)
{
    return count_upstreams(set, [](const auto& upstream) {
        return !upstream->evacuated.load(std::memory_order_relaxed);
    });
}

Micros
time_to_first_usable(const UpstreamSet& set, Micros now, const HallLimit& halls,
                     RatePart part)
{
    Micros shortest = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            if (!is_in_service(*upstream, now) || !halls.allows(upstream->hall))
                continue;
            const Micros left = unavailable_until(*upstream, part) - now;
            if (left <= 0)
                return 0;
            shortest = shortest == 0 ? left : std::min(shortest, left);
        }
    return shortest;
}

int
count_usable(const UpstreamSet& set, Micros now, const HallLimit& halls, RatePart part)
{
    return count_upstreams(set, [now, &halls, part](const auto& upstream) {
        return is_usable(*upstream, now, part) && halls.allows(upstream->hall);
    });
}

} // namespace cypressford
