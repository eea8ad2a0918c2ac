// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduler: queues, choice of upstreams, attempts and hedges.

#include "scheduler_impl.h"

#include <cypressford/pieces.h>

#include <algorithm>

namespace cypressford {

void
Scheduler::Impl::advance(Entry& entry)
{
    Request& request = entry.request;
    if (entry.machine.state() != RequestState::Waiting || request.queued)
        return;
    if (request.claim == ClaimState::None && request_needs_claim(request)) {
        entry.machine.claim_required();
        return;
    }
    if (request.lacks_preparation()) {
        entry.machine.preparation_required();
        return;
    }
    const SetId id = request.set().id;
    queue_of(id).waiting.insert(waiting_key(request));
    request.queued = true;
    ++waiting_count;
    mark_dirty(id);
}

void
Scheduler::Impl::leave_queue(Request& request)
{
    if (!request.queued)
        return;
    queue_of(request.set().id).waiting.erase(waiting_key(request));
    request.queued = false;
    --waiting_count;
}

void
Scheduler::Impl::pump_dirty()
{
    while (!dirty.empty()) {
        const SetId id = dirty.back();
        dirty.pop_back();
        pump(id);
    }
}

/// Sends what waits for a set, most urgent first, as long as it finds a slot.
void
Scheduler::Impl::pump(SetId id)
{
    auto position = queue_of(id).waiting.begin();
    int passed_over = 0;
    while (position != queue_of(id).waiting.end() && passed_over < kMaxPassedOver) {
        Entry& entry = *entries.at(position->request);
        ++position;
        if (cannot_meet_deadline(entry.request)) {
            entry.machine.abort(ErrorKind::DeadlineExceeded);
            forget_if_over(entry);
            continue;
        }
        // Several bundle versions may stand in one queue, each with upstreams
        // of its own, so one request without a slot does not end the search.
        if (!try_start(entry))
            ++passed_over;
    }
}

bool
Scheduler::Impl::cannot_meet_deadline(const Request& request) const
{
    const Micros left = request.spec.deadline - now;
    if (left <= 0)
        return true;
    if (!admission.drops_late())
        return false;
    Micros needed = 0;
    for (std::size_t at = request.stage; at < request.pipeline().spec.stages.size(); ++at)
        needed += typical_time(request, at);
    return needed > left;
}

bool
Scheduler::Impl::try_start(Entry& entry)
{
    Request& request = entry.request;
    if (!has_share_left(request) || !choose_upstream(request)) {
        if (count_usable(request.set(), now, request.spec.halls) > 0)
            return false;
        const Micros rest = time_to_first_usable(request.set(), now, request.spec.halls);
        if (rest > 0 && (bears_wait(request, rest) || waits_for_place(request, rest)))
            return false;
        if (rest > 0)
            request.come_back_after
                = std::max(come_back_after(rest), next_place(request, request.stage));
        entry.machine.abort(rest > 0 ? ErrorKind::Resting : ErrorKind::NoUpstream);
        forget_if_over(entry);
        return true;
    }
    leave_queue(request);
    entry.machine.slot_granted();
    return true;
}

/// The slots of a set are divided over the daemons as a whole: a part of each
/// upstream's slots, rounded up, would add up to far more than there are.
bool
Scheduler::Impl::has_share_left(const Request& request)
{
    if (!admission.queues_here())
        return true;
    const double share
        = capacity_of(request, request.stage).share / std::max(1, options.schedulers);
    const int running = queue_of(request.set().id).running;
    return running < kLeastCalls || running < kShareSlack * share;
}

/// Leaves the choice in `chosen`, and whether the leader of the set has counted the call.
bool
Scheduler::Impl::choose_upstream(const Request& request)
{
    const UpstreamSet& set = request.set();
    chosen_is_counted = false;
    CandidateQuery query;
    query.now = now;
    query.daemons_in_hall = options.daemons_in_hall;
    query.limit_slots = admission.queues_here();
    query.allow_probe = request.stage_spec().repeatable;
    query.tried = request.tried;
    const bool by_prompt = follows_prompt(request);
    query.want_all = by_prompt || !router.samples() || !request.prepared_identity.empty();
    query.random = random();
    // Whoever keeps a session's prefix is worth more than a near one.
    query.any_hall
        = (by_prompt && request.is_relayed()) || !request.prepared_identity.empty();
    if (!query.any_hall)
        query.near = request.prepared_hall;
    query.granted = request.prepared_identity;
    query.is_counted = request.prepared_is_counted;
    query.daemons = daemons;
    const bool leaves_region
        = mutated(Mutation::LeaveRegionOnRetry) && !request.tried.empty();
    if (!leaves_region)
        query.halls = &request.spec.halls;
    collect_candidates(set, query, candidates);
    if (candidates.empty() && !request.tried.empty()) {
        query.tried = {};
        collect_candidates(set, query, candidates);
    }
    // Cold ones come last: others wait there, or break down, while these have places.
    if (candidates.empty()) {
        query.allow_cold = true;
        collect_candidates(set, query, candidates);
    }
    if (candidates.empty())
        return false;
    for (const auto* state : candidates.states)
        if (!request.prepared_identity.empty()
            && (*state)->identity == request.prepared_identity) {
            chosen = *state;
            chosen_is_counted = request.prepared_is_counted;
            return true;
        }
    RouteContext context;
    context.affinity = by_prompt ? request.spec.affinity : 0;
    context.random = random();
    context.sequence = queue_of(set.id).decisions++;
    chosen = *candidates.states[router.pick(candidates.values, context)];
    return !chosen->cold.is_cold(now) || chosen->cold.take_send(daemons, now);
}

/// The pieces are wanted where the stage that reads them would run now.
BeginPreparation
Scheduler::Impl::begin_preparation(const Request& request)
{
    const PipelineSpec& spec = request.pipeline().spec;
    const Micros aim = spec.target_latency > 0 ? spec.target_latency : spec.deadline;
    BeginPreparation begin;
    begin.request = request.spec.id;
    begin.deadline = request.spec.deadline;
    begin.prompt_by = request.arrived + aim - request.pipeline().state->first_byte.load();
    begin.follows_prompt = follows_prompt(request);
    begin.again = request.prepared_before;
    if (!begin.follows_prompt)
        begin.near = choose_hall(*request.spec.snapshot, request.pipeline(),
                                 request.spec.pieces, random(), now);
    return begin;
}

void
Scheduler::Impl::send(Request& request)
{
    Attempt attempt;
    attempt.id = next_attempt++;
    attempt.request = request.spec.id;
    attempt.stage = request.stage;
    attempt.upstream = chosen;
    attempt.sent_at = now;
    attempt.once = !request.stage_spec().repeatable && !request.set().spec.deduplicates;
    const bool is_retry = request.attempts_of_stage > 0;
    const bool is_counted
        = chosen_is_counted || (is_retry && mutated(Mutation::UncountedRetry));
    attempt.probe = chosen->ejections.load(std::memory_order_relaxed) > 0;
    if (attempt.probe)
        chosen->probing.store(true, std::memory_order_relaxed);
    chosen->in_flight.fetch_add(1, std::memory_order_relaxed);
    ++counters.attempts;
    if (request.attempts_of_stage++ == 0)
        budgets_of(request).earn();
    ++queue_of(request.set().id).running;
    ++request.may_have_run;
    ++request.open_attempts;
    request.once_may_have_run |= attempt.once;
    request.running.push_back(attempt.id);
    request.tried.push_back(chosen.get());
    // A second attempt is not bound to the choice made for the first.
    request.prepared_identity.clear();
    request.prepared_is_counted = false;
    const Micros deadline = attempt_deadline(request);
    out->push_back(SendAttempt {request.spec.id, attempt.id, request.stage, chosen,
                                deadline, !attempt.once,
                                is_counted ? CallCount::Counted : CallCount::Own});
    if (mutated(Mutation::FreeBeforeRead) && request.spec.needs_pieces())
        out->push_back(ReleaseInputs {request.spec.id});
    arm_hedge(request, attempt.id);
    arm_silence(request, attempt.id);
    attempts.emplace(attempt.id, std::move(attempt));
}

/// A repeatable call that takes several times its usual tail is cancelled while
/// there is time left for another one.
Micros
Scheduler::Impl::attempt_deadline(const Request& request) const
{
    const Micros last = request.spec.deadline;
    const auto tail = model.p95(request.pipeline().stage_ids[request.stage]);
    // A relayed stream takes as long as its text; its pace is watched instead.
    const bool is_stream = request.is_relayed() && request.pipeline().spec.stream;
    if (!request.stage_spec().repeatable || is_stream || !tail || !admission.drops_late())
        return last;
    return std::min(last, now + kTimeoutOverTail * *tail + kTimeoutFloor);
}

void
Scheduler::Impl::arm_hedge(const Request& request, AttemptId attempt)
{
    const StageSpec& stage = request.stage_spec();
    const auto tail = model.p95(request.pipeline().stage_ids[request.stage]);
    const bool may = options.hedging && admission.queues_here() && stage.repeatable
        && stage.kind != StageKind::Generate && request.running.size() == 1 && tail;
    if (may)
        timers.push({now + *tail + *tail / 2, TimerKind::Hedge, request.spec.id, attempt});
}

void
Scheduler::Impl::arm_silence(const Request& request, AttemptId attempt)
{
    if (!request.is_relayed() || !admission.drops_late()
        || !options.switches.uses(Mechanism::EjectSilent))
        return;
    const Micros typical = typical_time(request, request.stage);
    const Micros limit = std::max(kSilenceFloor, kSilenceOverTypical * typical);
    timers.push({now + limit, TimerKind::Silence, request.spec.id, attempt});
}

/// An upstream that is cut off says nothing: it gets nothing more for a while, and
/// what may be repeated goes elsewhere.
void
Scheduler::Impl::check_silence(AttemptId id)
{
    const auto it = attempts.find(id);
    if (it == attempts.end() || it->second.begun || it->second.cancelled)
        return;
    const Attempt& attempt = it->second;
    // One that answers others meanwhile is not silent; this call is long.
    if (attempt.upstream->answered_at.load(std::memory_order_relaxed) > attempt.sent_at)
        return;
    report_unreached(attempt);
    if (options.eject && may_eject(attempt) && attempt.upstream->record_failure(1, now))
        ++counters.ejections;
    // Its end is still to come, as lost.
    if (!attempt.once)
        out->push_back(CancelAttempt {id});
}

void
Scheduler::Impl::hedge(Entry& entry, AttemptId attempt)
{
    Request& request = entry.request;
    const bool still = entry.machine.state() == RequestState::Running
        && request.running.size() == 1 && request.running.front() == attempt;
    if (!still || request.attempts_of_stage >= max_attempts(request))
        return;
    // The results that it would need were read and released.
    if (request.lacks_preparation())
        return;
    // A queue means there is no idle slot that a hedge could use.
    if (!queue_of(request.set().id).waiting.empty() || !choose_upstream(request))
        return;
    if (chosen == attempts.at(attempt).upstream || !budgets_of(request).spend_hedge())
        return;
    ++counters.hedges;
    entry.machine.hedge_due();
}

} // namespace cypressford
