// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr double kHangMs = 60'000;

HttpLimits
server_limits()
{
    HttpLimits limits;
    limits.connections = 20'000;
    limits.idle_time = std::chrono::minutes(5);
    return limits;
}

HttpResponse
refusal_response(ErrorKind kind)
{
    HttpResponse response;
    response.status = error_row(kind).http_status;
    return response;
}

} // namespace

json::object
parse_body(const HttpRequest& request)
{
    return parse_json_object(request.body).value_or(json::object {});
}

HttpResponse
json_response(int status, const json::object& body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

Upstream::Upstream(asio::io_context& io, UpstreamConfig config)
    : m_io(io)
    , m_config(std::move(config))
    , m_server(
          io, server_limits(),
          [this](HttpExchange& exchange) { return dispatch(exchange); }, refusal_response)
    , m_random(m_config.seed)
    , m_incarnation(static_cast<std::uint64_t>(wall_ms()))
{
}

Result<unsigned short>
Upstream::listen()
{
    return m_server.listen(parse_address(m_config.address));
}

asio::awaitable<void>
Upstream::dispatch(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    HybridClock::instance().observe(parse_stamp(request.headers.get(kClockHeader)));
    const std::string_view path = request.path();
    if (path == "/control") {
        co_await exchange.respond(control(request));
    } else if (m_faults.hang) {
        asio::steady_timer timer(m_io,
                                 std::chrono::milliseconds(static_cast<int>(kHangMs)));
        co_await timer.async_wait(kToTuple);
        exchange.drop();
    } else if (path == "/v1/load") {
        co_await exchange.respond(load());
    } else if (m_faults.fail) {
        co_await refuse(exchange, 500, "fault");
    } else {
        co_await serve(exchange);
    }
}

HttpResponse
Upstream::control(const HttpRequest& request)
{
    if (request.method == "POST") {
        const json::object body = parse_body(request);
        m_faults.slow = json_number(body, "slow", m_faults.slow);
        const auto flag = [&body](const char* key, bool& value) {
            if (const json::value* item = body.if_contains(key))
                value = item->is_bool() && item->as_bool();
        };
        flag("fail", m_faults.fail);
        flag("hang", m_faults.hang);
        flag("cut", m_faults.cut);
        flag("leaving", m_faults.leaving);
        LogEvent("fault").kv("address", m_config.address).kv("set", request.body);
    }
    json::object keys;
    for (const auto& [key, runs] : m_counters.runs_by_key)
        keys[key] = runs;
    return json_response(200,
                         {{"busy_ms", m_counters.busy_ms},
                          {"runs", m_counters.runs},
                          {"refused", m_counters.refused},
                          {"after_leaving", m_counters.after_leaving},
                          {"runs_by_key", std::move(keys)}});
}

HttpResponse
Upstream::load()
{
    sample_load();
    return json_response(200,
                         {{"in_flight", m_reported_in_use},
                          {"queued", m_reported_waiting},
                          {"slots", m_config.slots},
                          {"incarnation", m_incarnation},
                          {"leaving", m_faults.leaving}});
}

/// Refreshes the reported load if the last sample is at least `report_lag_ms` old, so
/// that reports lag as a real upstream's do.
void
Upstream::sample_load()
{
    const std::int64_t now = wall_ms();
    if (static_cast<double>(now - m_sampled_at_ms) < m_config.report_lag_ms)
        return;
    m_sampled_at_ms = now;
    m_reported_in_use = m_in_use;
    m_reported_waiting = static_cast<int>(m_waiting.size());
}

asio::awaitable<bool>
Upstream::acquire_slot(HttpExchange& exchange, int priority)
{
    if (m_faults.leaving) {
        ++m_counters.after_leaving;
        co_await refuse(exchange, 503, "leaving");
        co_return false;
    }
    if (m_in_use < m_config.slots) {
        ++m_in_use;
        co_return true;
    }
    if (static_cast<int>(m_waiting.size()) >= m_config.queue_limit) {
        co_await refuse(exchange, 429, "overloaded");
        co_return false;
    }
    asio::steady_timer timer(m_io, asio::steady_timer::time_point::max());
    m_waiting.insert({priority, m_next_waiter_number++, &timer});
    co_await timer.async_wait(kToTuple);
    co_return true; // release_slot() passed its slot on
}

void
Upstream::release_slot()
{
    if (m_waiting.empty()) {
        --m_in_use;
        return;
    }
    const Waiter next = *m_waiting.begin();
    m_waiting.erase(m_waiting.begin());
    next.timer->cancel();
}

asio::awaitable<void>
Upstream::simulate_work(double ms)
{
    std::uniform_real_distribution<double> jitter(1 - m_config.jitter, 1 + m_config.jitter);
    const double time = ms * m_faults.slow * jitter(m_random);
    m_counters.busy_ms += time;
    asio::steady_timer timer(m_io,
                             std::chrono::microseconds(static_cast<int>(time * 1000)));
    co_await timer.async_wait(kToTuple);
}

asio::awaitable<void>
Upstream::refuse(HttpExchange& exchange, int status, const char* reason)
{
    ++m_counters.refused;
    const json::object answer {{"refused", reason}};
    co_await exchange.respond(json_response(status, answer));
}

} // namespace cypressford::standin
