// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Answers that callers read slowly: what is counted, paused and cut off.  The decisions
/// are in AnswerBuffers.

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/relay/relayed_call.h"
#include "libutil/event_log.h"

namespace cypressford {

namespace asio = boost::asio;

void
Worker::open_unread(HttpExchange& exchange, const ContextPtr& context)
{
    Relay& relay = *context->relay;
    relay.unread = m_kernel.answers.open([this, weak = std::weak_ptr(context)] {
        asio::post(m_io, [this, weak] {
            if (const ContextPtr alive = weak.lock())
                cut_answer(*alive);
        });
    });
    exchange.watch_progress(
        [this, &relay](std::size_t bytes) { on_accepted(relay, bytes); });
}

void
Worker::close_unread(Relay& relay)
{
    if (relay.unread)
        m_kernel.answers.close(std::exchange(relay.unread, nullptr));
}

/// The failed write then ends the request, which cancels its upstream call.
void
Worker::cut_answer(const RequestContext& context)
{
    const Relay& relay = *context.relay;
    if (!relay.unread)
        return;
    LogEvent("answer_cut", LogLevel::Warn)
        .kv("request", context.log_id())
        .kv("unread_bytes", relay.unread->unread())
        .kv("held_bytes", m_kernel.answers.held())
        .kv("why", to_string(relay.unread->cut()));
    relay.exchange->abort();
}

void
Worker::on_arrived(Relay& relay, std::size_t bytes)
{
    if (relay.unread && bytes > 0)
        m_kernel.answers.on_arrived(*relay.unread, static_cast<std::int64_t>(bytes),
                                    monotonic_us());
}

/// `bytes` may include framing, which is not counted.
void
Worker::on_accepted(Relay& relay, std::size_t bytes)
{
    const std::int64_t taken = std::min(relay.writing, static_cast<std::int64_t>(bytes));
    relay.writing -= taken;
    if (relay.unread && taken > 0)
        m_kernel.answers.on_taken(*relay.unread, taken, monotonic_us());
}

/// Sends an answer that arrived as a whole.
asio::awaitable<bool>
Worker::respond_counted(HttpExchange& exchange, ContextPtr context)
{
    Relay& relay = *context->relay;
    open_unread(exchange, context);
    relay.writing = static_cast<std::int64_t>(relay.answer->body.size());
    on_arrived(relay, relay.answer->body.size());
    const bool sent = co_await exchange.respond(*std::move(relay.answer));
    close_unread(relay);
    co_return sent;
}

bool
Worker::may_read_more(RelayedCall& call)
{
    const Micros now = monotonic_us();
    const Relay& relay = call.relay();
    return !relay.unread || now >= call.send.deadline
        || m_kernel.answers.may_read_more(*relay.unread, now);
}

} // namespace cypressford
