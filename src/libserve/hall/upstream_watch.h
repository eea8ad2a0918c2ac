// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/platform.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// The hall's view of its upstreams: polls the load of the upstreams that are assigned to
/// this daemon, reads the node list if that is assigned to this daemon, and stores the
/// reports on each upstream, from any daemon.  Lives on the control thread.
class UpstreamWatch {
public:
    /// The state of the reports on an upstream.
    struct Observation {
        std::uint64_t id = 0; ///< hash of the address, as in messages of peers
        LoadReport report; ///< the last one with a significant change
        Micros reported_at = 0; ///< when the newest report was made, by this daemon's clock
        Micros changed_at = 0; ///< when `report` was received
    };
    /// True if the task of this name is assigned to this daemon.
    using IsChosen = std::function<bool(const std::string& task, int count)>;
    /// Called when a report shows for the first time that an upstream is leaving.
    using OnLeaving = std::function<void()>;

    UpstreamWatch(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                  IsChosen chosen, OnLeaving leaving);

    void start();

    /// Takes a report from a peer.
    void on_peer_report(std::uint64_t id, const LoadReport& report, Micros at);

    /// Records upstreams that have announced to a worker, in an answer, that they are
    /// leaving.
    void propagate_leaving_marks();

    /// Reports to send to a peer, in no particular order: on upstreams that are leaving,
    /// and changes since that time.  Of more than `limit` reports, upstreams that are
    /// leaving and then the newest changes are preferred.
    std::vector<const Observation*> recent_reports(Micros since, std::size_t limit) const;

private:
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> poll_loop();
    boost::asio::awaitable<void> poll(std::shared_ptr<UpstreamState> upstream,
                                      const UpstreamKind& kind);
    void record_report(const std::shared_ptr<UpstreamState>& upstream,
                       const LoadReport& report, Micros at, const char* source);
    void refresh_ids(const Snapshot& snapshot);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    IsChosen m_is_chosen;
    OnLeaving m_on_leaving;
    HttpClient m_client;
    std::map<std::uint64_t, Observation> m_observations;
    std::map<std::uint64_t, std::shared_ptr<UpstreamState>> m_by_id;
    std::uint64_t m_ids_generation = 0;
};

} // namespace cypressford
