// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Pieces of work that requests need before their stages: in what order one
/// request's pieces are made, and which pieces of many requests share a call.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <cypressford/policy.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Stages to start now, and when the others are to be looked at.
struct ReadyStages {
    std::vector<std::size_t> now;
    std::optional<Micros> next_in; ///< time until the next one should start; none waits
};

/// The pieces of one request: which of them can be made now, from what, and what
/// the request itself is to read in the end.
class PiecePlan {
public:
    /// `counts`: pieces by stage; 0 leaves a stage out.
    PiecePlan(const std::vector<PieceStageSpec>& stages, std::vector<int> counts);

    /// Stages that have all they need and were not given out before.
    std::vector<std::size_t> take_ready();

    /// The same, but without those that had better start later: results that are read
    /// together are to be made together, so that none takes memory while it waits for
    /// the others.  `left`: time until each stage is made if it starts now, 0 for those
    /// that are made.  A stage that starts within `tolerance` starts now.
    ReadyStages take_due(const std::vector<Micros>& left, Micros tolerance);

    int count(std::size_t stage) const { return m_counts[stage]; }
    /// Results that every piece of the stage is to read; empty for a first stage.
    std::vector<std::string> inputs_of(std::size_t stage) const;
    /// The results of a whole stage, one for each piece.
    void stage_made(std::size_t stage, std::vector<std::string> handles);

    bool is_made(std::size_t stage) const { return m_stages[stage].made; }
    bool is_done() const;
    /// Results of the stages after which no other comes.
    std::vector<std::string> final_inputs() const;
    /// Results that nothing will read any more, once each.
    std::vector<std::string> take_releasable();
    /// True if nothing but the request itself reads the results of the stage.
    bool is_last(std::size_t stage) const;
    /// The stage that a result is of.
    std::size_t stage_of(const std::string& handle) const;
    /// All results that are not released.
    std::vector<std::string> unreleased() const;

private:
    struct Stage {
        std::vector<std::size_t> after; ///< stages left out are left out here too
        bool given_out = false;
        bool made = false;
        bool released = false;
        std::vector<std::string> handles;
    };

    bool is_ready(const Stage& stage) const;
    std::vector<Micros> slack_of_stages(const std::vector<Micros>& left) const;
    bool has_readers_left(std::size_t stage) const;

    std::vector<int> m_counts;
    std::vector<Stage> m_stages;
};

/// Time of a call with so many pieces, or of a full one if they are more, by what the
/// set says of its calls.
Micros call_time(const UpstreamSetSpec& set, int pieces);
Micros full_call_time(const UpstreamSetSpec& set);

/// Shortest time for a request's pieces if nothing waits: the longest way through
/// its stages, by what the sets say of their calls.
Micros pieces_time(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                   const std::vector<int>& counts);

/// The same from the start of one stage to the end of the last, in full calls.
Micros time_from_stage(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                       const std::vector<int>& counts, std::size_t stage);

using PieceId = std::uint64_t;

/// A piece that waits for its call.
struct WaitingPiece {
    PieceId id = 0;
    PieceId group = 0; ///< pieces that are of use only together
    int priority = 0;
    Micros due = 0; ///< latest start if the request is to be answered promptly
    Micros deadline = 0; ///< of its request
    Micros queued_at = 0;
    std::int64_t result_bytes = 0;
    std::string near; ///< hall where its result is wanted; empty: anywhere
    HallLimit halls; ///< it may be made there only
};

/// Pieces that stayed behind when a call left that was not full, by what kept them.
struct LeftBehind {
    int memory = 0; ///< the upstream has no memory for their results
    int hall = 0; ///< they wait for an upstream of another hall
    int group = 0; ///< their whole group did not fit
};

/// A call that is to be made now.
struct PieceCall {
    std::shared_ptr<UpstreamState> upstream;
    std::vector<PieceId> pieces;
    LeftBehind left;
};

/// Memory that results take at the upstreams of one set, as far as the daemon that
/// leads it knows.  What it is not told of ends with the time results are kept.
class ResultMemory {
public:
    /// Bytes that are free at the upstream; it never ends where no bound is known.
    std::int64_t free_bytes(const UpstreamState& upstream, const BatchSpec& batch,
                            Micros now);

    /// A result is to be made there.
    void take(const UpstreamState& upstream, PieceId piece, std::int64_t bytes,
              Micros until);
    /// The result has got this name.
    void name(PieceId piece, const std::string& handle);
    /// The upstream says that it has no memory: nothing goes there until `until`, and
    /// more memory is left free everywhere.
    void note_full(const UpstreamState& upstream, Micros until);
    /// All results of a call found memory, and `left` bytes were believed to be free.
    void note_fit(const BatchSpec& batch, std::int64_t left);
    /// No result came of it.
    void give_back(PieceId piece);
    /// The result of that name was released.
    void give_back(const std::string& handle);

private:
    struct Taken {
        const UpstreamState* upstream = nullptr;
        std::int64_t bytes = 0;
        Micros until = 0;
        std::string handle;
    };

    void expire(Micros now);

    std::unordered_map<PieceId, Taken> m_taken;
    std::unordered_map<std::string, PieceId> m_by_handle;
    std::unordered_map<const UpstreamState*, std::int64_t> m_bytes;
    std::set<std::pair<Micros, PieceId>> m_ends;
    std::unordered_map<const UpstreamState*, Micros> m_full_until;
    /// Part of the memory that is left free, since results are of different sizes and
    /// only their mean is known.  Grows with each refusal, shrinks while calls fit.
    double m_margin = 0.04;
};

