// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Relayed requests: the caller's bytes go to an upstream, and the upstream's answer goes
/// back unchanged.  The scheduler decides the upstream and the number of attempts.

#include "libserve/entry/worker.h"
#include "libserve/relay/relayed_call.h"

#include "libserve/upstream_says.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

#include <cypressford/configuration_age.h>
#include <cypressford/upstream_use.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval of the checks whether this daemon, after a suspension, has read the directory's
/// changes.
constexpr std::chrono::milliseconds kCatchUpInterval {5};
/// A call with less time left is not sent.
constexpr Micros kMinCallTime = 5 * kMillisecond;
/// A connection that is not established within this time is closed, with nothing sent.
constexpr Micros kConnectTimeout = 250 * kMillisecond;
/// Connections that were idle for longer are not used for calls that must not be repeated:
/// the upstream may be closing them at the same time.
constexpr Micros kMaxIdleUnrepeatable = 1 * kSecond;

/// Age in the log of a configuration that was never known to be the newest one.
constexpr Micros kNeverConfirmed = -1;

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

/// Id of the longest part of the prompt that several requests share, by which requests of a
/// session or subject are routed to the same upstream; 0: no such part.
std::uint64_t
affinity_of(const CallerCall& call)
{
    return call.prefix.size() < 2 ? 0 : call.prefix[call.prefix.size() - 2].id;
}

/// Tokens of the prompt before the part that belongs to this request alone.
std::int64_t
shared_tokens_of(const CallerCall& call)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < call.prefix.size(); ++i)
        tokens += call.prefix[i].tokens;
    return tokens;
}

Result<std::size_t>
account_of(const CallerCall& call, const Snapshot& snapshot, const PipelineSpec& spec)
{
    if (!call.credential.empty()) {
        const auto it
            = snapshot.bundle->account_by_digest.find(to_hex(sha256(call.credential)));
        if (it != snapshot.bundle->account_by_digest.end())
            return it->second;
    }
    // If no accounts are configured, there are no credentials to require.
    if (spec.anonymous || snapshot.bundle->accounts.size() == 1)
        return snapshot.bundle->anonymous_account;
    return fail(ErrorKind::Unauthorized);
}

} // namespace

void
Worker::apply_limits()
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    const CallerLimits configured = snapshot ? snapshot->bundle->limits : CallerLimits {};
    HttpLimits limits = m_kernel.reloaded.load()->limits;
    const auto duration
        = [](Micros time) { return std::chrono::milliseconds(time / kMillisecond); };
    if (configured.header_bytes > 0)
        limits.header_bytes = configured.header_bytes;
    if (configured.body_bytes > 0)
        limits.body_bytes = configured.body_bytes;
    if (configured.header_time > 0)
        limits.header_time = duration(configured.header_time);
    if (configured.idle_time > 0)
        limits.idle_time = duration(configured.idle_time);
    m_server.set_limits(limits);
}

asio::awaitable<void>
Worker::serve_relayed(HttpExchange& exchange)
{
    detect_suspension();
    co_await let_overdue_end();
    co_await catch_up(exchange.request(), exchange.received_at());
    const auto created = co_await admit_relayed(exchange.request(), exchange.received_at());
    if (!created) {
        ++m_metrics.requests[{"-", std::string(error_row(created.error().kind).name)}];
        log_refusal(exchange.request(), created.error());
        co_await exchange.respond(refusal(created.error()));
        co_return;
    }
    const ContextPtr context = *created;
    log_begin(*context);
    exchange.set_write_deadline(context->spec.deadline);
    m_contexts.emplace(context->spec.id, context);
    exchange.watch([this, id = context->spec.id, weak = std::weak_ptr(context)] {
        if (const ContextPtr alive = weak.lock()) {
            alive->caller_disconnected = true;
            feed(CallerClosed {id});
        }
    });
    feed(RequestArrived {context->spec});
    context->relay->exchange = &exchange;
    co_await answer_relayed(exchange, context);
    context->relay->exchange = nullptr;
}

