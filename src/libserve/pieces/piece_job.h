// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <cypressford/call_dialect.h>
#include <cypressford/piece_order.h>
#include <cypressford/pieces.h>

#include "libserve/pieces/piece_maker.h"
#include "libserve/upstream_says.h"
#include "libutil/boot_clock.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Parameters of PieceService::submit(): the pieces that one request needs.
struct PiecesRequest {
    SnapshotPtr snapshot;
    std::size_t pipeline = 0;
    std::vector<int> counts; ///< by piece stage
    std::string attempt; ///< the request's id at upstreams
    std::string piece_key;
    std::string account;
    int priority = 0;
    Micros deadline = 0;
    Micros target_by = 0; ///< when the pieces must be made to meet the target latency
    std::string near; ///< hall for the results; empty: where the prompt is cached
    /// Make the results in the hall of the upstream that has cached the prompt.
    bool follows_prompt = false;
    std::string reader_set; ///< the set whose leader chooses an upstream; empty: none
    PromptQuery prompt;
    HallLimit halls; ///< the only halls where pieces are made and the prompt is read
    bool is_retry = false; ///< the pieces were made before, so each counts as a retry
};

/// A result with the set that it belongs to.
struct PieceHandle {
    std::string upstream_set;
    std::string handle;
};

/// Outcome of a PiecesRequest.
struct PiecesResult {
    bool made = false;
    std::vector<PieceHandle> inputs; ///< results that the request reads
    std::string hall; ///< where most of their bytes are
    std::string identity; ///< of the upstream that should read them; empty: any
    /// The leader has counted the call against the upstream's rate limit.
    bool is_counted = false;
    /// Whether that upstream has a free slot for the call; nothing if no leader chose one.
    std::optional<bool> has_slot;
    /// Sets whose leaders refused the request before its first piece was made.
    std::vector<std::string> refused_by;
    Micros retry_after = 0; ///< if refused: the longest of the leaders' times
};

/// State of one request's pieces while they are made.
struct PieceJob {
    using Done = std::function<void(PiecesResult)>;

    PieceJob(boost::asio::io_context& io, PiecesRequest wanted_, Done done_)
        : wanted(std::move(wanted_))
        , plan(resolved().spec.piece_stages, wanted.counts)
        , done(std::move(done_))
        , near(wanted.near)
        , started_at(resolved().piece_sets.size(), 0)
        , changed(io, BootTimer::time_point::max())
    {
    }

    const ResolvedPipeline& resolved() const
    {
        return wanted.snapshot->bundle->pipelines[wanted.pipeline];
    }
    /// The set of engines; one of its engines reads the prompt.
    const UpstreamSet& reader_set() const;
    const UpstreamSet& set_of(std::size_t stage) const
    {
        return wanted.snapshot->sets[resolved().piece_sets[stage]];
    }

    /// Time until each stage is made if it starts now: its call time plus the recent
    /// typical queueing delay of such pieces.
    std::vector<Micros> time_left(Micros now) const;

    /// Identities of engines that this daemon cannot use now; the leader may not have
    /// detected this.
    std::vector<std::string> unusable_engines(Micros now) const;

    /// Limit reports of engines that this daemon has received.
    LimitReports reports_of(AnnouncedKind kind, Micros now) const;
    /// Takes over limit reports from the leader.
    void receive_limit_reports(const LimitReports& reports, Micros now) const;

    /// What the request needs of each set.
    SetQueries capacity_queries(Micros now) const;

    /// The order for a stage; its `due_left` is still a point in time, not a duration.
    PieceOrder order_for(std::size_t stage, std::string near) const;

    /// Bytes of the results by hall, from the result sizes that the pipeline specifies.
    BytesByHall bytes_by_hall(const std::vector<std::string>& handles,
                              const CallDialect& dialect) const;

    /// The transfers that decide in which hall the stage is made.
    StageTransfer transfer_of(std::size_t stage, const CallDialect& dialect) const;

    std::vector<PieceHandle> with_set_names(const std::vector<std::string>& handles) const;

    const PiecesRequest wanted;
    PiecePlan plan;
    Done done;
    std::string near; ///< hall for the results
    std::vector<Micros> started_at; ///< by stage; 0: not started
    bool failed = false;
    bool cancelled = false;
    int running = 0; ///< stages in progress
    int leaders_asked = 0; ///< leaders that have not answered the capacity queries
    /// Sets whose leaders may have promised capacity that was not used by an order.
    std::set<std::string> promised;
    std::vector<std::string> refused_by; ///< sets whose leaders refused the request
    Micros retry_after = 0; ///< longest time of these leaders
    std::set<std::shared_ptr<CallHandle>> calls; ///< to other daemons
    std::set<std::shared_ptr<PieceMaker::Ticket>> tickets; ///< at this daemon
    BootTimer changed;
};

} // namespace cypressford
