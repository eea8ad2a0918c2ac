// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "splice.h"

#include <array>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cypressford {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 8 * 1024;

void
close(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

/// Forwards one direction until it ends.
asio::awaitable<void>
forward(tcp::socket& from, tcp::socket& to)
{
    std::array<char, kBufferBytes> buffer {};
    for (;;) {
        auto [read_error, size]
            = co_await from.async_read_some(asio::buffer(buffer), kToTuple);
        if (read_error)
            break;
        auto [write_error, written]
            = co_await asio::async_write(to, asio::buffer(buffer.data(), size), kToTuple);
        if (write_error)
            break;
    }
    // Ends the other direction as well.
    close(from);
    close(to);
}

/// Forwards the peer's bytes until they end.  Sets `is_reset` if the upstream has reset its
/// connection; what it sent before can still be read.
asio::awaitable<void>
forward_requests(tcp::socket& peer, tcp::socket& upstream, bool& is_reset)
{
    std::array<char, kBufferBytes> buffer {};
    for (;;) {
        auto [read_error, size]
            = co_await peer.async_read_some(asio::buffer(buffer), kToTuple);
        if (read_error)
            break;
        auto [write_error, written] = co_await asio::async_write(
            upstream, asio::buffer(buffer.data(), size), kToTuple);
        // The write takes the error from the system, so that the next read of the upstream
        // looks like an end in order.
        is_reset = write_error == asio::error::connection_reset
            || write_error == asio::error::broken_pipe;
        if (is_reset)
            co_return;
        if (write_error)
            break;
    }
    close(peer);
    close(upstream);
}

/// The frame for the result of a read; none for an end that has another cause than the
/// upstream.
std::optional<TunnelFrame>
frame_of(const boost::system::error_code& ec, bool is_reset)
{
    if (!ec)
        return TunnelFrame::Data;
    if (ec == asio::error::connection_reset || (ec == asio::error::eof && is_reset))
        return TunnelFrame::Reset;
    return ec == asio::error::eof ? std::optional(TunnelFrame::End) : std::nullopt;
}

asio::awaitable<void>
forward_in_frames(tcp::socket& upstream, tcp::socket& peer, const bool& is_reset)
{
    std::array<char, kBufferBytes> buffer {};
    for (;;) {
        auto [read_error, size]
            = co_await upstream.async_read_some(asio::buffer(buffer), kToTuple);
        const auto frame = frame_of(read_error, is_reset);
        if (!frame)
            break;
        const TunnelHead head = tunnel_head(*frame, size);
        const std::array<asio::const_buffer, 2> bytes {asio::buffer(head),
                                                       asio::buffer(buffer.data(), size)};
        auto [write_error, written] = co_await asio::async_write(peer, bytes, kToTuple);
        if (write_error || *frame != TunnelFrame::Data)
            break;
    }
    close(upstream);
    close(peer);
}

} // namespace

asio::awaitable<void>
splice(tcp::socket& peer, tcp::socket& upstream, TunnelForm form)
{
    using namespace asio::experimental::awaitable_operators;
    bool is_reset = false;
    if (form == TunnelForm::Bytes)
        co_await (forward(peer, upstream) && forward(upstream, peer));
    else
        co_await (forward_requests(peer, upstream, is_reset)
                  && forward_in_frames(upstream, peer, is_reset));
}

} // namespace cypressford
