// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Implementation of the scheduler: its tables, and the host of each request's machine.

#pragma once

#include <queue>
#include <unordered_map>

#include <cypressford/mutation.h>
#include <cypressford/scheduler.h>

#include "candidates.h"
#include "request.h"
#include "stage_queue.h"

namespace cypressford {

/// Timeout of a repeatable attempt, as a multiple of the stage's 95th percentile.
inline constexpr Micros kAttemptTimeoutFactor = 4;
/// Added to that timeout.
inline constexpr Micros kAttemptTimeoutMargin = 100 * kMillisecond;
/// Consecutive failures after which an upstream is ejected.
inline constexpr int kFailuresToEject = 3;
/// Requests without a free slot that a pass over a queue skips before it ends.
inline constexpr int kMaxPassedOver = 4;
/// How long the capacity of a set is cached.
inline constexpr Micros kCapacityLifetime = kMillisecond;
/// A daemon may in any case have this multiple of its even part of a set's slots in flight,
/// so that an upstream that frees a slot has the next call waiting.
inline constexpr double kShareSlack = 1.3;
/// Calls that a daemon may always have in flight to a set, however small its share.  With
/// one, a single hanging call blocks all others of a daemon: where 89 daemons share 18
/// slots (a fifth of a slot each), 90 of 4,735 lookups were late with one call and 6 with
/// two (99th percentile 449 ms and 71 ms, in a day with bursts, a crash and a partition).
inline constexpr int kMinConcurrentCalls = 2;
/// Fraction of a share that a priority is assumed to get, whatever load has priority over
/// it.
inline constexpr double kMinDrainFraction = 0.05;
/// A shared prompt with fewer tokens is processed again in less time than it takes to
/// transfer the results of pieces to the upstream that caches it, so it creates no
/// affinity.
inline constexpr std::int64_t kMinTokensForAffinity = 1024;
/// An upstream is considered unresponsive if it has not started to answer a relayed request
/// after this multiple of the typical time, but not before kMinFirstByteTimeout.
inline constexpr Micros kFirstByteTimeoutFactor = 8;
inline constexpr Micros kMinFirstByteTimeout = 1 * kSecond;
/// Time that a connection may take.  An attempt with less time left is no evidence that
/// its upstream is unreachable.
inline constexpr Micros kMaxConnectTime = 250 * kMillisecond;
/// Attempts of one stage that may fail to reach an upstream before the stage fails.
inline constexpr int kMaxUnreached = 6;
/// Time between the end of an attempt that failed to reach an upstream and the next one,
/// for streams whose version has no other upstream: a process that restarts refuses
/// connections for some 0.4 s, and kMaxUnreached attempts without a pause took a
/// millisecond.
inline constexpr Micros kUnreachedPause = 150 * kMillisecond;
/// Send slots of rate-limited upstreams come at uneven intervals: the wait is estimated as
/// this multiple of the mean.
inline constexpr double kPacedWaitFactor = 1.5;
/// An answer of a set's leader that the chosen upstream has a free slot holds this long for
/// the admission of further requests.
inline constexpr Micros kSlotGrantLifetime = kSecond;
/// A gap of this length between ticks shows that the thread got no processor time or was
/// busy: answers that arrived meanwhile are read late, which says nothing of the upstream.
inline constexpr Micros kStall = 10 * kMillisecond;
/// Upper bound of estimated waits; no request has this much time left.
inline constexpr double kMaxEstimatedWaitUs = 3600.0 * kSecond;
/// Keeps divisions finite when no upstream is usable.
inline constexpr double kMinDrainShare = 0.1;

/// Longest time that a stream waits for an upstream of its software version that is
/// ejected, in backoff or at its limit.
inline constexpr Micros kMaxContinuationWait = kSecond;

struct Scheduler::Impl {
    enum class TimerKind : unsigned char { Deadline, Hedge, Unresponsive };

    /// A deferred check of a request or attempt.
    struct Timer {
        Micros at = 0;
        TimerKind kind = TimerKind::Deadline;
        RequestId request = 0;
        AttemptId attempt = 0;

        bool operator>(const Timer& other) const { return at > other.at; }
    };

    /// Retries and hedges are earned by first attempts at the same upstream set.
    struct Budgets {
        RetryBudget retries;
        RetryBudget hedges;

        void earn()
        {
            retries.earn();
            hedges.earn();
        }
        bool spend_hedge() { return hedges.spend(); }
        void set_bursts(double retry_burst, double hedge_burst)
        {
            retries.set_burst(retry_burst);
            hedges.set_burst(hedge_burst);
        }
    };

    /// One request and its state machine, which calls back into the entry.
    struct Entry final : RequestHost {
        Entry(Impl& owner_, RequestSpec spec)
            : owner(owner_)
            , machine(*this)
        {
            request.spec = std::move(spec);
            request.resolved_priority = request.spec.snapshot->bundle->priority_of(
                request.spec.account, request.spec.pipeline, owner.options.switches);
        }

