// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/reader_watch.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/directory_feed.h>

#include "libserve/directory/directory_feed_server.h"
#include "libserve/peers/peer_link.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Delay between keepalive requests to a reader whose answer is late.
constexpr Micros kKeepaliveInterval = 200 * kMillisecond;

} // namespace

ReaderWatch::ReaderWatch(asio::io_context& io, HttpClient& client, DaemonRecord reader)
    : m_io(io)
    , m_client(client)
    , m_reader(std::move(reader))
    , m_timer(io)
{
}

asio::awaitable<void>
ReaderWatch::run(Micros late_at, Micros keepalive_timeout)
{
    const auto self = shared_from_this();
    while (!is_finished() && monotonic_us() < late_at)
        co_await wait_until(late_at);
    while (!is_finished()) {
        const Micros keepalive_deadline = monotonic_us() + keepalive_timeout;
        request_keepalives(keepalive_deadline);
        while (!is_finished() && !has_keepalive() && monotonic_us() < keepalive_deadline)
            co_await wait_until(keepalive_deadline);
        if (is_finished())
            co_return;
        m_unresponsive = !has_keepalive();
        if (m_unresponsive)
            break;
        if (!std::exchange(m_answered_keepalive, true))
            LogEvent("reader_at_work").kv("reader", m_reader.node);
        const Micros next_at = monotonic_us() + kKeepaliveInterval;
        while (!is_finished() && monotonic_us() < next_at)
            co_await wait_until(next_at);
        // The feed has answered a later query over another connection.
        m_connection_dead = !is_finished() && m_feed_answers;
        if (m_connection_dead)
            break;
    }
    if (!is_finished())
        m_call->cancel();
}

void
ReaderWatch::on_answer_started()
{
    m_answer_started = true;
    m_timer.cancel();
}

void
ReaderWatch::end()
{
    m_ended = true;
    m_timer.cancel();
}

void
ReaderWatch::request_keepalives(Micros until)
{
    m_peers_answers = false;
    m_feed_answers = false;
    spawn_task(m_io, "reader_keepalive", query_peers_address(until));
    spawn_task(m_io, "reader_feed_keepalive", query_feed_address(until));
}

asio::awaitable<bool>
ReaderWatch::is_answered(const std::string& address, HttpRequest request,
                         CallOptions options)
{
    const CallResult result
        = co_await m_client.call(address, std::move(request), std::move(options));
    co_return result.status == CallStatus::Answered;
}

asio::awaitable<void>
ReaderWatch::query_peers_address(Micros until)
{
    const auto self = shared_from_this();
    HttpRequest request;
    request.target = PeerLink::kAlivePath;
    CallOptions options;
    options.deadline_us = until;
    const bool answered = co_await is_answered(m_reader.peers_address, std::move(request),
                                               std::move(options));
    if (!answered)
        co_return;
    m_peers_answers = true;
    m_timer.cancel();
}

asio::awaitable<void>
ReaderWatch::query_feed_address(Micros until)
{
    const auto self = shared_from_this();
    HttpRequest request = protobuf_post(DirectoryFeedServer::kPath, encode(FeedQuery {}));
    CallOptions options;
    options.deadline_us = until;
    options.fresh_connection = true;
    options.send_clock = false;
    const bool answered = co_await is_answered(m_reader.feed_address, std::move(request),
                                               std::move(options));
    if (!answered)
        co_return;
    m_feed_answers = true;
    m_timer.cancel();
}

asio::awaitable<void>
ReaderWatch::wait_until(Micros time)
{
    m_timer.expires_at(BootClock::time_point(std::chrono::microseconds(time)));
    co_await m_timer.async_wait(kToTuple);
}

} // namespace cypressford
