// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Relayed requests: the caller's bytes go to an upstream, and the upstream's answer goes
/// back unchanged.  The scheduler decides the upstream and the number of attempts.

#include "libserve/entry/worker.h"
#include "libserve/relay/relayed_call.h"
#include "libserve/relay/via.h"

#include "libserve/upstream_says.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

#include <cypressford/upstream_use.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// A call with less time left is not sent.
constexpr Micros kMinCallTime = 5 * kMillisecond;
/// A connection that is not established within this time is closed, with nothing sent.
constexpr Micros kConnectTimeout = 250 * kMillisecond;
/// Connections that were idle for longer are not used for calls that must not be repeated:
/// the upstream may be closing them at the same time.
constexpr Micros kMaxIdleUnrepeatable = 1 * kSecond;

enum HttpStatus : int {
    kFirstSuccess = 200,
    kFirstRedirect = 300,
    kRequestTimeout = 408,
    kMisdirected = 421,
    kTooMany = 429,
    kServerError = 500,
    kUnavailable = 503
};

bool
is_success(int status)
{
    return status >= kFirstSuccess && status < kFirstRedirect;
}

/// Statuses that guarantee that the request did not run.
bool
guarantees_not_run(int status)
{
    return status == kRequestTimeout || status == kMisdirected || status == kTooMany
        || status == kUnavailable;
}

/// An upstream's answer as it is sent to the caller.
HttpResponse
relayed_response(HttpResponse response)
{
    response.content_type.clear();
    remove_connection_fields(response.headers);
    return response;
}

} // namespace

/// The response for a request that failed.
HttpResponse
Worker::relayed_problem(const RequestContext& context) const
{
    const Reply& reply = *context.reply;
    if (context.relay->failure && reply.ran != Ran::NotRun)
        return *context.relay->failure;
    Problem problem = problem_of(*reply.error);
    problem.ran = reply.ran;
    if (problem.retry_after > 0 && reply.retry_after > 0)
        problem.retry_after = reply.retry_after;
    HttpResponse response = problem_response(problem);
    if (problem.retry_after > 0)
        m_kernel.calls->set_retry_after(response, problem.retry_after);
    return response;
}

asio::awaitable<void>
Worker::answer_relayed(HttpExchange& exchange, ContextPtr context)
{
    Relay& relay = *context->relay;
    bool begun = false;
    if (bounds_unread() && context->resolved().spec.stream)
        open_unread(exchange, context);
    while (!context->reply || (!relay.unsent_events.empty() && !is_overdue(*context))) {
        if (relay.unsent_events.empty()) {
            co_await context->changed.async_wait(kToTuple);
        } else if (!co_await write_events(exchange, relay, context->arrived, begun)
                   && !is_overdue(*context)) {
            context->caller_disconnected = true;
            feed(CallerClosed {context->spec.id});
            break;
        }
    }
    close_unread(relay);
    const bool failed = !context->reply || context->reply->error;
    finish_metrics(*context,
                   context->caller_disconnected ? "caller_gone"
                       : failed                 ? error_row(*context->reply->error).name
                                                : "ok");
    if (context->caller_disconnected || (failed && begun)) {
        // An interrupted stream must not look complete to the caller.
        exchange.drop();
    } else if (failed) {
        co_await exchange.respond(relayed_problem(*context));
    } else if (relay.answer) {
        if (bounds_unread())
            co_await respond_counted(exchange, context);
        else
            co_await exchange.respond(*std::move(relay.answer));
    } else {
        if (!begun)
            co_await exchange.begin_stream(*relay.head);
        co_await exchange.end();
    }
}

/// True for a stream that can't become complete because its deadline has passed.
bool
Worker::is_overdue(const RequestContext& context)
{
    return context.reply && context.reply->error && monotonic_us() >= context.spec.deadline;
}

/// A write to a caller that reads slowly may take longer than the stream may.
void
Worker::cut_overdue_stream(const RequestContext& context)
{
    if (!context.relay || !context.relay->exchange || context.relay->writing == 0
        || !is_overdue(context))
        return;
    LogEvent("stream_cut", LogLevel::Warn)
        .kv("request", context.log_id())
        .kv("unsent_bytes", context.relay->writing);
    context.relay->exchange->abort();
}

