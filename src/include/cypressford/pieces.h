// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Pieces of work that requests need before their stages: in what order one
/// request's pieces are made, and which pieces of many requests share a call.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <cypressford/upstream.h>

namespace cypressford {

/// The pieces of one request: which of them can be made now, from what, and what
/// the request itself is to read in the end.
class PiecePlan {
public:
    /// `counts`: pieces by stage; 0 leaves a stage out.
    PiecePlan(const std::vector<PieceStageSpec>& stages, std::vector<int> counts);

    /// Stages that have all they need and were not given out before.
    std::vector<std::size_t> take_ready();

    int count(std::size_t stage) const { return m_counts[stage]; }
    /// Results that every piece of the stage is to read; empty for a first stage.
    std::vector<std::string> inputs_of(std::size_t stage) const;
    /// The results of a whole stage, one for each piece.
    void stage_made(std::size_t stage, std::vector<std::string> handles);

    bool is_done() const;
    /// Results of the stages after which no other comes.
    std::vector<std::string> final_inputs() const;
    /// Results that nothing will read any more, once each.
    std::vector<std::string> take_spent();
    /// All results that are not spent.
    std::vector<std::string> unspent() const;

private:
    struct Stage {
        std::vector<std::size_t> after; ///< stages left out are left out here too
        bool given_out = false;
        bool made = false;
        bool spent = false;
        std::vector<std::string> handles;
    };

    bool is_last(std::size_t stage) const;
    bool is_ready(const Stage& stage) const;
    bool has_readers_left(std::size_t stage) const;

    std::vector<int> m_counts;
    std::vector<Stage> m_stages;
};

/// Shortest time for a request's pieces if nothing waits: the longest way through
/// its stages, by what the sets say of their calls.
Micros pieces_time(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                   const std::vector<int>& counts);

using PieceId = std::uint64_t;

/// A piece that waits for its call.
struct WaitingPiece {
    int priority = 0;
    Micros deadline = 0;
    PieceId id = 0;

    auto operator<=>(const WaitingPiece&) const = default;
};

/// A call that is to be made now.
struct PieceCall {
    std::shared_ptr<UpstreamState> upstream;
    std::vector<PieceId> pieces;
};

/// The pieces that wait for one upstream set at the daemon that leads it.  Calls
/// start as soon as an upstream has a free slot and take all that waits up to the
/// set's bound: under load the waiting pieces fill the calls by themselves.
class PieceQueue {
public:
    void add(const WaitingPiece& piece);
    /// False if it does not wait (any more).
    bool remove(PieceId id);
    std::size_t size() const { return m_waiting.size(); }

    /// The next call, if a piece waits and an upstream is free; to be asked until
    /// it has none.  Pieces avoid the upstream in `avoid` while there are others.
    std::optional<PieceCall> next_call(const UpstreamSet& set, Micros now);

    /// Until a piece that comes now would be made, over its own call's time.
    Micros expected_wait(const UpstreamSet& set, Micros now) const;

    /// The upstream is left alone for a while: it was full or failed.
    void rest(const UpstreamState& upstream, Micros until);

private:
    bool is_free(const UpstreamState& upstream, const UpstreamSet& set, Micros now) const;

    std::set<WaitingPiece> m_waiting;
    std::unordered_map<PieceId, WaitingPiece> m_by_id;
    std::unordered_map<const UpstreamState*, Micros> m_resting;
    std::uint64_t m_turn = 0;
};

} // namespace cypressford
