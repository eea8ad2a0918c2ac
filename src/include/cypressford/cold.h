// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cold upstreams: a newly started upstream handles only a low request rate, and fails if
/// all senders together exceed it.  All daemons together stay within its rate, without
/// coordinating each call.

#pragma once

#include <atomic>
#include <cstdint>

#include <cypressford/bundle.h>

namespace cypressford {

/// Enforces intervals between calls to one upstream.  Lock-free; several threads may take
/// calls at once.
class CallPacer {
public:
    /// True if a call is allowed at `now`; no call is allowed before `first`.
    bool is_open(Micros first, Micros now) const
    {
        return now >= first && now >= m_next.load(std::memory_order_relaxed);
    }
    /// Takes a call and allows the next one after `interval`.  False if none is allowed.
    bool take(Micros first, Micros interval, Micros now);

private:
    std::atomic<Micros> m_next {0};
};

/// Whether one upstream is cold, and which calls this daemon may send to it.
///
/// The rate is shared along two paths.  The daemon that leads the upstream's set grants
/// calls to all daemons, up to half of the rate, so that two leaders that are unaware of
/// each other stay within it.  Daemons that choose on their own, because their set has no
/// leader or the leader is unresponsive, have equal parts of a quarter of it.  With many
/// daemons such a part is less than one call in the whole cold period, so each daemon
/// starts at its own point of its interval.  Of the schemes that cold_test compares, for
/// 295 daemons and 9 requests/s, only this one lets calls through without exceeding the
/// bound.
class ColdState {
public:
    /// `seed`: random, one per daemon, so that daemons start at different points.
    explicit ColdState(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Applies the set's settings: the cold period after a start, and the requests per
    /// second that are allowed during it; a rate of 0 means no bound.
    void set_spec(const ColdSpec& spec);

    /// The upstream is cold at least until `until`.
    void mark_cold_until(Micros until);
    /// The upstream may have started just now, so a cold period is assumed.
    void assume_cold(Micros now);

    /// True while its rate is bounded.
    bool is_cold(Micros now) const;

    /// Calls that this daemon, as the leader of the set, grants to any daemon.
    bool may_grant(Micros now) const;
    bool take_grant(Micros now);

    /// Calls that this daemon, one of `daemons`, sends without a grant.
    bool may_send(int daemons, Micros now) const;
    bool take_send(int daemons, Micros now);

    /// Calls per second that this daemon may send without a grant.
    double own_rate(int daemons) const;

private:
    double rate() const { return m_per_s.load(std::memory_order_relaxed); }
    Micros first_send(int daemons) const;

    const std::uint64_t m_seed;
    std::atomic<Micros> m_until {0};
    std::atomic<Micros> m_time {0}; ///< cold period after a start
    std::atomic<double> m_per_s {0};
    CallPacer m_grants;
    CallPacer m_sends;
};

} // namespace cypressford
