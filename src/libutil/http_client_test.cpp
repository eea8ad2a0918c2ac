// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http_client.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::int64_t kMs = 1000; ///< microseconds
constexpr std::int64_t kLong = 60'000 * kMs;
constexpr int kPieces = 20;

/// Takes one connection and answers its request with kPieces bytes, a pause before each
/// but the first `at_once`.
class SlowSender {
public:
    SlowSender(asio::io_context& io, std::chrono::milliseconds pause, int at_once)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_timer(io)
        , m_pause(pause)
        , m_at_once(at_once)
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> serve()
    {
        tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
        for (int piece = 0; piece < kPieces; ++piece) {
            if (piece >= m_at_once) {
                m_timer.expires_after(m_pause);
                co_await m_timer.async_wait(asio::use_awaitable);
            }
            co_await asio::async_write(socket, asio::buffer("x", 1), asio::use_awaitable);
        }
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    const std::chrono::milliseconds m_pause;
    const int m_at_once;
};

CallResult
call(std::chrono::milliseconds pause, int at_once, const CallOptions& options)
{
    asio::io_context io;
    SlowSender sender(io, pause, at_once);
    HttpClient client(io);
    CallResult result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            result = co_await client.call(sender.address(), std::move(request), options);
            io.stop();
        },
        asio::detached);
    io.run();
    return result;
}

CallOptions
patient(std::int64_t deadline, BodyPatience body)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + deadline;
    options.body = body;
    return options;
}

TEST_CASE("a body whose bytes keep coming outlasts the call's deadline")
{
    // The body takes four times the deadline at least.
    const auto result
        = call(std::chrono::milliseconds(100), 0, patient(500 * kMs, {kLong, kLong}));
    CHECK(result.status == CallStatus::Answered);
    CHECK(result.response.body.size() == kPieces);
}

TEST_CASE("without patience for the body the deadline holds for all of it")
{
    const auto result
        = call(std::chrono::milliseconds(100), 0, patient(500 * kMs, BodyPatience {}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() < kPieces);
}

TEST_CASE("a body that stops ends the call, with what came")
{
    const auto result = call(std::chrono::milliseconds(kLong / kMs), 7,
                             patient(kLong, {200 * kMs, kLong}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() == 7);
}

TEST_CASE("a body that comes a byte now and then ends at its limit")
{
    const auto result
        = call(std::chrono::milliseconds(100), 0, patient(kLong, {kLong, 500 * kMs}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() < kPieces);
}

} // namespace
} // namespace cypressford
