// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a run of an upstream has said of itself to this daemon, in any answer.

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

/// Binds all senders of this daemon until the run ends: the platform's list may be minutes
/// behind (the store away), and one that turned a call away for want of room gets more of
/// them by each sender that doesn't know.  Lock-free.
class SelfReport {
public:
    explicit SelfReport(std::uint64_t seed = 0,
                        std::shared_ptr<const SharerCount> sharers = nullptr)
        : m_limit(seed, std::move(sharers))
    {
    }

    /// The run is leaving; it can't take that back.  `connected_ms`: when the connection
    /// came up on which it said so, by this daemon's time of day; 0: not known.
    void record_leaving(Micros now = 0, std::int64_t connected_ms = 0);
    bool leaves() const { return m_leaving.load(std::memory_order_relaxed); }
    /// True as well while the run before may have said it in this one's place.
    bool may_be_leaving(Micros now) const
    {
        return leaves() || m_may_be_leaving_until.load(std::memory_order_relaxed) > now;
    }

    /// The run wants nothing from this daemon until then.  Of several, the latest counts.
    /// `connected_ms`: as for leaving.
    void note_rest(Micros until, std::int64_t connected_ms = 0);
    /// Takes over what `before`, a run of the same upstream, may not have said itself:
    /// answers name no run, and the next one, which started at `born`, answers before the
    /// platform's list tells of it.  All connections to a run end with it, so what was
    /// heard on one that came up before `born` was said by the run before.  Clocks leave a
    /// doubt: for one that was drained and started again in place, it ends after
    /// kMayBeLeavingTime. At a limit that is taken over, few daemons have a connection that
    /// young, so the call that each sends at once to learn of it adds little.
    void inherit(const SelfReport& before, std::int64_t born);
    Micros backoff_until() const { return m_backoff_until.load(std::memory_order_relaxed); }
    bool rests(Micros now) const { return backoff_until() > now; }

    /// The answer to a call that was sent at `sent` names how many requests a second the
    /// run takes from all daemons together, or nothing.  A limit holds until the answer to
    /// a call that was sent after it was heard names none: answers overtake each other.
    /// `connected_ms`: as for a rest.  True if that changes the limit.
    bool record_limit(std::optional<double> per_s, Micros sent, Micros now,
                      std::int64_t connected_ms = 0);
    /// An answer names a limit in a way that can't be read.  True the first time.
    bool record_unreadable_limit()
    {
        return !m_limit_unreadable.exchange(true, std::memory_order_relaxed);
    }
    /// What another daemon has heard, told with as little delay as kReportDelay.  True if
    /// that changes the limit.
    bool apply_limit_report(const LimitWord& word, Micros now);
    /// What there is to tell: the limit, or that it has ended, for kEndReportTime.
    std::optional<LimitWord> word(const UpstreamRun& run, Micros now) const;
    /// What this daemon may send of the run's limit.
    SharedRate& limit() { return m_limit; }
    const SharedRate& limit() const { return m_limit; }

    /// A run that leaves has ended by then; one that does not gets calls again.
    static constexpr Micros kMayBeLeavingTime = 30 * kSecond;
    /// Requests a second that a limit stands for at least.  One of 0 would leave no call
    /// that could tell of its end; so few stay within the excess that any limit allows.
    static constexpr double kMinLimitPerS = 0.05;
    static constexpr Micros kEndReportTime = 10 * kSecond;
    static constexpr Micros kReportDelay = 100 * kMillisecond;
    /// More than this is no limit: no upstream bears it.
    static constexpr double kMaxLimitPerS = 1e6;

private:
    void lower_limit(double per_s, Micros now);
    void end_limit(Micros sent);

    std::atomic<bool> m_leaving {false};
    std::atomic<Micros> m_leaving_received_at {0}; ///< the first time
    std::atomic<std::int64_t> m_leaving_connected_ms {0};
    std::atomic<Micros> m_may_be_leaving_until {0};
    std::atomic<Micros> m_backoff_until {0};
    std::atomic<std::int64_t> m_backoff_connected_ms {0};
    SharedRate m_limit;
    std::atomic<Micros> m_limit_received_at {0}; ///< last answer that named one
    std::atomic<std::int64_t> m_limit_connected_ms {0};
    std::atomic<bool> m_limit_unreadable {false};
    std::atomic<Micros> m_limit_ended_at {0}; ///< when the call was sent that found none
};

/// The reports of all runs, also of those that the platform lists no more: an entry lapses
/// while the store is away and comes back, and the run has not started again by that.
/// Not thread-safe.
class SelfReports {
public:
    /// `seed`: drawn by this daemon.
    explicit SelfReports(std::uint64_t seed = 0,
                         std::shared_ptr<const SharerCount> sharers = nullptr)
        : m_seed(seed)
        , m_sharers(std::move(sharers))
    {
    }

    /// The report of a run, a new one if there is none.
    std::shared_ptr<SelfReport> of(const UpstreamRun& run);
    /// A report that is kept by its upstream alone.
    std::shared_ptr<SelfReport> make_unregistered(std::uint64_t seed) const;
    /// The run is listed no more.  Its report is kept until so many others were unlisted
    /// after it.
    void unlist(const UpstreamRun& run);

    /// Runs that are listed no more and still known.  10,000 upstreams may be unlisted at a
    /// time when their entries lapse; each takes some 300 bytes.
    static constexpr std::size_t kMaxUnlisted = 16'384;

private:
    struct Known {
        std::shared_ptr<SelfReport> report;
        std::size_t unlisted = 0; ///< how often it stands in m_unlisted
        bool is_listed = true;
    };
    void evict_oldest();

    const std::uint64_t m_seed;
    const std::shared_ptr<const SharerCount> m_sharers;
    std::map<UpstreamRun, Known> m_known;
    std::deque<UpstreamRun> m_unlisted; ///< oldest first
};

} // namespace cypressford
