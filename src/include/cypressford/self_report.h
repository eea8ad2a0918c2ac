// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reports of a run of an upstream about itself, in any of its answers to this daemon.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include <cypressford/bundle.h>
#include <cypressford/limit_word.h>
#include <cypressford/shared_rate.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

/// Applies to all senders of this daemon until the run ends: the platform's list may be
/// minutes behind (store unavailable), and an overloaded upstream that rejected one call
/// would get more from every sender that has not seen its answer.  Lock-free.
class SelfReport {
public:
    explicit SelfReport(std::uint64_t seed = 0,
                        std::shared_ptr<const SharerCount> sharers = nullptr)
        : m_limit(seed, std::move(sharers))
    {
    }

    /// The run is leaving; this is final.  `connected_ms`: when the connection was set up
    /// that carried the report, by this daemon's wall clock; 0: unknown.
    void record_leaving(Micros now = 0, std::int64_t connected_ms = 0);
    bool is_leaving() const { return m_leaving.load(std::memory_order_relaxed); }
    /// Also true while the report may have been attributed to the previous run by mistake.
    bool may_be_leaving(Micros now) const
    {
        return is_leaving() || m_may_be_leaving_until.load(std::memory_order_relaxed) > now;
    }

    /// The run requests a backoff: no calls from this daemon until `until`.  Of several
    /// backoffs, the latest end applies.
    /// `connected_ms`: as for record_leaving().
    void record_backoff(Micros until, std::int64_t connected_ms = 0);
    /// Copies from `before`, the previous run of the same upstream, the reports that this
    /// run may have made: answers don't identify the run, and a run that started at `born`
    /// answers before the platform's list shows it.  All connections to a run end with it,
    /// so a report on a connection set up before `born` came from the previous run.  Clock
    /// errors leave some doubt, so a copied leaving mark expires after kMayBeLeavingTime,
    /// for an upstream that was drained and restarted in place.  A copied limit lets each
    /// daemon send one call at once to verify it; few daemons have a connection that young,
    /// so these calls add little.
    void inherit(const SelfReport& before, std::int64_t born);
    Micros backoff_until() const { return m_backoff_until.load(std::memory_order_relaxed); }
    bool in_backoff(Micros now) const { return backoff_until() > now; }

    /// An answer announced how many requests per second the run accepts from all daemons
    /// together, or no limit; its call was sent at `sent`.  Answers may overtake each
    /// other, so a limit holds until a call that was sent after it was received returns
    /// none.  `connected_ms`: as for record_leaving().  True if the limit changed.
    bool record_limit(std::optional<double> per_s, Micros sent, Micros now,
                      std::int64_t connected_ms = 0);
    /// An answer announced a limit that can't be parsed.  True the first time.
    bool record_unreadable_limit()
    {
        return !m_limit_unreadable.exchange(true, std::memory_order_relaxed);
    }
    /// Applies a report of another daemon; `now` is at most kReportDelay after it was sent.
    /// True if the limit changed.
    bool apply_limit_report(const LimitReport& report, Micros now);
    /// The report to send: the limit, or for kEndReportTime the fact that it has ended.
    std::optional<LimitReport> limit_report(const UpstreamRun& run, Micros now) const;
    /// This daemon's part of the run's limit.
    SharedRate& limit() { return m_limit; }
    const SharedRate& limit() const { return m_limit; }

    /// A copied leaving mark expires after this time: a run that is leaving has ended by
    /// then, and any other run gets calls again.
    static constexpr Micros kMayBeLeavingTime = 30 * kSecond;
    /// Lower announced limits are raised to this.  With a limit of 0, no call
    /// would be sent whose answer could end the limit; calls at this rate stay within the
    /// excess that any limit allows.
    static constexpr double kMinLimitPerS = 0.05;
    /// The end of a limit is reported to other daemons for this time.
    static constexpr Micros kEndReportTime = 10 * kSecond;
    /// Allowance for the delay of a report between daemons.
    static constexpr Micros kReportDelay = 100 * kMillisecond;
    /// Higher announced limits count as none: no upstream handles more.
    static constexpr double kMaxLimitPerS = 1e6;

private:
    void lower_limit(double per_s, Micros now);
    void end_limit(Micros sent);

    std::atomic<bool> m_leaving {false};
    std::atomic<Micros> m_leaving_received_at {0}; ///< of the first report
    std::atomic<std::int64_t> m_leaving_connected_ms {0};
    std::atomic<Micros> m_may_be_leaving_until {0};
    std::atomic<Micros> m_backoff_until {0};
    std::atomic<std::int64_t> m_backoff_connected_ms {0};
    SharedRate m_limit;
    std::atomic<Micros> m_limit_received_at {0}; ///< of the last answer that announced one
    std::atomic<std::int64_t> m_limit_connected_ms {0};
    std::atomic<bool> m_limit_unreadable {false};
    /// When the call was sent whose answer announced no limit any more.
    std::atomic<Micros> m_limit_ended_at {0};
};

/// The reports of all runs, including those that the platform no longer lists: an entry may
/// expire while the store is unavailable and return later without a restart of the run.
/// Not thread-safe.
class SelfReports {
public:
    /// `seed`: random, one per daemon.
    explicit SelfReports(std::uint64_t seed = 0,
                         std::shared_ptr<const SharerCount> sharers = nullptr)
        : m_seed(seed)
        , m_sharers(std::move(sharers))
    {
    }

    /// The report of a run; created if there is none.
    std::shared_ptr<SelfReport> of(const UpstreamRun& run);
    /// A report that is not kept in this table; only its upstream refers to it.
    std::shared_ptr<SelfReport> make_unregistered(std::uint64_t seed) const;
    /// The run is no longer listed.  Its report is kept until kMaxUnlisted other runs have
    /// been unlisted after it.
    void unlist(const UpstreamRun& run);

    /// Maximum number of unlisted runs whose reports are kept.  10,000 upstreams may be
    /// unlisted at a time when their entries expire; each takes some 300 bytes.
    static constexpr std::size_t kMaxUnlisted = 16'384;

private:
    struct Entry {
        std::shared_ptr<SelfReport> report;
        std::size_t unlisted = 0; ///< number of times it is in m_unlisted
        bool is_listed = true;
    };
    void evict_oldest();

    const std::uint64_t m_seed;
    const std::shared_ptr<const SharerCount> m_sharers;
    std::map<UpstreamRun, Entry> m_entries;
    std::deque<UpstreamRun> m_unlisted; ///< oldest first
};

} // namespace cypressford
