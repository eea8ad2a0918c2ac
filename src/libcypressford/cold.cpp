// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/cold.h>

#include <algorithm>

#include <cypressford/mutation.h>

#include "mix.h"

namespace cypressford {

namespace {

/// Parts of a cold upstream's rate: of one leader, of which there may be two while daemons
/// disagree, and of all daemons that send without a grant.  The second part is kept small
/// because its calls are randomly distributed in time.
constexpr double kGrantedPart = 0.5;
constexpr double kUngrantedPart = 0.25;
/// Keeps intervals finite; calls per second.
constexpr double kMinRate = 1e-6;

Micros
interval_of(double calls_per_s)
{
    return static_cast<Micros>(static_cast<double>(kSecond)
                               / std::max(calls_per_s, kMinRate));
}

} // namespace

bool
CallPacer::take(Micros first, Micros interval, Micros now)
{
    if (now < first)
        return false;
    Micros next = m_next.load(std::memory_order_relaxed);
    while (next <= now)
        if (m_next.compare_exchange_weak(next, now + interval, std::memory_order_relaxed))
            return true;
    return false;
}

void
ColdState::set_spec(const ColdSpec& spec)
{
    m_time.store(spec.time, std::memory_order_relaxed);
    m_per_s.store(spec.per_s, std::memory_order_relaxed);
}

void
ColdState::mark_cold_until(Micros until)
{
    Micros known = m_until.load(std::memory_order_relaxed);
    while (known < until
           && !m_until.compare_exchange_weak(known, until, std::memory_order_relaxed)) { }
}

void
ColdState::assume_cold(Micros now)
{
    if (const Micros time = m_time.load(std::memory_order_relaxed); time > 0)
        mark_cold_until(now + time);
}

bool
ColdState::is_cold(Micros now) const
{
    return rate() > 0 && now < m_until.load(std::memory_order_relaxed);
}

bool
ColdState::may_grant(Micros now) const
{
    return m_grants.is_open(0, now);
}

bool
ColdState::take_grant(Micros now)
{
    return m_grants.take(0, interval_of(kGrantedPart * rate()), now);
}

double
ColdState::own_rate(int daemons) const
{
    const int sharers = mutated(Mutation::ColdBoundForEach) ? 1 : std::max(1, daemons);
    return kUngrantedPart * rate() / sharers;
}

/// A point within the interval that starts when the upstream turns cold.
Micros
ColdState::first_send(int daemons) const
{
    const Micros until = m_until.load(std::memory_order_relaxed);
    const Micros since = until - m_time.load(std::memory_order_relaxed);
    const auto interval = static_cast<double>(interval_of(own_rate(daemons)));
    return since + static_cast<Micros>(uniform_from(m_seed) * interval);
}

bool
ColdState::may_send(int daemons, Micros now) const
{
    return m_sends.is_open(first_send(daemons), now);
}

bool
ColdState::take_send(int daemons, Micros now)
{
    return m_sends.take(first_send(daemons), interval_of(own_rate(daemons)), now);
}

} // namespace cypressford
