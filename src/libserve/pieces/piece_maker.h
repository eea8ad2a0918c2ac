// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/capacity_ledger.h>
#include <cypressford/leader_retries.h>
#include <cypressford/piece_order.h>
#include <cypressford/pieces.h>
#include <cypressford/result_origins.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Makes pieces at the upstreams of the sets that this daemon leads.  Runs on one thread.
class PieceMaker {
public:
    /// Cancels an order; its waiting pieces are removed from the queue.
    class Ticket {
    public:
        void cancel()
        {
            m_cancelled = true;
            if (m_on_cancel)
                m_on_cancel();
        }

    private:
        friend class PieceMaker;
        bool m_cancelled = false;
        std::function<void()> m_on_cancel;
    };

    using FreeResult
        = std::function<void(const std::string& set_name, const std::string& handle)>;

    PieceMaker(boost::asio::io_context& io, Kernel& kernel, Connector& connector,
               FreeResult free_result);

    /// The verdict of the set's ledger.  Admits if this daemon has no capacity to promise:
    /// the set is unknown here, or none of its upstreams is usable.
    CapacityVerdict reserve(const SetQuery& query);

    /// Removes the promises to requests that do not need them.
    void withdraw(const Releases& releases);

    /// Completes when every piece is made, one has failed, the order's deadline has passed
    /// or the ticket is cancelled.
    boost::asio::awaitable<PieceAnswer> make(PieceOrder order,
                                             std::shared_ptr<Ticket> ticket);

    /// Counts the memory of released results as free at their upstreams and sends the calls
    /// that now fit.
    void on_releases(const Releases& releases);

    bool is_idle() const { return m_pieces.empty(); }

private:
    /// An order in progress.
    struct Order;
    struct Piece {
        std::shared_ptr<Order> order;
        std::size_t index = 0; ///< of the piece in its order
        int calls = 0; ///< number of calls in which the piece was sent
        bool in_flight = false; ///< a call with the piece is in progress
    };
    /// Verdicts of the ledger of one set, for the log.
    struct VerdictCounts {
        int admitted = 0;
        int refused = 0;
        int over_share = 0; ///< refused because of the account's share
        bool is_empty() const { return admitted + refused == 0; }
    };
    /// State of one upstream set.
    struct SetQueue {
        PieceQueue queue;
        LeaderRetries retries;
        bool recheck_scheduled = false; ///< a later dispatch is scheduled
        CapacityLedger ledger {};
        VerdictCounts verdicts {}; ///< since the last log line
        double full_rate = 0; ///< full_call_rate() at `rate_computed_at`
        Micros rate_computed_at = -kSecond;
    };

    /// A call as it was sent, for the log and for the memory estimate.
    struct SentCall {
        Micros at = 0;
        std::vector<PieceItem> items;
        std::size_t left_waiting = 0; ///< pieces of the set that were left in the queue
        std::int64_t memory_left = 0; ///< estimated free bytes at the upstream
    };

    static WaitingPiece waiting_piece(const Order& order, PieceId id);
    LeaderRetries new_retries() const;
    SetQueue& set_queue_of(const std::string& set_name);
    void count_verdict(const SetQuery& query, const CapacityVerdict& verdict);
    static double full_rate(SetQueue& set_queue, const UpstreamSet& set, Micros now);
    boost::asio::awaitable<void> log_verdicts_later(std::string set_name);
    const UpstreamSet* find_set(const Snapshot& snapshot, const std::string& name) const;
    void dispatch(const std::string& set_name);
    boost::asio::awaitable<void> run_call(std::string set_name, SnapshotPtr snapshot,
                                          PieceCall call);
    std::vector<PieceItem> items_of(const PieceCall& call, Micros now) const;
    CallOptions options_of(const UpstreamSet& set, const PieceCall& call, Micros now) const;
    /// Recognizes an answer to an earlier call on the same connection.
    AnswerUse judge_answer(const HttpResponse& response, const PieceCall& call,
                           const std::vector<PieceItem>& items) const;
    void record_origins(const std::vector<PieceResult>& results,
                        const std::vector<PieceItem>& items);
    /// Empty unless the call was answered with status 200 and a valid body.
    std::vector<PieceResult> results_of(const CallResult& result) const;
    std::int64_t free_bytes(const UpstreamSet& set, const PieceCall& call);
    void log_call(const UpstreamSet& set, const PieceCall& call, const SentCall& sent,
                  const CallResult& result, const std::vector<PieceResult>& results);
    boost::asio::awaitable<void> dispatch_later(std::string set_name, Micros pause);
    void settle_call(const UpstreamSet& set, const PieceCall& call,
                     const std::vector<PieceResult>& results, std::int64_t memory_left);
    void settle_failed_call(const std::string& set_name, const PieceCall& call,
                            CallStatus status, const UpstreamAnswer& upstream_answer);
    void settle(const std::string& set_name, PieceId id, const PieceResult& result);
    /// `arrived`: the last call may have reached an upstream; `last`: its outcome.
    void requeue(const std::string& set_name, PieceId id, bool arrived, PieceOutcome last);
    void finish(PieceId id, const PieceResult& result);
    void cancel(const std::shared_ptr<Order>& order);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    FreeResult m_free_result;
    HttpClient m_client;
    std::map<std::string, SetQueue> m_set_queues;
    std::unordered_map<PieceId, Piece> m_pieces;
    ResultOrigins m_origins;
    PieceId m_next = 1;
};

} // namespace cypressford
