// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages that never end, and interim answers.
///
/// Failures guarded against: a message part without a bound, such as a chunk's extension or
/// a trailer, takes all memory of the process; an interim answer is taken for the final
/// one.

#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http_client.h"
#include "http_server.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kDeadlineUs = 3000 * kUsPerMs;
/// A message that is bounded ends long before its deadline.
constexpr std::int64_t kSoonUs = kDeadlineUs / 2;
/// More than the sockets' buffers hold.
constexpr std::size_t kMaxSent = 64 * 1024 * 1024;
/// What the sockets' buffers hold, and more than the bound on any part of a message.
constexpr std::size_t kFewBytes = 16 * 1024 * 1024;
constexpr std::size_t kBlockBytes = 64 * 1024;

/// Repeats a text to about kBlockBytes bytes.
std::string
block_of(std::string_view text)
{
    std::string block;
    while (block.size() < kBlockBytes)
        block += text;
    return block;
}

/// Sends `head`, then `block` again and again until the other side closes.
asio::awaitable<std::size_t>
send_without_end(tcp::socket& socket, std::string head, std::string block)
{
    std::size_t sent = 0;
    auto [head_error, head_size]
        = co_await asio::async_write(socket, asio::buffer(head), kToTuple);
    while (!head_error && !block.empty() && sent < kMaxSent) {
        auto [ec, size] = co_await asio::async_write(socket, asio::buffer(block), kToTuple);
        sent += size;
        if (ec)
            break;
    }
    co_return sent;
}

struct AnswerEnd {
    CallResult result;
    std::size_t sent = 0;
    std::int64_t took_us = 0;
};

/// Calls an upstream that answers with `head` and then `block` without end.
AnswerEnd
call_upstream(const std::string& head, const std::string& block = {})
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    AnswerEnd end;
    tcp::socket socket(io);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            socket = co_await acceptor.async_accept(asio::use_awaitable);
            std::string request;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                            "\r\n\r\n", asio::use_awaitable);
            end.sent = co_await send_without_end(socket, head, block);
        },
        asio::detached);
    HttpClient client(io);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            const std::int64_t began = monotonic_us();
            CallOptions options;
            options.deadline_us = began + kDeadlineUs;
            const std::string address
                = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            HttpRequest request;
            end.result
                = co_await client.call(address, std::move(request), std::move(options));
            end.took_us = monotonic_us() - began;
            io.stop();
        },
        asio::detached);
    io.run();
    return end;
}

