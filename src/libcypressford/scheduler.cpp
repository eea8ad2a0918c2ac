// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "scheduler_impl.h"

#include <algorithm>
#include <utility>

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
                              verdict.retry_after, false, verdict.expected, verdict.cause,
                              verdict.calls_allowed});
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
Scheduler::Impl::on(const ResponseStarted& event)
{
    const auto it = attempts.find(event.attempt);
    if (it == attempts.end())
        return;
    it->second.response_started = true;
    it->second.upstream->answered_at.store(now, std::memory_order_relaxed);
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
    record_outcome(attempt, event.status);
    auto entry_it = entries.find(attempt.request);
    if (entry_it == entries.end())
        return;
    Entry& entry = *entry_it->second;
    const SetId set = entry.request.set_of(attempt.stage).id;
    record_load(entry.request, attempt, event.status);
    StageQueue& queue = queue_of(set);
    --queue.running;
    if (attempt.has_granted_slot) {
        --queue.granted;
        queue.freed_grants += queue.waiting.empty() ? 0 : 1;
    }
    mark_dirty(set);
    settle_attempt(entry, attempt, event.status);
    advance(entry);
    forget_if_ended(entry);
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
        // A process that was suspended during the claim may be past the deadline; this
        // check comes before anything is sent.
        if (now >= entry.request.spec.deadline)
            entry.machine.abort(ErrorKind::DeadlineExceeded);
        else
            entry.machine.claim_won();
    } else {
        entry.request.claim = ClaimState::Ended;
        if (event.result == ClaimResult::Replayed)
            reply_replayed(entry);
        else
            entry.machine.abort(claim_error(event.result));
    }
    advance(entry);
    forget_if_ended(entry);
}

void
Scheduler::Impl::on(const CallerClosed& event)
{
    auto it = entries.find(event.request);
    if (it == entries.end())
        return;
    Entry& entry = *it->second;
    entry.machine.abort(ErrorKind::CallerGone);
    forget_if_ended(entry);
}

void
Scheduler::Impl::on(const PreparationEnded& event)
{
    auto it = entries.find(event.request);
    if (it == entries.end() || it->second->request.preparation != PreparationState::Pending)
        return;
    Entry& entry = *it->second;
    Request& request = entry.request;
    if (event.made) {
        request.preparation = PreparationState::Made;
        request.prepared_before = true;
        request.prepared_hall = event.hall;
        request.prepared_identity = event.identity;
        request.prepared_is_counted = event.is_counted;
        if (event.has_slot && options.switches.uses(Mechanism::DemandLimit)) {
            request.prepared_has_slot = *event.has_slot;
            StageQueue& queue = queue_of(request.set().id);
            (*event.has_slot ? queue.slot_granted_at : queue.slot_lacking_at) = now;
        }
        request.placed_identity = event.identity;
        entry.machine.preparation_made();
    } else {
        request.preparation = PreparationState::Wanted;
        if (event.refused)
            request.retry_after = event.retry_after;
        entry.machine.abort(event.refused ? ErrorKind::DeadlineUnreachable
                                          : ErrorKind::NoUpstream);
    }
    advance(entry);
    forget_if_ended(entry);
}

/// Memory for results is scarce, so results are released as soon as they have been read.
/// A later attempt has them made again.
void
Scheduler::Impl::on(const InputsRead& event)
{
    Request* const found = request_of(event.attempt);
    if (!found)
        return;
    Request& request = *found;
    if (request.preparation != PreparationState::Made || !request.spec.needs_pieces()
        || !options.switches.uses(Mechanism::EarlyRelease))
        return;
    if (!mutated(Mutation::SendFreedInputs))
        request.preparation = PreparationState::Wanted;
    out->push_back(ReleaseInputs {request.spec.id});
}

void
Scheduler::Impl::on(const StreamBegan& event)
{
    Request* const request = request_of(event.attempt);
    if (!request)
        return;
    Attempt& attempt = attempts.at(event.attempt);
    attempt.stream_began = true;
    if (!request->spec.version)
        request->spec.version = attempt.upstream->version;
    if (may_hedge(request->stage_spec()))
        first_events.record(request->pipeline().stage_ids[attempt.stage],
                            now - attempt.sent_at, now);
    cancel_running(*request, event.attempt);
}

