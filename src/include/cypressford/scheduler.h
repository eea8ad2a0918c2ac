// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduling of requests as a pure state machine: its driver passes in events with their
/// time and executes the resulting actions.  No I/O, no clock and no source of randomness,
/// so that the same code runs in a daemon, embedded in another program and under a fuzzer
/// with virtual time.

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

/// A request as submitted to the scheduler.
struct RequestSpec {
    RequestId id = 0;
    SnapshotPtr snapshot; ///< the bundle that applies to this request until its end
    std::size_t pipeline = 0; ///< index into snapshot->bundle->pipelines
    std::size_t account = 0; ///< index into snapshot->bundle->accounts
    Micros deadline = 0; ///< absolute time
    bool has_key = false; ///< the caller gave an Idempotency-Key
    std::uint64_t affinity = 0;
    std::int64_t shared_tokens = -1; ///< shared tokens of the prompt; -1: unknown
    /// Number of pieces to make before the first stage, one entry for each piece stage of
    /// the pipeline; 0 skips the piece stage.
    std::vector<int> pieces;

    HallLimit halls; ///< halls in which the request may be processed
    /// Software version at which the stream began that this request continues; empty: it
    /// has not begun.
    std::optional<std::string> version;
    /// The caller has the first events of a stream and asks for the others.
    bool resumes_stream = false;
    /// The leader of the upstream set chooses the upstream.
    bool asks_leader = false;

    bool needs_pieces() const
    {
        return std::any_of(pieces.begin(), pieces.end(), [](int n) { return n > 0; });
    }
};

/// How an attempt ended, as far as the driver can determine.
enum class AttemptStatus : unsigned char {
    Ok, ///< complete answer
    NotSent, ///< no byte of the request was sent, or it was rejected unread
    Overloaded, ///< the upstream reports that it did not run the request: overloaded
    Leaving, ///< the upstream reports that it did not run the request: shutting down
    Failed, ///< the upstream answered with an error; the request may have run
    Lost, ///< no complete answer; the request may have run
    Rejected, ///< the upstream reports that the request itself is invalid
    InputGone, ///< not run: an input result no longer exists
    Withheld, ///< not sent: the upstream stopped accepting calls after it was chosen
    Quarantined, ///< not sent: the request must not be sent to any upstream any more
};

/// How the claim for an idempotency key was decided.
enum class ClaimResult : unsigned char {
    Won, ///< this request may send, once
    Replayed, ///< the request ran before; the driver holds the recorded answer
    Mismatch, ///< the key belongs to another request
    InProgress, ///< claimed by another attempt that has no outcome yet
    Unknown, ///< the key was claimed before and the outcome of that run is unknown
    Expired, ///< the key is too old for its claim to be decided
    Unavailable, ///< the log did not answer in time; nothing will be sent
};

/// How a claim that was won ends.
enum class ClaimOutcome : unsigned char { NotRun, Done, Unknown };

