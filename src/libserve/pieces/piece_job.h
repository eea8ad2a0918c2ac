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
#include "libutil/boot_clock.h"
#include "libutil/http_client.h"

namespace cypressford {

/// The pieces that one request needs.
struct PiecesWanted {
    SnapshotPtr snapshot;
    std::size_t pipeline = 0;
    std::vector<int> counts; ///< by piece stage
    std::string attempt; ///< the request's id at upstreams
    std::string piece_key;
    int priority = 0;
    Micros deadline = 0;
    Micros prompt_by = 0; ///< when the pieces must be made for a prompt answer
    std::string near; ///< hall for the results; empty: where the prompt is kept
    bool follows_prompt = false; ///< the upstream that keeps the prompt decides the hall
    std::string reader_set; ///< the set whose leader chooses an upstream; empty: none
    PromptQuery prompt;
    HallLimit halls; ///< where pieces are made and the prompt is read
    bool again = false; ///< they were made before: this is a retry at each set
};

/// A result with the set that it belongs to.
struct PieceHandle {
    std::string upstream_set;
    std::string handle;
};

/// What became of them.
struct PiecesMade {
    bool made = false;
    std::vector<PieceHandle> inputs; ///< results that the request is to read
    std::string hall; ///< where most of their bytes are
    std::string identity; ///< of the upstream that is to read them; empty: any
    bool is_counted = false; ///< the leader has counted that against the upstream's limit
};

/// One request's pieces on their way.
struct PieceJob {
    using Done = std::function<void(PiecesMade)>;

    PieceJob(boost::asio::io_context& io, PiecesWanted wanted_, Done done_)
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
    /// The engines of which one is to read the prompt.
    const UpstreamSet& reader_set() const;
    const UpstreamSet& set_of(std::size_t stage) const
    {
        return wanted.snapshot->sets[resolved().piece_sets[stage]];
    }

    /// Time until each stage is made, if it starts now: its call, and what such pieces
    /// waited of late.
    std::vector<Micros> time_left(Micros now) const;

    /// Engines that this daemon can not use now; the leader may not know of it.
    std::vector<std::string> unusable(Micros now) const;

    /// What this daemon has heard of limits that engines name.
    LimitWords limit_reports(Micros now) const;
    /// Takes over what the leader has heard of them.
    void receive_limit_reports(const LimitWords& words, Micros now) const;

    /// The order of a stage; its `due_left` is a point in time.
    PieceOrder order_for(std::size_t stage, std::string near) const;

    /// Where results lie, and how large they are by what the pipeline says of them.
    BytesByHall bytes_by_hall(const std::vector<std::string>& handles,
                              const CallDialect& dialect) const;

    /// What decides in which hall a stage is best made.
    StageTransfer transfer_of(std::size_t stage, const CallDialect& dialect) const;

    std::vector<PieceHandle> with_sets(const std::vector<std::string>& handles) const;

    const PiecesWanted wanted;
    PiecePlan plan;
    Done done;
    std::string near; ///< hall for the results
    std::vector<Micros> started_at; ///< by stage; 0: not yet
    bool failed = false;
    bool cancelled = false;
    int running = 0; ///< stages under way
    std::set<std::shared_ptr<CallHandle>> calls; ///< at other daemons
    std::set<std::shared_ptr<PieceMaker::Ticket>> tickets; ///< at this one
    BootTimer changed;
};

} // namespace cypressford
