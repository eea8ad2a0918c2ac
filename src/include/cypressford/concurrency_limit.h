// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Number of calls that one scheduler may have in flight to an upstream set that all
/// daemons share.  Callers don't come to all daemons evenly, so the number follows demand,
/// within what the answers of the upstreams show of their load.

#pragma once

#include <vector>

#include <cypressford/upstream.h>

namespace cypressford {

/// Usual service time of each stage, by which a slow answer is recognized.
class UsualTimes {
public:
    /// Records the service time of a call; returns it as a multiple of the usual time.
    /// `is_loaded`: calls are known to take longer at present, so that a longer time hardly
    /// changes what is usual.
    double record(StageId stage, Micros took, bool is_loaded);
    /// A service time as a multiple of the usual time, without recording it; 1 while
    /// nothing is known.
    double slowdown(StageId stage, Micros took) const;

private:
    std::vector<float> m_times; ///< µs, by stage; 0: unknown
};

/// The even part of the set's slots is always allowed.  Beyond it the limit grows with each
/// answer that comes as fast as usual, as long as there is demand (additive increase), and
/// is reduced by a factor when answers get slow or calls are rejected (multiplicative
/// decrease), so that daemons with demand at the same time converge to even parts.  Without
/// demand it returns to the even part within a second.
class ConcurrencyLimit {
public:
    /// Sets the even part, and the number of calls that the whole set serves at a time.
    void set_bounds(double even, double most);
    /// Calls that may be in flight, not rounded.
    double calls() const { return m_even + m_extra; }
    /// Fraction of the set's slots that `calls()` is, at most 1.
    double fraction() const;

    /// Requests wait, or are refused, for lack of calls.
    void record_demand(Micros now) { m_demand_at = now; }
    /// A call was answered after `took`, which is `slowdown` times the usual time.
    /// `in_flight`: calls before it ended.
    void record_answer(double slowdown, Micros took, int in_flight, Micros now);
    /// An upstream rejected a call for lack of room.
    void record_rejection(Micros now);
    /// Returns what was not used lately.
    void age(Micros now);
    /// True while answers are slow.
    bool is_loaded() const { return m_slowdown >= kLoadedSlowdown; }

    /// Answers that take this multiple of the usual time show that calls queue upstream.
    static constexpr double kLoadedSlowdown = 2;

private:
    void reduce(Micros now);

    double m_even = 0;
    double m_most = 0;
    double m_extra = 0; ///< calls beyond the even part
    double m_slowdown = 1; ///< moving average
    Micros m_demand_at = kNever; ///< when calls were last lacking
    Micros m_used_at = kNever; ///< when the extra calls were last needed
    Micros m_reduced_at = kNever;
    Micros m_aged_at = 0;

    /// Before any time at which the limit is used.
    static constexpr Micros kNever = -3600 * kSecond;
};

} // namespace cypressford