void
Worker::log_refusal(const HttpRequest& request, const Error& error) const
{
    const auto call = m_kernel.calls->read_call(request);
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    const auto age = m_kernel.configuration_age(monotonic_us());
    LogEvent("request_refused")
        .kv("request", call ? call->attempt : "")
        .kv("version", snapshot ? snapshot->bundle->version : 0)
        .kv("configuration_age_ms", age ? *age / kMillisecond : kNeverConfirmed)
        .kv("target", request.path())
        .kv("kind", error_row(error.kind).name)
        .kv("why", error.detail);
}

void
Worker::log_begin(const RequestContext& context) const
{
    LogEvent("request_begin")
        .kv("request", context.log_id())
        .kv("pipeline", context.pipeline)
        .kv("account", context.account)
        .kv("priority", context.priority(m_kernel.settings.scheduler.switches))
        .kv("version", context.spec.snapshot->bundle->version)
        .kv("generation", context.spec.snapshot->generation)
        .kv("deadline_us", context.spec.deadline - context.arrived)
        .kv("waited_us", monotonic_us() - context.arrived)
        .kv("needs_pieces", context.spec.needs_pieces())
        .kv("resumes", context.relay->call.resumes)
        .kv("after_event", context.relay->call.last_event);
}

std::optional<Micros>
Worker::deadline_of(const HttpRequest& head, Micros received_at) const
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    const auto call = m_kernel.calls->read_call(head);
    if (!snapshot || !call)
        return std::nullopt;
    const ResolvedBundle& bundle = *snapshot->bundle;
    const auto pipeline = bundle.match(call->host, head.path(), 0);
    if (!pipeline)
        return std::nullopt;
    const Micros limit = bundle.pipelines[*pipeline].spec.deadline;
    return received_at + std::min(call->time_left.value_or(limit), limit);
}

