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

#include <cypressford/bundle.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

/// Binds all senders of this daemon until the run ends: the platform's list may be minutes
/// behind (the store away), and one that turned a call away for want of room gets more of
/// them by each sender that doesn't know.  Lock-free.
class SelfReport {
public:
    /// The run is leaving; it can't take that back.
    void note_leaving() { m_leaves.store(true, std::memory_order_relaxed); }
    bool leaves() const { return m_leaves.load(std::memory_order_relaxed); }

    /// The run wants nothing from this daemon until then.  Of several, the latest counts.
    /// `heard_ms`: this daemon's time of day; 0: not known.
    void note_rest(Micros until, std::int64_t heard_ms = 0);
    /// Takes over a rest that `before`, a run of the same upstream, may not have asked for
    /// itself: answers name no run, and the next one, which started at `born`, answers
    /// before the platform's list tells of it.
    void inherit_rest(const SelfReport& before, std::int64_t born);
    Micros rests_until() const { return m_rests_until.load(std::memory_order_relaxed); }
    bool rests(Micros now) const { return rests_until() > now; }

private:
    std::atomic<bool> m_leaves {false};
    std::atomic<Micros> m_rests_until {0};
    std::atomic<std::int64_t> m_rest_heard_ms {0};
};

/// The reports of all runs, also of those that the platform lists no more: an entry lapses
/// while the store is away and comes back, and the run has not started again by that.
/// Not thread-safe.
class SelfReports {
public:
    /// The report of a run, a new one if there is none.
    std::shared_ptr<SelfReport> of(const UpstreamRun& run);
    /// The run is listed no more.  Its report is kept until so many others were unlisted
    /// after it.
    void unlist(const UpstreamRun& run);

    /// Runs that are listed no more and still known.  10,000 upstreams may be unlisted at a
    /// time when their entries lapse; each takes some 200 bytes.
    static constexpr std::size_t kUnlisted = 16'384;

private:
    struct Known {
        std::shared_ptr<SelfReport> report;
        std::size_t unlisted = 0; ///< how often it stands in m_unlisted
        bool is_listed = true;
    };
    void forget_oldest();

    std::map<UpstreamRun, Known> m_known;
    std::deque<UpstreamRun> m_unlisted; ///< oldest first
};

} // namespace cypressford
