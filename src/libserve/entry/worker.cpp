// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/entry/worker.h"

#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "libserve/hall/claim_service.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval between checks of timers and queues, with and without requests in progress.
constexpr std::chrono::milliseconds kBusyTick {2};
constexpr std::chrono::milliseconds kIdleTick {50};
/// Without a tick for this time a busy thread is late.
constexpr Micros kLateTick = 20 * kMillisecond;
/// Shortest gap between ticks that counts as a suspension: ten ticks of an idle thread.
constexpr Micros kMinSuspension = 500 * kMillisecond;
/// Request ids of a worker start at its index shifted left by this many bits.
constexpr int kIndexShift = 48;

Scheduler::RandomBits
random_source()
{
    return [engine = std::mt19937_64(random_u64())]() mutable { return engine(); };
}

} // namespace

Worker::Worker(Kernel& kernel, unsigned index)
    : m_kernel(kernel)
    , m_index(index)
    , m_connector(m_io, kernel)
    , m_scheduler(kernel.settings.scheduler, *kernel.router, *kernel.admission,
                  random_source())
    , m_client(m_io, &m_connector)
    , m_server(
          m_io, kernel.settings.limits,
          [this](HttpExchange& exchange) { return serve(exchange); },
          [this](ErrorKind kind) { return refusal_of_unread(kind); })
    , m_next_request((static_cast<RequestId>(index) << kIndexShift) + 1)
    , m_hash_seed(random_u64())
    , m_tick(m_io)
    , m_ticked_at(monotonic_us())
    , m_progress_at(monotonic_us())
{
    if (m_kernel.calls)
        m_server.set_body_deadline([this](const HttpRequest& head, Micros received_at) {
            return deadline_of(head, received_at);
        });
}

Worker::~Worker()
{
    stop();
}

Result<unsigned short>
Worker::listen(const Address& address)
{
    return m_server.listen(address);
}

void
Worker::start()
{
    spawn_restarting_task(m_io, "request_timer", [this] { return tick_loop(); });
    m_thread = std::thread([this] {
        const RcuThread registered;
        m_io.run();
    });
}

void
Worker::stop()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

asio::awaitable<void>
Worker::tick_loop()
{
    for (;;) {
        m_tick.expires_after(m_scheduler.live() > 0 ? kBusyTick : kIdleTick);
        co_await m_tick.async_wait(kToTuple);
        detect_suspension();
        m_scheduler.set_daemons_in_hall(m_kernel.daemons_in_hall.load());
        m_scheduler.set_daemons(m_kernel.daemons.load(), m_kernel.knows_all_daemons.load());
        feed(Tick {});
        m_ticked_at = monotonic_us();
    }
}

asio::awaitable<void>
Worker::let_overdue_end()
{
    // The tick is queued behind what arrived while the thread was late, so that answers
    // that are ready are still passed on.
    const Micros called_at = monotonic_us();
    while (m_scheduler.live() > 0 && m_ticked_at < called_at - kLateTick)
        co_await asio::post(m_io, asio::use_awaitable);
}

/// A thread without progress for at least kMinSuspension was suspended or stopped with its
/// node; its view of the directory is at least as old as the gap.
void
Worker::detect_suspension()
{
    const Micros now = monotonic_us();
    const Micros gap = now - std::exchange(m_progress_at, now);
    if (gap < kMinSuspension)
        return;
    LogEvent("stood_still", LogLevel::Warn).kv("us", gap);
    m_kernel.last_resumed_at.store(now, std::memory_order_relaxed);
    if (m_kernel.on_suspension_detected)
        m_kernel.on_suspension_detected();
}

void
Worker::feed(const Event& event)
{
    const bool was_idle = m_scheduler.live() == 0;
    Actions actions;
    m_scheduler.handle(event, monotonic_us(), actions);
    act(actions);
    if (was_idle && m_scheduler.live() > 0)
        m_tick.cancel();
}

void
Worker::act(Actions& actions)
{
    for (const Action& action : actions)
        std::visit([this](const auto& a) { act(a); }, action);
}

void
Worker::act(const SendAttempt& action)
{
    auto it = m_contexts.find(action.request);
    if (it == m_contexts.end())
        return;
    const ContextPtr context = it->second;
    auto handle = std::make_shared<CallHandle>();
    context->calls[action.attempt] = handle;
    m_attempts[action.attempt] = action.request;
    spawn_task(m_io, "attempt", run_attempt(action, context, std::move(handle)),
               [this, action, context] { abandon_attempt(action, *context); });
}

/// The upstream may have run the request, as after a lost connection.
void
Worker::abandon_attempt(const SendAttempt& send, RequestContext& context)
{
    if (m_attempts.contains(send.attempt))
        end_attempt(send, context, AttemptStatus::Lost);
}

void
Worker::act(const CancelAttempt& action)
{
    auto it = m_attempts.find(action.attempt);
    if (it == m_attempts.end())
        return;
    auto& calls = m_contexts.at(it->second)->calls;
    auto call = calls.find(action.attempt);
    // Posted, because this function may have been called from the call's own coroutine.
    if (call != calls.end())
        asio::post(m_io, [handle = call->second] { handle->cancel(); });
}

