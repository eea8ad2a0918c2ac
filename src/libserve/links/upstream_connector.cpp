// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/links/upstream_connector.h"

#include <algorithm>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/links/tunnel_protocol.h"
#include "libutil/boot_clock.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/socket_watchdog.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Peers that are asked for one connection, one after the other.
constexpr std::size_t kMaxPeersTried = 4;
/// Longest time for the answer of one peer: it waits up to TunnelServer::kConnectTimeout.
constexpr Micros kPeerTimeout = 300 * kMillisecond;
/// A reachable upstream, even of another hall, accepts a connection in a few milliseconds.
constexpr Micros kProbeTimeout = 250 * kMillisecond;
/// A direct connection that failed in less time than this without being refused is no
/// evidence: the call had no time left.  Less than TunnelServer::kConnectTimeout.
constexpr Micros kMinEvidenceTime = 140 * kMillisecond;

void
close(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

PortState
state_of(const boost::system::error_code& ec)
{
    if (!ec)
        return PortState::Open;
    const bool is_refused
        = ec == asio::error::connection_refused || ec == asio::error::connection_reset;
    return is_refused ? PortState::Refused : PortState::Unresponsive;
}

/// True if a peer that reaches other upstreams does not reach this one either.
bool
shows_upstream_down(TunnelAnswer answer)
{
    return answer == TunnelAnswer::UpstreamRefused
        || answer == TunnelAnswer::UpstreamUnresponsive;
}

} // namespace

asio::awaitable<ConnectResult>
UpstreamConnector::connect(tcp::socket& socket, ConnectRequest request)
{
    const bool was_cut_off = m_links.is_cut_off();
    if (was_cut_off) {
        ConnectResult through = co_await connect_through_peers(socket, request);
        if (through.connected || through.is_target_down || request.is_cancelled())
            co_return through;
    }
    // The peers may have taken the time of a direct connection.
    const Micros deadline = was_cut_off
        ? std::min(request.deadline_us, monotonic_us() + kProbeTimeout)
        : request.direct_deadline_us;
    const Micros began = monotonic_us();
    const PortState state = co_await connect_directly(socket, request.address, deadline);
    if (state == PortState::Open)
        co_return ConnectResult {true, {}, false};
    if (request.is_cancelled())
        co_return ConnectResult {};
    if (state == PortState::Refused || monotonic_us() - began >= kMinEvidenceTime)
        record_failure(request.address, state);
    if (was_cut_off || !m_links.is_cut_off())
        co_return ConnectResult {};
    co_return co_await connect_through_peers(socket, request);
}

asio::awaitable<PortState>
UpstreamConnector::connect_directly(tcp::socket& socket, std::string address,
                                    Micros deadline)
{
    const Address parsed = parse_address(address);
    const tcp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    SocketWatchdog watchdog(socket, SocketWatchdog::Action::Close);
    watchdog.arm(BootClock::time_point(BootClock::duration(deadline)));
    auto [ec] = co_await socket.async_connect(endpoint, kToTuple);
    watchdog.disarm();
    if (ec)
        close(socket);
    else
        record_connected(address);
    co_return state_of(ec);
}

asio::awaitable<ConnectResult>
UpstreamConnector::connect_through_peers(tcp::socket& socket, const ConnectRequest& request)
{
    const auto peers = m_kernel.tunnel_peers.load();
    const auto allowed = peers_allowed_for(request.address);
    std::vector<std::string> tried;
    while (peers && tried.size() < kMaxPeersTried && !request.is_cancelled()) {
        const Micros now = monotonic_us();
        const auto peer = m_peers.choose(*peers, tried, random_u64(), now, allowed);
        if (!peer || now >= request.deadline_us)
            break;
        tried.push_back(peer->address);
        const auto [answer, form]
            = co_await open_tunnel(socket, peer->address, request.address,
                                   std::min(request.deadline_us, now + kPeerTimeout));
        const bool is_cancelled = request.is_cancelled();
        if (answer == TunnelAnswer::Opened || !is_cancelled)
            m_peers.record(peer->address, answer, monotonic_us());
        LogEvent("tunnel", LogLevel::Debug)
            .kv("upstream", request.address)
            .kv("peer", peer->address)
            .kv("answer", to_string(answer))
            .kv("us", monotonic_us() - now);
        if (answer == TunnelAnswer::Opened) {
            m_kernel.open_tunnels.fetch_add(1, std::memory_order_relaxed);
            // The peer reaches an upstream that this daemon may reach again as well.
            begin_probe(request.address);
            co_return ConnectResult {true, peer->address, false, form};
        }
        close(socket);
        if (shows_upstream_down(answer))
            co_return ConnectResult {false, {}, true};
    }
    co_return ConnectResult {};
}

