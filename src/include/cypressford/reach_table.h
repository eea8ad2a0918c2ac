// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which upstreams of a set are unreachable, as reported by daemons to the leader of the
/// set.

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
/// In a large fleet, each daemon sends a given upstream a request only every few minutes.
/// While a hall is cut off or some upstreams have failed, no daemon alone would detect
/// this, and every request placed there would first cost a failed connection (250 ms).  An
/// entry can only cost time: an upstream that is avoided by mistake is retried after
/// kRetryInterval, and its first answer clears the entry.
class ReachTable {
public:
    /// After this many different upstreams of a hall have failed for the daemons of another
    /// hall without an answer in between, the hall is assumed to be cut off.  One or two
    /// failures may be due to the upstreams themselves.
    static constexpr std::size_t kHallFailureThreshold = 3;
    /// Between two trial requests to an avoided upstream or hall: two connection time-outs.
    static constexpr Micros kRetryInterval = 500 * kMillisecond;

    /// A request from a daemon of hall `from` could not be delivered to the upstream, or
    /// the upstream did not acknowledge it.
    void record_unreachable(const std::string& from, const UpstreamRun& run,
                            const std::string& hall, Micros now);
    /// The upstream started to answer a request from a daemon of hall `from`.
    void record_answer(const std::string& from, const UpstreamRun& run,
                       const std::string& hall);
    /// A request from a daemon of hall `from` is being sent to the upstream.
    void record_sent(const std::string& from, const UpstreamRun& run,
                     const std::string& hall, Micros now);

    /// True if a request from a daemon of hall `from` should go to another upstream.
    bool should_avoid(const std::string& from, const UpstreamRun& run,
                      const std::string& hall, Micros now) const;

private:
    /// Hall of the daemon, hall of the upstream.
    using HallPair = std::pair<std::string, std::string>;
    struct FailedRoute {
        std::set<UpstreamRun> failed; ///< since the last answer
        Micros retry_at = 0;

        bool is_open() const { return failed.size() >= kHallFailureThreshold; }
    };

    std::unordered_map<UpstreamRun, Micros, UpstreamRunHash>
        m_retry_at; ///< only of upstreams that failed
    std::map<HallPair, FailedRoute> m_failed_routes;
};

} // namespace cypressford
