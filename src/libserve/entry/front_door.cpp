// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Path of a caller's HTTP request to the scheduler and of its answer back.

#include "libserve/entry/worker.h"

#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "libserve/hall/claim_service.h"
#include "libserve/operator/operator_pages.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kPipelinesPrefix = "/v1/pipelines/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyChars = 128;
/// Maximum number of queued tokens that are sent to a slow caller in one write.
constexpr std::size_t kMaxTokensPerWrite = 64;

/// Time budget of a request: the caller's header, limited by the pipeline's deadline.
Result<Micros>
read_budget(const HttpRequest& request, const PipelineSpec& pipeline)
{
    const std::string_view text = request.headers.get("X-Deadline-Ms");
    if (text.empty())
        return pipeline.deadline;
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc {} || end != text.data() + text.size() || ms <= 0)
        return fail(ErrorKind::BadRequest, "X-Deadline-Ms is no positive number");
    constexpr std::int64_t longest = 3'600'000;
    return std::min(pipeline.deadline, std::min(ms, longest) * kMillisecond);
}

Result<std::size_t>
find_account(const HttpRequest& request, const Snapshot& snapshot)
{
    const std::string_view header = request.headers.get("Authorization");
    if (!header.starts_with(kBearer))
        return fail(ErrorKind::Unauthorized);
    const std::string digest = to_hex(sha256(header.substr(kBearer.size())));
    auto it = snapshot.bundle->account_by_digest.find(digest);
    if (it == snapshot.bundle->account_by_digest.end())
        return fail(ErrorKind::Unauthorized);
    return it->second;
}

} // namespace

asio::awaitable<void>
Worker::serve(HttpExchange& exchange)
{
    if (m_kernel.calls) {
        co_await serve_relayed(exchange);
        co_return;
    }
    const HttpRequest& request = exchange.request();
    HybridClock::instance().observe(parse_stamp(request.headers.get(kClockHeader)));
    const std::string path(request.path());
    if (path == "/health") {
        co_await exchange.respond(text_response(200, "alive\n"));
    } else if (path == "/ready") {
        co_await serve_readiness(m_kernel, exchange);
    } else if (path == "/metrics") {
        co_await serve_metrics(m_kernel, exchange);
    } else if (path.starts_with(kPipelinesPrefix) && request.method == "POST") {
        co_await serve_pipeline(exchange, path.substr(kPipelinesPrefix.size()));
    } else {
        co_await exchange.respond(problem_response(problem_of(ErrorKind::NotFound)));
    }
}

asio::awaitable<void>
Worker::serve_pipeline(HttpExchange& exchange, std::string name)
{
    auto created = make_context(exchange.request(), exchange.received_at(), name);
    if (!created) {
        ++m_metrics.requests[{"-", std::string(error_row(created.error().kind).name)}];
        co_await exchange.respond(
            problem_response(problem_of(created.error().kind, created.error().detail)));
        co_return;
    }
    const ContextPtr context = *created;
    exchange.set_write_deadline(context->spec.deadline);
    const bool streams = context->resolved().spec.stream;
    if (context->tokens_to_skip > 0 && co_await resume_at_engine(exchange, context))
        co_return;
    m_contexts.emplace(context->spec.id, context);
    feed(RequestArrived {context->spec});
    if (streams)
        co_await answer_stream(exchange, context);
    else
        co_await answer_whole(exchange, context);
}

Result<ContextPtr>
Worker::make_context(const HttpRequest& request, Micros received_at,
                     const std::string& name)
{
    auto context = std::make_shared<RequestContext>(m_io);
    RequestSpec& spec = context->spec;
    spec.snapshot = m_kernel.snapshot.load();
    if (!spec.snapshot)
        return fail(ErrorKind::NotReady);
    const auto account = find_account(request, *spec.snapshot);
    if (!account)
        return tl::unexpected(account.error());
    const auto pipeline = spec.snapshot->bundle->find_pipeline(name);
    if (!pipeline)
        return fail(ErrorKind::NotFound);
    if (request.body.empty())
        return fail(ErrorKind::BadRequest, "empty body");
    spec.id = m_next_request++;
    spec.account = *account;
    spec.pipeline = *pipeline;
    spec.halls = context->resolved().halls & context->resolved_account().halls;
    context->account = context->resolved_account().spec.name;
    context->pipeline = name;
    context->body = request.body;
    context->input = request.body;
    context->arrived = received_at;
    const auto budget = read_budget(request, context->resolved().spec);
    if (!budget)
        return tl::unexpected(budget.error());
    spec.deadline = context->arrived + *budget;
    if (monotonic_us() >= spec.deadline)
        return fail(ErrorKind::DeadlineUnreachable, kReadTooLate);
    if (const auto session = request.headers.get("X-Session"); !session.empty())
        spec.affinity = fast_hash(session, session_hash(context->account));
    if (auto key = read_key(request, *context); !key)
        return tl::unexpected(key.error());
    if (auto session = read_session(request, *context); !session)
        return tl::unexpected(session.error());
    return context;
}

