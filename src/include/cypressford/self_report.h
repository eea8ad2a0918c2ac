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

/// A rate that the answers of one run announce and that all daemons share.  Lock-free.
class AnnouncedRate {
public:
    AnnouncedRate(std::uint64_t seed, std::shared_ptr<const SharerCount> sharers)
        : m_rate(seed, std::move(sharers))
    {
    }

    /// An answer announced the rate, or none; its call was sent at `sent`.  Answers may
    /// overtake each other, so a rate holds until a call that was sent after it was
    /// received returns none.  `connected_ms`: when the connection was set up that carried
    /// the answer, by this daemon's wall clock; 0: unknown.  True if the rate changed.
    bool record(std::optional<double> per_s, Micros sent, Micros now,
                std::int64_t connected_ms = 0);
    /// Applies a report of another daemon; `now` is at most kReportDelay after it was sent.
    /// True if the rate changed.
    bool apply(const LimitReport& report, Micros now);
    /// The report to send: the rate, or for kEndReportTime the fact that it has ended.
    std::optional<LimitReport> report(const UpstreamRun& run, Micros now) const;
    /// Takes over the rate that the previous run announced, if this one, which started at
    /// `born`, may have announced it.
    void inherit(const AnnouncedRate& before, std::int64_t born);

    SharedRate& rate() { return m_rate; }
    const SharedRate& rate() const { return m_rate; }

    /// Lower announced rates are raised to this.  With a limit of 0, no call would be sent
    /// whose answer could end the limit; calls at this rate stay within the excess that any
    /// limit allows.
    static constexpr double kMinPerS = 0.05;
    /// The end of a rate is reported to other daemons for this time.
    static constexpr Micros kEndReportTime = 10 * kSecond;
    /// Allowance for the delay of a report between daemons.
    static constexpr Micros kReportDelay = 100 * kMillisecond;
    /// Higher announced rates count as none: no upstream handles more.
    static constexpr double kMaxPerS = 1e6;

private:
    void lower(double per_s, Micros now);
    void end(Micros sent);

    SharedRate m_rate;
    std::atomic<Micros> m_received_at {0}; ///< of the last answer that announced one
    std::atomic<std::int64_t> m_connected_ms {0};
    /// When the call was sent whose answer announced no rate any more.
    std::atomic<Micros> m_ended_at {0};
};

/// Applies to all senders of this daemon until the run ends: the platform's list may be
/// minutes behind (store unavailable), and an overloaded upstream that rejected one call
/// would get more from every sender that has not seen its answer.  Lock-free.
class SelfReport {
public:
    explicit SelfReport(std::uint64_t seed = 0,
                        const std::shared_ptr<const SharerCount>& sharers = nullptr)
        : m_seed(seed)
        , m_sharers(sharers)
        , m_limit(seed, sharers)
        , m_rejections(~seed, sharers)
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
    /// together, or no limit.  Parameters and result as for AnnouncedRate::record().
    bool record_limit(std::optional<double> per_s, Micros sent, Micros now,
                      std::int64_t connected_ms = 0)
    {
        return m_limit.record(per_s, sent, now, connected_ms);
    }
    /// An answer announced how many calls per second the run may reject, all daemons
    /// together, before it fails, or no such limit.
    bool record_rejection_limit(std::optional<double> per_s, Micros sent, Micros now,
                                std::int64_t connected_ms = 0)
    {
        return m_rejections.record(per_s, sent, now, connected_ms);
    }
    /// An answer announced a limit that can't be parsed.  True the first time.
    bool record_unreadable_limit()
    {
        return !m_limit_unreadable.exchange(true, std::memory_order_relaxed);
    }
    /// The announced rates, for reports of other daemons and to them.
    AnnouncedRate& announced_limit() { return m_limit; }
    const AnnouncedRate& announced_limit() const { return m_limit; }
    AnnouncedRate& announced_rejections() { return m_rejections; }
    const AnnouncedRate& announced_rejections() const { return m_rejections; }
    /// This daemon's part of the run's limit.
    SharedRate& limit() { return m_limit.rate(); }
    const SharedRate& limit() const { return m_limit.rate(); }
    /// This daemon's part of the calls that the run may reject.
    SharedRate& rejections() { return m_rejections.rate(); }
    const SharedRate& rejections() const { return m_rejections.rate(); }
    /// Calls that this daemon may have in flight, of `slots` that the run serves at a time
    /// without rejecting any: the parts of all daemons add up to `slots`.  A set with a
    /// leader has none, as the leader uses them all.  `key`: varies between upstreams.
    int own_slots(int slots, std::uint64_t key) const;
    /// Time without calls from this daemon after a rejected call, so that all daemons
    /// together stay within half of the announced rejections; 0 if none are announced.
    Micros rejection_backoff(RatePart part, Micros now) const;

    /// A copied leaving mark expires after this time: a run that is leaving has ended by
    /// then, and any other run gets calls again.
    static constexpr Micros kMayBeLeavingTime = 30 * kSecond;
    /// Longest backoff after a rejected call; longer than the overload that causes it.
    static constexpr Micros kMaxRejectionBackoff = 10 * kSecond;

private:
    std::atomic<bool> m_leaving {false};
    std::atomic<Micros> m_leaving_received_at {0}; ///< of the first report
    std::atomic<std::int64_t> m_leaving_connected_ms {0};
    std::atomic<Micros> m_may_be_leaving_until {0};
    std::atomic<Micros> m_backoff_until {0};
    std::atomic<std::int64_t> m_backoff_connected_ms {0};
    const std::uint64_t m_seed;
    const std::shared_ptr<const SharerCount> m_sharers;
    AnnouncedRate m_limit;
    AnnouncedRate m_rejections;
    std::atomic<bool> m_limit_unreadable {false};
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
