// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A call rate that all daemons share without coordinating each call.

#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>

#include <cypressford/bundle.h>

namespace cypressford {

/// Number of daemons that share a rate.  A decrease takes effect after kRemovalDelay: a
/// daemon that is only cut off continues to use its part.
class SharerCount {
public:
    /// Sets the number of daemons that are alive at `now`.  Called by one thread.
    void set(int alive, Micros now);
    int get() const { return m_count.load(std::memory_order_relaxed); }
    /// Sets this daemon's place in the list of live daemons, from 0.
    void set_own_index(int index) { m_index.store(index, std::memory_order_relaxed); }
    /// This daemon's part of `total` units that can't be divided.  The parts of all daemons
    /// add up to it; `key` determines which of them get one more than others.
    int own_part(int total, std::uint64_t key) const;

    /// How long a daemon that is no longer alive is counted.
    static constexpr Micros kRemovalDelay = 10 * kSecond;

private:
    std::atomic<int> m_count {1};
    std::atomic<int> m_index {0};
    Micros m_fewer_since = 0; ///< 0: not fewer alive than counted
};

/// The part of a rate that a call is taken from.
enum class RatePart : unsigned char {
    Own, ///< part of this daemon, used without a grant
    Granted, ///< part of a set's leader, for its own calls and grants to any daemon
};

/// Spaces the calls of one part at its rate.  Lock-free.
class PartPacer {
public:
    explicit PartPacer(std::uint64_t seed)
        : m_seed(seed)
    {
    }
    /// Allows the first call within one interval of `now`, at a point given by the seed.
    void begin(double interval_us, Micros now);
    /// Earliest time of the next call.
    Micros next_allowed_at(double interval_us) const;
    /// Takes a call; false if none is allowed.
    bool take(double interval_us, Micros now);

private:
    Micros next_allowed_after(Micros last, double interval_us) const;

    /// Further in the past than the longest interval.
    static constexpr Micros kDistantPast = std::numeric_limits<Micros>::min() / 2;

    const std::uint64_t m_seed;
    /// Time of the last call, or a point of time in its place.  The time of the next call
    /// is computed from it with the current rate and number of daemons, so that an
    /// increased rate takes effect at once.
    std::atomic<Micros> m_last {kDistantPast};
};

/// One daemon's part of a rate that all daemons share.  Lock-free.
///
/// The rate is shared along two paths.  The daemon that leads the set of an upstream sends,
/// or grants to any daemon, up to half of it: while daemons disagree there may be two
/// leaders, and both together stay within the rate.  Daemons that send without a grant have
/// equal parts of a quarter, or, where the set has no leader, of three quarters.  Each
/// starts at its own point of its interval, and intervals vary by a half, so that hundreds
/// of daemons don't send at the same time.
///
/// In any span of time all parts together stay within the rate times the span plus
/// kBurstWindow, on average; parts of less than one call in the span add up like
/// independent calls, so a bound on the sum must leave room for their variance.
class SharedRate {
public:
    explicit SharedRate(std::uint64_t seed = 0,
                        std::shared_ptr<const SharerCount> sharers = nullptr);

    /// Sets the requests per second of all daemons together; must be over 0.
    void set(double per_s, Micros now);
    /// Takes over the rate of another run, which may not apply here: the first call of each
    /// part is allowed at once, and its answer shows whether the rate applies.
    void adopt(const SharedRate& other) { m_per_s.store(other.per_s()); }
    /// Removes the bound.
    void clear() { m_per_s.store(0, std::memory_order_relaxed); }
    bool is_set() const { return per_s() > 0; }
    /// 0: unlimited.
    double per_s() const { return m_per_s.load(std::memory_order_relaxed); }
    /// Whether the set of the upstream has a leader.
    void set_has_leader(bool has_leader)
    {
        m_has_leader.store(has_leader, std::memory_order_relaxed);
    }
    bool has_leader() const { return m_has_leader.load(std::memory_order_relaxed); }

    /// Calls per second of that part of this daemon.  Only valid while a rate is set.
    double rate_of(RatePart part) const;
    /// Calls per second that this daemon can expect to send, including those that the
    /// leader of the set grants it.
    double expected_rate() const;
    /// Earliest time of the next call of that part; 0 if no rate is set.
    Micros next_allowed_at(RatePart part) const;
    /// Counts a call; false if none is allowed.  Always true while no rate is set.
    bool take(RatePart part, Micros now);

    /// A part may send at once the calls that it left unused in this time.
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