// Events.
struct RequestArrived {
    RequestSpec request;
};
struct AttemptEnded {
    AttemptId attempt = 0;
    AttemptStatus status = AttemptStatus::Lost;
};
/// The upstream has started to answer.
struct ResponseStarted {
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
/// can't be made, or a leader refused to have them made.
struct PreparationEnded {
    RequestId request = 0;
    bool made = false;
    std::string hall; ///< where most of the results are; empty if unknown
    std::string identity; ///< identity of the chosen upstream; empty: any
    bool is_counted = false; ///< the leader counted the call against the upstream's limit
    /// No piece was made: the leader of a set does not expect to make them in time.
    bool refused = false;
    Micros retry_after = 0; ///< if refused
    /// Whether the chosen upstream has a free slot for the call, counted over all daemons;
    /// nothing if no leader chose an upstream.
    std::optional<bool> has_slot {};
};
/// The upstream's answer shows that it has read the results that the request was
/// prepared with.
struct InputsRead {
    AttemptId attempt = 0;
};
/// The upstream has sent the first event of a stream, which may go on only at upstreams of
/// the same software version.
struct StreamBegan {
    AttemptId attempt = 0;
};
/// The daemon is about to exit: requests without a running attempt are answered now.
struct ShutdownImminent { };
struct Tick { };
using Event = std::variant<RequestArrived, ResponseStarted, AttemptEnded, ClaimDecided,
                           CallerClosed, PreparationEnded, InputsRead, StreamBegan,
                           ShutdownImminent, Tick>;

// Actions.
/// Send stage `stage` of `request` to `upstream`.
struct SendAttempt {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::size_t stage = 0;
    std::shared_ptr<UpstreamState> upstream;
    Micros deadline = 0;
    bool may_repeat = true; ///< false: at most one send for this key, ever
    CallCount count = CallCount::Own; ///< passed to begin_call()
};
/// Abort an attempt.  An AttemptEnded event still has to follow.
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
    Micros target_by = 0; ///< when the pieces must be made to meet the target latency
    bool follows_prompt = false; ///< the upstream caching the prompt determines the hall
    std::string near; ///< otherwise the preferred hall for the results
    bool is_retry = false; ///< the pieces were made before and no longer exist
};
/// Release the results that `request` was prepared with: they will not be read again.
struct ReleaseInputs {
    RequestId request = 0;
};
/// Report to the leader that chose the upstream of `request` that the upstream is
/// unreachable.
struct ReportUnreachable {
    RequestId request = 0;
};
/// Cancel the pieces of `request`.
struct CancelPreparation {
    RequestId request = 0;
};
/// Record the outcome of the claim of `request`.
struct EndClaim {
    RequestId request = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
};
/// The final answer to the caller.
struct Reply {
    RequestId request = 0;
    std::optional<ErrorKind> error; ///< empty: the answer of the last stage
    Ran ran = Ran::NotRun;
    Micros retry_after = 0;
    bool replayed = false; ///< answer with the recorded outcome
    Micros expected = 0; ///< refused at admission: the estimated time to answer
    WaitCause cause = WaitCause::None; ///< refused at admission: of the longest wait
    double calls_allowed = 0; ///< at the stage with that wait
};
/// The scheduler has dropped all state of `request`; no further action refers to it.
struct Forget {
    RequestId request = 0;
};
using Action
    = std::variant<SendAttempt, CancelAttempt, BeginClaim, EndClaim, BeginPreparation,
                   CancelPreparation, ReleaseInputs, ReportUnreachable, Reply, Forget>;
using Actions = std::vector<Action>;

/// Settings of a scheduler that are not part of the bundle.
struct SchedulerOptions {
    int daemons_in_hall = 1; ///< daemons that share the hall's upstreams
    int schedulers = 1; ///< schedulers (threads) in this daemon
    std::size_t max_waiting = 2000; ///< requests in all queues together
    double retry_ratio = 0.1; ///< retries earned by each first attempt
    double retry_burst = 10; ///< most retries that can be saved up
    int max_attempts = 4; ///< of one stage of one request
    double hedge_ratio = 0.05; ///< hedges earned by each first attempt
    double hedge_burst = 2; ///< most hedges that can be saved up
    RetryLimit retry_limit; ///< over all daemons; if set, overrides the ratios and bursts
    bool hedging = true;
    bool eject = true; ///< temporarily remove failing upstreams from service
    PolicySwitches switches;
    /// Retry-after times that are given out while all upstreams back off are spread over
    /// this fraction of the backoff beyond its end, so that callers don't all retry within
    /// a millisecond.  Of 16,800 callers in rest_load_test, 13,968 are answered in time and
    /// 1,007 late; with 0 it is 14,229 and 56, with 1 it is 13,586 and 1,797, since callers
    /// that retry later are late anyway and delay others.
    double backoff_jitter = 0.1;
    /// How long a non-repeatable attempt is tracked after its request was answered or its
    /// caller disconnected.
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

    /// Processes one event at time `now` and appends the resulting actions to `out`.
    void handle(const Event& event, Micros now, Actions& out);

    /// Sets the number of live daemons in this hall, according to membership.
    void set_daemons_in_hall(int count);
    /// Sets the number of live daemons in all halls; they share the limit on retries.
    /// `knows_all`: none is missing, see DirectoryView::knows_fleet().  Until then retries
    /// must be earned.
    void set_daemons(int count, bool knows_all);

    std::size_t in_progress() const; ///< requests not yet answered
    std::size_t live() const; ///< requests not yet dropped by a Forget action
    const SchedulerStats& stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
