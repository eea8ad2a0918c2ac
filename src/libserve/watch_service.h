// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/platform.h>

#include "kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

class BundleService;

/// Learns about upstreams: asks them for their load, and reads the node list.
/// Lives on the control thread.
class WatchService {
public:
    WatchService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform);
    ~WatchService();

    Result<void> start(BundleService& bundles);

    /// Tells the hall that this daemon is stopping.
    void announce_stop();

private:
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> ask(std::shared_ptr<UpstreamState> upstream,
                                     const UpstreamKind& kind);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    HttpClient m_client;
};

} // namespace cypressford
