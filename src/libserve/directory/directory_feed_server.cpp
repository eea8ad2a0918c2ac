// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/directory_feed_server.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/entry/problem.h"
#include "libutil/boot_clock.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Upper limit of the time that a query is held, whatever time it requests.
constexpr Micros kMaxHoldTime = 5 * kSecond;

} // namespace

DirectoryFeedServer::DirectoryFeedServer(asio::io_context& io, const HttpLimits& limits,
                                         DirectoryView& view)
    : m_io(io)
    , m_view(view)
    , m_server(
          io, limits, [this](HttpExchange& exchange) { return serve(exchange); },
          [](ErrorKind kind) { return problem_response(problem_of(kind)); })
{
}

Result<void>
DirectoryFeedServer::listen(const std::string& address)
{
    if (auto port = m_server.listen(parse_address(address)); !port)
        return tl::unexpected(port.error());
    return {};
}

void
DirectoryFeedServer::wake_held_queries()
{
    for (BootTimer* timer : m_hold_timers)
        timer->cancel();
}

asio::awaitable<void>
DirectoryFeedServer::serve(HttpExchange& exchange)
{
    const auto query = decode_feed_query(exchange.request().body);
    if (exchange.request().path() != kPath || !query) {
        const ErrorKind kind = query ? ErrorKind::NotFound : ErrorKind::BadRequest;
        co_await exchange.respond(problem_response(problem_of(kind)));
        co_return;
    }
    if (m_on_generation)
        m_on_generation(query->generation);
    if (query->joiner)
        m_view.on_daemon_announced(*query->joiner, monotonic_us());
    for (const std::string& address : query->unreachable)
        if (m_on_unreachable_reported)
            m_on_unreachable_reported(address);
    const Micros requested_at = monotonic_us();
    const Micros hold_until = requested_at + std::min(query->wait, kMaxHoldTime);
    BootTimer timer(m_io);
    bool disconnected = false;
    exchange.watch([&disconnected, &timer] {
        disconnected = true;
        timer.cancel();
    });
    const auto time_to_wait = [&]() -> Micros {
        const Micros now = monotonic_us();
        if (query->joiner)
            return std::min(hold_until - now, m_view.time_until_referral(now));
        return m_view.must_answer(*query) ? 0 : hold_until - now;
    };
    for (Micros delay = time_to_wait(); !disconnected && delay > 0;
         delay = time_to_wait()) {
        timer.expires_after(std::chrono::microseconds(delay));
        m_hold_timers.insert(&timer);
        co_await timer.async_wait(kToTuple);
        m_hold_timers.erase(&timer);
    }
    FeedAnswer answer = m_view.answer_to(*query, monotonic_us());
    answer.held = monotonic_us() - requested_at;
    if (query->joiner)
        answer.referral = m_view.refer(*query->joiner);
    HttpResponse response;
    response.content_type = "application/x-protobuf";
    response.body = encode(answer);
    co_await exchange.respond(std::move(response));
}

} // namespace cypressford
