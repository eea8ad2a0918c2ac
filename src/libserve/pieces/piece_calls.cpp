// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to upstreams that make pieces, and what follows from their results.

#include <algorithm>
#include <set>
#include <string_view>

#include <boost/asio/use_awaitable.hpp>

#include <cypressford/upstream_use.h>

#include "libserve/pieces/piece_maker_impl.h"
#include "libserve/upstream_says.h"
#include "libutil/event_log.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr Micros kConnectTimeout = 250 * kMillisecond;
/// A call times out after this multiple of the typical time of such a call plus
/// kTimeoutMargin, so that its pieces are made elsewhere sooner.
constexpr Micros kTimeoutFactor = 2;
constexpr Micros kTimeoutMargin = 200 * kMillisecond;
/// Time for which no calls are sent to an upstream that was full.
constexpr Micros kBackOffWhenFull = 40 * kMillisecond;
/// An upstream that had no memory for a result receives calls again after this time, when
/// further results are likely to have been released: calls of a set take 200 ms and more,
/// and several of its upstreams finish a call in this time.
constexpr Micros kBackOffWhenNoMemory = 30 * kMillisecond;
/// Connections that were idle for longer are not used: a second answer to their last call
/// would no longer be recognized.
constexpr Micros kMaxIdle = ResultOrigins::kGeneration;
constexpr int kOk = 200;
constexpr std::int64_t kBytesPerKb = 1000;

} // namespace

std::string
distinct_requests(const std::vector<PieceItem>& items)
{
    constexpr std::size_t most = 12;
    std::set<std::string_view> seen;
    std::string text;
    for (const PieceItem& item : items) {
        if (seen.size() >= most || !seen.insert(item.attempt).second)
            continue;
        text += (text.empty() ? "" : ",") + item.attempt;
    }
    return text;
}

std::vector<PieceItem>
PieceMaker::items_of(const PieceCall& call, Micros now) const
{
    std::vector<PieceItem> items;
    for (const PieceId id : call.pieces) {
        const Piece& piece = m_pieces.at(id);
        PieceItem item = piece.order->order.pieces[piece.index];
        item.time_left = piece.order->deadline - now;
        items.push_back(std::move(item));
    }
    return items;
}

CallOptions
PieceMaker::options_of(const UpstreamSet& set, const PieceCall& call, Micros now) const
{
    Micros last_deadline = 0;
    for (const PieceId id : call.pieces)
        last_deadline = std::max(last_deadline, m_pieces.at(id).order->deadline);
    const Micros typical = call_time(set.spec, static_cast<int>(call.pieces.size()));
    CallOptions options;
    options.deadline_us
        = std::min(last_deadline, now + kTimeoutFactor * typical + kTimeoutMargin);
    options.connect_deadline_us = now + kConnectTimeout;
    options.resend_if_stale = false;
    options.max_idle_us = kMaxIdle;
    options.send_clock = false;
    options.may_send = [upstream = call.upstream] {
        return begin_call(*upstream, CallCount::Granted, monotonic_us());
    };
    return options;
}

AnswerUse
PieceMaker::judge_answer(const HttpResponse& response, const PieceCall& call,
                         const std::vector<PieceItem>& items) const
{
    std::vector<PieceResult> results;
    if (response.status == kOk)
        results = m_kernel.calls->decode_piece_call(response).value_or(results);
    switch (match_piece_answer(results, items, m_origins)) {
    case PieceAnswerMatch::Own:
        return AnswerUse::Take;
    case PieceAnswerMatch::Unrecognizable:
        return AnswerUse::TakeAndClose;
    case PieceAnswerMatch::Earlier:
        break;
    }
    LogEvent("piece_answer_skipped", LogLevel::Warn)
        .kv("upstream", call.upstream->address)
        .kv("identity", call.upstream->identity)
        .kv("results", results.size())
        .kv("pieces", items.size())
        .kv("requests", distinct_requests(items))
        .kv("why", "earlier_call");
    return AnswerUse::Skip;
}

void
PieceMaker::record_origins(const std::vector<PieceResult>& results,
                           const std::vector<PieceItem>& items)
{
    const Micros now = monotonic_us();
    const std::size_t count = std::min(results.size(), items.size());
    for (std::size_t i = 0; i < count; ++i)
        if (results[i].outcome == PieceOutcome::Made)
            m_origins.record(results[i].handle, items[i], now);
}

std::vector<PieceResult>
PieceMaker::results_of(const CallResult& result) const
{
    if (result.status != CallStatus::Answered || result.response.status != kOk)
        return {};
    return m_kernel.calls->decode_piece_call(result.response)
        .value_or(std::vector<PieceResult> {});
}

