// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Pieces: intermediate results that requests need before their stages.  Decides in which
/// order the pieces of one request are made, and which pieces of different requests
/// share a call.

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <cypressford/policy.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Stages to start now, and when to check the others again.
struct ReadyStages {
    std::vector<std::size_t> now;
    /// Time until the next held-back stage should start; unset: no stage is held back.
    std::optional<Micros> next_in;
};

/// The pieces of one request: which stages can be made now, from which inputs, and which
/// results the request itself reads at the end.
class PiecePlan {
public:
    /// `counts`: pieces by stage; 0 leaves a stage out.
    PiecePlan(const std::vector<PieceStageSpec>& stages, std::vector<int> counts);

    /// Stages whose inputs are all made; each stage is returned once.
    std::vector<std::size_t> take_ready();

    /// Like take_ready(), but holds back stages that should start later: results that are
    /// read together should be made together, so that none takes memory while it waits for
    /// the others.  `left`: time until each stage is made if it starts now, 0 for stages
    /// that are made.  A stage whose start is due within `tolerance` starts now.
    ReadyStages take_due(const std::vector<Micros>& left, Micros tolerance);

    int count(std::size_t stage) const { return m_counts[stage]; }
    /// Results that every piece of the stage reads; empty for a first stage.
    std::vector<std::string> inputs_of(std::size_t stage) const;
    /// Records that a whole stage is made: its results, one for each piece.
    void set_stage_results(std::size_t stage, std::vector<std::string> handles);

    bool is_made(std::size_t stage) const { return m_stages[stage].made; }
    bool is_done() const;
    /// Results of the stages that no other stage reads.
    std::vector<std::string> final_inputs() const;
    /// Results without a remaining reader; each result is returned once.
    std::vector<std::string> take_releasable();
    /// True if only the request itself reads the results of the stage.
    bool is_last(std::size_t stage) const;
    /// The stage that produced the result; 0 if the handle is unknown.
    std::size_t stage_of(const std::string& handle) const;
    /// All results that have not been released.
    std::vector<std::string> unreleased() const;

private:
    struct Stage {
        std::vector<std::size_t> after; ///< input stages, without those that have no pieces
        bool dispatched = false;
        bool made = false;
        bool released = false;
        std::vector<std::string> handles;
    };

    bool is_ready(const Stage& stage) const;
    std::vector<Micros> slack_by_stage(const std::vector<Micros>& left) const;
    bool has_readers_left(std::size_t stage) const;

    std::vector<int> m_counts;
    std::vector<Stage> m_stages;
};

/// Estimated time of a call with that number of pieces, at most a full call, from the call
/// and item times in the set's specification; 0 if the set makes no pieces.
Micros call_time(const UpstreamSetSpec& set, int pieces);
Micros full_call_time(const UpstreamSetSpec& set);

/// Shortest time for a request's pieces if nothing queues: the longest path through its
/// stages, from the estimated call times of the sets.
Micros pieces_time(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                   const std::vector<int>& counts);

/// Estimated time from the start of one stage to the end of the last, with full calls.
Micros time_from_stage(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                       const std::vector<int>& counts, std::size_t stage);

using PieceId = std::uint64_t;

/// A piece in the queue for a call.
struct WaitingPiece {
    PieceId id = 0;
    /// Pieces of one group are useful only together.  They have consecutive ids and the
    /// same requirements.
    PieceId group = 0;
    int priority = 0;
    Micros due = 0; ///< latest start for which the request is still answered promptly
    Micros deadline = 0; ///< of its request
    Micros queued_at = 0;
    std::int64_t result_bytes = 0;
    std::string near; ///< hall where its result should be made; empty: anywhere
    HallLimit halls; ///< the only halls where it may be made
};

/// Pieces that were left out of a call that is not full, by reason.
struct SkippedPieces {
    int memory = 0; ///< the upstream has no memory for their results
    int hall = 0; ///< they wait for an upstream in another hall
    int group = 0; ///< their group did not fit as a whole
};

/// A call to send now.
struct PieceCall {
    std::shared_ptr<UpstreamState> upstream;
    std::vector<PieceId> pieces;
    SkippedPieces skipped;
    /// The upstream was chosen for its free memory and not by round robin.
    bool roomiest = false;
};

/// Memory taken by results at the upstreams of one set, as recorded by the daemon that
/// leads the set.  A result whose release is not reported counts until its retention
/// period ends.
class ResultMemory {
public:
    /// Bytes that are free at the upstream; the maximum value if no limit is known.
    std::int64_t free_bytes(const UpstreamState& upstream, const BatchSpec& batch,
                            Micros now);