Result<void>
Worker::read_key(const HttpRequest& request, RequestContext& context)
{
    context.key = std::string(request.headers.get("Idempotency-Key"));
    if (context.resolved().repeatable)
        return {};
    if (context.key.empty())
        return fail(ErrorKind::KeyRequired);
    const auto time = uuid7_time(context.key);
    if (!time || context.key.size() > kMaxKeyChars)
        return fail(ErrorKind::KeyInvalid, "not a UUIDv7");
    if (*time > wall_ms() + m_kernel.settings.claims.future_keys)
        return fail(ErrorKind::KeyInvalid, "its time is in the future");
    context.key_time = *time;
    context.spec.has_key = true;
    return {};
}

Result<void>
Worker::read_session(const HttpRequest& request, RequestContext& context)
{
    SessionState& session = context.session;
    session.account = session_hash(context.account);
    session.pipeline = session_hash(context.pipeline);
    session.request = session_hash(context.body);
    session.expires = wall_ms() + m_kernel.settings.token_life / kMillisecond;
    session.bundle_version = context.spec.snapshot->bundle->version;
    const std::string_view token = request.headers.get("Last-Event-ID");
    if (token.empty() || !context.resolved().spec.stream)
        return {};
    auto opened = m_kernel.tokens.open(token, context.account, context.pipeline,
                                       context.body, wall_ms());
    if (!opened)
        return tl::unexpected(opened.error());
    const WallMs expires = session.expires;
    session = *std::move(opened);
    session.expires = expires;
    context.tokens_to_skip = session.delivered;
    context.skipped_text_hash = session.text_hash;
    context.delivered = session.delivered;
    return {};
}

asio::awaitable<void>
Worker::answer_whole(HttpExchange& exchange, ContextPtr context)
{
    while (!context->reply)
        co_await context->changed.async_wait(kToTuple);
    const Reply& reply = *context->reply;
    if (reply.error) {
        const Problem problem = co_await settle_problem(context);
        finish_metrics(*context, error_row(problem.kind).name);
        co_await exchange.respond(problem_response(problem));
        co_return;
    }
    HttpResponse response;
    if (reply.replayed && context->recorded) {
        response.content_type = context->recorded->content_type;
        response.body = context->recorded->body;
        response.headers.add("Idempotent-Replayed", "true");
    } else {
        response.body = json::serialize(json::object {{"output", context->input}});
    }
    finish_metrics(*context, reply.replayed ? "replayed" : "ok");
    co_await exchange.respond(std::move(response));
}

/// A refusal reports "not run" for its own attempt only.  If the log shows that an earlier
/// attempt claimed the key, "not run" would be misleading, so "unknown" is reported.
asio::awaitable<Problem>
Worker::settle_problem(ContextPtr context)
{
    const Reply& reply = *context->reply;
    Problem problem = problem_of(*reply.error);
    problem.ran = reply.ran;
    if (problem.retry_after > 0 && reply.retry_after > 0)
        problem.retry_after = reply.retry_after;
    if (problem.ran == Ran::NotRun && context->spec.has_key) {
        const std::string key = context->account + "/" + context->key;
        if (co_await m_kernel.claims->is_claimed(key))
            problem.ran = Ran::Unknown;
    }
    co_return problem;
}

asio::awaitable<void>
Worker::answer_stream(HttpExchange& exchange, ContextPtr context)
{
    bool stream_started = false;
    while (!context->reply || context->tokens.size() > context->delivered) {
        if (context->tokens.size() <= context->delivered) {
            co_await context->changed.async_wait(kToTuple);
            continue;
        }
        stream_started
            = stream_started || co_await exchange.begin_stream("text/event-stream");
        if (!stream_started || !co_await write_tokens(exchange, *context)) {
            context->caller_disconnected = true;
            feed(CallerClosed {context->spec.id});
            finish_metrics(*context, "caller_gone");
            exchange.drop();
            co_return;
        }
    }
    if (context->reply->error) {
        const Problem problem = co_await settle_problem(context);
        finish_metrics(*context, error_row(problem.kind).name);
        if (!stream_started) {
            co_await exchange.respond(problem_response(problem));
            co_return;
        }
        co_await exchange.write("event: error\ndata: " + problem_body(problem) + "\n\n");
    } else {
        finish_metrics(*context, "ok");
        if (!stream_started)
            co_await exchange.begin_stream("text/event-stream");
        co_await exchange.write("event: end\ndata: {}\n\n");
    }
    co_await exchange.end();
}

