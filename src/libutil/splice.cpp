// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "splice.h"

#include <array>

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

} // namespace

asio::awaitable<void>
splice(tcp::socket& left, tcp::socket& right)
{
    using namespace asio::experimental::awaitable_operators;
    co_await (forward(left, right) && forward(right, left));
}

} // namespace cypressford