const std::string kChunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("a part of an answer that never ends ends the call")
{
    struct Shape {
        std::string head;
        std::string block;
    };
    for (const Shape& shape :
         {Shape {"HTTP/1.1 200 OK\r\nA: ", "x"}, Shape {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
          Shape {kChunkedAnswer + "4;x=", "y"}, Shape {kChunkedAnswer, "0"},
          Shape {kChunkedAnswer + "0\r\n", "T: x\r\n"},
          Shape {kChunkedAnswer + "0\r\nT: ", "x"},
          Shape {kChunkedAnswer + "4\r\nbody\r\n5;x=", "y"},
          Shape {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          Shape {"HTTP/1.1 103 Early Hints\r\nA: ", "x"}}) {
        CAPTURE(shape.head);
        CAPTURE(shape.block);
        const AnswerEnd end = call_upstream(shape.head, block_of(shape.block));
        CHECK(end.result.status == CallStatus::Lost);
        CHECK_FALSE(end.result.closed_by_peer);
        CHECK(end.took_us < kSoonUs);
        CHECK(end.sent < kFewBytes);
    }
}

TEST_CASE("interim answers are dropped, and the final answer counts")
{
    const std::string last = "HTTP/1.1 200 OK\r\nX: final\r\nContent-Length: 2\r\n\r\nok";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nX: interim\r\n\r\n";
    const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string several = "HTTP/1.1 100 Continue\r\n\r\n" + hints + hints;
    for (const std::string& interim : {hints, go_on, several}) {
        const AnswerEnd end = call_upstream(interim + last);
        CHECK(end.result.status == CallStatus::Answered);
        CHECK(end.result.response.status == 200);
        CHECK(end.result.response.headers.get("X") == "final");
        CHECK(end.result.response.body == "ok");
    }
}

TEST_CASE("an answer that switches protocols ends the call")
{
    const AnswerEnd end
        = call_upstream("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
    CHECK(end.result.status == CallStatus::Lost);
    CHECK(end.took_us < kSoonUs);
}

/// A server with one caller, whose connection stays open between steps.
class CallerAndServer {
public:
    explicit CallerAndServer(const HttpLimits& limits)
        : m_server(
            m_io, limits,
            [this](HttpExchange& exchange) -> asio::awaitable<void> {
                ++handled;
                body = exchange.request().body;
                HttpResponse response;
                co_await exchange.respond(std::move(response));
            },
            [](ErrorKind kind) {
                HttpResponse response;
                response.status = kind == ErrorKind::TooLarge ? 413 : 400;
                return response;
            })
        , m_socket(m_io)
    {
        const auto port = m_server.listen({"127.0.0.1", 0});
        REQUIRE(port);
        const tcp::endpoint server(asio::ip::make_address("127.0.0.1"), *port);
        run([this, server]() -> asio::awaitable<void> {
            co_await m_socket.async_connect(server, asio::use_awaitable);
        });
    }

    /// Sends bytes and returns the head of the answer; empty if there is none.
    std::string send(const std::string& head, const std::string& block = {})
    {
        std::string answer;
        const std::int64_t began = monotonic_us();
        run([&]() -> asio::awaitable<void> {
            sent = co_await send_without_end(m_socket, head, block);
            co_await asio::async_read_until(m_socket, asio::dynamic_buffer(answer),
                                            "\r\n\r\n", kToTuple);
        });
        took_us = monotonic_us() - began;
        return answer;
    }

    HttpServer& server() { return m_server; }

    int handled = 0; ///< requests
    std::string body; ///< of the last one
    std::size_t sent = 0; ///< bytes of blocks
    std::int64_t took_us = 0;

private:
    template <class F> void run(F step)
    {
        m_io.restart();
        asio::co_spawn(
            m_io,
            [&]() -> asio::awaitable<void> {
                co_await step();
                m_io.stop();
            },
            asio::detached);
        m_io.run();
    }

    asio::io_context m_io;
    HttpServer m_server;
    tcp::socket m_socket;
};

const std::string kChunkedRequest
    = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("a part of a request that never ends is refused")
{
    for (const auto& [head, text] :
         {std::pair(kChunkedRequest + "4;x=", "y"), std::pair(kChunkedRequest, "0"),
          std::pair(kChunkedRequest + "0\r\n", "T: x\r\n"),
          std::pair(kChunkedRequest + "0\r\nT: ", "x"),
          std::pair(std::string("POST / HTTP/1.1\r\nA: "), "x")}) {
        CAPTURE(head);
        CAPTURE(text);
        CallerAndServer both(HttpLimits {});
        const std::string answer = both.send(head, block_of(text));
        CHECK(both.handled == 0);
        CHECK(both.took_us < kSoonUs);
        CHECK(both.sent < kFewBytes);
    }
}

TEST_CASE("a refused caller that has stopped sending receives the refusal")
{
    CallerAndServer both(HttpLimits {});
    const std::string answer
        = both.send(kChunkedRequest + "4;x=" + std::string(256 * 1024, 'y'));
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(both.handled == 0);
}

TEST_CASE("a body whose bytes never pause is refused at its time limit")
{
    HttpLimits limits;
    limits.body_time = std::chrono::milliseconds(300);
    CallerAndServer both(limits);
    both.send(kChunkedRequest, block_of("1;" + std::string(8000, 'y') + "\r\nx\r\n"));
    CHECK(both.handled == 0);
    CHECK(both.took_us < kSoonUs);
}

TEST_CASE("a message with a transfer coding that is not decoded is not passed on")
{
    const AnswerEnd end
        = call_upstream("HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n"
                        "4\r\nmade\r\n0\r\n\r\n");
    CHECK(end.result.status == CallStatus::Lost);
    CHECK(end.took_us < kSoonUs);
    CallerAndServer both(HttpLimits {});
    CHECK(both.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"
                    "4\r\nbody\r\n0\r\n\r\n")
              .starts_with("HTTP/1.1 400"));
    CHECK(both.handled == 0);
}

TEST_CASE("a caller that waits for 100 Continue gets it before it sends the body")
{
    CallerAndServer both(HttpLimits {});
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n";
    CHECK(both.send(head + "Expect: 100-Continue\r\n\r\n")
          == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(both.send("body").starts_with("HTTP/1.1 200"));
    CHECK(both.body == "body");
}

TEST_CASE("an idle connection gets the limits that are in force when its request arrives")
{
    HttpLimits limits;
    limits.body_bytes = 4;
    CallerAndServer both(limits);
    CHECK(both.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 200"));
    limits.body_bytes = 8;
    both.server().set_limits(limits);
    CHECK(both.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678")
              .starts_with("HTTP/1.1 200"));
    CHECK(both.body == "12345678");
}

} // namespace
} // namespace cypressford
