// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How fast upstreams work at present, for deployments whose upstreams are unequal or share
/// their machines with others: as reported by the upstreams themselves, and as the leader
/// of a set of engines learns it from the times at which answers start.

#pragma once

#include <atomic>
#include <optional>

#include <cypressford/bundle.h>

namespace cypressford {

/// Bounds of reported and learned factors, so that a wrong or forged figure neither draws
/// all requests to an upstream nor excludes it for good.
inline constexpr double kMinSpeedFactor = 0.4;
inline constexpr double kMaxSpeedFactor = 4;
/// A report is valid for this time: about half of the 600 ms after which the load of a
/// shared machine typically changes.
inline constexpr Micros kSpeedReportValid = 300 * kMillisecond;
/// An upstream is temporarily slow if its work takes at least this multiple of the time
/// that is usual for it.  Other users of its machine make it 2.5 times, and half of that
/// increase is clearly more than the variation between two prompts.
inline constexpr double kTemporarilySlow = 1.75;

/// The last report of an upstream about its speed, relative to its own usual speed.
/// Lock-free: any thread that reads an answer records the report.
class ReportedSpeed {
public:
    /// `slowdown`: time for the same work as a multiple of the usual time.
    void record(double slowdown, Micros now);
    /// 1 if there is no valid report.
    double slowdown(Micros now) const;
    /// An answer had a report that can't be parsed.  True the first time.
    bool record_unreadable()
    {
        return !m_unreadable.exchange(true, std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_slowdown {1};
    std::atomic<Micros> m_valid_until {0};
    std::atomic<bool> m_unreadable {false};
};

/// Time that an engine of usual speed takes from the placement of a prompt to its first
/// event: a fixed time and a time for each token, fitted to the last answers of the set.
class ReadTimeModel {
public:
    /// `tokens`: read before the first event.  `time` (us): divided by the factor of the
    /// engine, since slow engines have shorter queues and would distort the slope.
    void record(double tokens, double time);
    /// In us; nothing until enough answers were seen.
    std::optional<double> expected(double tokens) const;
    /// Time (us) for one more token; nothing until enough answers were seen.
    std::optional<double> time_per_token() const;

private:
    // Sums over the answers with decaying weights.
    double m_weight = 0;
    double m_tokens = 0;
    double m_time = 0;
    double m_tokens_squared = 0;
    double m_tokens_time = 0;
    int m_count = 0; ///< up to the number that is needed
};

/// What was learned about one engine.
struct EngineSpeed {
    double log_factor = 0; ///< moving average, before the comparison with the set
    int answers = 0; ///< up to the number over which the average is taken
    double step = 1; ///< quarter step that was logged last
};

/// Learns the speed of each engine of a set by comparison with the others.  Only ratios
/// count: the factors are relative to the geometric mean of the engines that have answered.
class SetSpeeds {
public:
    /// An answer of the engine started `time` after its prompt was placed, when `tokens`
    /// were ahead: those of unread prompts that were placed there before, and its own.
    /// Relating the time to all of them does not hold the queue against the engine.
    void record(EngineSpeed& engine, double tokens, Micros time);
    /// Time for the same work as a multiple of the usual time of the set.  1 if it differs
    /// by less than the random variation of equal engines.
    double factor(const EngineSpeed& engine) const;
    /// Time after placement at which a prompt with these tokens ahead has taken so long
    /// that its engine must be temporarily slow; nothing until that can be estimated.
    std::optional<Micros> overdue_after(const EngineSpeed& engine, double tokens) const;
    /// Tokens that the engine reads in that time; nothing until that can be estimated.
    std::optional<double> tokens_read_in(const EngineSpeed& engine, Micros time) const;
    /// The factor, rounded to a quarter, if it has moved to another quarter step since the
    /// last call.
    std::optional<double> take_step(EngineSpeed& engine) const;
    /// The engine has ended.
    void forget(const EngineSpeed& engine);

private:
    double relative(const EngineSpeed& engine) const;

    ReadTimeModel m_usual;
    double m_log_sum = 0; ///< of all engines that have answered
    int m_engines = 0; ///< number of these
};

} // namespace cypressford
