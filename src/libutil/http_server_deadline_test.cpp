// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Failures guarded against: a busy thread leaves connections in its backlog for seconds; a
/// request that waited there, or whose body is late, gets its whole time from when it was
/// read; a caller that stops reading keeps an answer for as long as it likes.

#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "boot_clock.h"
#include "http_server.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::int64_t kMicrosPerMs = 1000;

/// A server on a thread of its own, and callers that block.
class ServerThread {
public:
    explicit ServerThread(HttpServer::Handler handler, HttpLimits limits = {},
                          HttpServer::BodyDeadline body_deadline = {})
        : m_server(m_io, limits, std::move(handler), [](ErrorKind kind) {
            HttpResponse response;
            response.status = error_row(kind).http_status;
            return response;
        })
    {
        m_server.set_body_deadline(std::move(body_deadline));
        const auto port = m_server.listen({"127.0.0.1", 0});
        REQUIRE(port);
        m_port = *port;
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~ServerThread()
    {
        m_io.stop();
        m_thread.join();
    }
    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    /// Keeps the server's thread from doing anything.
    void block(milliseconds time)
    {
        asio::post(m_io, [time] { std::this_thread::sleep_for(time); });
    }

    tcp::socket send(std::string_view text)
    {
        tcp::socket socket(m_callers);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_port});
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    /// All that arrives until the connection ends.
    static std::string read(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code ec;
        asio::read(socket, asio::dynamic_buffer(text), ec);
        return text;
    }

private:
    asio::io_context m_io;
    asio::io_context m_callers;
    HttpServer m_server;
    unsigned short m_port = 0;
    std::thread m_thread;
};

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// The system tells when data arrived in ticks of its clock, so a time counted from then
/// may seem longer by one tick than it is.
constexpr milliseconds kKernelTick {4};

milliseconds
elapsed_since(BootClock::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - start);
}

asio::awaitable<void>
respond_with_wait(HttpExchange& exchange)
{
    HttpResponse response;
    response.body
        = std::to_string((monotonic_us() - exchange.received_at()) / kMicrosPerMs);
    co_await exchange.respond(std::move(response));
}

TEST_CASE("the time that a request waited for a busy thread counts from its first byte")
{
    ServerThread server(respond_with_wait);
    server.block(milliseconds(600));
    std::this_thread::sleep_for(milliseconds(100));
    tcp::socket caller = server.send(kGet);
    const std::string answer = ServerThread::read(caller);
    const int waited_ms = std::stoi(answer.substr(answer.find("\r\n\r\n") + 4));
    CHECK(waited_ms >= 450);
    CHECK(waited_ms < 2000);
}

TEST_CASE("a body that is late is refused at the deadline of its request")
{
    const milliseconds deadline(300);
    ServerThread server(respond_with_wait, {},
                        [&](const HttpRequest& head, std::int64_t at) {
                            CHECK(head.path() == "/x");
                            return std::optional(at + deadline.count() * kMicrosPerMs);
                        });
    const auto start = BootClock::now();
    tcp::socket caller
        = server.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
    const std::string answer = ServerThread::read(caller);
    CHECK(answer.starts_with("HTTP/1.1 408"));
    CHECK(elapsed_since(start) >= deadline - kKernelTick);
    CHECK(elapsed_since(start) < deadline + milliseconds(500));
}

/// Sends a stream that is larger than the system's buffers, with a deadline for writes.
asio::awaitable<void>
stream_much(HttpExchange& exchange, milliseconds deadline, std::promise<bool>& written)
{
    exchange.set_write_deadline(monotonic_us() + deadline.count() * kMicrosPerMs);
    co_await exchange.begin_stream("text/plain");
    const bool is_written = co_await exchange.write(std::string(32 * 1024 * 1024, 'x'));
    const bool is_complete = is_written && co_await exchange.end();
    written.set_value(is_complete);
}

TEST_CASE("a caller that reads nothing is disconnected at the write deadline")
{
    const milliseconds deadline(400);
    std::promise<bool> written;
    std::future<bool> is_complete = written.get_future();
    ServerThread server(
        [&](HttpExchange& exchange) { return stream_much(exchange, deadline, written); });
    const auto start = BootClock::now();
    tcp::socket caller = server.send(kGet);
    constexpr int longest_ms = 3000;
    pollfd closed {caller.native_handle(), 0, 0};
    CHECK(::poll(&closed, 1, longest_ms) == 1);
    CHECK(elapsed_since(start) >= deadline);
    CHECK(elapsed_since(start) < deadline + milliseconds(500));
    REQUIRE(is_complete.wait_for(milliseconds(longest_ms)) == std::future_status::ready);
    CHECK_FALSE(is_complete.get());
}

TEST_CASE("a caller that goes on reading receives an answer past its write deadline")
{
    std::promise<bool> written;
    std::future<bool> is_complete = written.get_future();
    ServerThread server([&](HttpExchange& exchange) {
        return stream_much(exchange, milliseconds(50), written);
    });
    tcp::socket caller = server.send(kGet);
    std::vector<char> chunk(1024 * 1024);
    boost::system::error_code ec;
    std::size_t bytes = 0;
    while (!ec) {
        std::this_thread::sleep_for(milliseconds(10));
        bytes += caller.read_some(asio::buffer(chunk), ec);
    }
    CHECK(bytes > 32 * 1024 * 1024);
    CHECK(is_complete.get());
}

TEST_CASE("connections do not wait in the backlog of a thread that is busy with requests")
{
    constexpr int busy_requests = 20;
    constexpr int new_requests = 100;
    constexpr milliseconds step(5);
    constexpr milliseconds limit(1500);
    const auto start = BootClock::now();
    // Each busy request takes the thread for a step, again and again.
    ServerThread server([&](HttpExchange& exchange) -> asio::awaitable<void> {
        const bool is_busy = exchange.request().path() == "/busy";
        const auto executor = co_await asio::this_coro::executor;
        while (is_busy && elapsed_since(start) < 3 * limit) {
            std::this_thread::sleep_for(step);
            co_await asio::post(executor, asio::use_awaitable);
        }
        HttpResponse response;
        co_await exchange.respond(std::move(response));
    });
    std::vector<tcp::socket> busy;
    busy.reserve(busy_requests);
    for (int i = 0; i < busy_requests; ++i)
        busy.push_back(server.send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::this_thread::sleep_for(limit);
    const auto sent_at = BootClock::now();
    std::vector<tcp::socket> callers;
    callers.reserve(new_requests);
    for (int i = 0; i < new_requests; ++i)
        callers.push_back(server.send(kGet));
    for (tcp::socket& caller : callers)
        CHECK(ServerThread::read(caller).starts_with("HTTP/1.1 200"));
    CHECK(elapsed_since(sent_at) < limit);
}

} // namespace
} // namespace cypressford
