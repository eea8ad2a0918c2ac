// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Arrival of relayed requests: limits on callers, deadline, pipeline and client account.

#include "libserve/entry/worker.h"
#include "libserve/relay/via.h"

#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"

#include <cypressford/configuration_age.h>

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Interval of the checks whether this daemon, after a suspension, has read the directory's
/// changes.
constexpr std::chrono::milliseconds kCatchUpInterval {5};
/// Age in the log of a configuration that was never known to be the newest one.
constexpr Micros kNeverConfirmed = -1;

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
    if (spec.anonymous || !snapshot.bundle->requires_credential)
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
    const ContextPtr& context = *created;
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
        co_await pause_for(m_io, kCatchUpInterval);
    }
}

asio::awaitable<Result<ContextPtr>>
Worker::admit_relayed(const HttpRequest& request, Micros received_at)
{
    auto created = make_relay(request, received_at);
    if (created && !(*created)->relay->call.last_event.empty())
        created = co_await bind_version(request, *created);
    if (created && monotonic_us() >= (*created)->spec.deadline)
        co_return fail(ErrorKind::DeadlineUnreachable, kReadTooLate);
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
    const auto peers = m_kernel.tunnel_peers.load();
    const std::string_view sender
        = sender_in_fleet(request, peers.get(), m_kernel.settings.announced_peers);
    if (!sender.empty())
        return fail(ErrorKind::Misdirected, "sent by " + std::string(sender));
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
    spec.resumes_stream = of.stream && !call->last_event.empty();
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

} // namespace cypressford
