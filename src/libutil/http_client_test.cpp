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

/// Answers each request at once, but nothing more on connections that were open when it
/// went silent.
class GoesSilent {
public:
    explicit GoesSilent(asio::io_context& io)
        : m_io(io)
        , m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    void go_silent() { ++m_age; }
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
        const int age = m_age;
        std::string bytes(4096, ' ');
        for (;;) {
            auto [ec, size] = co_await socket.async_read_some(
                asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            if (age == m_age)
                co_await asio::async_write(
                    socket,
                    asio::buffer(
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                    asio::use_awaitable);
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    int m_age = 0;
    int m_accepted = 0;
};

TEST_CASE("one silent connection is enough to leave all that were kept to the address")
{
    asio::io_context io;
    GoesSilent server(io);
    HttpClient client(io);
    const auto ask = [&]() -> asio::awaitable<CallResult> {
        HttpRequest request;
        CallOptions options;
        options.deadline_us = monotonic_us() + 300 * kMs;
        co_return co_await client.call(server.address(), std::move(request), options);
    };
    constexpr int kept = 5;
    int answered = 0;
    CallResult first;
    CallResult second;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < kept; ++i)
                asio::co_spawn(io, ask(),
                               [&](const std::exception_ptr&, const CallResult& r) {
                                   answered += r.status == CallStatus::Answered ? 1 : 0;
                               });
            asio::steady_timer timer(io);
            while (answered < kept) {
                timer.expires_after(std::chrono::milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            server.go_silent();
            first = co_await ask();
            second = co_await ask();
            io.stop();
        },
        asio::detached);
    io.run();
    CHECK(server.accepted() == kept + 1);
    CHECK(first.status == CallStatus::Lost);
    CHECK(second.status == CallStatus::Answered);
}

/// Takes one connection, reads the request and closes, after `bytes` of an answer.
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
                                          patient(kLong, {kLong, kLong}));
            io.stop();
        },
        asio::detached);
    io.run();
    return result;
}

TEST_CASE("a call tells a close of the far side from its own limit")
{
    for (const std::string_view bytes :
         {"", "HTTP/1.1 200 OK\r\nContent-",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}) {
        const CallResult result = call_closed_after(bytes);
        CHECK(result.status == CallStatus::Lost);
        CHECK(result.closed_there);
    }
    const CallResult garbled = call_closed_after("this is no answer\r\n\r\n");
    CHECK(garbled.status == CallStatus::Lost);
    CHECK_FALSE(garbled.closed_there);
    const CallResult slow
        = call(std::chrono::milliseconds(100), 0, patient(300 * kMs, BodyPatience {}));
    CHECK(slow.status == CallStatus::Lost);
    CHECK_FALSE(slow.closed_there);
}

PortState
probe(const std::string& address)
{
    asio::io_context io;
    PortState state = PortState::Silent;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            state = co_await probe_port(io, address, monotonic_us() + kLong);
        },
        asio::detached);
    io.run();
    return state;
}

TEST_CASE("a probe tells a port where somebody listens from one where nobody does")
{
    asio::io_context io;
    auto acceptor = std::make_unique<tcp::acceptor>(
        io, tcp::endpoint {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address
        = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
    CHECK(probe(address) == PortState::Open);
    acceptor.reset();
    CHECK(probe(address) == PortState::Refused);
    CHECK(probe("no address") == PortState::Silent);
}

} // namespace
} // namespace cypressford
