// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A rate of calls that all daemons share without asking each other at each call.

#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>

#include <cypressford/bundle.h>

namespace cypressford {

/// How many daemons share what there is.  Counts a daemon on for a while after it has gone:
/// one that is only cut off goes on using its part.
class SharerCount {
public:
    /// So many daemons are alive at `now`.  Called by one thread.
    void set(int alive, Micros now);
    int get() const { return m_count.load(std::memory_order_relaxed); }

    /// For so long a daemon that is gone is counted.
    static constexpr Micros kRemovalDelay = 10 * kSecond;

private:
    std::atomic<int> m_count {1};
    Micros m_fewer_since = 0; ///< 0: not fewer than counted
};

/// Whose part of a rate a call is taken from.
enum class RatePart : unsigned char {
    Own, ///< of this daemon, which asks nobody
    Granted, ///< what the daemon that leads a set sends itself, or grants to any daemon
};

/// Calls of one part, one after the other at its rate.  Lock-free.
class PartPacer {
public:
    explicit PartPacer(std::uint64_t seed)
        : m_seed(seed)
    {
    }
    /// The first call may go within one interval of `now`, at a point that the seed draws.
    void begin(double interval_us, Micros now);
    /// When the next call may go at the earliest.
    Micros next_allowed_at(double interval_us) const;
    /// Takes a call; false if none may go.
    bool take(double interval_us, Micros now);

private:
    Micros next_allowed_after(Micros last, double interval_us) const;

    /// Far enough from any time that the longest interval has passed since.
    static constexpr Micros kDistantPast = std::numeric_limits<Micros>::min() / 2;

    const std::uint64_t m_seed;
    /// The last call, or a point of time in its place.  That the next call's time is worked
    /// out from it, with the rate and the daemons of that moment, lets a rate that goes up
    /// count at once.
    std::atomic<Micros> m_last {kDistantPast};
};

/// What one daemon may send of a rate that all share.  Lock-free.
///
/// Two ways share the rate.  The daemon that leads the set of an upstream sends, or grants
/// to any daemon, up to half of it: while daemons disagree there are two such leaders, and
/// they stay within it.  A daemon that asks nobody has an equal part of a quarter, or,
/// where the set has no leader, of three quarters.  Each begins at a point of its interval
/// that is its own, and intervals vary by a half, so that hundreds of daemons don't send at
/// one time.
///
/// In any span of time all parts together stay within the rate times the span plus
/// kBurstWindow, in the mean; where parts are less than a call in the span, they add up as
/// independent calls do, and the bound for the sum must leave room for their spread.
class SharedRate {
public:
    explicit SharedRate(std::uint64_t seed = 0,
                        std::shared_ptr<const SharerCount> sharers = nullptr);

    /// Requests a second of all daemons together, over 0.
    void set(double per_s, Micros now);
    /// The rate of another, of which it isn't known whether it holds here: the first call
    /// of each part goes at once, and its answer tells.
    void adopt(const SharedRate& other) { m_per_s.store(other.per_s()); }
    /// There is no bound any more.
    void clear() { m_per_s.store(0, std::memory_order_relaxed); }
    bool is_set() const { return per_s() > 0; }
    /// 0: not bound.
    double per_s() const { return m_per_s.load(std::memory_order_relaxed); }
    /// Whether the set of the upstream has a leader.
    void set_has_leader(bool led) { m_has_leader.store(led, std::memory_order_relaxed); }

    /// Calls a second of that part, of this daemon.  Only while it is set.
    double rate_of(RatePart part) const;
    /// Calls a second that this daemon may expect to send, with those that the leader of
    /// the set grants it.
    double expected_rate() const;
    /// When the next call of that part may go; 0 if it isn't set.
    Micros next_allowed_at(RatePart part) const;
    /// Counts a call; false if none may go.  Always true while it isn't set.
    bool take(RatePart part, Micros now);

    /// A part that was not used for a while may send what it left of so much time at once.
    static constexpr Micros kBurstWindow = 250 * kMillisecond;

private:
    const PartPacer& pacer(RatePart part) const
    {
        return part == RatePart::Own ? m_own : m_granted;
    }
    int sharers() const;
    double interval_of(RatePart part) const;

    const std::shared_ptr<const SharerCount> m_sharers;
    std::atomic<double> m_per_s {0};
    std::atomic<bool> m_has_leader {false};
    PartPacer m_own;
    PartPacer m_granted;
};

} // namespace cypressford
