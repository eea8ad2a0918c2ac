// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to upstreams, and the status of an attempt according to the result of its call.

#include "libserve/entry/worker.h"

#include <cypressford/upstream_use.h>

#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

enum HttpStatus : int {
    kOk = 200,
    kTooManyRequests = 429,
    kUnavailable = 503,
    kServerError = 500
};

/// Status of an attempt whose answer has a status other than 200.
AttemptStatus
status_of(const HttpResponse& response)
{
    if (response.status == kTooManyRequests)
        return AttemptStatus::Overloaded;
    if (response.status == kUnavailable)
        return AttemptStatus::Leaving;
    if (response.status >= kServerError)
        return AttemptStatus::Failed;
    return AttemptStatus::Rejected;
}

std::string_view
to_string(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Ok:
        return "ok";
    case AttemptStatus::NotSent:
        return "not_sent";
    case AttemptStatus::Overloaded:
        return "overloaded";
    case AttemptStatus::Leaving:
        return "leaving";
    case AttemptStatus::Failed:
        return "failed";
    case AttemptStatus::Lost:
        return "lost";
    case AttemptStatus::Rejected:
        return "rejected";
    case AttemptStatus::InputGone:
        return "input_gone";
    case AttemptStatus::Withheld:
        return "withheld";
    case AttemptStatus::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

std::string
join(const std::vector<std::string>& tokens)
{
    std::string text;
    for (const std::string& token : tokens)
        text += token;
    return text;
}

/// Sends a request whose answer nobody needs.
asio::awaitable<void>
call_and_ignore(HttpClient& client, std::string address, HttpRequest request,
                CallOptions options)
{
    (void)co_await client.call(std::move(address), std::move(request), std::move(options));
}

} // namespace

asio::awaitable<void>
Worker::run_attempt(SendAttempt send, ContextPtr context,
                    std::shared_ptr<CallHandle> handle)
{
    const auto& pipeline = context->resolved();
    const StageSpec& stage = pipeline.spec.stages[send.stage];
    const std::string& set
        = context->spec.snapshot->sets[pipeline.sets[send.stage]].spec.name;
    const auto kind = m_kernel.kinds.find(
        context->spec.snapshot->sets[pipeline.sets[send.stage]].spec.kind);
    const Micros started = monotonic_us();
    AttemptStatus status = AttemptStatus::NotSent;
    RelayedResult relayed;
    if (context->relay) {
        relayed = co_await call_relayed(send, context, handle);
        status = relayed.status;
    } else if (kind != m_kernel.kinds.end()) {
        status = stage.kind == StageKind::Generate
            ? co_await call_stream(send, context, *kind->second, handle)
            : co_await call_once(send, context, *kind->second, handle);
    }
    m_metrics.attempt_time[set].record(monotonic_us() - started);
    LogEvent("attempt_end", context->relay ? LogLevel::Info : LogLevel::Debug)
        .kv("request", context->log_id())
        .kv("stage", stage.name)
        .kv("attempt", send.attempt)
        .kv("upstream", send.upstream->address)
        .kv("identity", send.upstream->identity)
        .kv("software", send.upstream->version)
        .kv("may_repeat", send.may_repeat)
        .kv("cold", send.upstream->cold.is_cold(started))
        .kv("limit_per_s", send.upstream->self_report->limit().per_s())
        .kv("counted_by_leader", send.count == CallCount::Counted)
        .kv("left_us", send.deadline - started)
        .kv("status", to_string(status))
        .kv("framing", to_string(relayed.framing))
        .kv("via", relayed.via)
        .kv("error", relayed.error)
        .kv("last_event", relayed.last_event)
        .kv("first_byte_us", context->relay ? context->relay->first_byte : 0)
        .kv("us", monotonic_us() - started);
    if (context->relay && status == AttemptStatus::Ok)
        record_answer(*context);
    end_attempt(send, *context, status);
}

void
Worker::end_attempt(const SendAttempt& send, RequestContext& context, AttemptStatus status)
{
    context.calls.erase(send.attempt);
    m_attempts.erase(send.attempt);
    feed(AttemptEnded {send.attempt, status});
}