        void send() override { owner.send(request); }
        void begin_claim() override
        {
            request.claim = ClaimState::Pending;
            owner.out->push_back(BeginClaim {request.spec.id, request.spec.deadline});
        }
        void begin_preparation() override
        {
            request.preparation = PreparationState::Pending;
            request.preparing_since = owner.now;
            owner.out->push_back(owner.begin_preparation(request));
        }
        void next_stage() override
        {
            owner.release_commitment(request, request.stage);
            ++request.stage;
            request.attempts_of_stage = 0;
            request.unreached = 0;
            request.tried.clear();
        }
        void complete() override
        {
            owner.answer(request, Reply {0, std::nullopt, Ran::Ran, 0, false});
            owner.end_claim(request, ClaimOutcome::Done);
            owner.finish(request);
        }
        void abort(ErrorKind kind) override
        {
            const ErrorKind settled = settle_kind(kind, request);
            Micros after = request.retry_after > 0 ? request.retry_after : kRetryAfterAbort;
            if (settled == ErrorKind::VersionGone)
                after = 0; // not known: the version may never come back
            owner.answer(request,
                         Reply {0, settled, settle_ran(settled, request), after, false});
            const bool in_doubt = request.non_repeatable_may_have_run
                && !mutated(Mutation::ReleaseAfterLost);
            owner.end_claim(request,
                            in_doubt ? ClaimOutcome::Unknown : ClaimOutcome::NotRun);
            owner.finish(request);
        }
        void reply_unknown() override
        {
            owner.answer(request,
                         Reply {0, ErrorKind::OutcomeUnknown, Ran::Unknown,
                                kRetryAfterAbort, false});
            owner.timers.push({owner.now + owner.options.detached_limit,
                               TimerKind::Deadline, request.spec.id, 0});
        }
        void settle(bool done) override
        {
            const ClaimOutcome lost = request.non_repeatable_may_have_run
                ? ClaimOutcome::Unknown
                : ClaimOutcome::NotRun;
            const bool is_complete = done && at_last_stage();
            owner.end_claim(request, is_complete ? ClaimOutcome::Done : lost);
            owner.finish(request);
        }
        bool at_last_stage() const override
        {
            const std::size_t skipped = mutated(Mutation::SkipStage) ? 1 : 0;
            return request.stage + 1 + skipped >= request.pipeline().spec.stages.size();
        }
        bool may_retry() override
        {
            if (request.last_failure == ErrorKind::OutcomeUnknown)
                return false;
            if (request.attempts_of_stage >= owner.max_attempts(request)
                || owner.now >= request.spec.deadline)
                return false;
            // An attempt that never reached an upstream put no load on it, so its retry is
            // not charged to the budget.
            if (request.last_unreached)
                return request.unreached <= kMaxUnreached;
            if (!owner.budgets_of(request).retries.spend())
                return false;
            ++owner.counters.retries;
            return true;
        }
        bool others_running() const override { return !request.running.empty(); }
        /// Relayed requests are left out: their outcome is of use to the caller only, so
        /// they don't continue after it has been answered or disconnected.
        bool non_repeatable_running() const override
        {
            return request.non_repeatable_may_have_run && !request.running.empty()
                && !request.is_relayed();
        }
        ErrorKind failure_kind() const override { return request.last_failure; }

        Impl& owner;
        Request request;
        RequestMachine machine;
    };

    /// Retry-after time of requests that are aborted after admission, unless another one is
    /// known.
    static constexpr Micros kRetryAfterAbort = kSecond;

    Impl(SchedulerOptions options, const Router& router, const Admission& admission,
         RandomBits random);

    void on(const RequestArrived& event);
    void on(const ResponseStarted& event);
    void on(const AttemptEnded& event);
    void on(const ClaimDecided& event);
    void on(const CallerClosed& event);
    void on(const PreparationEnded& event);
    void on(const InputsRead& event);
    void on(const StreamBegan& event);
    void on(const ShutdownImminent& event);
    Request* request_of(AttemptId attempt);
    void on(const Tick& event);

    AdmissionVerdict check_admission(const Request& request);
    bool is_allowed_anywhere(const Request& request) const;
    std::optional<ErrorKind> continuation_error(const Request& request) const;
    Micros backoff_remaining(const Request& request);
    bool meets_target_after(const Request& request, Micros wait) const;
    bool may_wait_for_paced_slot(const Request& request, Micros wait);
    Micros retry_after_backoff(Micros backoff);
    Micros paced_slot_wait(const Request& request, std::size_t at);
    Micros next_paced_slot(const Request& request, std::size_t at);
    AdmissionVerdict with_paced_retry_after(const Request& request,
                                            AdmissionVerdict verdict);
    Micros typical_time(const Request& request, std::size_t at) const;
    StageEstimate estimate_stage(const Request& request, std::size_t at);
    StageEstimate estimate_pieces(const Request& request);
    bool has_slots_by_leader(const Request& request, const StageQueue& queue) const;
    const StageQueue::Capacity& capacity_of(const Request& request, std::size_t at);
    void update_limit(StageQueue& queue, int slots);
    void commit(Request& request);
    void release_commitment(Request& request, std::size_t at);

