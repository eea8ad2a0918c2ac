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

/// What the hall knows of its upstreams: asks those that fall to this daemon for
/// their load, reads the node list if that falls to it, and keeps the newest
/// report on each, from whichever daemon.  Lives on the control thread.
class UpstreamWatch {
public:
    /// The newest report on an upstream.
    struct Observation {
        std::uint64_t id = 0; ///< hash of the address, as peers name it
        LoadReport report;
        Micros at = 0; ///< when it was made, by our clock
        Micros changed = 0; ///< when we learnt news of it
    };
    /// True if a task of this name falls to this daemon.
    using Chosen = std::function<bool(const std::string& task, int count)>;
    /// Called when an upstream is found to be leaving.
    using Leaving = std::function<void()>;

    UpstreamWatch(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                  Chosen chosen, Leaving leaving);

    void start();

    /// Takes a report from a peer.
    void observe(std::uint64_t id, const LoadReport& report, Micros at);

    /// Finds upstreams that told a worker, in an answer, that they are leaving.
    void spread_marks();

    /// What to tell a peer: upstreams that are leaving, then the newest news
    /// since that time, no more than `limit` in all.
    std::vector<const Observation*> news(Micros since, std::size_t limit) const;

private:
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> ask(std::shared_ptr<UpstreamState> upstream,
                                     const UpstreamKind& kind);
    void learn(const std::shared_ptr<UpstreamState>& upstream, const LoadReport& report,
               Micros at, const char* source);
    void refresh_names(const Snapshot& snapshot);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    Chosen m_chosen;
    Leaving m_leaving;
    HttpClient m_client;
    std::map<std::uint64_t, Observation> m_observations;
    std::map<std::uint64_t, std::shared_ptr<UpstreamState>> m_by_id;
    std::uint64_t m_named_generation = 0;
};

} // namespace cypressford