asio::awaitable<bool>
Worker::write_events(HttpExchange& exchange, Relay& relay, Micros arrived, bool& begun)
{
    if (!begun)
        begun = co_await exchange.begin_stream(*relay.head);
    if (!begun)
        co_return false;
    if (relay.time_to_first_event == 0)
        relay.time_to_first_event = monotonic_us() - arrived;
    const std::string text = std::exchange(relay.unsent_events, {});
    relay.writing = static_cast<std::int64_t>(text.size());
    const bool written = co_await exchange.write(text);
    if (written)
        on_accepted(relay, text.size());
    relay.writing = 0;
    co_return written;
}

ForwardedCall
Worker::forwarded_call(const SendAttempt& send, const RequestContext& context) const
{
    ForwardedCall call;
    call.identity = send.upstream->identity;
    call.account = context.account;
    call.time_left = send.deadline - monotonic_us();
    call.priority = context.priority(m_kernel.settings.scheduler.switches);
    for (const PieceHandle& input : context.relay->inputs)
        call.inputs.push_back(input.handle);
    call.last_event = context.relay->position.last_id();
    return call;
}

/// Checked on arrival and again before each send, since a request waits meanwhile for
/// pieces, slots and the end of a backoff.  Without the second check, 6 waiting requests
/// were run another 8 to 9 times after all daemons had the quarantine (ending_requests).
bool
Worker::is_quarantined(const RelayedCall& call)
{
    const Relay& relay = call.relay();
    return !check_suspicion(relay.request, relay.call, *call.context);
}

void
Worker::begin_relayed_stream(RelayedCall& call, const HttpResponse& head)
{
    Relay& relay = call.relay();
    call.stream_valid = call.answer.is_signed && !call.answer.is_encoded;
    if (!call.stream_valid || call.handle->cancelled())
        return;
    call.stream_valid = may_send_events(call);
    if (!call.stream_valid)
        return;
    call.head = relayed_response(head);
    relay.first_byte = monotonic_us() - call.sent_at;
    call.context->resolved().state->record_first_byte(relay.first_byte);
    if (call.context->spec.asks_leader)
        m_kernel.pieces->on_answer_started(call.context->set_name(), relay.call.attempt);
    feed(InputsRead {call.send.attempt});
}

/// `call` must outlive the options.
CallOptions
Worker::options_of(RelayedCall& call)
{
    const SendAttempt& send = call.send;
    CallOptions options;
    options.handle = call.handle;
    options.deadline_us = send.deadline;
    options.connect_deadline_us = monotonic_us() + kConnectTimeout;
    options.resend_if_stale = false;
    options.send_clock = false;
    options.max_idle_us = send.may_repeat ? 0 : kMaxIdleUnrepeatable;
    options.avoided_connections = call.relay().answered_connections;
    options.may_send = [this, &call] {
        return !is_quarantined(call)
            && begin_call(*call.send.upstream, call.send.count, monotonic_us());
    };
    // The upstream's report of its own state is recorded even if the call is cancelled or
    // breaks off after the head.
    options.on_answer = [this, &call](const HttpResponse& head, Micros connected) {
        call.body.release();
        call.answer = m_kernel.calls->read_answer(head);
        record_upstream_report(*call.send.upstream, call.answer,
                               {call.sent_at, connected, call.relay().call.attempt});
    };
    options.judge_head = [this, &call](const HttpResponse& response) {
        const std::string& attempt = call.answer.attempt;
        if (!attempt.empty() && attempt != call.relay().call.attempt)
            return HeadUse::Skip;
        feed(ResponseStarted {call.send.attempt});
        const bool is_unnamed_success = attempt.empty() && is_success(response.status);
        return is_unnamed_success ? HeadUse::Refuse : HeadUse::Take;
    };
    // A second copy of an answer without an id would be taken for that of any later call.
    options.judge_answer = [&call](const HttpResponse&) {
        return call.answer.attempt.empty() ? AnswerUse::TakeAndClose : AnswerUse::Take;
    };
    if (!call.streams())
        return options;
    if (bounds_unread())
        call.handle->pause_unless([this, &call] { return may_read_more(call); });
    options.on_head
        = [this, &call](const HttpResponse& head) { begin_relayed_stream(call, head); };
    options.on_chunk = [this, &call](std::string_view chunk) {
        call.stream_valid = call.stream_valid && may_send_events(call);
        if (call.stream_valid && !call.handle->cancelled())
            call.stream_valid = take_events(call, chunk);
    };
    return options;
}