/// Sends tokens that the caller does not have yet, each with a resume token for the rest of
/// the stream; returns false if the stream can't continue on this connection.
asio::awaitable<bool>
Worker::write_tokens(HttpExchange& exchange, RequestContext& context)
{
    SessionState& session = context.session;
    if (session.delivered < context.tokens_to_skip || context.skipped_text_hash != 0) {
        // A regenerated text must start with the text that the caller already has.
        std::uint64_t hash = 0;
        for (std::size_t i = 0; i < context.tokens_to_skip; ++i)
            hash = extend_text_hash(hash, context.tokens[i]);
        if (hash != context.skipped_text_hash) {
            const Problem problem = problem_of(ErrorKind::SessionLost);
            co_await exchange.write("event: error\ndata: " + problem_body(problem)
                                    + "\n\n");
            co_return false;
        }
        context.skipped_text_hash = 0;
    }
    std::string text;
    const std::size_t end
        = std::min(context.tokens.size(), context.delivered + kMaxTokensPerWrite);
    while (context.delivered < end) {
        const std::string& token = context.tokens[context.delivered];
        session.text_hash = extend_text_hash(session.text_hash, token);
        session.delivered = static_cast<std::uint32_t>(++context.delivered);
        text += "id: " + m_kernel.tokens.seal(session) + "\ndata: "
            + json::serialize(json::object {{"i", context.delivered - 1}, {"t", token}})
            + "\n\n";
    }
    co_return co_await exchange.write(text);
}

/// Continues a stream at the engine that runs it.  Returns false if that engine neither
/// sent a token nor completed the stream, for example because it no longer has the stream;
/// then nothing has been sent to the caller.
asio::awaitable<bool>
Worker::resume_at_engine(HttpExchange& exchange, ContextPtr context)
{
    const auto kind = m_kernel.kinds.find("engine");
    if (kind == m_kernel.kinds.end())
        co_return false;
    context->tokens.resize(context->tokens_to_skip);
    const std::uint64_t known_hash = std::exchange(context->skipped_text_hash, 0);
    const auto decoder = kind->second->stream_decoder();
    auto handle = std::make_shared<CallHandle>();
    std::optional<CallResult> result;
    bool valid = true;
    CallOptions options;
    options.handle = handle;
    options.deadline_us = context->spec.deadline;
    options.on_chunk = [&](std::string_view piece) {
        valid = valid && take_tokens(*context, decoder->feed(piece));
    };
    asio::co_spawn(m_io,
                   m_client.call(context->session.engine,
                                 kind->second->resume(format_stamp(context->session.stream),
                                                      context->tokens_to_skip),
                                 options),
                   [&](const std::exception_ptr&, CallResult ended) {
                       result = std::move(ended);
                       context->changed.cancel();
                   });
    bool stream_started = false;
    bool open = true;
    while (!result || (open && context->tokens.size() > context->delivered)) {
        if (!open || context->tokens.size() <= context->delivered) {
            co_await context->changed.async_wait(kToTuple);
            continue;
        }
        stream_started
            = stream_started || co_await exchange.begin_stream("text/event-stream");
        open = stream_started && co_await write_tokens(exchange, *context);
        if (!open)
            handle->cancel();
    }
    const bool complete = valid && result->status == CallStatus::Answered
        && result->response.status == 200 && decoder->finished();
    LogEvent("resume")
        .kv("engine", context->session.engine)
        .kv("from", context->tokens_to_skip)
        .kv("whole", complete);
    if (!open) {
        finish_metrics(*context, "caller_gone");
        exchange.drop();
        co_return true;
    }
    if (complete) {
        finish_metrics(*context, "ok");
        if (!stream_started)
            co_await exchange.begin_stream("text/event-stream");
        co_await exchange.write("event: end\ndata: {}\n\n");
        co_await exchange.end();
        co_return true;
    }
    if (stream_started) {
        // The caller has a newer resume token by now and can resume with it.
        finish_metrics(*context, "interrupted");
        const Problem problem = problem_of(ErrorKind::UpstreamFailed);
        co_await exchange.write("event: error\ndata: " + problem_body(problem) + "\n\n");
        co_await exchange.end();
        co_return true;
    }
    context->tokens.clear();
    context->skipped_text_hash = known_hash;
    co_return false;
}

void
Worker::finish_metrics(const RequestContext& context, std::string_view outcome)
{
    const Micros took = monotonic_us() - context.arrived;
    ++m_metrics.requests[{context.pipeline, std::string(outcome)}];
    if (outcome == "ok")
        m_metrics.request_time[context.pipeline].record(took);
    const Ran ran = context.reply ? context.reply->ran : Ran::Unknown;
    LogEvent line("request_end");
    line.kv("request", context.log_id())
        .kv("pipeline", context.pipeline)
        .kv("account", context.account)
        .kv("outcome", outcome)
        .kv("ran", to_string(ran))
        .kv("key", context.key)
        .kv("version", context.spec.snapshot->bundle->version)
        .kv("expected_us", context.reply ? context.reply->expected : 0)
        .kv("retry_after_us", context.reply ? context.reply->retry_after : 0)
        .kv("first_us", context.relay ? context.relay->time_to_first_event : 0)
        .kv("aim_us", context.resolved().spec.target_latency)
        .kv("us", took);
    if (context.reply && context.reply->cause != WaitCause::None)
        line.kv("waits_for", to_string(context.reply->cause))
            .kv("calls_allowed", context.reply->calls_allowed);
}

} // namespace cypressford