StageCall
Worker::stage_call(const SendAttempt& send, const RequestContext& context) const
{
    const auto& pipeline = context.resolved();
    StageCall call;
    call.stage = &pipeline.spec.stages[send.stage];
    call.input = context.input;
    call.priority = context.priority(m_kernel.settings.scheduler.switches);
    call.budget_ms = (context.spec.deadline - monotonic_us()) / kMillisecond;
    if (!call.stage->repeatable)
        call.key = context.account + "/" + context.key;
    call.fence = context.fence;
    return call;
}

asio::awaitable<AttemptStatus>
Worker::call_once(const SendAttempt& send, ContextPtr context, const UpstreamKind& kind,
                  std::shared_ptr<CallHandle> handle)
{
    CallOptions options;
    options.handle = handle;
    // A call that must not be repeated continues after the caller's deadline, for at most
    // detached_limit, because its answer is still needed.
    const Micros extra = send.may_repeat ? 0 : m_kernel.settings.scheduler.detached_limit;
    options.deadline_us = send.deadline + extra;
    options.fresh_connection = !send.may_repeat;
    options.may_send
        = [&] { return begin_call(*send.upstream, send.count, monotonic_us()); };
    HttpRequest request = kind.encode(stage_call(send, *context));
    const CallResult result
        = co_await m_client.call(send.upstream->address, std::move(request), options);
    if (result.status == CallStatus::NotSent)
        co_return AttemptStatus::NotSent;
    if (result.status == CallStatus::Withheld)
        co_return AttemptStatus::Withheld;
    if (result.status == CallStatus::Lost)
        co_return AttemptStatus::Lost;
    if (result.response.status != kOk)
        co_return status_of(result.response);
    auto output = kind.decode(result.response);
    if (!output)
        co_return AttemptStatus::Failed;
    // A hedge that lost the race must not overwrite the winner's output.
    if (!handle->cancelled())
        context->input = *std::move(output);
    co_return AttemptStatus::Ok;
}

asio::awaitable<AttemptStatus>
Worker::call_stream(const SendAttempt& send, ContextPtr context, const UpstreamKind& kind,
                    std::shared_ptr<CallHandle> handle)
{
    StageCall call = stage_call(send, *context);
    const std::uint64_t stream = random_u64();
    call.stream = format_stamp(stream);
    call.delivered = context->tokens.size();
    call.prefix = join(context->tokens);
    context->session.stream = stream;
    context->session.engine = send.upstream->address;
    const auto decoder = kind.stream_decoder();
    if (!decoder)
        co_return AttemptStatus::NotSent;
    bool is_consistent = true;
    CallOptions options;
    options.handle = handle;
    options.deadline_us = send.deadline;
    options.may_send
        = [&] { return begin_call(*send.upstream, send.count, monotonic_us()); };
    options.on_chunk = [&](std::string_view piece) {
        if (!handle->cancelled())
            is_consistent = is_consistent && take_tokens(*context, decoder->feed(piece));
    };
    const CallResult result
        = co_await m_client.call(send.upstream->address, kind.encode(call), options);
    if (result.status == CallStatus::Withheld)
        co_return AttemptStatus::Withheld;
    if (handle->cancelled() && !context->caller_disconnected
        && result.status != CallStatus::NotSent)
        cancel_stream(send.upstream->address, kind, stream);
    if (result.status == CallStatus::NotSent)
        co_return AttemptStatus::NotSent;
    if (result.status == CallStatus::Answered && result.response.status != kOk)
        co_return status_of(result.response);
    if (result.status == CallStatus::Lost || !decoder->finished() || !is_consistent)
        co_return AttemptStatus::Lost;
    if (!handle->cancelled())
        context->input = join(context->tokens);
    co_return AttemptStatus::Ok;
}

/// Appends new tokens to the received tokens and skips repeated ones; false if a token is
/// missing.
bool
Worker::take_tokens(RequestContext& context, std::vector<StreamToken> tokens)
{
    for (StreamToken& token : tokens) {
        if (token.index < context.tokens.size())
            continue;
        if (token.index > context.tokens.size())
            return false;
        context.tokens.push_back(std::move(token.text));
    }
    context.changed.cancel();
    return true;
}

void
Worker::cancel_stream(const std::string& address, const UpstreamKind& kind,
                      std::uint64_t stream)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + kSecond;
    spawn_task(m_io, "stream_cancel",
               call_and_ignore(m_client, address, kind.cancel(format_stamp(stream)),
                               std::move(options)));
}

} // namespace cypressford
