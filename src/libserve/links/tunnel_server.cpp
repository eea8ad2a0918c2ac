// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/links/tunnel_server.h"

#include <boost/asio/ip/tcp.hpp>

#include "libserve/links/tunnel_protocol.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Opened: the connection may be tried.
TunnelAnswer
TunnelServer::check(const std::string& address) const
{
    const bool is_unable = m_kernel.stopping.load() || m_connector.is_cut_off()
        || m_open >= kMaxTunnels || !m_kernel.upstreams.hall_at(address);
    return is_unable ? TunnelAnswer::PeerUnable : TunnelAnswer::Opened;
}

asio::awaitable<void>
TunnelServer::serve(HttpExchange& exchange)
{
    const std::string address = exchange.request().target;
    const TunnelForm form = tunnel_form(exchange.request().headers.get(kTunnelFormField));
    TunnelAnswer answer = check(address);
    tcp::socket upstream(m_io);
    ++m_open;
    if (answer == TunnelAnswer::Opened) {
        const PortState state = co_await m_connector.connect_directly(
            upstream, address, monotonic_us() + kConnectTimeout);
        if (state == PortState::Refused)
            answer = TunnelAnswer::UpstreamRefused;
        else if (state == PortState::Unresponsive)
            answer = TunnelAnswer::UpstreamUnresponsive;
        if (state != PortState::Open)
            m_connector.record_failure(address, state);
        // The failure may be the one that shows that this daemon is cut off as well.
        if (m_connector.is_cut_off())
            answer = TunnelAnswer::PeerUnable;
    }
    const Micros began = monotonic_us();
    if (answer == TunnelAnswer::Opened) {
        boost::system::error_code ignored;
        upstream.set_option(tcp::no_delay(true), ignored);
        m_kernel.served_tunnels.fetch_add(1, std::memory_order_relaxed);
        co_await exchange.tunnel(std::move(upstream), form);
        m_kernel.served_tunnels.fetch_sub(1, std::memory_order_relaxed);
        LogEvent("tunnel_end")
            .kv("upstream", address)
            .kv("open", m_open)
            .kv("us", monotonic_us() - began);
    } else {
        LogEvent("tunnel_refused")
            .kv("upstream", address)
            .kv("why", to_string(answer))
            .kv("open", m_open);
        co_await exchange.respond(tunnel_failure(answer));
    }
    --m_open;
}

} // namespace cypressford