void
Worker::act(const BeginClaim& action)
{
    const ContextPtr context = m_contexts.at(action.request);
    ClaimRequested claim;
    claim.request = action.request;
    claim.key = context->account + "/" + context->key;
    claim.fingerprint = fast_hash(context->pipeline + "\n" + context->body);
    claim.key_time = context->key_time;
    claim.deadline = action.deadline;
    m_kernel.claims->request_claim(std::move(claim), [this](DecideClaim decision) {
        asio::post(m_io, [this, decision = std::move(decision)]() mutable {
            on_claim_decided(std::move(decision));
        });
    });
}

void
Worker::on_claim_decided(DecideClaim decision)
{
    auto it = m_contexts.find(decision.request);
    if (it != m_contexts.end()) {
        it->second->recorded = std::move(decision.answer);
        it->second->fence = decision.fence;
    }
    feed(ClaimDecided {decision.request, decision.result});
}

void
Worker::act(const EndClaim& action)
{
    const ContextPtr context = m_contexts.at(action.request);
    ClaimRequestEnded ended {action.request, action.outcome, std::nullopt};
    if (action.outcome == ClaimOutcome::Done)
        ended.answer = RecordedAnswer {
            "application/json",
            boost::json::serialize(boost::json::object {{"output", context->input}})};
    m_kernel.claims->end_request(std::move(ended));
}

void
Worker::act(const BeginPreparation& action)
{
    const ContextPtr context = m_contexts.at(action.request);
    PiecesRequest request;
    request.snapshot = context->spec.snapshot;
    request.pipeline = context->spec.pipeline;
    request.counts = context->spec.pieces;
    request.attempt = context->relay->call.attempt;
    request.piece_key = context->relay->call.piece_key;
    request.account = context->account;
    request.priority = context->priority(m_kernel.settings.scheduler.switches);
    request.deadline = action.deadline;
    request.target_by = action.target_by;
    request.near = action.near;
    request.follows_prompt = action.follows_prompt;
    request.is_retry = action.is_retry;
    request.halls = context->spec.halls;
    if (context->spec.asks_leader) {
        const CallerCall& call = context->relay->call;
        request.reader_set = context->set_name();
        request.prompt.attempt = call.attempt;
        request.prompt.parts = call.prefix;
        request.prompt.tokens = call.tokens_in;
        request.prompt.affinity = context->spec.affinity;
        request.prompt.version = context->spec.version;
    }
    m_kernel.pieces->submit(action.request, std::move(request),
                            [this, id = action.request](PiecesResult result) {
                                asio::post(
                                    m_io, [this, id, result = std::move(result)]() mutable {
                                        on_pieces_result(id, std::move(result));
                                    });
                            });
}

void
Worker::on_pieces_result(RequestId request, PiecesResult result)
{
    const auto it = m_contexts.find(request);
    if (it == m_contexts.end() || it->second->reply) {
        m_kernel.pieces->free_results(std::move(result.inputs));
        return;
    }
    it->second->relay->inputs = std::move(result.inputs);
    for (const std::string& set_name : result.refused_by)
        ++m_metrics.capacity_refused[set_name];
    feed(PreparationEnded {request, result.made, std::move(result.hall),
                           std::move(result.identity), result.is_counted,
                           !result.refused_by.empty(), result.retry_after,
                           result.has_slot});
}

void
Worker::act(const ReleaseInputs& action)
{
    const auto it = m_contexts.find(action.request);
    if (it != m_contexts.end())
        m_kernel.pieces->free_results(std::exchange(it->second->relay->inputs, {}));
}

void
Worker::act(const ReportUnreachable& action)
{
    const auto it = m_contexts.find(action.request);
    if (it == m_contexts.end() || !it->second->relay || !m_kernel.pieces)
        return;
    const RequestContext& context = *it->second;
    m_kernel.pieces->record_unreachable(context.set_name(), context.relay->call.attempt);
}

void
Worker::act(const CancelPreparation& action)
{
    m_kernel.pieces->cancel(action.request);
}

void
Worker::act(const Reply& action)
{
    const ContextPtr context = m_contexts.at(action.request);
    context->reply = action;
    context->changed.cancel();
    cut_overdue_stream(*context);
}

void
Worker::act(const Forget& action)
{
    const auto it = m_contexts.find(action.request);
    if (it == m_contexts.end())
        return;
    if (it->second->relay && m_kernel.pieces) {
        RequestContext& context = *it->second;
        m_kernel.pieces->free_results(std::move(context.relay->inputs));
        if (context.spec.asks_leader)
            m_kernel.pieces->record_ended(context.set_name(), context.relay->call.attempt);
    }
    m_contexts.erase(it);
}

MetricsSnapshot
Worker::metrics() const
{
    MetricsSnapshot copy = m_metrics;
    copy.scheduler = m_scheduler.stats();
    copy.connections = static_cast<std::uint64_t>(m_server.connections());
    copy.in_progress = m_scheduler.in_progress();
    return copy;
}

} // namespace cypressford
