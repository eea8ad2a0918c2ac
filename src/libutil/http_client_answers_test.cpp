// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Answers that come in place of a later one.
///
/// Failure guarded against: the answer to an earlier call is taken for that of the next
/// call on the connection, and so on for all calls after it.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http_client.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::int64_t kDeadlineUs = 300'000;

/// Sends, for each request on a connection, the next of these texts.
class ScriptedServer {
public:
    ScriptedServer(asio::io_context& io, std::vector<std::string> answers)
        : m_io(io)
        , m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answers(std::move(answers))
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
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
        std::string request;
        while (m_next < m_answers.size()) {
            auto [ec, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(request), "\r\n\r\n",
                asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            request.erase(0, size);
            const std::string answer = m_answers[m_next++];
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
        // The connection stays open.
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::as_tuple(asio::use_awaitable));
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    const std::vector<std::string> m_answers;
    std::size_t m_next = 0;
    int m_accepted = 0;
};

std::string
answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// Bodies of the answers to calls one after the other; "lost" for a call without one.  An
/// answer that was taken before is skipped; one with body "unknown" ends its connection.
std::vector<std::string>
call_in_turn(std::size_t calls, std::vector<std::string> answers, int& connections)
{
    asio::io_context io;
    ScriptedServer server(io, std::move(answers));
    HttpClient client(io);
    std::vector<std::string> bodies;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            while (bodies.size() < calls) {
                CallOptions options;
                options.deadline_us = monotonic_us() + kDeadlineUs;
                options.resend_if_stale = false;
                options.judge_answer = [&](const HttpResponse& response) {
                    if (response.body == "unknown")
                        return AnswerUse::TakeAndClose;
                    const bool is_old
                        = std::find(bodies.begin(), bodies.end(), response.body)
                        != bodies.end();
                    return is_old ? AnswerUse::Skip : AnswerUse::Take;
                };
                HttpRequest request;
                const CallResult result = co_await client.call(
                    server.address(), std::move(request), std::move(options));
                const bool answered = result.status == CallStatus::Answered;
                bodies.push_back(answered ? result.response.body : "lost");
            }
            io.stop();
        },
        asio::detached);
    io.run();
    connections = server.accepted();
    return bodies;
}

TEST_CASE("an answer to an earlier call is skipped, and its connection is not used again")
{
    int connections = 0;
    const auto bodies = call_in_turn(
        3, {answer("a"), answer("a") + answer("b"), answer("c")}, connections);
    CHECK(bodies == std::vector<std::string> {"a", "b", "c"});
    CHECK(connections == 2);
}

TEST_CASE("without the call's own answer the call is lost")
{
    int connections = 0;
    const auto bodies
        = call_in_turn(3, {answer("a"), answer("a"), answer("c")}, connections);
    CHECK(bodies == std::vector<std::string> {"a", "lost", "c"});
    CHECK(connections == 2);
}

TEST_CASE("the connection of an answer that can't be recognized is not used again")
{
    int connections = 0;
    const auto bodies
        = call_in_turn(3, {answer("unknown"), answer("b"), answer("c")}, connections);
    CHECK(bodies == std::vector<std::string> {"unknown", "b", "c"});
    CHECK(connections == 2);
}

/// An answer that names its call.
std::string
answer_to(const std::string& call, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nCall: " + call
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What calls "0", "1", ... receive chunk by chunk; "lost" for a call that is lost.
std::vector<std::string>
stream_in_turn(std::vector<std::string> answers, int& connections)
{
    asio::io_context io;
    const std::size_t calls = answers.size();
    ScriptedServer server(io, std::move(answers));
    HttpClient client(io);
    std::vector<std::string> received;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            while (received.size() < calls) {
                const std::string name = std::to_string(received.size());
                std::string chunks;
                CallOptions options;
                options.deadline_us = monotonic_us() + kDeadlineUs;
                options.resend_if_stale = false;
                options.judge_head = [&name](const HttpResponse& head) {
                    return head.headers.get("Call") == name ? HeadUse::Take : HeadUse::Skip;
                };
                options.on_head = [&chunks](const HttpResponse&) { chunks += "|"; };
                options.on_chunk = [&chunks](std::string_view text) { chunks += text; };
                HttpRequest request;
                const CallResult result = co_await client.call(
                    server.address(), std::move(request), std::move(options));
                const bool answered = result.status == CallStatus::Answered;
                received.push_back(answered ? chunks : "lost");
            }
            io.stop();
        },
        asio::detached);
    io.run();
    connections = server.accepted();
    return received;
}

TEST_CASE("a call waits for its own answer behind a late one that names another call")
{
    int connections = 0;
    const std::string late = answer_to("0", "a");
    const auto received = stream_in_turn(
        {late, late + answer_to("1", "b"), answer_to("2", "c")}, connections);
    CHECK(received == std::vector<std::string> {"|a", "|b", "|c"});
    CHECK(connections == 2);
}

TEST_CASE("a call is lost behind more late answers than an upstream may send")
{
    int connections = 0;
    const std::string late = answer_to("0", "a");
    const auto received = stream_in_turn(
        {late, late + late + answer_to("1", "b"), answer_to("2", "c")}, connections);
    CHECK(received == std::vector<std::string> {"|a", "lost", "|c"});
    CHECK(connections == 2);
}

/// Refuses the first call of all, and sends the refusal again before the next answer on the
/// same connection.
class RefusingServer {
public:
    explicit RefusingServer(asio::io_context& io)
        : m_io(io)
        , m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
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
        std::string request;
        std::string late;
        for (;;) {
            auto [ec, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(request), "\r\n\r\n",
                asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            request.erase(0, size);
            const bool refuses = m_calls++ == 0;
            const std::string text = late + answer(refuses ? "refused" : "served");
            late = refuses ? text : "";
            co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    int m_accepted = 0;
    int m_calls = 0;
};

TEST_CASE("a call is not sent on a connection that it avoids, which serves other calls")
{
    asio::io_context io;
    RefusingServer server(io);
    HttpClient client(io);
    std::vector<std::string> bodies;
    std::vector<std::uint64_t> connections;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (int call = 0; call < 3; ++call) {
                CallOptions options;
                options.deadline_us = monotonic_us() + kDeadlineUs;
                options.avoided_connections = connections;
                HttpRequest request;
                const CallResult result = co_await client.call(
                    server.address(), std::move(request), std::move(options));
                bodies.push_back(result.response.body);
                connections.assign(1, call == 0 ? result.connection : 0);
            }
            io.stop();
        },
        asio::detached);
    io.run();
    CHECK(bodies == std::vector<std::string> {"refused", "served", "served"});
    CHECK(server.accepted() == 2);
}

} // namespace
} // namespace cypressford