/// A request that may be processed in some regions only passes through these only: its
/// upstream is in one of them.
TunnelPeerChoice::Allowed
UpstreamConnector::peers_allowed_for(const std::string& address) const
{
    const auto& regions = m_kernel.settings.hall_regions;
    const auto hall = m_kernel.upstreams.hall_at(address);
    if (regions.empty() || !hall)
        return {};
    const auto region_of = [&regions](const std::string& of) {
        const auto region = regions.find(of);
        return region == regions.end() ? std::string() : region->second;
    };
    return [region_of, region = region_of(*hall)](const TunnelPeer& peer) {
        return region_of(peer.hall) == region;
    };
}

bool
UpstreamConnector::may_reuse(const std::string& via) const
{
    // In some cuts, bytes sent on open direct connections are lost.
    if (via.empty() || !m_links.is_cut_off())
        return via.empty() && !m_links.is_cut_off();
    const auto peers = m_kernel.tunnel_peers.load();
    return peers && find_peer(*peers, via) != nullptr;
}

void
UpstreamConnector::record_answer()
{
    m_links.record_answer(monotonic_us());
}

void
UpstreamConnector::on_closed(const std::string& via)
{
    m_peers.record_closed(via);
    m_kernel.open_tunnels.fetch_sub(1, std::memory_order_relaxed);
}

/// Silence of one upstream is common; if no upstream answers, a new connection shows
/// whether the link is the cause.
void
UpstreamConnector::on_silence(const std::string& address)
{
    if (m_links.is_silent_since(monotonic_us() - kSilenceUs))
        begin_probe(address);
}

void
UpstreamConnector::begin_probe(std::string address)
{
    if (m_links.take_probe(monotonic_us()))
        spawn_task(m_io, "upstream_probe", probe(std::move(address)));
}

asio::awaitable<void>
UpstreamConnector::probe(std::string address)
{
    tcp::socket socket(m_io);
    const PortState state
        = co_await connect_directly(socket, address, monotonic_us() + kProbeTimeout);
    if (state != PortState::Open)
        record_failure(address, state);
}

void
UpstreamConnector::record_connected(const std::string& address)
{
    const Micros now = monotonic_us();
    if (m_links.is_cut_off())
        LogEvent("upstream_links_restored", LogLevel::Warn)
            .kv("upstream", address)
            .kv("tunnels", m_peers.open())
            .kv("us", now - m_links.cut_at());
    m_links.record_connected(address, now);
    m_kernel.is_cut_off.store(false, std::memory_order_relaxed);
}

void
UpstreamConnector::record_failure(const std::string& address, PortState state)
{
    if (m_links.is_cut_off())
        return;
    m_links.record_failure(address, monotonic_us());
    if (m_links.is_cut_off()) {
        m_kernel.is_cut_off.store(true, std::memory_order_relaxed);
        const auto peers = m_kernel.tunnel_peers.load();
        LogEvent("upstream_links_cut", LogLevel::Warn)
            .kv("upstream", address)
            .kv("port", to_string(state))
            .kv("peers", peers ? peers->size() : 0);
    } else if (const auto other = m_links.other_upstream(address)) {
        // Shows at once whether the link or the upstream is the cause.
        spawn_task(m_io, "upstream_probe", probe(*other));
    }
}

} // namespace cypressford