/// The request of an attempt that has not ended; null if the request was dropped.
Request*
Scheduler::Impl::request_of(AttemptId attempt)
{
    const auto at = attempts.find(attempt);
    if (at == attempts.end())
        return nullptr;
    const auto entry = entries.find(at->second.request);
    return entry == entries.end() ? nullptr : &entry->second->request;
}

/// Without an answer, a caller whose connection closes when the process exits has neither
/// the guarantee that its request did not run nor a retry-after time.
void
Scheduler::Impl::on(const ShutdownImminent&)
{
    std::vector<RequestId> waiting;
    for (const auto& [id, entry] : entries)
        if (entry->request.running.empty())
            waiting.push_back(id);
    for (const RequestId id : waiting) {
        const auto it = entries.find(id);
        if (it == entries.end())
            continue;
        Entry& entry = *it->second;
        entry.machine.abort(ErrorKind::Stopping);
        forget_if_ended(entry);
    }
}

void
Scheduler::Impl::on(const Tick&)
{
    if (!attempts.empty() && now - ticked_at >= kStall)
        stalled += now - ticked_at;
    ticked_at = now;
    while (!timers.empty() && timers.top().at <= now) {
        const Timer timer = timers.top();
        timers.pop();
        auto it = entries.find(timer.request);
        if (it == entries.end())
            continue;
        Entry& entry = *it->second;
        if (timer.kind == TimerKind::Hedge)
            hedge(entry, timer.attempt);
        else if (timer.kind == TimerKind::Unresponsive)
            check_unresponsive(timer.attempt);
        else
            entry.machine.abort(ErrorKind::DeadlineExceeded);
        forget_if_ended(entry);
    }
    for (SetId id = 0; id < queues.size(); ++id)
        if (!queues[id].waiting.empty())
            mark_dirty(id);
}

Scheduler::Impl::Budgets
Scheduler::Impl::new_budgets() const
{
    const RetryLimit& limit = options.retry_limit;
    if (!limit.is_set())
        return {{options.retry_ratio, options.retry_burst, options.retry_burst},
                {options.hedge_ratio, options.hedge_burst, options.hedge_burst}};
    const int sharers = daemons * options.schedulers;
    const double saved = knows_all_daemons ? limit.initial_tokens(sharers) : 0;
    return {{RetryLimit::kForRetries * limit.ratio,
             limit.burst(RetryLimit::kForRetries, sharers), saved},
            {RetryLimit::kForHedges * limit.ratio,
             limit.burst(RetryLimit::kForHedges, sharers), 0}};
}

void
Scheduler::Impl::share_limit()
{
    const RetryLimit& limit = options.retry_limit;
    if (!limit.is_set())
        return;
    const int sharers = daemons * options.schedulers;
    for (auto& [set, both] : budgets)
        both.set_bursts(limit.burst(RetryLimit::kForRetries, sharers),
                        limit.burst(RetryLimit::kForHedges, sharers));
}

/// Budgets that were created before the number of daemons was known began without retries.
void
Scheduler::Impl::grant_initial_retries()
{
    const RetryLimit& limit = options.retry_limit;
    if (!limit.is_set())
        return;
    for (auto& [set, both] : budgets)
        both.retries.save(limit.initial_tokens(daemons * options.schedulers));
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
    m_impl->dispatch_dirty();
}

void
Scheduler::set_daemons_in_hall(int count)
{
    m_impl->options.daemons_in_hall = std::max(1, count);
}

void
Scheduler::set_daemons(int count, bool knows_all)
{
    count = std::max(1, count);
    if (count == m_impl->daemons && knows_all == m_impl->knows_all_daemons)
        return;
    const bool knew_all = std::exchange(m_impl->knows_all_daemons, knows_all);
    m_impl->daemons = count;
    m_impl->share_limit();
    if (knows_all && !knew_all)
        m_impl->grant_initial_retries();
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
