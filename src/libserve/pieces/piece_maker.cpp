// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queues of pieces, and the orders that wait for them.

#include "libserve/pieces/piece_maker.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/pieces/piece_maker_impl.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval of checks on pieces that wait for a certain upstream.
constexpr Micros kRecheckInterval = 20 * kMillisecond;
/// The rate of a set is computed at most this often, since that visits all its upstreams
/// and a leader may receive thousands of queries per second.
constexpr Micros kRateInterval = 20 * kMillisecond;
/// Interval of log lines on the verdicts of a set's ledger.
constexpr Micros kVerdictLogInterval = kSecond;
constexpr int kMaxCallsPerPiece = 4; ///< maximum number of calls in which a piece is sent

} // namespace

WaitingPiece
PieceMaker::waiting_piece(const Order& order, PieceId id)
{
    WaitingPiece piece;
    piece.id = id;
    piece.group = order.ids.front();
    piece.priority = order.order.priority;
    piece.due = order.due;
    piece.deadline = order.deadline;
    piece.queued_at = monotonic_us();
    piece.near = order.order.near;
    piece.halls = order.order.halls;
    piece.result_bytes = order.order.result_bytes;
    return piece;
}

PieceMaker::PieceMaker(asio::io_context& io, Kernel& kernel, Connector& connector,
                       FreeResult free_result)
    : m_io(io)
    , m_kernel(kernel)
    , m_free_result(std::move(free_result))
    , m_client(io, &connector)
{
}

PieceMaker::SetQueue&
PieceMaker::set_queue_of(const std::string& set_name)
{
    const auto known = m_set_queues.find(set_name);
    if (known != m_set_queues.end())
        return known->second;
    PieceQueue queue(m_kernel.settings.scheduler.switches);
    return m_set_queues.emplace(set_name, SetQueue {std::move(queue), new_retries(), false})
        .first->second;
}

LeaderRetries
PieceMaker::new_retries() const
{
    const SchedulerOptions& options = m_kernel.settings.scheduler;
    if (!options.retry_limit.is_set())
        return {options.retry_ratio, options.retry_burst};
    return LeaderRetries(options.retry_limit);
}

const UpstreamSet*
PieceMaker::find_set(const Snapshot& snapshot, const std::string& name) const
{
    for (const UpstreamSet& set : snapshot.sets)
        if (set.spec.name == name && set.spec.batch)
            return &set;
    return nullptr;
}

CapacityVerdict
PieceMaker::reserve(const SetQuery& query)
{
    const Micros now = monotonic_us();
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    const UpstreamSet* set = snapshot ? find_set(*snapshot, query.upstream_set) : nullptr;
    if (!set)
        return {};
    SetQueue& set_queue = set_queue_of(query.upstream_set);
    const double rate = full_rate(set_queue, *set, now);
    if (rate <= 0)
        return {};
    const SetCapacity capacity {rate, set_queue.queue.queued_by_priority()};
    const CapacityVerdict verdict = set_queue.ledger.reserve(query.need, capacity, now);
    count_verdict(query, verdict);
    return verdict;
}

double
PieceMaker::full_rate(SetQueue& set_queue, const UpstreamSet& set, Micros now)
{
    if (now - set_queue.rate_computed_at >= kRateInterval) {
        set_queue.full_rate = full_call_rate(set, now);
        set_queue.rate_computed_at = now;
    }
    return set_queue.full_rate;
}

void
PieceMaker::withdraw(const Releases& releases)
{
    if (releases.withdrawn.empty())
        return;
    CapacityLedger& ledger = set_queue_of(releases.upstream_set).ledger;
    for (const std::string& attempt : releases.withdrawn)
        ledger.release(attempt);
}

void
PieceMaker::count_verdict(const SetQuery& query, const CapacityVerdict& verdict)
{
    VerdictCounts& counts = set_queue_of(query.upstream_set).verdicts;
    if (counts.is_empty())
        spawn_restarting_task(m_io, "capacity_log", [this, set_name = query.upstream_set] {
            return log_verdicts_later(set_name);
        });
    ++(verdict.admitted ? counts.admitted : counts.refused);
    if (is_over_share(query.need, verdict))
        ++counts.over_share;
}

/// Logs the verdicts of the set's ledger that were counted in one interval.
asio::awaitable<void>
PieceMaker::log_verdicts_later(std::string set_name)
{
    co_await pause_for(m_io, kVerdictLogInterval);
    SetQueue& set_queue = set_queue_of(set_name);
    const VerdictCounts counts = std::exchange(set_queue.verdicts, {});
    LogEvent("capacity")
        .kv("set", set_name)
        .kv("admitted", counts.admitted)
        .kv("refused", counts.refused)
        .kv("over_share", counts.over_share)
        .kv("pieces_per_s", set_queue.full_rate)
        .kv("promised", set_queue.ledger.size())
        .kv("queued", set_queue.queue.size());
}

