// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cold upstreams: one that has just started bears few requests a second and breaks down
/// under more, whoever sends them.  All daemons together stay within its rate, without
/// asking each other.

#pragma once

#include <atomic>
#include <cstdint>

#include <cypressford/bundle.h>

namespace cypressford {

/// Spaces calls to one upstream.  Lock-free; several threads may take at once.
class CallPacer {
public:
    /// True if a call may go at `now`, and at `first` at the earliest.
    bool is_open(Micros first, Micros now) const
    {
        return now >= first && now >= m_next.load(std::memory_order_relaxed);
    }
    /// Takes the call; the next one may go after `interval`.  False if it may not go.
    bool take(Micros first, Micros interval, Micros now);

private:
    std::atomic<Micros> m_next {0};
};

/// How cold one upstream is, and which calls this daemon may send it.
///
/// Two ways share the rate.  The daemon that leads the upstream's set grants calls to all
/// daemons, up to half of the rate: two leaders that don't know of each other stay within
/// it.  A daemon that chooses by itself, because its set has no leader or the leader is
/// silent, has an equal part of a quarter of it.  Where there are many daemons, that part
/// is less than a call in all the time that an upstream is cold, so each daemon starts at
/// a point of its interval that is its own.  Of the ways tried in cold_test, for 295
/// daemons and 9 requests/s, this one lets calls through without passing the bound.
class ColdState {
public:
    /// `seed`: drawn by this daemon, so that daemons start at different points.
    explicit ColdState(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    /// What the upstream's set says: cold for so long from a start, and bearing so many
    /// requests a second then; a rate of 0 knows no bound.
    void set_spec(const ColdSpec& spec);

    /// It is cold until then, at least.
    void note(Micros until);
    /// It may have turned cold just now.
    void assume_cold(Micros now);

    /// True while it bears its rate only.
    bool is_cold(Micros now) const;

    /// Calls that this daemon, as the leader of the set, lets any daemon send.
    bool may_grant(Micros now) const;
    bool take_grant(Micros now);

    /// Calls that this daemon, one of so many, sends without asking.
    bool may_send(int daemons, Micros now) const;
    bool take_send(int daemons, Micros now);

    /// Calls a second that this daemon may send without asking.
    double own_rate(int daemons) const;

private:
    double rate() const { return m_per_s.load(std::memory_order_relaxed); }
    Micros first_send(int daemons) const;

    const std::uint64_t m_seed;
    std::atomic<Micros> m_until {0};
    std::atomic<Micros> m_time {0}; ///< from a start
    std::atomic<double> m_per_s {0};
    CallPacer m_grants;
    CallPacer m_sends;
};

} // namespace cypressford
