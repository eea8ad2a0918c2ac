// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which upstreams of a set are not to be had just now, by what the daemons that tried
/// them tell the one that leads the set.

#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include <cypressford/bundle.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

/// A circuit breaker for each upstream, and one for each pair of halls.
///
/// Answers the load of a large fleet while a hall is cut off or part of the upstreams goes
/// dark: each daemon sends an upstream a request in minutes, so that alone it never learns,
/// and every request that is placed there costs a failed connection (250 ms) first.  What
/// is believed here costs time only: an upstream that is avoided by mistake is tried again
/// after kTryPace, and its first answer clears it.
class ReachTable {
public:
    /// Upstreams of one hall that fail for the daemons of another, without an answer in
    /// between, after which that hall is taken for cut off: one or two may have died.
    static constexpr std::size_t kFailuresOfHall = 3;
    /// Between two requests that try what is avoided: two connections' time-outs.
    static constexpr Micros kTryPace = 500 * kMillisecond;

    /// A request from a daemon of hall `from` could not be given to the upstream, or it
    /// showed no sign of it.
    void record_unreachable(const std::string& from, const UpstreamRun& run,
                            const std::string& hall, Micros now);
    /// The upstream began to answer a request from a daemon of hall `from`.
    void note_answered(const std::string& from, const UpstreamRun& run,
                       const std::string& hall);
    /// A request from a daemon of hall `from` is sent to the upstream.
    void note_sent(const std::string& from, const UpstreamRun& run, const std::string& hall,
                   Micros now);

    /// True if a request from a daemon of hall `from` had better go elsewhere.
    bool avoids(const std::string& from, const UpstreamRun& run, const std::string& hall,
                Micros now) const;

private:
    /// From which hall to which.
    using Way = std::pair<std::string, std::string>;
    struct FailedWay {
        std::set<UpstreamRun> failed; ///< since the last answer
        Micros try_at = 0;

        bool is_open() const { return failed.size() >= kFailuresOfHall; }
    };

    std::unordered_map<UpstreamRun, Micros, UpstreamRunHash>
        m_try_at; ///< of those that failed
    std::map<Way, FailedWay> m_ways;
};

} // namespace cypressford