    /// Reserves memory for a result that is to be made at the upstream.
    void reserve(const UpstreamState& upstream, PieceId piece, std::int64_t bytes,
                 Micros until);
    /// Records the handle of a piece's result.
    void set_handle(PieceId piece, const std::string& handle);
    /// The upstream reports that it has no memory: no piece is sent there until `until`,
    /// and a larger margin of memory is left free at every upstream of the set.
    void record_full(const UpstreamState& upstream, Micros until);
    /// All results of a call found memory; `left`: bytes that were estimated to be free.
    void record_fit(const BatchSpec& batch, std::int64_t left);
    /// Frees the memory reserved for a piece that produced no result.
    void release(PieceId piece);
    /// Frees the memory of a result that was released.
    void release(const std::string& handle);

private:
    struct Reservation {
        const UpstreamState* upstream = nullptr;
        std::int64_t bytes = 0;
        Micros until = 0;
        std::string handle;
    };

    void expire(Micros now);

    std::unordered_map<PieceId, Reservation> m_reservations;
    std::unordered_map<std::string, PieceId> m_by_handle;
    std::unordered_map<const UpstreamState*, std::int64_t> m_bytes;
    std::set<std::pair<Micros, PieceId>> m_expiries;
    std::unordered_map<const UpstreamState*, Micros> m_full_until;
    /// Fraction of the memory that is left free, since results differ in size and only
    /// their mean is known.  Grows with each refusal, shrinks while calls fit.
    double m_margin = 0.04;
};

/// The pieces that wait for one upstream set at the daemon that leads it.  Calls start as
/// soon as an upstream has a free slot and take all waiting pieces up to the set's batch
/// size, so that calls are full under load without a batching delay.
///
/// Pieces are ordered by priority.  Within a priority, pieces that can still be prompt go
/// first, ordered by due time.  A piece waits briefly for an upstream in the hall where its
/// result is wanted (delay scheduling, Zaharia et al., 2010), then accepts any upstream,
/// and groups stay together.  When the queue is long, full calls take precedence over both.
///
/// Thousands of pieces wait in a burst, and the queue is examined after each order, release
/// and ended call.  The cost of an examination therefore depends on the size of a call and
/// not on the number of waiting pieces.  Pieces that become late or overdue cost O(log n)
/// each, once.
class PieceQueue {
public:
    explicit PieceQueue(PolicySwitches switches = {})
        : m_switches(switches)
    {
    }

    void add(const WaitingPiece& piece);
    /// False if the piece is not in the queue.
    bool remove(PieceId id);
    std::size_t size() const { return m_by_id.size(); }
    /// Number of waiting pieces by priority.
    const std::array<int, kLowestPriority + 1>& queued_by_priority() const
    {
        return m_queued;
    }

    /// Number of times that a waiting piece was visited by next_call() or take_overdue()
    /// since the queue was created: the cost of examinations.
    std::uint64_t visits() const { return m_visits; }

    /// The next call, if a piece waits and an upstream is free for it.  To be called until
    /// it returns none, and again after hall_wait_limit().
    ///
    /// A call whose size is limited by the memory for results goes to the free upstream
    /// with memory for the most pieces (Mechanism::RoomiestUpstream), since a call has a
    /// fixed time that does not depend on its size.
    std::optional<PieceCall> next_call(const UpstreamSet& set, Micros now);

    /// Longest time that a piece waits for an upstream of its hall.
    static Micros hall_wait_limit(const UpstreamSet& set, const WaitingPiece& piece);

    /// Memory taken by results at the upstreams.
    ResultMemory& memory() { return m_memory; }

    /// Expected queueing time of a piece of that priority that is added now, without the
    /// time of its own call.
    Micros expected_wait(const UpstreamSet& set, int priority, Micros now) const;

    /// Removes and returns the pieces that can no longer be prompt and have then waited for
    /// longer than a full call without an upstream becoming free.
    std::vector<PieceId> take_overdue(const UpstreamSet& set, Micros now);

    /// Sends no calls to a full upstream until `until`.
    void back_off(const UpstreamState& upstream, Micros until);
    /// Sends no calls to an upstream that failed for a period that doubles with each
    /// failure in a row, then probes it with one group of pieces.
    void record_failure(const UpstreamState& upstream, Micros now);
    void record_success(const UpstreamState& upstream) { m_failures.erase(&upstream); }

private:
    /// Sort key of the waiting pieces.
    struct Rank {
        int priority = 0;
        bool late = false; ///< can no longer be prompt
        Micros due = 0;
        PieceId id = 0;

        auto operator<=>(const Rank&) const = default;
    };
    using Ranks = std::set<Rank>;
    using Times = std::set<std::pair<Micros, PieceId>>;
    struct Waiting {
        WaitingPiece piece;
        bool late = false; ///< can no longer be prompt
    };
    /// The waiting pieces of a group.
    struct Group {
        std::set<PieceId> ids;
        /// The earliest of its pieces; those that were sent before are queued again later.
        Micros queued_at = 0;
    };
    /// An upstream with a free slot, and the free memory for results there.
    struct FreeUpstream {
        std::shared_ptr<UpstreamState> upstream;
        std::int64_t memory = 0; ///< bytes
    };
    using Upstreams = std::vector<FreeUpstream>;
    /// Upstream of the next call and the first waiting piece that may go there.
    struct Choice {
        std::shared_ptr<UpstreamState> upstream; ///< null: no piece can be sent
        const WaitingPiece* piece = nullptr;
    };