asio::awaitable<void>
Worker::catch_up(const HttpRequest& request, Micros received_at)
{
    if (!m_kernel.is_catching_up(monotonic_us()))
        co_return;
    const auto deadline = deadline_of(request, received_at);
    while (m_kernel.is_catching_up(monotonic_us())
           && (!deadline || monotonic_us() < *deadline)) {
        BootTimer timer(m_io);
        timer.expires_after(kCatchUpInterval);
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<Result<ContextPtr>>
Worker::admit_relayed(const HttpRequest& request, Micros received_at)
{
    auto created = make_relay(request, received_at);
    if (created && !(*created)->relay->call.last_event.empty())
        created = co_await bind_version(request, *created);
    if (created && monotonic_us() >= (*created)->spec.deadline)
        co_return fail(ErrorKind::DeadlineUnreachable, "read after its deadline");
    co_return created;
}

Result<ContextPtr>
Worker::make_relay(const HttpRequest& request, Micros received_at,
                   const std::string& set_name)
{
    auto context = std::make_shared<RequestContext>(m_io);
    context->arrived = received_at;
    RequestSpec& spec = context->spec;
    // A configuration that is confirmed from now on may not be in the snapshot.
    const bool is_current = m_kernel.knows_configuration(monotonic_us());
    spec.snapshot = m_kernel.snapshot.load();
    if (!spec.snapshot)
        return fail(ErrorKind::NotReady);
    auto call = m_kernel.calls->read_call(request);
    if (!call)
        return tl::unexpected(call.error());
    const ResolvedBundle& bundle = *spec.snapshot->bundle;
    const auto pipeline = set_name.empty()
        ? bundle.match(call->host, request.path(), random_u64())
        : bundle.match_set(call->host, request.path(), set_name);
    if (!pipeline)
        return fail(refusal_kind(ErrorKind::NotFound, is_current), call->host);
    spec.id = m_next_request++;
    spec.pipeline = *pipeline;
    const PipelineSpec& of = context->resolved().spec;
    const auto account = account_of(*call, *spec.snapshot, of);
    if (!account)
        return fail(refusal_kind(account.error().kind, is_current), account.error().detail);
    spec.account = *account;
    context->account = context->resolved_account().spec.name;
    if (auto allowed = check_suspicion(request, *call, *context); !allowed)
        return tl::unexpected(allowed.error());
    spec.halls = context->resolved().halls & context->resolved_account().halls;
    context->pipeline = of.name;
    spec.deadline
        = context->arrived + std::min(call->time_left.value_or(of.deadline), of.deadline);
    spec.affinity = affinity_of(*call);
    spec.shared_tokens = shared_tokens_of(*call);
    spec.pieces = call->pieces;
    spec.pieces.resize(of.piece_stages.size());
    spec.asks_leader = spec.affinity != 0 && of.stages.front().kind == StageKind::Generate;
    context->relay = std::make_unique<Relay>();
    context->relay->request = request;
    context->relay->call = *std::move(call);
    return context;
}

/// The limits on callers come from the configuration.
HttpResponse
Worker::refusal_of_unread(ErrorKind kind) const
{
    const bool is_current = m_kernel.knows_configuration(monotonic_us());
    const ErrorKind answered = refusal_kind(kind, is_current);
    return answered == kind ? problem_response(problem_of(kind)) : refusal({answered, {}});
}

HttpResponse
Worker::refusal(const Error& error) const
{
    const Problem problem = problem_of(error.kind, error.detail);
    HttpResponse response = problem_response(problem);
    if (problem.retry_after > 0)
        m_kernel.calls->set_retry_after(response, problem.retry_after);
    return response;
}

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
    call.last_event = context.relay->events.last_id();
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
    relay.events.drop_partial();
    if (!call.stream_valid || call.handle->cancelled())
        return;
    call.stream_valid = may_send_events(call);
    if (!call.stream_valid)
        return;
    call.head = relayed_response(head);
    if (!relay.head)
        relay.head = call.head;
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
    options.accepts_answer = [this, &call](const HttpResponse& response) {
        feed(ResponseStarted {call.send.attempt});
        return call.answer.attempt == call.relay().call.attempt
            || (call.answer.attempt.empty() && !is_success(response.status));
    };
    if (!call.streams())
        return options;
    if (bounds_unread())
        call.handle->pause_unless([this, &call] { return may_read_more(call); });
    options.on_head
        = [this, &call](const HttpResponse& head) { begin_relayed_stream(call, head); };
    options.on_chunk = [this, &call](std::string_view piece) {
        call.stream_valid = call.stream_valid && may_send_events(call);
        if (!call.stream_valid || call.handle->cancelled())
            return;
        Relay& relay = call.relay();
        const std::size_t before = relay.unsent_events.size();
        call.stream_valid = relay.events.feed(piece, relay.unsent_events);
        call.has_events = call.has_events || relay.unsent_events.size() > before;
        if (!relay.has_events && call.has_events)
            begin_stream(call);
        on_arrived(relay, relay.unsent_events.size() - before);
        call.context->changed.cancel();
    };
    return options;
}

/// True if a stream that arrived to its end was broken off by its upstream: inside an
/// event, or, where only the end of the connection ends it, before the first one.
bool
Worker::is_broken_off(const RelayedCall& call, const HttpResponse& response)
{
    const bool ends_with_connection = response.headers.get("Content-Length").empty()
        && response.headers.get("Transfer-Encoding").empty();
    return call.relay().events.has_partial() || (ends_with_connection && !call.has_events);
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
            const bool complete = call.stream_valid && relay.head && !broken_off;
            return complete ? AttemptStatus::Ok : AttemptStatus::Lost;
        }
        if (!answer.is_signed || answer.is_encoded)
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

asio::awaitable<AttemptStatus>
Worker::call_relayed(const SendAttempt& send, ContextPtr context,
                     std::shared_ptr<CallHandle> handle)
{
    const ForwardedCall forwarded = forwarded_call(send, *context);
    if (forwarded.time_left < kMinCallTime)
        co_return AttemptStatus::NotSent;
    RelayedCall call(send, context, std::move(handle));
    if (bounds_unread())
        call.body.hold(m_kernel.answers,
                       static_cast<std::int64_t>(context->relay->request.body.size()));
    HttpRequest request = m_kernel.calls->forward(context->relay->request, forwarded);
    CallResult result = co_await m_client.call(send.upstream->address, std::move(request),
                                               options_of(call));
    co_return take_answer(call, std::move(result));
}

} // namespace cypressford
