// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Inside of the scheduler: its tables, and the host of each request's machine.

#pragma once

#include <queue>
#include <unordered_map>

#include <cypressford/mutation.h>
#include <cypressford/scheduler.h>

#include "candidates.h"
#include "request.h"
#include "stage_queue.h"

namespace cypressford {

/// Timeout of a repeatable attempt: this many times its usual tail ...
inline constexpr Micros kTimeoutOverTail = 4;
/// ... and this much more.
inline constexpr Micros kTimeoutFloor = 100 * kMillisecond;
/// Failures in a row after which an upstream is taken out.
inline constexpr int kFailuresToEject = 3;
/// Requests without a slot that a search through a queue passes over.
inline constexpr int kMaxPassedOver = 4;
/// How long the count of usable upstreams of a set is kept.
inline constexpr Micros kCapacityAge = kMillisecond;
/// A daemon may have this much more under way than its share of a set's slots,
/// so that an upstream that frees a slot finds the next call waiting.
inline constexpr double kShareSlack = 1.3;
/// So many calls a daemon may always have under way at a set.  89 daemons have a fifth of a
/// slot each of a service with 18, and behind a single call that hangs all others of a
/// daemon would wait: of 4,735 lookups 90 came late with one call, 6 with two (99th
/// percentile 449 ms and 71 ms, one day with bursts, a crash and a cut).
inline constexpr int kLeastCalls = 2;
/// Part of a share that a priority is counted on to get, however much comes in
/// above it.
inline constexpr double kLeastDrain = 0.05;
/// A shared prompt shorter than this is read again faster than results of pieces
/// cross to where it is kept, so it binds no request to an upstream.
inline constexpr std::int64_t kTokensWorthFollowing = 1024;
/// An upstream that has not begun to answer a relayed request after this many times
/// what it takes usually, and after this time in any case, is taken for silent.
inline constexpr Micros kSilenceOverTypical = 8;
inline constexpr Micros kSilenceFloor = 1 * kSecond;
/// A request that had less time left than a connection may take says nothing of its
/// upstream.
inline constexpr Micros kTimeToConnect = 250 * kMillisecond;
/// Upstreams that one stage may fail to reach before it fails.
inline constexpr int kMaxUnreached = 6;
/// Places that come at a rate come at uneven intervals: the wait for one is counted on to
/// be this much longer than the mean.
inline constexpr double kPlaceMargin = 1.5;
/// Longer waits (us) are told as this: no request has so much time.
inline constexpr double kLongestWait = 3600.0 * kSecond;
/// Keeps divisions finite when no upstream is usable.
inline constexpr double kSmallestShare = 0.1;

struct Scheduler::Impl {
    enum class TimerKind : unsigned char { Deadline, Hedge, Silence };

    /// Something to look at later.
    struct Timer {
        Micros at = 0;
        TimerKind kind = TimerKind::Deadline;
        RequestId request = 0;
        AttemptId attempt = 0;

        bool operator>(const Timer& other) const { return at > other.at; }
    };

    /// Retries and hedges are paid for by first attempts at the same upstream set.
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

    /// One request with its machine; the machine calls back here.
    struct Entry final : RequestHost {
        Entry(Impl& owner_, RequestSpec spec)
            : owner(owner_)
            , machine(*this)
        {
            request.spec = std::move(spec);
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
            const Micros after
                = request.come_back_after > 0 ? request.come_back_after : kRetryAfterAbort;
            owner.answer(request,
                         Reply {0, settled, settle_ran(settled, request), after, false});
            const bool in_doubt
                = request.once_may_have_run && !mutated(Mutation::ReleaseAfterLost);
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
            const ClaimOutcome lost
                = request.once_may_have_run ? ClaimOutcome::Unknown : ClaimOutcome::NotRun;
            const bool whole = done && at_last_stage();
            owner.end_claim(request, whole ? ClaimOutcome::Done : lost);
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
            // What never reached an upstream costs it nothing, so it is not paid for.
            if (request.last_unreached)
                return request.unreached <= kMaxUnreached;
            if (!owner.budgets_of(request).retries.spend())
                return false;
            ++owner.counters.retries;
            return true;
        }
        bool others_running() const override { return !request.running.empty(); }
        /// Nobody learns how a relayed request ended but its caller, so it does
        /// not outlive it.
        bool once_running() const override
        {
            return request.once_may_have_run && !request.running.empty()
                && !request.is_relayed();
        }
        ErrorKind failure_kind() const override { return request.last_failure; }

        Impl& owner;
        Request request;
        RequestMachine machine;
    };

