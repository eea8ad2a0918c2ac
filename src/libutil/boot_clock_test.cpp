// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node that is suspended for seconds.  By a clock that stands still meanwhile, a
/// deadline that is over holds on for as long, and what waited is sent though nobody wants
/// it.

#include "boot_clock.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http_client.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kSuspension {40};
constexpr std::chrono::milliseconds kTick {5}; ///< of some other timer of the io_context

/// Keeps the io_context looking at its timers, as each of a daemon's does.
asio::awaitable<void>
tick(asio::io_context& io)
{
    BootTimer timer(io);
    for (;;) {
        timer.expires_after(kTick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

TEST_CASE("time goes on while the node is suspended")
{
    const std::int64_t before = monotonic_us();
    BootClock::suspend_for_test(kSuspension);
    const auto passed = std::chrono::microseconds(monotonic_us() - before);
    CHECK(passed >= kSuspension);
    CHECK(passed < kSuspension + std::chrono::seconds(20));
}

TEST_CASE("a timer that ends in a suspension ends when the shortest one does")
{
    asio::io_context io;
    asio::co_spawn(io, tick(io), asio::detached);
    BootTimer timer(io);
    timer.expires_after(kSuspension);
    bool ended = false;
    timer.async_wait([&](const boost::system::error_code&) {
        ended = true;
        io.stop();
    });
    io.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(ended);
    BootClock::suspend_for_test(kSuspension);
    io.run_for(std::chrono::seconds(20));
    CHECK(ended);
}

TEST_CASE("a call whose deadline passes in a suspension ends after it")
{
    asio::io_context io;
    asio::co_spawn(io, tick(io), asio::detached);
    // Takes the connection and says nothing.
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    HttpClient client(io);
    CallResult result;
    bool ended = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            CallOptions options;
            options.deadline_us = monotonic_us() + BootClock::duration(kSuspension).count();
            HttpRequest request;
            result = co_await client.call(
                "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                std::move(request), options);
            ended = true;
            io.stop();
        },
        asio::detached);
    io.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(ended);
    BootClock::suspend_for_test(kSuspension);
    io.run_for(std::chrono::seconds(20));
    CHECK(ended);
    CHECK(result.status == CallStatus::Lost);
    CHECK_FALSE(result.closed_there);
}

} // namespace
} // namespace cypressford