/// The pieces that wait for one upstream set at the daemon that leads it.  Calls
/// start as soon as an upstream has a free slot and take all that waits up to the
/// set's bound: under load the waiting pieces fill the calls by themselves.
///
/// Pieces go by priority; within one, those that can still be prompt go first, by the
/// time they are due.  A piece waits a moment for an upstream of the hall where its
/// result is wanted (delay scheduling, Zaharia et al., 2010), then takes any, and groups
/// stay together.  When much waits, full calls come before both.
class PieceQueue {
public:
    explicit PieceQueue(PolicySwitches switches = {})
        : m_switches(switches)
    {
    }

    void add(const WaitingPiece& piece);
    /// False if it does not wait (any more).
    bool remove(PieceId id);
    std::size_t size() const { return m_by_id.size(); }

    /// The next call, if a piece waits and an upstream is free for it; to be asked
    /// until it has none, and again after hall_wait_limit().
    std::optional<PieceCall> next_call(const UpstreamSet& set, Micros now);

    /// How long a piece waits for an upstream of its hall.
    static Micros hall_wait_limit(const UpstreamSet& set, const WaitingPiece& piece);

    /// What the results at the upstreams take.
    ResultMemory& memory() { return m_memory; }

    /// Until a piece of that priority that comes now would be made, over its own
    /// call's time.
    Micros expected_wait(const UpstreamSet& set, int priority, Micros now) const;

    /// Takes out pieces that are not worth waiting any longer: they can't be prompt,
    /// and no upstream was idle for them for the time of a call.
    std::vector<PieceId> take_overdue(const UpstreamSet& set, Micros now);

    /// The upstream is left alone for a while: it was full.
    void back_off(const UpstreamState& upstream, Micros until);
    /// It failed: left alone for a while that doubles each time, then tried with one
    /// group of pieces.
    void record_failure(const UpstreamState& upstream, Micros now);
    void record_success(const UpstreamState& upstream) { m_failures.erase(&upstream); }

private:
    /// Order of the pieces that wait.
    struct Rank {
        int priority = 0;
        bool late = false; ///< can't be prompt any more
        Micros due = 0;
        PieceId id = 0;

        auto operator<=>(const Rank&) const = default;
    };
    using Ranks = std::set<Rank>;
    /// An upstream with a free slot, and the memory for results there.
    struct FreeUpstream {
        std::shared_ptr<UpstreamState> upstream;
        std::int64_t memory = 0; ///< bytes
    };
    using Upstreams = std::vector<FreeUpstream>;

    Rank rank_of(const WaitingPiece& piece) const
    {
        return {piece.priority, m_late.contains(piece.id), piece.due, piece.id};
    }
    void move_late(Micros now);
    bool is_free(const UpstreamState& upstream, const UpstreamSet& set, Micros now) const;
    std::int64_t free_memory(const UpstreamState& upstream, const UpstreamSet& set,
                             Micros now);
    static Micros kept_until(const UpstreamSet& set, Micros now);
    bool has_free_upstream(const UpstreamSet& set, Micros now) const;
    Upstreams free_upstreams(const UpstreamSet& set, Micros now);
    std::shared_ptr<UpstreamState> upstream_for(const WaitingPiece& piece,
                                                const Upstreams& free,
                                                const UpstreamSet& set, bool saturated,
                                                Micros now);
    std::shared_ptr<UpstreamState> choose(const Upstreams& free, const UpstreamSet& set,
                                          bool saturated, Micros now);
    /// What a pass over the waiting pieces may take into a call.
    struct FillRule {
        bool any_hall = false; ///< also pieces that could wait for their hall
        bool split = false; ///< also a part of a group
    };
    void fill(PieceCall& call, const UpstreamSet& set, FillRule rule, Micros now);
    LeftBehind left_behind(const PieceCall& call, const UpstreamSet& set, Micros now);
    /// True if more waits than the upstreams take in half a round.
    bool is_saturated(const UpstreamSet& set, Micros now) const;
    bool waits_for_hall(const WaitingPiece& piece, const UpstreamSet& set,
                        Micros now) const;
    void take_probe(PieceCall& call, const UpstreamSet& set, Micros now);
    void forget(PieceId id);

    PolicySwitches m_switches;
    Ranks m_waiting;
    std::unordered_set<PieceId> m_late; ///< of those that wait
    std::unordered_map<PieceId, WaitingPiece> m_by_id;
    std::unordered_map<PieceId, std::size_t> m_group_sizes; ///< pieces that wait
    std::unordered_map<const UpstreamState*, Micros> m_backed_off;
    std::unordered_map<const UpstreamState*, int> m_failures; ///< in a row
    ResultMemory m_memory;
    std::uint64_t m_turn = 0;
};

/// Bytes of results, by the hall that they lie in.
using BytesByHall = std::map<std::string, std::int64_t>;

/// What decides in which hall a stage is best made.
struct StageTransfer {
    BytesByHall inputs; ///< each piece fetches all of them
    int pieces = 0;
    std::int64_t result_bytes = 0; ///< of all pieces
    std::string reader; ///< hall where the results will be read; empty: not known yet
};

/// The hall where a stage moves the fewest bytes between halls, the reader's if several
/// are equal; empty if so little is at stake that its pieces had better go wherever an
/// upstream is free.
std::string hall_of_least_transfer(const StageTransfer& transfer);

/// The hall with the most bytes; empty without any.
std::string main_hall(const BytesByHall& bytes);

/// The part that each hall has of the upstreams of a request's pieces, by the set
/// that it has least of.
std::map<std::string, double> hall_parts(const Snapshot& snapshot,
                                         const ResolvedPipeline& pipeline,
                                         const std::vector<int>& counts, Micros now);

/// A hall for the results of a request whose reader may be anywhere: at random, by
/// those parts.
std::string choose_hall(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                        const std::vector<int>& counts, std::uint64_t random, Micros now);

} // namespace cypressford
