// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The life of requests as decisions: events and a time go in, actions come
/// out.  No I/O, no clock and no randomness of its own, so that the same code
/// runs in a daemon, in another program and under a fuzzer with virtual time.

#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <cypressford/admission.h>
#include <cypressford/latency.h>
#include <cypressford/policy.h>
#include <cypressford/retry_budget.h>
#include <cypressford/router.h>
#include <cypressford/upstream.h>
#include <cypressford/upstream_use.h>

namespace cypressford {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// A request as it asks to come in.
struct RequestSpec {
    RequestId id = 0;
    SnapshotPtr snapshot; ///< the bundle this request lives in to its end
    std::size_t pipeline = 0; ///< index into snapshot->bundle->pipelines
    std::size_t account = 0; ///< index into snapshot->bundle->accounts
    Micros deadline = 0; ///< point in time
    bool has_key = false; ///< the caller gave an Idempotency-Key
    std::uint64_t affinity = 0;
    std::int64_t shared_tokens = -1; ///< of the prompt; -1: not known
    /// Pieces that must be made before the stages, by piece stage of the
    /// pipeline; 0 leaves a piece stage out.
    std::vector<int> pieces;

    HallLimit halls; ///< where it may be worked on
    /// Whoever leads the upstream set is asked which upstream is to have it.
    bool asks_leader = false;

