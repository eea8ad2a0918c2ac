// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node that is suspended for seconds.  With a clock that stops during suspension, an
/// expired deadline would stay in force for the length of the suspension, and queued
/// requests would be sent although their callers no longer wait.

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
constexpr std::chrono::milliseconds kTick {5}; ///< period of another timer

/// Makes the io_context check its timers regularly, as the timers of a daemon do.
asio::awaitable<void>
tick(asio::io_context& io)
{
    BootTimer timer(io);
    for (;;) {
        timer.expires_after(kTick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

TEST_CASE("the clock advances while the node is suspended")
{
    const std::int64_t before = monotonic_us();
    BootClock::suspend_for_test(kSuspension);
    const auto passed = std::chrono::microseconds(monotonic_us() - before);
    CHECK(passed >= kSuspension);
    CHECK(passed < kSuspension + std::chrono::seconds(20));
}

TEST_CASE("a timer that expires in a suspension completes with the shortest timer after it")
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

TEST_CASE("a call whose deadline passes in a suspension ends after the suspension")
{
    asio::io_context io;
    asio::co_spawn(io, tick(io), asio::detached);
    // Accepts the connection at the TCP level and never answers.
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
    CHECK_FALSE(result.closed_by_peer);
}

} // namespace
} // namespace cypressford