asio::awaitable<PieceAnswer>
PieceMaker::make(PieceOrder wanted, std::shared_ptr<Ticket> ticket)
{
    const std::string set_name = wanted.upstream_set;
    auto order = std::make_shared<Order>(m_io, std::move(wanted));
    SetQueue& set_queue = set_queue_of(set_name);
    const bool may_make = !order->order.is_retry
        || set_queue.retries.spend(order->results.size(),
                                   m_kernel.knows_all_daemons.load());
    if (!may_make) {
        LogEvent("pieces_not_again", LogLevel::Warn)
            .kv("set", set_name)
            .kv("request", distinct_requests(order->order.pieces))
            .kv("count", order->results.size())
            .kv("why", "retry_limit");
        PieceAnswer refused;
        refused.pieces.assign(order->results.size(), {PieceOutcome::NoRetry, {}});
        co_return refused;
    }
    for (std::size_t i = 0; i < order->order.pieces.size(); ++i) {
        const PieceId id = m_next++;
        order->ids.push_back(id);
        m_pieces[id] = {order, i, 0, false};
        set_queue.queue.add(waiting_piece(*order, id));
    }
    const std::string attempt
        = order->order.pieces.empty() ? "" : order->order.pieces.front().attempt;
    set_queue.ledger.on_ordered(attempt);
    if (!order->order.is_retry)
        set_queue.retries.earn(order->ids.size());
    ticket->m_on_cancel = [weak = std::weak_ptr(order)] {
        if (const auto alive = weak.lock()) {
            alive->finished = true;
            alive->changed.cancel();
        }
    };
    dispatch(set_name);
    while (order->left > 0 && !order->finished && !ticket->m_cancelled) {
        const Micros left = order->deadline - monotonic_us();
        if (left <= 0)
            break;
        order->changed.expires_after(std::chrono::microseconds(left));
        co_await order->changed.async_wait(kToTuple);
    }
    ticket->m_on_cancel = nullptr;
    cancel(order);
    set_queue.ledger.release(attempt);
    PieceAnswer answer;
    answer.pieces = order->results;
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (const UpstreamSet* set = snapshot ? find_set(*snapshot, set_name) : nullptr)
        answer.expected_wait
            = set_queue.queue.expected_wait(*set, order->order.priority, monotonic_us());
    co_return answer;
}

/// Removes the waiting pieces of an order that no caller waits for.
void
PieceMaker::cancel(const std::shared_ptr<Order>& order)
{
    order->finished = true;
    SetQueue& set_queue = set_queue_of(order->order.upstream_set);
    for (const PieceId id : order->ids)
        if (set_queue.queue.remove(id))
            m_pieces.erase(id);
}

void
PieceMaker::dispatch(const std::string& set_name)
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    const UpstreamSet* set = snapshot ? find_set(*snapshot, set_name) : nullptr;
    if (!set)
        return;
    SetQueue& set_queue = set_queue_of(set_name);
    for (const PieceId id : set_queue.queue.take_overdue(*set, monotonic_us()))
        finish(id, {PieceOutcome::Late, {}});
    while (auto call = set_queue.queue.next_call(*set, monotonic_us())) {
        set_queue.ledger.record_call(static_cast<int>(call->pieces.size()),
                                     set_queue.queue.size() > 0, monotonic_us());
        call->upstream->in_flight.fetch_add(1, std::memory_order_relaxed);
        for (const PieceId id : call->pieces) {
            Piece& piece = m_pieces.at(id);
            piece.in_flight = true;
            ++piece.calls;
        }
        spawn_task(m_io, "piece_call", run_call(set_name, snapshot, *std::move(call)));
    }
    // Check again later for pieces that wait for an upstream of their hall, and for
    // upstreams that are backed off.
    if (set_queue.queue.size() > 0 && !set_queue.recheck_scheduled) {
        set_queue.recheck_scheduled = true;
        spawn_restarting_task(m_io, "piece_dispatch", [this, set_name] {
            return dispatch_later(set_name, kRecheckInterval);
        });
    }
}

asio::awaitable<void>
PieceMaker::dispatch_later(std::string set_name, Micros pause)
{
    co_await pause_for(m_io, pause);
    set_queue_of(set_name).recheck_scheduled = false;
    dispatch(set_name);
}

void
PieceMaker::on_releases(const Releases& releases)
{
    SetQueue& set_queue = set_queue_of(releases.upstream_set);
    for (const std::string& handle : releases.handles)
        set_queue.queue.memory().release(handle);
    dispatch(releases.upstream_set);
}

void
PieceMaker::requeue(const std::string& set_name, PieceId id, bool arrived,
                    PieceOutcome last)
{
    Piece& piece = m_pieces.at(id);
    piece.in_flight = false;
    SetQueue& set_queue = set_queue_of(set_name);
    const bool may_retry = !piece.order->finished && piece.calls < kMaxCallsPerPiece
        && monotonic_us() < piece.order->deadline;
    if (!may_retry)
        finish(id, {last, {}});
    else if (arrived && !set_queue.retries.spend(1, m_kernel.knows_all_daemons.load()))
        finish(id, {PieceOutcome::NoRetry, {}});
    else
        set_queue.queue.add(waiting_piece(*piece.order, id));
}

void
PieceMaker::finish(PieceId id, const PieceResult& result)
{
    const auto it = m_pieces.find(id);
    const Piece piece = std::move(it->second);
    m_pieces.erase(it);
    Order& order = *piece.order;
    if (order.finished) {
        if (result.outcome == PieceOutcome::Made)
            m_free_result(order.order.upstream_set, result.handle);
        return;
    }
    order.results[piece.index] = result;
    --order.left;
    // If one piece cannot be made, the other pieces of the order are useless.
    if (result.outcome != PieceOutcome::Made)
        order.left = 0;
    if (order.left == 0)
        order.changed.cancel();
}

} // namespace cypressford
