// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <boost/asio/as_tuple.hpp>
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

constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kLongUs = 60'000 * kUsPerMs; ///< longer than any test case
constexpr int kBodyBytes = 20;

/// Accepts one connection and answers its request with kBodyBytes bytes, with a pause
/// before each byte except the first `bytes_at_once`.
class SlowServer {
public:
    SlowServer(asio::io_context& io, std::chrono::milliseconds pause, int bytes_at_once)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_timer(io)
        , m_pause(pause)
        , m_bytes_at_once(bytes_at_once)
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
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(kBodyBytes) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
        for (int i = 0; i < kBodyBytes; ++i) {
            if (i >= m_bytes_at_once) {
                m_timer.expires_after(m_pause);
                co_await m_timer.async_wait(asio::use_awaitable);
            }
            co_await asio::async_write(socket, asio::buffer("x", 1), asio::use_awaitable);
        }
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    const std::chrono::milliseconds m_pause;
    const int m_bytes_at_once;
};

CallResult
call(std::chrono::milliseconds pause, int bytes_at_once, const CallOptions& options)
{
    asio::io_context io;
    SlowServer server(io, pause, bytes_at_once);
    HttpClient client(io);
    CallResult result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            result = co_await client.call(server.address(), std::move(request), options);
            io.stop();
        },
        asio::detached);
    io.run();
    return result;
}

CallOptions
with_timeouts(std::int64_t deadline, BodyTimeouts body)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + deadline;
    options.body = body;
    return options;
}

TEST_CASE("a body whose bytes keep arriving may outlast the call's deadline")
{
    // The body takes at least four times the deadline.
    const auto result = call(std::chrono::milliseconds(100), 0,
                             with_timeouts(500 * kUsPerMs, {kLongUs, kLongUs}));
    CHECK(result.status == CallStatus::Answered);
    CHECK(result.response.body.size() == kBodyBytes);
}

TEST_CASE("without body timeouts the deadline covers the whole body")
{
    const auto result = call(std::chrono::milliseconds(100), 0,
                             with_timeouts(500 * kUsPerMs, BodyTimeouts {}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() < kBodyBytes);
}

TEST_CASE("a body that stalls ends the call and leaves the received part")
{
    const auto result = call(std::chrono::milliseconds(kLongUs / kUsPerMs), 7,
                             with_timeouts(kLongUs, {200 * kUsPerMs, kLongUs}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() == 7);
}

TEST_CASE("a body that arrives byte by byte ends at its overall limit")
{
    const auto result = call(std::chrono::milliseconds(100), 0,
                             with_timeouts(kLongUs, {kLongUs, 500 * kUsPerMs}));
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.response.body.size() < kBodyBytes);
}

/// Answers each request at once, until stall_open_connections(): after it, no request on a
/// connection that was open before is answered.
class StallingServer {
public:
    explicit StallingServer(asio::io_context& io)
        : m_io(io)
        , m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    void stall_open_connections() { ++m_generation; }
    int accepted() const { return m_accepted; }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++m_accepted;
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        const int generation = m_generation;
        std::string bytes(4096, ' ');
        for (;;) {
            auto [ec, size] = co_await socket.async_read_some(
                asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            if (generation == m_generation)
                co_await asio::async_write(
                    socket,
                    asio::buffer(
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                    asio::use_awaitable);
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    int m_generation = 0;
    int m_accepted = 0;
};

TEST_CASE("one unresponsive connection closes all idle connections to the address")
{
    asio::io_context io;
    StallingServer server(io);
    HttpClient client(io);
    const auto call_server = [&]() -> asio::awaitable<CallResult> {
        HttpRequest request;
        CallOptions options;
        options.deadline_us = monotonic_us() + 300 * kUsPerMs;
        co_return co_await client.call(server.address(), std::move(request), options);
    };
    constexpr int kIdleConnections = 5;
    int answered = 0;
    CallResult first;
    CallResult second;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < kIdleConnections; ++i)
                asio::co_spawn(io, call_server(),
                               [&](const std::exception_ptr&, const CallResult& r) {
                                   answered += r.status == CallStatus::Answered ? 1 : 0;
                               });
            asio::steady_timer timer(io);
            while (answered < kIdleConnections) {
                timer.expires_after(std::chrono::milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            server.stall_open_connections();
            first = co_await call_server();
            second = co_await call_server();
            io.stop();
        },
        asio::detached);
    io.run();
    CHECK(server.accepted() == kIdleConnections + 1);
    CHECK(first.status == CallStatus::Lost);
    CHECK(second.status == CallStatus::Answered);
}

/// Calls a server that accepts one connection, reads the request and closes after `bytes`.
CallResult
call_closed_after(std::string_view bytes)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address
        = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            std::string read(4096, ' ');
            co_await socket.async_read_some(asio::buffer(read), asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        },
        asio::detached);
    HttpClient client(io);
    CallResult result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            result = co_await client.call(address, std::move(request),
                                          with_timeouts(kLongUs, {kLongUs, kLongUs}));
            io.stop();
        },
        asio::detached);
    io.run();
    return result;
}

TEST_CASE("a call distinguishes a close by the remote side from its own limit")
{
    for (const std::string_view bytes :
         {"", "HTTP/1.1 200 OK\r\nContent-",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}) {
        const CallResult result = call_closed_after(bytes);
        CHECK(result.status == CallStatus::Lost);
        CHECK(result.closed_by_peer);
    }
    const CallResult garbled = call_closed_after("this is no answer\r\n\r\n");
    CHECK(garbled.status == CallStatus::Lost);
    CHECK_FALSE(garbled.closed_by_peer);
    const CallResult slow = call(std::chrono::milliseconds(100), 0,
                                 with_timeouts(300 * kUsPerMs, BodyTimeouts {}));
    CHECK(slow.status == CallStatus::Lost);
    CHECK_FALSE(slow.closed_by_peer);
}

PortState
probe(const std::string& address)
{
    asio::io_context io;
    PortState state = PortState::Unresponsive;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            state = co_await probe_port(io, address, monotonic_us() + kLongUs);
        },
        asio::detached);
    io.run();
    return state;
}

TEST_CASE("a probe distinguishes an open port from a refused one")
{
    asio::io_context io;
    auto acceptor = std::make_unique<tcp::acceptor>(
        io, tcp::endpoint {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address
        = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
    CHECK(probe(address) == PortState::Open);
    acceptor.reset();
    CHECK(probe(address) == PortState::Refused);
    CHECK(probe("no address") == PortState::Unresponsive);
}

} // namespace
} // namespace cypressford
