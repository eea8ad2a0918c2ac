// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "scheduler_impl.h"

#include <algorithm>

namespace cypressford {

Scheduler::Impl::Impl(SchedulerOptions options_, const Router& router_,
                      const Admission& admission_, RandomBits random_)
    : options(options_)
    , router(router_)
    , admission(admission_)
    , random(std::move(random_))
{
}

// ---------------------------------------------------------------- events

void
Scheduler::Impl::on(const RequestArrived& event)
{
    auto owned = std::make_unique<Entry>(*this, event.request);
    Entry& entry = *owned;
    entry.request.arrived = now;
    if (auto verdict = check_admission(entry.request); !verdict.admitted) {
        ++counters.refused;
        out->push_back(Reply {event.request.id, verdict.kind, Ran::NotRun,
                              verdict.retry_after, false});
        out->push_back(Forget {event.request.id});
        return;
    }
    ++counters.admitted;
    ++unanswered;
    Request& request = entry.request;
    ++by_account[request.account().state.get()];
    commit(request);
    entries.emplace(event.request.id, std::move(owned));
    timers.push({request.spec.deadline, TimerKind::Deadline, request.spec.id, 0});
    advance(entry);
}

void
Scheduler::Impl::on(const AttemptEnded& event)
{
    auto it = attempts.find(event.attempt);
    if (it == attempts.end())
        return;
    const Attempt attempt = std::move(it->second);
    attempts.erase(it);
    attempt.upstream->in_flight.fetch_sub(1, std::memory_order_relaxed);
    if (attempt.probe)
        attempt.upstream->probing.store(false, std::memory_order_relaxed);
    observe(attempt, event.status);
    auto entry_it = entries.find(attempt.request);
    if (entry_it == entries.end())
        return;
    Entry& entry = *entry_it->second;
    const SetId set = entry.request.set_of(attempt.stage).id;
    --queue_of(set).running;
    mark_dirty(set);
    settle_attempt(entry, attempt, event.status);
    advance(entry);
    forget_if_over(entry);
}

void
Scheduler::Impl::on(const ClaimDecided& event)
{
    auto it = entries.find(event.request);
    if (it == entries.end() || it->second->request.claim != ClaimState::Pending)
        return;
    Entry& entry = *it->second;
    if (event.result == ClaimResult::Won) {
        entry.request.claim = ClaimState::Won;
        // A holder that was paused finds out here, before it sends anything.
        if (now >= entry.request.spec.deadline)
            entry.machine.give_up(ErrorKind::DeadlineExceeded);
        else
            entry.machine.claim_won();
    } else {
        entry.request.claim = ClaimState::Ended;
        if (event.result == ClaimResult::Replayed)
            reply_replayed(entry);
        else
            entry.machine.give_up(claim_error(event.result));
    }
    advance(entry);
    forget_if_over(entry);
}

void
Scheduler::Impl::on(const CallerClosed& event)
{
    auto it = entries.find(event.request);
    if (it == entries.end())
        return;
    Entry& entry = *it->second;
    entry.machine.give_up(ErrorKind::CallerGone);
    forget_if_over(entry);
}

void
Scheduler::Impl::on(const Tick&)
{
    while (!timers.empty() && timers.top().at <= now) {
        const Timer timer = timers.top();
        timers.pop();
        auto it = entries.find(timer.request);
        if (it == entries.end())
            continue;
        Entry& entry = *it->second;
        if (timer.kind == TimerKind::Hedge)
            hedge(entry, timer.attempt);
        else
            entry.machine.give_up(ErrorKind::DeadlineExceeded);
        forget_if_over(entry);
    }
    for (SetId id = 0; id < queues.size(); ++id)
        if (!queues[id].waiting.empty())
            mark_dirty(id);
}

// ------------------------------------------------------------- admission

AdmissionVerdict
Scheduler::Impl::check_admission(const Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    if (!pipeline.repeatable && !request.spec.has_key)
        return {false, ErrorKind::KeyRequired, 0};
    if (waiting_count >= options.max_waiting)
        return {false, ErrorKind::QueueFull, kSecond};
    AdmissionQuery query;
    query.now = now;
    query.deadline = request.spec.deadline;
    query.priority = pipeline.spec.priority;
    query.in_progress = static_cast<int>(unanswered);
    const ResolvedAccount& account = request.account();
    const auto of_account = by_account.find(account.state.get());
    query.account_in_progress = of_account == by_account.end() ? 0 : of_account->second;
    query.active_accounts = static_cast<int>(by_account.size());
    std::array<StageOutlook, kMaxStages> outlooks;
    const std::size_t count = pipeline.spec.stages.size();
    for (std::size_t at = 0; at < count; ++at)
        outlooks.at(at) = outlook(request, at);
    query.stages = std::span(outlooks).first(count);
    const AdmissionVerdict verdict = admission.admit(query);
    if (!verdict.admitted)
        return verdict;
    if (const Micros wait = account.state->take(account.spec, now); wait > 0)
        return {false, ErrorKind::AccountLimit, wait};
    return verdict;
}

StageOutlook
Scheduler::Impl::outlook(const Request& request, std::size_t at)
{
    const StageId id = request.pipeline().stage_ids[at];
    StageOutlook result;
    result.typical = model.p50(id).value_or(0);
    result.tail = model.p95(id).value_or(result.typical);
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    result.usable = capacity.usable;
    const StageQueue& queue = queue_of(request.set_of(at).id);
    result.waiting = static_cast<int>(queue.waiting.size());
    // Service times are learnt with this many calls under way, so the rate at
    // which work is done is this many per service time (Little's law).
    const double share = kShareSlack * capacity.share / std::max(1, options.schedulers);
    // Work that runs in the slots already is ahead of nobody.
    const double ahead = static_cast<double>(queue.ahead_of(request.priority()))
        - share * static_cast<double>(result.typical);
    const double left = share - queue.busy_with_more_urgent(request.priority());
    const double drain = std::max({left, kLeastDrain * share, kSmallestShare});
    result.backlog = static_cast<Micros>(std::max(0.0, ahead) / drain);
    return result;
}

const StageQueue::Capacity&
Scheduler::Impl::capacity_of(const Request& request, std::size_t at)
{
    const UpstreamSet& set = request.set_of(at);
    StageQueue::Capacity& capacity = queue_of(set.id).capacity;
    const std::uint64_t generation = request.spec.snapshot->generation;
    const bool fresh = capacity.generation == generation && capacity.at >= 0
        && now - capacity.at < kCapacityAge;
    if (!fresh)
        capacity = {now, generation, count_usable(set, now),
                    share_of_slots(set, options.daemons_in_hall, now)};
    return capacity;
}

void
Scheduler::Impl::commit(Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at) {
        const Micros work = model.mean(pipeline.stage_ids[at]).value_or(0);
        request.committed.at(at) = work;
        StageQueue& queue = queue_of(request.set_of(at).id);
        queue.committed.at(priority_index(request)) += work;
        queue.note_inflow(priority_index(request), work, now);
    }
}

