// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/links/tunnel_protocol.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "libutil/hybrid_clock.h"
#include "libutil/socket_watchdog.h"

namespace cypressford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// A reachable node, even of another hall, accepts a connection in a few milliseconds.
constexpr Micros kPeerConnectTimeout = 80 * kMillisecond;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr const char* kReasonField = "Tunnel-Failure";

BootClock::time_point
time_point_of(Micros monotonic)
{
    return BootClock::time_point(BootClock::duration(monotonic));
}

TunnelAnswer
answer_of(unsigned status, std::string_view reason)
{
    if (status == kOk)
        return TunnelAnswer::Opened;
    if (status == kUnavailable)
        return TunnelAnswer::PeerUnable;
    if (status != kBadGateway)
        return TunnelAnswer::Unsupported;
    return reason == to_string(TunnelAnswer::UpstreamRefused)
        ? TunnelAnswer::UpstreamRefused
        : TunnelAnswer::UpstreamUnresponsive;
}

} // namespace

HttpResponse
tunnel_failure(TunnelAnswer answer)
{
    HttpResponse response;
    response.status = answer == TunnelAnswer::PeerUnable ? kUnavailable : kBadGateway;
    response.headers.add(kReasonField, std::string(to_string(answer)));
    return response;
}

TunnelForm
tunnel_form(std::string_view field)
{
    return field == kTunnelFrames ? TunnelForm::Frames : TunnelForm::Bytes;
}

asio::awaitable<TunnelResult>
open_tunnel(tcp::socket& socket, std::string peer, std::string address, Micros deadline)
{
    const Address parsed = parse_address(peer);
    const tcp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    SocketWatchdog watchdog(socket, SocketWatchdog::Action::Close);
    watchdog.arm(time_point_of(std::min(deadline, monotonic_us() + kPeerConnectTimeout)));
    auto [connect_error] = co_await socket.async_connect(endpoint, kToTuple);
    if (connect_error)
        co_return TunnelResult {};
    watchdog.arm(time_point_of(deadline));
    http::request<http::empty_body> request(http::verb::connect, address, 11);
    request.set(http::field::host, address);
    request.set(kTunnelFormField, kTunnelFrames);
    auto [write_error, written] = co_await http::async_write(socket, request, kToTuple);
    if (write_error)
        co_return TunnelResult {};
    beast::flat_buffer buffer;
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    auto [ec, read] = co_await http::async_read_header(socket, buffer, parser, kToTuple);
    if (ec)
        co_return TunnelResult {};
    const auto& answer = parser.get();
    TunnelResult result {answer_of(answer.result_int(), answer[kReasonField]),
                         tunnel_form(answer[kTunnelFormField])};
    // Before a request, an upstream only sends the end of its connection.
    if (result.answer == TunnelAnswer::Opened && buffer.size() > 0)
        result.answer = TunnelAnswer::UpstreamUnresponsive;
    co_return result;
}

} // namespace cypressford