    static Rank rank_of(const Waiting& waiting)
    {
        const WaitingPiece& piece = waiting.piece;
        return {piece.priority, waiting.late, piece.due, piece.id};
    }
    /// Time from which a late piece waits for longer than it can use.
    static Micros late_since(const WaitingPiece& piece)
    {
        return std::max(piece.due, piece.queued_at);
    }
    const WaitingPiece& piece_of(const Rank& rank) const
    {
        return m_by_id.at(rank.id).piece;
    }
    void demote_late(Micros now);
    bool is_free(const UpstreamState& upstream, const UpstreamSet& set, Micros now) const;
    std::int64_t free_memory(const UpstreamState& upstream, const UpstreamSet& set,
                             Micros now);
    static Micros result_expiry(const UpstreamSet& set, Micros now);
    bool has_free_upstream(const UpstreamSet& set, Micros now) const;
    Upstreams free_upstreams(const UpstreamSet& set, Micros now);
    std::shared_ptr<UpstreamState> upstream_for(const WaitingPiece& piece,
                                                const Upstreams& free,
                                                const UpstreamSet& set, bool saturated,
                                                Micros now);
    Choice choose(const Upstreams& free, const UpstreamSet& set, bool saturated,
                  Micros now);
    std::shared_ptr<UpstreamState> roomiest_for(const Choice& choice, const Upstreams& free,
                                                const UpstreamSet& set, bool saturated,
                                                Micros now) const;
    /// Which pieces a pass over the queue may add to a call.
    struct FillRule {
        bool any_hall = false; ///< also pieces that could still wait for their hall
        bool split = false; ///< also parts of groups
    };
    void fill(PieceCall& call, const UpstreamSet& set, FillRule rule, Micros now);
    Ranks::iterator skip(Ranks::iterator it, const Group& group) const;
    Ranks::iterator take(PieceCall& call, Ranks::iterator it, const UpstreamSet& set,
                         Micros now);
    SkippedPieces count_skipped(const PieceCall& call, const UpstreamSet& set, Micros now);
    /// True if more pieces wait than the upstreams take in half a round of full calls.
    bool is_saturated(const UpstreamSet& set, Micros now) const;
    bool waits_for_hall(const WaitingPiece& piece, const UpstreamSet& set,
                        Micros now) const;
    void take_probe(PieceCall& call, const UpstreamSet& set, Micros now);
    void erase(PieceId id);

    PolicySwitches m_switches;
    Ranks m_waiting;
    std::unordered_map<PieceId, Waiting> m_by_id;
    Times m_prompt_by_due; ///< pieces that are not late
    Times m_late_by_time; ///< late pieces by late_since()
    std::array<int, kLowestPriority + 1> m_queued {};
    std::array<int, kLowestPriority + 1> m_late_queued {}; ///< late pieces by priority
    std::unordered_map<PieceId, Group> m_groups;
    std::uint64_t m_visits = 0;
    std::unordered_map<const UpstreamState*, Micros> m_backed_off;
    std::unordered_map<const UpstreamState*, int> m_failures; ///< consecutive failures
    ResultMemory m_memory;
    std::uint64_t m_rotation = 0;
};

/// Bytes of results by hall.
using BytesByHall = std::map<std::string, std::int64_t>;

/// The transfers between halls that depend on where a stage is made.
struct StageTransfer {
    BytesByHall inputs; ///< every piece fetches all of them
    int pieces = 0;
    std::int64_t result_bytes = 0; ///< of all pieces
    std::string reader; ///< hall where the results are read; empty: not known yet
};

/// The hall where making a stage moves the fewest bytes between halls; the reader's hall
/// if several are equal.  Empty if the saving is too small to wait for an upstream of a
/// certain hall, so that pieces should go wherever an upstream is free.
std::string hall_of_least_transfer(const StageTransfer& transfer);

/// The hall with the most bytes; empty if there are none.
std::string hall_with_most_bytes(const BytesByHall& bytes);

/// Each hall's fraction of the usable upstreams for a request's pieces: the smallest
/// fraction over the sets that the request needs.
std::map<std::string, double> hall_parts(const Snapshot& snapshot,
                                         const ResolvedPipeline& pipeline,
                                         const std::vector<int>& counts, Micros now);

/// A random hall, weighted by hall_parts(), for the results of a request whose reader may
/// be in any hall.
std::string choose_hall(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                        const std::vector<int>& counts, std::uint64_t random, Micros now);

} // namespace cypressford
