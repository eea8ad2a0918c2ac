// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduler: queues, routing, attempts and hedges.

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
Scheduler::Impl::dispatch_dirty()
{
    while (!dirty.empty()) {
        const SetId id = dirty.back();
        dirty.pop_back();
        dispatch(id);
    }
}

/// Starts the requests that wait for a set, in order of urgency, while slots are free.
void
Scheduler::Impl::dispatch(SetId id)
{
    auto position = queue_of(id).waiting.begin();
    int passed_over = 0;
    while (position != queue_of(id).waiting.end() && passed_over < kMaxPassedOver) {
        Entry& entry = *entries.at(position->request);
        ++position;
        if (cannot_meet_deadline(entry.request)) {
            entry.machine.abort(ErrorKind::DeadlineExceeded);
            forget_if_ended(entry);
            continue;
        }
        // Requests of several bundle versions, each with upstreams of its own, may share a
        // queue, so a single request without a slot does not end the search.
        if (!try_start(entry))
            ++passed_over;
    }
    if (queue_of(id).waiting.empty())
        queue_of(id).freed_grants = 0;
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
        queue_of(request.set().id).limit.record_demand(now);
        if (const auto error = continuation_error(request)) {
            entry.machine.abort(*error);
            forget_if_ended(entry);
            return true;
        }
        if (count_usable(request.set(), now, request.spec.halls) > 0)
            return false;
        const Micros backoff = time_to_first_usable(request.set(), now, request.spec.halls);
        if (backoff > 0
            && (meets_target_after(request, backoff)
                || may_wait_for_paced_slot(request, backoff)))
            return false;
        if (backoff > 0)
            request.retry_after = std::max(retry_after_backoff(backoff),
                                           next_paced_slot(request, request.stage));
        entry.machine.abort(backoff > 0 ? ErrorKind::Resting : ErrorKind::NoUpstream);
        forget_if_ended(entry);
        return true;
    }
    leave_queue(request);
    entry.machine.slot_granted();
    return true;
}

/// The slots of a set are divided among the daemons as a whole: dividing each upstream's
/// slots and rounding up would add up to far more slots than there are.  A call that the
/// leader has counted needs no part of them.
bool
Scheduler::Impl::has_share_left(const Request& request)
{
    if (!admission.queues_in_daemon())
        return true;
    if (has_granted_slot(request))
        return true;
    capacity_of(request, request.stage); // updates the limit
    const StageQueue& queue = queue_of(request.set().id);
    const int running = queue.running - queue.granted;
    return running < kMinConcurrentCalls || running < queue.limit.calls();
}

/// True if the leader of the set has counted a slot for the call at the upstream that it
/// chose, or another call has left it one.
bool
Scheduler::Impl::has_granted_slot(const Request& request)
{
    return request.prepared_has_slot
        || (!request.prepared_identity.empty()
            && queue_of(request.set().id).freed_grants > 0);
}

/// True for a stream that failed a moment ago to reach the last upstream of its version.
bool
Scheduler::Impl::pauses_before_retry(const Request& request) const
{
    return request.spec.version && request.last_unreached
        && now - request.unreached_at < kUnreachedPause;
}