void
Scheduler::Impl::release_commitment(Request& request, std::size_t at)
{
    auto& queue = queue_of(request.set_of(at).id);
    queue.committed.at(priority_index(request)) -= request.committed.at(at);
    request.committed.at(at) = 0;
}

// --------------------------------------------------------------- routing

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
        if (is_hopeless(entry.request)) {
            entry.machine.give_up(ErrorKind::DeadlineExceeded);
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
Scheduler::Impl::is_hopeless(const Request& request) const
{
    const Micros left = request.spec.deadline - now;
    if (left <= 0)
        return true;
    if (!admission.drops_hopeless())
        return false;
    Micros needed = 0;
    for (std::size_t at = request.stage; at < request.pipeline().spec.stages.size(); ++at)
        needed += model.p50(request.pipeline().stage_ids[at]).value_or(0);
    return needed > left;
}

bool
Scheduler::Impl::try_start(Entry& entry)
{
    Request& request = entry.request;
    if (!has_share_left(request) || !choose_upstream(request)) {
        if (count_usable(request.set(), now) > 0)
            return false;
        entry.machine.give_up(ErrorKind::NoUpstream);
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
    // One call is always allowed: the share may be less than a slot.
    return running == 0 || running < kShareSlack * share;
}

/// Leaves the choice in `chosen`.
bool
Scheduler::Impl::choose_upstream(const Request& request)
{
    const UpstreamSet& set = request.set();
    CandidateQuery query;
    query.now = now;
    query.daemons_in_hall = options.daemons_in_hall;
    query.limit_slots = admission.queues_here();
    query.allow_probe = request.stage_spec().repeatable;
    query.tried = request.tried;
    const bool generates = request.stage_spec().kind == StageKind::Generate;
    const bool has_home = generates && request.spec.affinity != 0;
    query.want_all = has_home || !router.samples();
    query.random = random();
    collect_candidates(set, query, candidates);
    if (candidates.empty() && !request.tried.empty()) {
        query.tried = {};
        collect_candidates(set, query, candidates);
    }
    if (candidates.empty())
        return false;
    RouteContext context;
    context.affinity = has_home ? request.spec.affinity : 0;
    context.random = random();
    context.sequence = queue_of(set.id).decisions++;
    chosen = *candidates.states[router.pick(candidates.values, context)];
    return true;
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
    const Micros deadline = attempt_deadline(request);
    out->push_back(SendAttempt {request.spec.id, attempt.id, request.stage, chosen,
                                deadline, !attempt.once});
    arm_hedge(request, attempt.id);
    attempts.emplace(attempt.id, std::move(attempt));
}

/// A repeatable call that takes several times its usual tail is given up while
/// there is time left for another one.
Micros
Scheduler::Impl::attempt_deadline(const Request& request) const
{
    const Micros last = request.spec.deadline;
    const auto tail = model.p95(request.pipeline().stage_ids[request.stage]);
    if (!request.stage_spec().repeatable || !tail || !admission.drops_hopeless())
        return last;
    return std::min(last, now + kTimeoutOverTail * *tail + kTimeoutFloor);
}

// --------------------------------------------------------------- hedging

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
Scheduler::Impl::hedge(Entry& entry, AttemptId attempt)
{
    Request& request = entry.request;
    const bool still = entry.machine.state() == RequestState::Running
        && request.running.size() == 1 && request.running.front() == attempt;
    if (!still || request.attempts_of_stage >= options.max_attempts)
        return;
    // A queue means there is no idle slot that a hedge could use.
    if (!queue_of(request.set().id).waiting.empty() || !choose_upstream(request))
        return;
    if (chosen == attempts.at(attempt).upstream || !budgets_of(request).spend_hedge())
        return;
    ++counters.hedges;
    entry.machine.hedge_due();
}

// -------------------------------------------------------------- settling

/// Learns from the end of an attempt, whatever became of its request.
void
Scheduler::Impl::observe(const Attempt& attempt, AttemptStatus status)
{
    UpstreamState& upstream = *attempt.upstream;
    const Micros took = now - attempt.sent_at;
    switch (status) {
    case AttemptStatus::Ok:
    case AttemptStatus::Rejected:
        upstream.note_success(took, now);
        break;
    case AttemptStatus::Leaving:
        upstream.mark_leaving();
        break;
    case AttemptStatus::Overloaded:
        break;
    case AttemptStatus::NotSent:
    case AttemptStatus::Failed:
    case AttemptStatus::Lost:
        if (!attempt.cancelled && options.eject && is_evidence(attempt, status)
            && may_eject(attempt) && upstream.note_failure(kFailuresToEject, now))
            ++counters.ejections;
        break;
    }
}

/// A call that its own request's deadline cut short says little about the
/// upstream, unless it had taken far longer than such calls take.
bool
Scheduler::Impl::is_evidence(const Attempt& attempt, AttemptStatus status) const
{
    auto it = entries.find(attempt.request);
    if (status != AttemptStatus::Lost || it == entries.end()
        || now < it->second->request.spec.deadline)
        return true;
    const auto tail = model.p95(it->second->request.pipeline().stage_ids[attempt.stage]);
    return !tail || now - attempt.sent_at > 2 * *tail;
}

/// Never more than half of a set is taken out: when most of it fails, the
/// fault is elsewhere, and trying is all that is left.
bool
Scheduler::Impl::may_eject(const Attempt& attempt) const
{
    auto it = entries.find(attempt.request);
    if (it == entries.end())
        return true;
    const UpstreamSet& set = it->second->request.set_of(attempt.stage);
    const auto all = static_cast<int>(set.own.size() + set.remote.size());
    return 2 * (count_usable(set, now) - 1) >= all;
}

void
Scheduler::Impl::settle_attempt(Entry& entry, const Attempt& attempt, AttemptStatus status)
{
    Request& request = entry.request;
    --request.open_attempts;
    const bool proven_unrun = status == AttemptStatus::NotSent
        || status == AttemptStatus::Overloaded || status == AttemptStatus::Leaving;
    if (proven_unrun) {
        --request.may_have_run;
        if (attempt.once)
            request.once_may_have_run = false;
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
        entry.machine.give_up(ErrorKind::UpstreamRejected);
    } else if (now >= request.spec.deadline && !attempt.once) {
        cancel_running(request);
        entry.machine.give_up(ErrorKind::DeadlineExceeded);
    } else {
        request.last_failure = failure_of(status, attempt.once);
        entry.machine.attempt_lost();
    }
}

ErrorKind
Scheduler::Impl::failure_of(AttemptStatus status, bool once)
{
    const bool may_not_repeat = once && !mutated(Mutation::RetryOnce);
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
Scheduler::Impl::cancel_running(Request& request)
{
    for (const AttemptId id : request.running) {
        attempts.at(id).cancelled = true;
        ++counters.cancelled;
        out->push_back(CancelAttempt {id});
    }
    request.running.clear();
}

void
Scheduler::Impl::end_claim(Request& request, ClaimOutcome outcome)
{
    const bool ours
        = request.claim == ClaimState::Pending || request.claim == ClaimState::Won;
    if (!ours)
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
    entry.machine.give_up(ErrorKind::Internal);
}

void
Scheduler::Impl::finish(Request& request)
{
    leave_queue(request);
    for (std::size_t at = request.stage; at < request.pipeline().spec.stages.size(); ++at)
        release_commitment(request, at);
    cancel_running(request);
    request.ended = true;
}

void
Scheduler::Impl::forget_if_over(Entry& entry)
{
    if (!entry.request.ended || entry.request.open_attempts > 0)
        return;
    const RequestId id = entry.request.spec.id;
    out->push_back(Forget {id});
    entries.erase(id);
}

// ------------------------------------------------------------- interface

Scheduler::Scheduler(SchedulerOptions options, const Router& router,
                     const Admission& admission, RandomBits random)
    : m_impl(std::make_unique<Impl>(options, router, admission, std::move(random)))
{
}

Scheduler::~Scheduler() = default;

void
Scheduler::handle(const Event& event, Micros now, Actions& out)
{
    m_impl->now = now;
    m_impl->out = &out;
    std::visit([this](const auto& e) { m_impl->on(e); }, event);
    m_impl->pump_dirty();
}

void
Scheduler::set_daemons_in_hall(int count)
{
    m_impl->options.daemons_in_hall = std::max(1, count);
}

std::size_t
Scheduler::in_progress() const
{
    return m_impl->unanswered;
}

std::size_t
Scheduler::live() const
{
    return m_impl->entries.size();
}

const SchedulerStats&
Scheduler::stats() const
{
    return m_impl->counters;
}

} // namespace cypressford