bool
Worker::take_events(RelayedCall& call, std::string_view chunk)
{
    Relay& relay = call.relay();
    const std::string events = call.events.feed(chunk);
    if (events.empty())
        return true;
    const std::size_t before = relay.unsent_events.size();
    const bool in_order = relay.position.advance(events, relay.unsent_events);
    const std::size_t taken = relay.unsent_events.size() - before;
    if (taken > 0)
        choose_stream(call);
    on_arrived(relay, taken);
    call.context->changed.cancel();
    return in_order;
}

/// True if a stream that arrived to its end was broken off by its upstream: inside an
/// event, or, where only the end of the connection ends it, before the first one.
bool
Worker::is_broken_off(const RelayedCall& call, const HttpResponse& response)
{
    const bool ends_with_connection = response.headers.get("Content-Length").empty()
        && response.headers.get("Transfer-Encoding").empty();
    return call.events.has_partial() || (ends_with_connection && !call.has_events);
}

/// Determines the status of a call that has ended, and stores the answer for the caller.
AttemptStatus
Worker::take_answer(const RelayedCall& call, CallResult result)
{
    Relay& relay = call.relay();
    const UpstreamAnswer& answer = call.answer;
    const HttpResponse& response = result.response;
    if (result.status == CallStatus::NotSent)
        return AttemptStatus::NotSent;
    if (result.status == CallStatus::Withheld)
        return is_quarantined(call) ? AttemptStatus::Quarantined : AttemptStatus::Withheld;
    if (result.status == CallStatus::Lost) {
        if (!call.handle->cancelled())
            record_broken_run(call.send, *call.context, result.closed_by_peer);
        return AttemptStatus::Lost;
    }
    if (answer.input_gone)
        return AttemptStatus::InputGone;
    if (answer.identity_mismatch)
        return AttemptStatus::Leaving;
    if (answer.not_run && guarantees_not_run(response.status))
        return AttemptStatus::Overloaded;
    // The answer to a cancelled call is not passed on.
    if (call.handle->cancelled())
        return AttemptStatus::Lost;
    if (is_success(response.status)) {
        if (call.streams() && response.status == kFirstSuccess) {
            const bool broken_off = is_broken_off(call, response);
            if (broken_off)
                record_broken_run(call.send, *call.context, true);
            if (!call.stream_valid || broken_off || !call.may_stream())
                return AttemptStatus::Lost;
            if (!relay.has_events)
                relay.head = call.head;
            return AttemptStatus::Ok;
        }
        // Nothing but events can follow events.
        if (!answer.is_signed || answer.is_encoded || relay.has_events)
            return AttemptStatus::Lost;
        relay.answer = relayed_response(std::move(result.response));
        return AttemptStatus::Ok;
    }
    // To the caller, such a status guarantees that nothing ran.  It must not be passed on,
    // because the upstream did not confirm that here.
    if (!guarantees_not_run(response.status))
        relay.failure = relayed_response(response);
    return response.status >= kServerError ? AttemptStatus::Failed
                                           : AttemptStatus::Rejected;
}

asio::awaitable<RelayedResult>
Worker::call_relayed(const SendAttempt& send, ContextPtr context,
                     std::shared_ptr<CallHandle> handle)
{
    const ForwardedCall forwarded = forwarded_call(send, *context);
    if (forwarded.time_left < kMinCallTime)
        co_return RelayedResult {};
    RelayedCall call(send, context, std::move(handle));
    if (bounds_unread())
        call.body.hold(m_kernel.answers,
                       static_cast<std::int64_t>(context->relay->request.body.size()));
    HttpRequest request = m_kernel.calls->forward(context->relay->request, forwarded);
    add_via(request, m_kernel.settings.announced_peers);
    CallResult result = co_await m_client.call(send.upstream->address, std::move(request),
                                               options_of(call));
    if (result.status == CallStatus::Answered)
        context->relay->answered_connections.push_back(result.connection);
    RelayedResult ended;
    ended.framing = result.framing;
    ended.error = result.error ? result.error.message() : std::string();
    ended.via = result.via;
    ended.last_event = context->relay->position.last_id();
    ended.status = take_answer(call, std::move(result));
    if (context->relay->streaming == send.attempt)
        context->relay->streaming = 0;
    co_return ended;
}

} // namespace cypressford
