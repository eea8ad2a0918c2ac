// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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
constexpr std::int64_t kTestLimitUs = 5'000'000;

tcp::endpoint
endpoint_of(const std::string& address)
{
    const Address parsed = parse_address(address);
    return {asio::ip::make_address(parsed.ip), parsed.port};
}

/// Connects directly, or through a server that opens tunnels, as the test says.
class TestConnector final : public Connector {
public:
    asio::awaitable<ConnectResult> connect(tcp::socket& socket,
                                           ConnectRequest request) override
    {
        ++connects;
        const bool is_tunnel = !via.empty();
        const std::string target = is_tunnel ? via : request.address;
        auto [ec] = co_await socket.async_connect(endpoint_of(target), kToTuple);
        if (ec)
            co_return ConnectResult {};
        if (!is_tunnel)
            co_return ConnectResult {true, {}, false};
        const std::string text
            = "CONNECT " + request.address + " HTTP/1.1\r\nHost: x\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        std::string head;
        while (!head.ends_with("\r\n\r\n")) {
            char byte = 0;
            co_await asio::async_read(socket, asio::buffer(&byte, 1), asio::use_awaitable);
            head += byte;
        }
        co_return ConnectResult {head.starts_with("HTTP/1.1 200"), via, false};
    }
    bool may_reuse(const std::string& opened_via) const override
    {
        return opened_via == via;
    }
    void record_answer() override { ++answers; }
    void on_silence(const std::string& /*address*/) override { ++silences; }
    void on_closed(const std::string& /*via*/) override { ++closed; }

    std::string via; ///< address of the server that opens tunnels; empty: directly
    int connects = 0;
    int answers = 0;
    int silences = 0;
    int closed = 0;
};

/// An upstream, a server that opens tunnels to it, and a client of both.
class Links {
public:
    Links()
        : m_upstream(
            m_io, {}, [this](HttpExchange& exchange) { return answer(exchange); },
            [](ErrorKind) { return HttpResponse {}; })
        , m_intermediate(
              m_io, {}, [this](HttpExchange& exchange) { return open_tunnel(exchange); },
              [](ErrorKind) { return HttpResponse {}; })
        , m_client(m_io, &connector)
    {
        upstream = "127.0.0.1:" + std::to_string(*m_upstream.listen({"127.0.0.1", 0}));
        intermediate
            = "127.0.0.1:" + std::to_string(*m_intermediate.listen({"127.0.0.1", 0}));
    }

    CallResult call(CallOptions options = {})
    {
        CallResult result;
        options.deadline_us = monotonic_us() + kTestLimitUs;
        asio::co_spawn(
            m_io,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                request.target = "/hello";
                result = co_await m_client.call(upstream, std::move(request), options);
                m_io.stop();
            },
            asio::detached);
        m_io.run();
        m_io.restart();
        return result;
    }

    /// Lets the other side of closed connections see their end.
    void settle() { m_io.run_for(std::chrono::milliseconds(20)); }

    TestConnector connector;
    std::string upstream;
    std::string intermediate;
    std::chrono::milliseconds delay {0}; ///< of the upstream's answers
    int tunnels = 0; ///< that are open

private:
    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        asio::steady_timer timer(m_io, delay);
        co_await timer.async_wait(kToTuple);
        HttpResponse response;
        response.body = "answer to " + exchange.request().target;
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> open_tunnel(HttpExchange& exchange)
    {
        tcp::socket socket(m_io);
        co_await socket.async_connect(endpoint_of(exchange.request().target),
                                      asio::use_awaitable);
        ++tunnels;
        co_await exchange.tunnel(std::move(socket), TunnelForm::Bytes);
        --tunnels;
    }

    asio::io_context m_io;
    HttpServer m_upstream;
    HttpServer m_intermediate;
    HttpClient m_client;
};

} // namespace

TEST_CASE("a call through a tunnel gets the upstream's answer, and the tunnel is reused")
{
    Links links;
    links.connector.via = links.intermediate;
    for (int i = 0; i < 3; ++i) {
        const CallResult result = links.call();
        CHECK(result.status == CallStatus::Answered);
        CHECK(result.response.body == "answer to /hello");
    }
    CHECK(links.connector.connects == 1);
    CHECK(links.tunnels == 1);
    CHECK(links.connector.answers == 0);
}

TEST_CASE("a direct connection is kept during a cut, and not used before its end")
{
    Links links;
    CHECK(links.call().status == CallStatus::Answered);
    links.connector.via = links.intermediate;
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.connector.connects == 2);
    links.connector.via.clear();
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.connector.connects == 2);
    CHECK(links.connector.answers == 2);
}

TEST_CASE("idle tunnels are closed after a cut, so that the intermediate can stop")
{
    Links links;
    links.connector.via = links.intermediate;
    CHECK(links.call().status == CallStatus::Answered);
    links.connector.via.clear();
    links.delay = std::chrono::milliseconds(600);
    CHECK(links.call().status == CallStatus::Answered);
    links.delay = std::chrono::milliseconds(0);
    CHECK(links.call().status == CallStatus::Answered);
    links.settle();
    CHECK(links.tunnels == 0);
    CHECK(links.connector.closed == 1);
}

TEST_CASE("the end of a call closes its tunnel on both sides")
{
    Links links;
    links.connector.via = links.intermediate;
    links.delay = std::chrono::milliseconds(300);
    CallOptions options;
    options.handle = std::make_shared<CallHandle>();
    options.judge_head = [](const HttpResponse&) { return HeadUse::Refuse; };
    CHECK(links.call(options).status == CallStatus::Lost);
    links.settle();
    CHECK(links.tunnels == 0);
    CHECK(links.connector.closed == 1);
}

TEST_CASE("silence is reported on reused direct connections only")
{
    Links links;
    links.delay = std::chrono::milliseconds(Connector::kSilenceUs / 1000 + 200);
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.connector.silences == 0);
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.connector.silences == 1);
    links.connector.via = links.intermediate;
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.call().status == CallStatus::Answered);
    CHECK(links.connector.silences == 1);
}

TEST_CASE("nothing is sent if no way leads to the upstream")
{
    Links links;
    links.connector.via = "127.0.0.1:1";
    CHECK(links.call().status == CallStatus::NotSent);
    CHECK(links.connector.closed == 0);
}

} // namespace cypressford
