// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "platform.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "upstream.h"

namespace cypressford::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxRecordsPerRead = 500;
constexpr int kMaxWaitMs = 10'000;

HttpLimits
platform_limits()
{
    HttpLimits limits;
    limits.connections = 5000;
    limits.body_bytes = 4 * 1024 * 1024;
    limits.idle_time = std::chrono::minutes(5);
    return limits;
}

std::int64_t
integer(std::string_view text, std::int64_t fallback)
{
    return text.empty() ? fallback : std::strtoll(std::string(text).c_str(), nullptr, 10);
}

} // namespace

Platform::Platform(asio::io_context& io, PlatformConfig config)
    : m_io(io)
    , m_config(std::move(config))
    , m_server(
          io, platform_limits(),
          [this](HttpExchange& exchange) { return dispatch(exchange); },
          [](ErrorKind kind) { return json_response(error_row(kind).http_status, {}); })
    , m_appended(io, asio::steady_timer::time_point::max())
    , m_tokens(m_config.appends_per_s)
{
    for (const std::string& address : m_config.nodes)
        m_changes.push_back({0, address, "live"});
}

Result<unsigned short>
Platform::listen()
{
    return m_server.listen(parse_address(m_config.address));
}

asio::awaitable<void>
Platform::dispatch(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    HybridClock::instance().observe(parse_stamp(request.headers.get(kClockHeader)));
    const std::string path(request.path());
    if (path == "/control") {
        co_await exchange.respond(control(request));
        co_return;
    }
    if (m_outage || is_cut_off(request)) {
        const json::object answer {{"refused", "outage"}};
        co_await exchange.respond(json_response(503, answer));
        co_return;
    }
    if (m_delay_ms > 0) {
        asio::steady_timer delay(m_io,
                                 std::chrono::milliseconds(static_cast<int>(m_delay_ms)));
        co_await delay.async_wait(kToTuple);
    }
    constexpr std::string_view prefix = "/streams/";
    if (path == "/nodes")
        co_await exchange.respond(node_list(request));
    else if (path.starts_with(prefix) && request.method == "POST")
        co_await append(exchange, path.substr(prefix.size()));
    else if (path.starts_with(prefix))
        co_await read(exchange, path.substr(prefix.size()));
    else
        co_await exchange.respond(json_response(404, json::object()));
}

bool
Platform::is_cut_off(const HttpRequest& request) const
{
    const std::string_view hall = request.headers.get("X-Hall");
    return std::find(m_cut_halls.begin(), m_cut_halls.end(), hall) != m_cut_halls.end();
}

asio::awaitable<void>
Platform::append(HttpExchange& exchange, const std::string& name)
{
    if (!take_token()) {
        const json::object answer {{"refused", "rate"}};
        co_await exchange.respond(json_response(429, answer));
        co_return;
    }
    const std::string record = exchange.request().body;
    asio::steady_timer timer(
        m_io, std::chrono::microseconds(static_cast<int>(m_config.append_ms * 1000)));
    co_await timer.async_wait(kToTuple);
    Stream& stream = m_streams[name];
    const std::int64_t offset = stream.next();
    stream.records.push_back(record);
    while (stream.records.size() > m_config.retained) {
        stream.records.pop_front();
        ++stream.first;
    }
    ++m_appends;
    m_appended.cancel();
    if (m_lose_answers) {
        exchange.drop();
        co_return;
    }
    const json::object answer {{"offset", offset}};
    co_await exchange.respond(json_response(200, answer));
}

asio::awaitable<void>
Platform::read(HttpExchange& exchange, const std::string& name)
{
    const HttpRequest& request = exchange.request();
    std::int64_t from = integer(request.query("from"), 0);
    const auto wait
        = std::min<std::int64_t>(integer(request.query("wait_ms"), 0), kMaxWaitMs);
    const std::int64_t until = wall_ms() + wait;
    while (m_streams[name].next() <= from && wall_ms() < until && !m_outage) {
        asio::steady_timer timeout(m_io, std::chrono::milliseconds(until - wall_ms()));
        timeout.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                m_appended.cancel();
        });
        co_await m_appended.async_wait(kToTuple);
    }
    if (m_outage) {
        const json::object answer {{"refused", "outage"}};
        co_await exchange.respond(json_response(503, answer));
        co_return;
    }
    const Stream& stream = m_streams[name];
    from = std::max(from, stream.first);
    json::array records;
    for (std::int64_t at = from; at < stream.next() && records.size() < kMaxRecordsPerRead;
         ++at)
        records.push_back(json::value(
            to_base64url(stream.records[static_cast<std::size_t>(at - stream.first)])));
    const json::object answer {{"first", stream.first},
                               {"from", from},
                               {"next", stream.next()},
                               {"records", std::move(records)}};
    co_await exchange.respond(json_response(200, answer));
}

HttpResponse
Platform::control(const HttpRequest& request)
{
    if (request.method == "POST") {
        const json::object body = parse_body(request);
        m_delay_ms = json_number(body, "delay_ms", m_delay_ms);
        m_config.retained = static_cast<std::size_t>(
            json_number(body, "retained", double(m_config.retained)));
        if (const json::value* outage = body.if_contains("outage"))
            m_outage = outage->as_bool();
        if (const json::value* lose = body.if_contains("lose_answers"))
            m_lose_answers = lose->as_bool();
        if (const json::value* halls = body.if_contains("cut_halls"))
            m_cut_halls = json::value_to<std::vector<std::string>>(*halls);
        if (body.contains("node"))
            m_changes.push_back(
                {wall_ms(), json_text(body, "node"), json_text(body, "state")});
        m_appended.cancel();
        LogEvent("fault").kv("address", m_config.address).kv("set", request.body);
    }
    json::object streams;
    for (const auto& [name, stream] : m_streams)
        streams[name] = stream.next();
    return json_response(200, {{"appends", m_appends}, {"streams", std::move(streams)}});
}

/// Node list as of `list_lag_ms` ago.
HttpResponse
Platform::node_list(const HttpRequest& request)
{
    const auto lag = static_cast<std::int64_t>(m_config.list_lag_ms);
    std::map<std::string, std::string> states;
    for (const ListChange& change : m_changes)
        if (change.at_ms + lag <= wall_ms())
            states[change.address] = change.state;
    json::array nodes;
    for (const auto& [address, state] : states)
        nodes.push_back(json::object {{"address", address}, {"state", state}});
    HttpResponse response = json_response(200, {{"nodes", std::move(nodes)}});
    const std::string tag = '"' + format_stamp(fast_hash(response.body)) + '"';
    response.headers.add("ETag", tag);
    if (request.headers.get("If-None-Match") == tag) {
        response.status = 304;
        response.body.clear();
    }
    return response;
}

bool
Platform::take_token()
{
    const std::int64_t now = wall_ms();
    const double earned = double(now - m_refilled_ms) / 1000 * m_config.appends_per_s;
    m_refilled_ms = now;
    m_tokens = std::min(m_config.appends_per_s, m_tokens + earned);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace cypressford::standin