/// Stores the choice in `chosen`, and in `chosen_is_counted` whether the leader of the set
/// has counted the call.
bool
Scheduler::Impl::choose_upstream(const Request& request)
{
    const UpstreamSet& set = request.set();
    chosen_is_counted = false;
    CandidateQuery query;
    query.now = now;
    query.daemons_in_hall = options.daemons_in_hall;
    query.limit_slots = admission.queues_in_daemon();
    query.allow_probe = request.stage_spec().repeatable;
    query.tried = request.tried;
    const bool by_prompt = follows_prompt(request);
    query.want_all = by_prompt || !router.samples() || !request.prepared_identity.empty();
    query.random = random();
    // An upstream that caches a session's prefix is preferred to a nearer one.
    query.any_hall
        = (by_prompt && request.is_relayed()) || !request.prepared_identity.empty();
    if (!query.any_hall)
        query.near = request.prepared_hall;
    query.granted = request.prepared_identity;
    query.is_counted = request.prepared_is_counted;
    query.has_granted_slot = has_granted_slot(request);
    query.usable_fraction = queue_of(set.id).limit.fraction();
    query.daemons = daemons;
    query.use_speeds = options.switches.uses(Mechanism::UpstreamSpeeds);
    query.version = request.spec.version ? &*request.spec.version : nullptr;
    const bool leaves_region
        = mutated(Mutation::LeaveRegionOnRetry) && !request.tried.empty();
    if (!leaves_region)
        query.halls = &request.spec.halls;
    collect_candidates(set, query, candidates);
    if (candidates.empty() && !request.tried.empty()) {
        if (pauses_before_retry(request))
            return false;
        query.tried = {};
        collect_candidates(set, query, candidates);
    }
    // Cold upstreams are a last resort: calls would queue or fail there while warm
    // upstreams have free slots.
    if (candidates.empty()) {
        query.allow_cold = true;
        collect_candidates(set, query, candidates);
    }
    // Without repeatable requests, no other call shows that an ejected upstream serves
    // again.
    if (candidates.empty() && !query.allow_probe) {
        query.allow_probe = true;
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

/// The results are wanted in the hall where the stage that reads them would run now.
BeginPreparation
Scheduler::Impl::begin_preparation(const Request& request)
{
    const PipelineSpec& spec = request.pipeline().spec;
    const Micros target = spec.target_latency > 0 ? spec.target_latency : spec.deadline;
    BeginPreparation begin;
    begin.request = request.spec.id;
    begin.deadline = request.spec.deadline;
    begin.target_by
        = request.arrived + target - request.pipeline().state->first_byte.load();
    begin.follows_prompt = follows_prompt(request);
    begin.is_retry = request.prepared_before;
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
    attempt.stalled_before = stalled;
    if (attempts.empty())
        ticked_at = now;
    attempt.non_repeatable
        = !request.stage_spec().repeatable && !request.set().spec.deduplicates;
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
    const bool is_placed = !request.prepared_identity.empty()
        && request.prepared_identity == chosen->identity;
    attempt.has_granted_slot = is_placed && has_granted_slot(request);
    StageQueue& queue = queue_of(request.set().id);
    ++queue.running;
    queue.granted += attempt.has_granted_slot ? 1 : 0;
    if (attempt.has_granted_slot && !request.prepared_has_slot)
        --queue.freed_grants;
    ++request.may_have_run;
    ++request.open_attempts;
    request.non_repeatable_may_have_run |= attempt.non_repeatable;
    request.running.push_back(attempt.id);
    request.tried.push_back(chosen.get());
    const CallCount uncounted = is_placed ? CallCount::Placed : CallCount::Own;
    // A retry or hedge is not bound to the choice made for the first attempt.
    request.prepared_identity.clear();
    request.prepared_is_counted = false;
    request.prepared_has_slot = false;
    const Micros deadline = attempt_deadline(request);
    out->push_back(SendAttempt {request.spec.id, attempt.id, request.stage, chosen,
                                deadline, !attempt.non_repeatable,
                                is_counted ? CallCount::Counted : uncounted});
    if (mutated(Mutation::FreeBeforeRead) && request.spec.needs_pieces())
        out->push_back(ReleaseInputs {request.spec.id});
    arm_hedge_timer(request, attempt.id);
    arm_unresponsive_timer(request, attempt.id);
    attempts.emplace(attempt.id, std::move(attempt));
}

/// A repeatable call that takes several times its 95th percentile is cancelled while there
/// is time left for a retry.
Micros
Scheduler::Impl::attempt_deadline(const Request& request) const
{
    const Micros last = request.spec.deadline;
    const auto tail = model.p95(request.pipeline().stage_ids[request.stage], now);
    // The duration of a relayed stream depends on its text; its rate is monitored instead.
    if (!request.stage_spec().repeatable || is_relayed_stream(request) || !tail
        || !admission.drops_late())
        return last;
    return std::min(last, now + kAttemptTimeoutFactor * *tail + kAttemptTimeoutMargin);
}

/// A relayed stream is hedged only while its first event is late: events of a second call
/// would repeat those of the first one, or be joined to them.
void
Scheduler::Impl::arm_hedge_timer(const Request& request, AttemptId attempt)
{
    const StageSpec& stage = request.stage_spec();
    const LatencyModel& times = is_relayed_stream(request) ? first_events : model;
    const auto tail = times.p95(request.pipeline().stage_ids[request.stage], now);
    const bool is_armed = options.hedging && admission.queues_in_daemon()
        && may_hedge(stage) && request.running.size() == 1 && tail;
    if (is_armed)
        timers.push({now + *tail + *tail / 2, TimerKind::Hedge, request.spec.id, attempt});
}

void
Scheduler::Impl::arm_unresponsive_timer(const Request& request, AttemptId attempt)
{
    if (!request.is_relayed() || !admission.drops_late()
        || !options.switches.uses(Mechanism::EjectUnresponsive))
        return;
    const Micros typical = typical_time(request, request.stage);
    const Micros limit = std::max(kMinFirstByteTimeout, kFirstByteTimeoutFactor * typical);
    timers.push({now + limit, TimerKind::Unresponsive, request.spec.id, attempt});
}

/// An upstream that is cut off from the network sends no response: it is ejected for a
/// while, and the attempt is cancelled for a retry elsewhere if it may be repeated.
void
Scheduler::Impl::check_unresponsive(AttemptId id)
{
    const auto it = attempts.find(id);
    if (it == attempts.end() || it->second.response_started || it->second.cancelled)
        return;
    const Attempt& attempt = it->second;
    // An upstream that has answered other calls since is responsive; this call merely
    // takes long.
    if (attempt.upstream->answered_at.load(std::memory_order_relaxed) > attempt.sent_at)
        return;
    report_unreachable(attempt);
    if (options.eject && may_eject(attempt) && attempt.upstream->record_failure(1, now))
        ++counters.ejections;
    // The attempt still ends with an event, as lost.
    if (!attempt.non_repeatable)
        out->push_back(CancelAttempt {id});
}

void
Scheduler::Impl::hedge(Entry& entry, AttemptId attempt)
{
    Request& request = entry.request;
    const bool is_only_attempt = entry.machine.state() == RequestState::Running
        && request.running.size() == 1 && request.running.front() == attempt;
    if (!is_only_attempt || request.attempts_of_stage >= max_attempts(request)
        || attempts.at(attempt).stream_began)
        return;
    // The results that a hedge needs have already been read and released.
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