    void advance(Entry& entry);
    void leave_queue(Request& request);
    void dispatch_dirty();
    void dispatch(SetId id);
    bool cannot_meet_deadline(const Request& request) const;
    bool try_start(Entry& entry);
    bool has_share_left(const Request& request);
    bool has_granted_slot(const Request& request);
    bool choose_upstream(const Request& request);
    bool pauses_before_retry(const Request& request) const;
    BeginPreparation begin_preparation(const Request& request);
    void send(Request& request);
    Micros attempt_deadline(const Request& request) const;
    void arm_hedge_timer(const Request& request, AttemptId attempt);
    void hedge(Entry& entry, AttemptId attempt);
    void arm_unresponsive_timer(const Request& request, AttemptId attempt);
    void check_unresponsive(AttemptId attempt);

    void record_outcome(const Attempt& attempt, AttemptStatus status);
    void record_load(const Request& request, const Attempt& attempt, AttemptStatus status);
    bool indicates_upstream_fault(const Attempt& attempt, AttemptStatus status) const;
    bool may_eject(const Attempt& attempt) const;
    void report_unreachable(const Attempt& attempt);
    void settle_attempt(Entry& entry, const Attempt& attempt, AttemptStatus status);
    static ErrorKind failure_of(AttemptStatus status, bool non_repeatable);
    static ErrorKind claim_error(ClaimResult result);
    /// Cancels the request's attempts in flight, but for one.
    void cancel_running(Request& request, std::optional<AttemptId> except = std::nullopt);
    void end_claim(Request& request, ClaimOutcome outcome);
    void answer(Request& request, Reply reply);
    void reply_replayed(Entry& entry);
    void finish(Request& request);
    void forget_if_ended(Entry& entry);

    void mark_dirty(SetId id) { dirty.push_back(id); }
    StageQueue& queue_of(SetId id)
    {
        if (id >= queues.size())
            queues.resize(id + 1);
        return queues[id];
    }
    Budgets& budgets_of(const Request& request)
    {
        return budgets.try_emplace(request.set().id, new_budgets()).first->second;
    }
    Budgets new_budgets() const;
    void share_limit();
    void grant_initial_retries();
    int max_attempts(const Request& request) const
    {
        const int own = request.pipeline().spec.max_attempts;
        return own > 0 ? own : options.max_attempts;
    }
    /// True if the current stage should run on the upstream that caches its prompt.
    static bool follows_prompt(const Request& request)
    {
        const RequestSpec& spec = request.spec;
        const bool is_short
            = spec.shared_tokens >= 0 && spec.shared_tokens < kMinTokensForAffinity;
        return request.stage_spec().kind == StageKind::Generate && spec.affinity != 0
            && !(is_short && spec.needs_pieces());
    }
    /// A generated answer is not hedged: the other upstream has not cached its prompt.
    static bool may_hedge(const StageSpec& stage)
    {
        return stage.repeatable && stage.kind != StageKind::Generate;
    }
    static bool is_relayed_stream(const Request& request)
    {
        return request.is_relayed() && request.pipeline().spec.stream;
    }
    static std::size_t priority_index(const Request& request)
    {
        return static_cast<std::size_t>(request.priority());
    }
    static WaitingRequest waiting_key(const Request& request)
    {
        return {request.priority(), request.spec.deadline, request.spec.id};
    }
    /// True if some stage of the pipeline must not run twice and only the claim prevents
    /// it.
    static bool request_needs_claim(const Request& request)
    {
        const auto& pipeline = request.pipeline();
        if (pipeline.spec.relayed)
            return false;
        for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at)
            if (!pipeline.spec.stages[at].repeatable
                && !request.set_of(at).spec.deduplicates)
                return true;
        return false;
    }

    SchedulerOptions options;
    int daemons = 1; ///< live daemons in all halls
    bool knows_all_daemons = false;
    const Router& router;
    const Admission& admission;
    RandomBits random;
    SchedulerStats counters;
    LatencyModel model;
    LatencyModel first_events; ///< of relayed streams, from sending to the first event
    UsualTimes usual_times;

    std::unordered_map<RequestId, std::unique_ptr<Entry>> entries;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::vector<StageQueue> queues;
    std::unordered_map<SetId, Budgets> budgets;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<SetId> dirty; ///< sets whose queue is to be dispatched after this event
    Candidates candidates; ///< scratch space
    std::shared_ptr<UpstreamState> chosen; ///< last choice of choose_upstream()
    bool chosen_is_counted = false; ///< the leader of the set has counted the call
    AttemptId next_attempt = 1;
    Micros ticked_at = 0; ///< last tick, or first attempt after a time without any
    Micros stalled = 0; ///< total time without ticks while attempts were in flight
    std::size_t unanswered = 0;
    std::size_t waiting_count = 0;
    /// Unanswered requests of each account; accounts without any have no entry.
    std::unordered_map<const AccountState*, int> by_account;

    Micros now = 0; ///< time of the current event
    Actions* out = nullptr; ///< receives the actions of the current event
};

} // namespace cypressford
