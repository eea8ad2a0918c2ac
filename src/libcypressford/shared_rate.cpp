// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/shared_rate.h>

#include <algorithm>
#include <utility>

#include <cypressford/mutation.h>

#include "mix.h"

namespace cypressford {

namespace {

/// Parts of the rate: of one leader, of which there may be two; of all daemons that send
/// without a grant beside a leader; and of these where there is no leader.
constexpr double kGrantedPart = 0.5;
constexpr double kOwnPart = 0.25;
constexpr double kOwnPartWithoutLeader = 0.75;
/// Intervals between calls vary from kShortestInterval to 1 + kShortestInterval times the
/// mean interval.
constexpr double kShortestInterval = 0.5;

} // namespace

void
SharerCount::set(int alive, Micros now)
{
    alive = std::max(1, alive);
    const bool is_fewer = alive < get() && !mutated(Mutation::ForgetSharers);
    if (is_fewer && m_fewer_since == 0)
        m_fewer_since = now;
    if (is_fewer && now - m_fewer_since < kRemovalDelay)
        return;
    m_fewer_since = 0;
    m_count.store(alive, std::memory_order_relaxed);
}

int
SharerCount::own_part(int total, std::uint64_t key) const
{
    const int sharers = get();
    const auto offset = static_cast<int>(key % static_cast<std::uint64_t>(sharers));
    const int place = (m_index.load(std::memory_order_relaxed) + offset) % sharers;
    return total / sharers + (place < total % sharers ? 1 : 0);
}

void
PartPacer::begin(double interval_us, Micros now)
{
    const auto shortest = static_cast<Micros>(kShortestInterval * interval_us);
    m_last.store(now - shortest, std::memory_order_relaxed);
}

Micros
PartPacer::next_allowed_after(Micros last, double interval_us) const
{
    const double part
        = kShortestInterval + uniform_from(m_seed ^ static_cast<std::uint64_t>(last));
    return last + static_cast<Micros>(part * interval_us);
}

Micros
PartPacer::next_allowed_at(double interval_us) const
{
    return next_allowed_after(m_last.load(std::memory_order_relaxed), interval_us);
}

bool
PartPacer::take(double interval_us, Micros now)
{
    Micros last = m_last.load(std::memory_order_relaxed);
    for (;;) {
        const Micros next_allowed = next_allowed_after(last, interval_us);
        if (next_allowed > now)
            return false;
        const Micros taken = std::max(next_allowed, now - SharedRate::kBurstWindow);
        if (m_last.compare_exchange_weak(last, taken, std::memory_order_relaxed))
            return true;
    }
}

SharedRate::SharedRate(std::uint64_t seed, std::shared_ptr<const SharerCount> sharers)
    : m_sharers(std::move(sharers))
    , m_own(seed)
    , m_granted(mix(seed + 1))
{
}

void
SharedRate::set(double per_s, Micros now)
{
    if (mutated(Mutation::LimitNeverRaised) && is_set())
        per_s = std::min(per_s, this->per_s());
    const double before = m_per_s.exchange(per_s, std::memory_order_relaxed);
    if (before > 0)
        return;
    m_own.begin(interval_of(RatePart::Own), now);
    m_granted.begin(interval_of(RatePart::Granted), now);
}

int
SharedRate::sharers() const
{
    return m_sharers && !mutated(Mutation::LimitForEach) ? m_sharers->get() : 1;
}

double
SharedRate::rate_of(RatePart part) const
{
    if (part == RatePart::Granted)
        return kGrantedPart * per_s();
    const double own
        = m_has_leader.load(std::memory_order_relaxed) ? kOwnPart : kOwnPartWithoutLeader;
    return own * per_s() / sharers();
}

double
SharedRate::expected_rate() const
{
    const bool has_leader = m_has_leader.load(std::memory_order_relaxed);
    const double granted = has_leader ? rate_of(RatePart::Granted) / sharers() : 0;
    return rate_of(RatePart::Own) + granted;
}

double
SharedRate::interval_of(RatePart part) const
{
    return static_cast<double>(kSecond) / rate_of(part);
}

Micros
SharedRate::next_allowed_at(RatePart part) const
{
    return is_set() ? pacer(part).next_allowed_at(interval_of(part)) : 0;
}

bool
SharedRate::take(RatePart part, Micros now)
{
    if (!is_set())
        return true;
    return (part == RatePart::Own ? m_own : m_granted).take(interval_of(part), now);
}

} // namespace cypressford