    bool needs_pieces() const
    {
        return std::any_of(pieces.begin(), pieces.end(), [](int n) { return n > 0; });
    }
};

/// How an attempt ended, as far as the driver can tell.
enum class AttemptStatus : unsigned char {
    Ok, ///< whole answer
    NotSent, ///< no byte of the request left, or it was refused unread
    Overloaded, ///< the upstream says it did not run it: too much work
    Leaving, ///< the upstream says it did not run it: it is leaving
    Failed, ///< the upstream answered with an error; it may have run
    Lost, ///< no whole answer; it may have run
    Rejected, ///< the upstream finds the request itself wrong
    InputGone, ///< not run: a result it was to read is gone
    Withheld, ///< not sent: the upstream takes no calls since it was chosen
    Quarantined, ///< not sent: no upstream is to have the request any more
};

/// How the claim for a key was decided.
enum class ClaimResult : unsigned char {
    Won, ///< this request may send, once
    Replayed, ///< it ran before; the driver holds the recorded answer
    Mismatch, ///< the key belongs to another request
    InProgress, ///< claimed by another attempt that has no outcome yet
    Unknown, ///< it was claimed before and its outcome is not known
    Expired, ///< too old to tell
    Unavailable, ///< the log did not answer in time; nothing will be sent
};

/// What becomes of a claim that was won.
enum class ClaimOutcome : unsigned char { NotRun, Done, Unknown };

// Events.
struct RequestArrived {
    RequestSpec request;
};
struct AttemptEnded {
    AttemptId attempt = 0;
    AttemptStatus status = AttemptStatus::Lost;
};
/// The upstream has begun to answer.
struct AttemptBegun {
    AttemptId attempt = 0;
};
struct ClaimDecided {
    RequestId request = 0;
    ClaimResult result = ClaimResult::Unavailable;
};
struct CallerClosed {
    RequestId request = 0;
};
/// The pieces of a request are made and an upstream is chosen for it, or the pieces
/// can't be made.
struct PreparationEnded {
    RequestId request = 0;
    bool made = false;
    std::string hall; ///< where most of the results are; empty if unknown
    std::string identity; ///< of the upstream that is to have it; empty: any
    bool is_counted = false; ///< the leader has counted it against that upstream's limit
};
/// The upstream's answer shows that it has read the results that the request was
/// prepared with.
struct InputsRead {
    AttemptId attempt = 0;
};
/// The daemon ends in a moment: what runs nowhere is answered now.
struct StopEnds { };
struct Tick { };
using Event = std::variant<RequestArrived, AttemptBegun, AttemptEnded, ClaimDecided,
                           CallerClosed, PreparationEnded, InputsRead, StopEnds, Tick>;

// Actions.
/// Send stage `stage` of `request` to `upstream`.
struct SendAttempt {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::size_t stage = 0;
    std::shared_ptr<UpstreamState> upstream;
    Micros deadline = 0;
    bool may_repeat = true; ///< false: at most one send for this key, ever
    CallCount count = CallCount::Own; ///< what begin_call() takes it from
};
/// Give up on an attempt; its end is still to be reported.
struct CancelAttempt {
    AttemptId attempt = 0;
};
/// Decide the claim for the key of `request` by `deadline`.
struct BeginClaim {
    RequestId request = 0;
    Micros deadline = 0;
};
/// Have the pieces of `request` made by `deadline`, and an upstream chosen.
struct BeginPreparation {
    RequestId request = 0;
    Micros deadline = 0;
    Micros prompt_by = 0; ///< when they must be made for a prompt answer
    bool follows_prompt = false; ///< the upstream that keeps its prompt decides the hall
    std::string near; ///< hall for the results otherwise
    bool again = false; ///< they were made before and are gone
};
/// Release the results that `request` was prepared with: nothing will read them.
struct ReleaseInputs {
    RequestId request = 0;
};
/// Tell whoever chose the upstream of `request` that it could not be reached.
struct ReportUnreached {
    RequestId request = 0;
};
/// Give up on the pieces of `request`.
struct CancelPreparation {
    RequestId request = 0;
};
/// Record what became of the claim of `request`.
struct EndClaim {
    RequestId request = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
};
/// The final answer to the caller.
struct Reply {
    RequestId request = 0;
    std::optional<ErrorKind> error; ///< nothing: the answer of the last stage
    Ran ran = Ran::NotRun;
    Micros retry_after = 0;
    bool replayed = false; ///< answer with the recorded outcome
    Micros expected = 0; ///< refused at the door: how long it would have taken
};
/// The scheduler has forgotten `request`; nothing more comes for it.
struct Forget {
    RequestId request = 0;
};
using Action
    = std::variant<SendAttempt, CancelAttempt, BeginClaim, EndClaim, BeginPreparation,
                   CancelPreparation, ReleaseInputs, ReportUnreached, Reply, Forget>;
using Actions = std::vector<Action>;

/// Settings of a scheduler; the bundle knows nothing of these.
struct SchedulerOptions {
    int daemons_in_hall = 1; ///< how many share the hall's upstreams
    int schedulers = 1; ///< schedulers (threads) in this daemon
    std::size_t max_waiting = 2000; ///< requests in all queues together
    double retry_ratio = 0.1; ///< retries earned by each first attempt
    double retry_burst = 10; ///< retries that may come at once
    int max_attempts = 4; ///< of one stage of one request
    double hedge_ratio = 0.05; ///< hedges earned by each first attempt
    double hedge_burst = 2; ///< hedges that may come at once
    RetryLimit retry_limit; ///< over all daemons; comes before the four above if set
    bool hedging = true;
    bool eject = true; ///< take failing upstreams out for a while
    PolicySwitches switches;
    /// Callers that are refused while all upstreams rest come back over so much of the
    /// rest's length behind its end, not all within a millisecond.  Of 16,800 callers of
    /// rest_load_test 13,397 are answered in time and 632 late, with 0 13,565 and 369, with
    /// 1 12,732 and 1,311: who comes back later is late anyway and delays others.
    double rest_spread = 0.1;
    /// Non-repeatable attempts that outlive their caller are followed this long.
    Micros detached_limit = 60 * kSecond;
};

/// Cost and outcome counters of one scheduler.
struct SchedulerStats {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t ejections = 0;
};

/// One scheduler drives the requests of one thread.  Not thread-safe; the
/// state it shares with other threads is in UpstreamState and AccountState.
class Scheduler {
public:
    using RandomBits = std::function<std::uint64_t()>;

    Scheduler(SchedulerOptions options, const Router& router, const Admission& admission,
              RandomBits random);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    /// Takes one event at time `now` and appends what is to be done to `out`.
    void handle(const Event& event, Micros now, Actions& out);

    /// How many daemons of the hall are alive, as membership sees it.
    void set_daemons_in_hall(int count);
    /// The same of all halls; they share the limit on retries.
    void set_daemons(int count);

    std::size_t in_progress() const; ///< requests not yet answered
    std::size_t live() const; ///< requests not yet forgotten
    const SchedulerStats& stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
