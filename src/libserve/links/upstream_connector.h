// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cypressford/upstream_links.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Opens connections to upstreams: directly, or, while this daemon is cut off from them,
/// through another daemon that reaches them.  Such a tunnel forwards bytes only, so
/// admission, limits, budgets, deadlines and the number of attempts stay with this daemon,
/// and a call that may run once is sent once.  Lives on one thread.
class UpstreamConnector final : public Connector {
public:
    UpstreamConnector(boost::asio::io_context& io, Kernel& kernel)
        : m_io(io)
        , m_kernel(kernel)
    {
    }

    boost::asio::awaitable<ConnectResult> connect(boost::asio::ip::tcp::socket& socket,
                                                  ConnectRequest request) override;
    bool may_reuse(const std::string& via) const override;
    void record_answer() override;
    void on_silence(const std::string& address) override;
    void on_closed(const std::string& via) override;

    /// Connects the socket directly; a connection shows that this daemon is not cut off.
    /// `deadline`: point in time.
    boost::asio::awaitable<PortState> connect_directly(boost::asio::ip::tcp::socket& socket,
                                                       std::string address,
                                                       Micros deadline);

    /// A direct connection to the upstream failed for another reason than the caller's.
    void record_failure(const std::string& address, PortState state);

    bool is_cut_off() const { return m_links.is_cut_off(); }

private:
    boost::asio::awaitable<ConnectResult>
    connect_through_peers(boost::asio::ip::tcp::socket& socket,
                          const ConnectRequest& request);
    TunnelPeerChoice::Allowed peers_allowed_for(const std::string& address) const;
    void record_connected(const std::string& address);
    void begin_probe(std::string address);
    boost::asio::awaitable<void> probe(std::string address);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    UpstreamLinks m_links;
    TunnelPeerChoice m_peers;
};

} // namespace cypressford
