// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduler: effects of the end of an attempt on its upstream and its request.

#include "scheduler_impl.h"

#include <algorithm>

namespace cypressford {

/// Updates the state of the upstream after an attempt, independent of the request's state.
void
Scheduler::Impl::record_outcome(const Attempt& attempt, AttemptStatus status)
{
    UpstreamState& upstream = *attempt.upstream;
    const Micros took = now - attempt.sent_at;
    switch (status) {
    case AttemptStatus::Ok:
    case AttemptStatus::Rejected:
        upstream.record_success(took, now);
        break;
    case AttemptStatus::Leaving:
        upstream.mark_leaving();
        break;
    case AttemptStatus::Overloaded:
    case AttemptStatus::InputGone:
    case AttemptStatus::Withheld:
    case AttemptStatus::Quarantined:
        break;
    case AttemptStatus::NotSent:
    case AttemptStatus::Failed:
    case AttemptStatus::Lost:
        if (status == AttemptStatus::NotSent && !attempt.cancelled)
            report_unreachable(attempt);
        if (!attempt.cancelled && options.eject && indicates_upstream_fault(attempt, status)
            && may_eject(attempt)
            && upstream.record_failure(
                status == AttemptStatus::NotSent ? 1 : kFailuresToEject, now))
            ++counters.ejections;
        break;
    }
}

/// Lets the limit on calls in flight follow what the end of a call shows of the upstreams'
/// load.  The duration of a generated answer depends on its text, so it shows nothing.
void
Scheduler::Impl::record_load(const Request& request, const Attempt& attempt,
                             AttemptStatus status)
{
    StageQueue& queue = queue_of(request.set_of(attempt.stage).id);
    if (status == AttemptStatus::Overloaded)
        queue.limit.record_rejection(now);
    const ResolvedPipeline& pipeline = request.pipeline();
    const bool has_text = pipeline.spec.stages[attempt.stage].kind == StageKind::Generate
        || (pipeline.spec.relayed && pipeline.spec.stream);
    if (status != AttemptStatus::Ok || has_text)
        return;
    const StageId stage = pipeline.stage_ids[attempt.stage];
    const Micros read_late = stalled - attempt.stalled_before;
    const Micros took = now - attempt.sent_at - read_late;
    const double slowdown = read_late > 0
        ? usual_times.slowdown(stage, took)
        : usual_times.record(stage, took, queue.limit.is_loaded());
    queue.limit.record_answer(slowdown, took, queue.running, now);
}

/// Reports only an upstream chosen by the leader of the set: the leader has no record of
/// other upstreams to which the request was sent.
void
Scheduler::Impl::report_unreachable(const Attempt& attempt)
{
    const auto it = entries.find(attempt.request);
    if (it == entries.end() || !options.switches.uses(Mechanism::SharedReach))
        return;
    const Request& request = it->second->request;
    const bool had_time = request.spec.deadline - attempt.sent_at > kMaxConnectTime;
    if (had_time && request.spec.asks_leader
        && request.placed_identity == attempt.upstream->identity)
        out->push_back(ReportUnreachable {attempt.request});
}

/// An attempt that was cut short by its request's own deadline is weak evidence against the
/// upstream, unless it took far longer than such calls usually take.
bool
Scheduler::Impl::indicates_upstream_fault(const Attempt& attempt,
                                          AttemptStatus status) const
{
    auto it = entries.find(attempt.request);
    if (status != AttemptStatus::Lost || it == entries.end()
        || now < it->second->request.spec.deadline)
        return true;
    const auto tail
        = model.p95(it->second->request.pipeline().stage_ids[attempt.stage], now);
    return !tail || now - attempt.sent_at > 2 * *tail;
}

/// At most half of a set is ejected: when most upstreams fail, the cause lies elsewhere,
/// and trying them is the only option left.
bool
Scheduler::Impl::may_eject(const Attempt& attempt) const
{
    auto it = entries.find(attempt.request);
    if (it == entries.end())
        return true;
    const UpstreamSet& set = it->second->request.set_of(attempt.stage);
    // Upstreams of evacuated halls can't take over the load, so they don't count.
    const int all = count_in_service(set);
    return 2 * (count_usable(set, now) - 1) >= all;
}

void
Scheduler::Impl::settle_attempt(Entry& entry, const Attempt& attempt, AttemptStatus status)
{
    Request& request = entry.request;
    --request.open_attempts;
    const bool unreached = status == AttemptStatus::NotSent
        || status == AttemptStatus::Withheld || status == AttemptStatus::Quarantined;
    const bool proven_unrun = unreached || status == AttemptStatus::Overloaded
        || status == AttemptStatus::Leaving || status == AttemptStatus::InputGone;
    request.last_unreached = unreached;
    if (request.last_unreached) {
        ++request.unreached;
        request.unreached_at = now;
        --request.attempts_of_stage;
    }
    if (status == AttemptStatus::InputGone)
        request.preparation = PreparationState::Wanted;
    if (proven_unrun) {
        --request.may_have_run;
        if (attempt.non_repeatable)
            request.non_repeatable_may_have_run = false;
    }
    std::erase(request.running, attempt.id);
    if (attempt.cancelled && !mutated(Mutation::TrustLateAnswer))
        return;
    if (status == AttemptStatus::Ok) {
        model.record(request.pipeline().stage_ids[attempt.stage], now - attempt.sent_at,
                     now);
        cancel_running(request);
        entry.machine.stage_done();
    } else if (status == AttemptStatus::Rejected) {
        cancel_running(request);
        entry.machine.abort(ErrorKind::UpstreamRejected);
    } else if (status == AttemptStatus::Quarantined) {
        cancel_running(request);
        entry.machine.abort(ErrorKind::Quarantined);
    } else if (now >= request.spec.deadline && !attempt.non_repeatable) {
        cancel_running(request);
        entry.machine.abort(ErrorKind::DeadlineExceeded);
    } else {
        request.last_failure = failure_of(status, attempt.non_repeatable);
        entry.machine.attempt_lost();
    }
}

ErrorKind
Scheduler::Impl::failure_of(AttemptStatus status, bool non_repeatable)
{
    const bool may_not_repeat = non_repeatable && !mutated(Mutation::RetryOnce);
    if (may_not_repeat
        && (status == AttemptStatus::Failed || status == AttemptStatus::Lost))
        return ErrorKind::OutcomeUnknown;
    return ErrorKind::UpstreamFailed;
}

ErrorKind
Scheduler::Impl::claim_error(ClaimResult result)
{
    switch (result) {
    case ClaimResult::Mismatch:
        return ErrorKind::KeyMismatch;
    case ClaimResult::InProgress:
        return ErrorKind::KeyInProgress;
    case ClaimResult::Expired:
        return ErrorKind::KeyExpired;
    case ClaimResult::Unavailable:
        return ErrorKind::ClaimUnavailable;
    case ClaimResult::Unknown:
        return ErrorKind::OutcomeUnknown;
    case ClaimResult::Won:
    case ClaimResult::Replayed:
        break;
    }
    return ErrorKind::Internal;
}

void
Scheduler::Impl::cancel_running(Request& request, std::optional<AttemptId> except)
{
    std::erase_if(request.running, [&](AttemptId id) {
        if (id == except)
            return false;
        attempts.at(id).cancelled = true;
        ++counters.cancelled;
        out->push_back(CancelAttempt {id});
        return true;
    });
}

void
Scheduler::Impl::end_claim(Request& request, ClaimOutcome outcome)
{
    const bool is_open
        = request.claim == ClaimState::Pending || request.claim == ClaimState::Won;
    if (!is_open)
        return;
    request.claim = ClaimState::Ended;
    out->push_back(EndClaim {request.spec.id, outcome});
}

void
Scheduler::Impl::answer(Request& request, Reply reply)
{
    reply.request = request.spec.id;
    if (request.replied) {
        if (mutated(Mutation::DoubleReply))
            out->push_back(reply);
        return;
    }
    request.replied = true;
    --unanswered;
    auto of_account = by_account.find(request.account().state.get());
    if (--of_account->second == 0)
        by_account.erase(of_account);
    out->push_back(reply);
}

void
Scheduler::Impl::reply_replayed(Entry& entry)
{
    answer(entry.request, Reply {0, std::nullopt, Ran::Ran, 0, true});
    entry.machine.abort(ErrorKind::Internal);
}

void
Scheduler::Impl::finish(Request& request)
{
    leave_queue(request);
    if (request.preparation == PreparationState::Pending) {
        request.preparation = PreparationState::Wanted;
        out->push_back(CancelPreparation {request.spec.id});
    }
    for (std::size_t at = request.stage; at < request.pipeline().spec.stages.size(); ++at)
        release_commitment(request, at);
    cancel_running(request);
    request.ended = true;
}

void
Scheduler::Impl::forget_if_ended(Entry& entry)
{
    if (!entry.request.ended || entry.request.open_attempts > 0)
        return;
    const RequestId id = entry.request.spec.id;
    out->push_back(Forget {id});
    entries.erase(id);
}

} // namespace cypressford
