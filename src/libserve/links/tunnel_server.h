// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "libserve/kernel.h"
#include "libserve/links/upstream_connector.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Opens connections to upstreams for daemons that are cut off from them.  It connects
/// directly only, so that bytes pass through one daemon at most.  Lives on one thread.
class TunnelServer {
public:
    TunnelServer(boost::asio::io_context& io, Kernel& kernel, UpstreamConnector& connector)
        : m_io(io)
        , m_kernel(kernel)
        , m_connector(connector)
    {
    }

    /// Answers a CONNECT request; completes when the tunnel ends.
    boost::asio::awaitable<void> serve(HttpExchange& exchange);

    /// Tunnels for other daemons that are open.
    int open() const { return m_open; }

    /// Each takes two descriptors and two buffers of 8 KB; nodes have 4,100 descriptors and
    /// 120 MB or more.
    static constexpr int kMaxTunnels = 512;
    /// Time that a connection to the upstream may take.
    static constexpr Micros kConnectTimeout = 150 * kMillisecond;

private:
    TunnelAnswer check(const std::string& address) const;

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    UpstreamConnector& m_connector;
    int m_open = 0;
};

} // namespace cypressford