    /// Advice to callers whose request was aborted after it was admitted.
    static constexpr Micros kRetryAfterAbort = kSecond;

    Impl(SchedulerOptions options, const Router& router, const Admission& admission,
         RandomBits random);

    void on(const RequestArrived& event);
    void on(const AttemptBegun& event);
    void on(const AttemptEnded& event);
    void on(const ClaimDecided& event);
    void on(const CallerClosed& event);
    void on(const PreparationEnded& event);
    void on(const InputsRead& event);
    void on(const StopEnds& event);
    void on(const Tick& event);

    AdmissionVerdict check_admission(const Request& request);
    bool is_allowed_anywhere(const Request& request) const;
    Micros rest_ahead(const Request& request);
    bool bears_wait(const Request& request, Micros wait) const;
    bool waits_for_place(const Request& request, Micros wait);
    Micros come_back_after(Micros rest);
    Micros wait_for_place(const Request& request, std::size_t at);
    Micros next_place(const Request& request, std::size_t at);
    AdmissionVerdict with_next_place(const Request& request, AdmissionVerdict verdict);
    Micros typical_time(const Request& request, std::size_t at) const;
    StageOutlook outlook(const Request& request, std::size_t at);
    StageOutlook pieces_outlook(const Request& request);
    const StageQueue::Capacity& capacity_of(const Request& request, std::size_t at);
    void commit(Request& request);
    void release_commitment(Request& request, std::size_t at);

    void advance(Entry& entry);
    void leave_queue(Request& request);
    void pump_dirty();
    void pump(SetId id);
    bool cannot_meet_deadline(const Request& request) const;
    bool try_start(Entry& entry);
    bool has_share_left(const Request& request);
    bool choose_upstream(const Request& request);
    BeginPreparation begin_preparation(const Request& request);
    void send(Request& request);
    Micros attempt_deadline(const Request& request) const;
    void arm_hedge(const Request& request, AttemptId attempt);
    void hedge(Entry& entry, AttemptId attempt);
    void arm_silence(const Request& request, AttemptId attempt);
    void check_silence(AttemptId attempt);

    void observe(const Attempt& attempt, AttemptStatus status);
    bool is_evidence(const Attempt& attempt, AttemptStatus status) const;
    bool may_eject(const Attempt& attempt) const;
    void report_unreached(const Attempt& attempt);
    void settle_attempt(Entry& entry, const Attempt& attempt, AttemptStatus status);
    static ErrorKind failure_of(AttemptStatus status, bool once);
    static ErrorKind claim_error(ClaimResult result);
    void cancel_running(Request& request);
    void end_claim(Request& request, ClaimOutcome outcome);
    void answer(Request& request, Reply reply);
    void reply_replayed(Entry& entry);
    void finish(Request& request);
    void forget_if_over(Entry& entry);

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
    int max_attempts(const Request& request) const
    {
        const int own = request.pipeline().spec.max_attempts;
        return own > 0 ? own : options.max_attempts;
    }
    /// True if the present stage is best run by whoever keeps its prompt.
    static bool follows_prompt(const Request& request)
    {
        const RequestSpec& spec = request.spec;
        const bool is_short
            = spec.shared_tokens >= 0 && spec.shared_tokens < kTokensWorthFollowing;
        return request.stage_spec().kind == StageKind::Generate && spec.affinity != 0
            && !(is_short && spec.needs_pieces());
    }
    static std::size_t priority_index(const Request& request)
    {
        return static_cast<std::size_t>(request.priority());
    }
    static WaitingRequest waiting_key(const Request& request)
    {
        return {request.priority(), request.spec.deadline, request.spec.id};
    }
    /// True if some stage of the pipeline runs once and relies on the claim.
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
    int daemons = 1; ///< alive in all halls
    const Router& router;
    const Admission& admission;
    RandomBits random;
    SchedulerStats counters;
    LatencyModel model;

    std::unordered_map<RequestId, std::unique_ptr<Entry>> entries;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::vector<StageQueue> queues;
    std::unordered_map<SetId, Budgets> budgets;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<SetId> dirty;
    Candidates candidates; ///< scratch space
    std::shared_ptr<UpstreamState> chosen; ///< last choice of choose_upstream()
    bool chosen_is_counted = false; ///< the leader of its set has counted the call
    AttemptId next_attempt = 1;
    std::size_t unanswered = 0;
    std::size_t waiting_count = 0;
    /// Unanswered requests of each account; accounts without any are left out.
    std::unordered_map<const AccountState*, int> by_account;

    Micros now = 0; ///< time of the event in hand
    Actions* out = nullptr; ///< where its actions go
};

} // namespace cypressford