asio::awaitable<void>
PieceMaker::run_call(std::string set_name, SnapshotPtr snapshot, PieceCall call)
{
    const UpstreamSet& set = *find_set(*snapshot, set_name);
    SentCall sent;
    sent.at = monotonic_us();
    sent.items = items_of(call, sent.at);
    sent.left_waiting = set_queue_of(set_name).queue.size();
    sent.memory_left = free_bytes(set, call);
    CallOptions options = options_of(set, call, sent.at);
    UpstreamAnswer upstream_answer;
    options.on_answer = [&](const HttpResponse& head, Micros connected) {
        upstream_answer = m_kernel.calls->read_answer(head);
        record_upstream_report(*call.upstream, upstream_answer,
                               {sent.at, connected, "pieces", RatePart::Granted});
    };
    options.judge_answer = [&](const HttpResponse& response) {
        return judge_answer(response, call, sent.items);
    };
    const CallResult result = co_await m_client.call(
        call.upstream->address,
        m_kernel.calls->piece_call(call.upstream->identity, sent.items), options);
    call.upstream->in_flight.fetch_sub(1, std::memory_order_relaxed);
    const std::vector<PieceResult> results = results_of(result);
    record_origins(results, sent.items);
    log_call(set, call, sent, result, results);
    if (results.size() == call.pieces.size())
        settle_call(set, call, results, sent.memory_left);
    else
        settle_failed_call(set_name, call, result.status, upstream_answer);
    dispatch(set_name);
}

std::int64_t
PieceMaker::free_bytes(const UpstreamSet& set, const PieceCall& call)
{
    return set_queue_of(set.spec.name)
        .queue.memory()
        .free_bytes(*call.upstream, set.spec.batch.value_or(BatchSpec {}), monotonic_us());
}

void
PieceMaker::log_call(const UpstreamSet& set, const PieceCall& call, const SentCall& sent,
                     const CallResult& result, const std::vector<PieceResult>& results)
{
    const auto count = [&results](PieceOutcome outcome) {
        return std::count_if(results.begin(), results.end(),
                             [outcome](const auto& r) { return r.outcome == outcome; });
    };
    const bool answered = result.status == CallStatus::Answered;
    LogEvent("piece_call")
        .kv("set", set.spec.name)
        .kv("upstream", call.upstream->address)
        .kv("identity", call.upstream->identity)
        .kv("pieces", sent.items.size())
        .kv("bound", set.spec.batch ? set.spec.batch->items : 0)
        .kv("left_waiting", sent.left_waiting)
        .kv("memory_left_kb", sent.memory_left / kBytesPerKb)
        .kv("left_for_memory", call.skipped.memory)
        .kv("left_for_hall", call.skipped.hall)
        .kv("left_for_group", call.skipped.group)
        .kv("roomiest", call.roomiest)
        .kv("status", answered ? result.response.status : 0)
        .kv("withheld", result.status == CallStatus::Withheld)
        .kv("whole", results.size() == call.pieces.size())
        .kv("late", count(PieceOutcome::Late))
        .kv("input_gone", count(PieceOutcome::InputGone))
        .kv("no_memory", count(PieceOutcome::NoMemory))
        .kv("failed", count(PieceOutcome::Failed))
        .kv("requests", distinct_requests(sent.items))
        .kv("waiting", set_queue_of(set.spec.name).queue.size())
        .kv("memory_kb", free_bytes(set, call) / kBytesPerKb)
        .kv("us", monotonic_us() - sent.at);
}

/// Handles a call for which not every piece has an answer.
void
PieceMaker::settle_failed_call(const std::string& set_name, const PieceCall& call,
                               CallStatus status, const UpstreamAnswer& upstream_answer)
{
    PieceQueue& queue = set_queue_of(set_name).queue;
    const Micros now = monotonic_us();
    const bool answered = status == CallStatus::Answered;
    if (answered && upstream_answer.identity_mismatch)
        call.upstream->mark_leaving();
    else if (answered && upstream_answer.not_run)
        queue.back_off(*call.upstream, now + kBackOffWhenFull);
    else if (status != CallStatus::Withheld)
        queue.record_failure(*call.upstream, now);
    const bool arrived = answered || status == CallStatus::Lost;
    for (const PieceId id : call.pieces) {
        queue.memory().release(id);
        requeue(set_name, id, arrived, PieceOutcome::Failed);
    }
}

/// Handles a call for which every piece has an answer.
void
PieceMaker::settle_call(const UpstreamSet& set, const PieceCall& call,
                        const std::vector<PieceResult>& results, std::int64_t memory_left)
{
    const std::string& set_name = set.spec.name;
    PieceQueue& queue = set_queue_of(set_name).queue;
    queue.record_success(*call.upstream);
    const bool lacked_memory
        = std::any_of(results.begin(), results.end(),
                      [](const auto& r) { return r.outcome == PieceOutcome::NoMemory; });
    if (lacked_memory)
        queue.memory().record_full(*call.upstream, monotonic_us() + kBackOffWhenNoMemory);
    else
        queue.memory().record_fit(set.spec.batch.value_or(BatchSpec {}), memory_left);
    for (std::size_t i = 0; i < results.size(); ++i)
        settle(set_name, call.pieces[i], results[i]);
}

void
PieceMaker::settle(const std::string& set_name, PieceId id, const PieceResult& result)
{
    ResultMemory& memory = set_queue_of(set_name).queue.memory();
    if (result.outcome == PieceOutcome::Made)
        memory.set_handle(id, result.handle);
    else
        memory.release(id);
    const bool elsewhere = result.outcome == PieceOutcome::NoMemory
        || result.outcome == PieceOutcome::Failed;
    if (elsewhere)
        requeue(set_name, id, true, result.outcome);
    else
        finish(id, result);
}

} // namespace cypressford
