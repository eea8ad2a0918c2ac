// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduler: admission, and accounting of admitted work.

#include "scheduler_impl.h"

#include <cypressford/pieces.h>

#include <algorithm>
#include <limits>

namespace cypressford {

std::string_view
to_string(WaitCause cause)
{
    switch (cause) {
    case WaitCause::Calls:
        return "calls";
    case WaitCause::Rate:
        return "rate";
    case WaitCause::Backoff:
        return "backoff";
    case WaitCause::Pieces:
        return "pieces";
    case WaitCause::None:
        break;
    }
    return "none";
}

namespace {

/// Raises the backlog of a stage to `wait`, if that is longer.
void
add_wait(StageEstimate& stage, Micros wait, WaitCause cause)
{
    if (wait <= stage.backlog)
        return;
    stage.backlog = wait;
    stage.cause = cause;
}

/// Adds to a refusal what its request would have waited for longest.
AdmissionVerdict
with_cause(AdmissionVerdict verdict, std::span<const StageEstimate> stages)
{
    const auto longest = std::max_element(
        stages.begin(), stages.end(), [](const StageEstimate& a, const StageEstimate& b) {
            return a.backlog < b.backlog;
        });
    if (longest != stages.end()) {
        verdict.cause = longest->cause;
        verdict.calls_allowed = longest->calls_allowed;
    }
    return verdict;
}

} // namespace

AdmissionVerdict
Scheduler::Impl::check_admission(const Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    if (!pipeline.repeatable && !pipeline.spec.relayed && !request.spec.has_key)
        return {false, ErrorKind::KeyRequired, 0, 0};
    if (waiting_count >= options.max_waiting)
        return {false, ErrorKind::QueueFull, kSecond, 0};
    if (!is_allowed_anywhere(request))
        return {false, ErrorKind::NoAllowedHall, kSecond, 0};
    if (const auto error = continuation_error(request))
        return {false, *error, *error == ErrorKind::VersionGone ? 0 : kSecond, 0};
    AdmissionQuery query;
    query.now = now;
    query.deadline = request.spec.deadline;
    if (pipeline.spec.target_latency > 0)
        query.target_by = now + pipeline.spec.target_latency;
    query.priority = request.priority();
    query.in_progress = static_cast<int>(unanswered);
    const ResolvedAccount& account = request.account();
    const auto of_account = by_account.find(account.state.get());
    query.account_in_progress = of_account == by_account.end() ? 0 : of_account->second;
    query.active_accounts = static_cast<int>(by_account.size());
    std::array<StageEstimate, kMaxStages + 1> estimates;
    std::size_t count = 0;
    if (request.spec.needs_pieces())
        estimates.at(count++) = estimate_pieces(request);
    for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at)
        estimates.at(count++) = estimate_stage(request, at);
    query.stages = std::span(estimates).first(count);
    const Micros backoff = backoff_remaining(request);
    if (backoff > 0 && !meets_target_after(request, backoff))
        return with_paced_retry_after(
            request, {false, ErrorKind::Resting, retry_after_backoff(backoff), 0});
    const AdmissionVerdict verdict = admission.admit(query);
    if (!verdict.admitted)
        return with_cause(with_paced_retry_after(request, verdict), query.stages);
    if (const Micros wait = account.state->take(account.spec, now); wait > 0)
        return {false, ErrorKind::AccountLimit, wait, verdict.expected};
    return verdict;
}

/// True if each upstream set that the request needs has an upstream that is usable in the
/// allowed halls, or becomes usable there.  Only checked for requests with a hall limit;
/// for others the stage estimates decide.
bool
Scheduler::Impl::is_allowed_anywhere(const Request& request) const
{
    const HallLimit& halls = request.spec.halls;
    if (!halls.is_set())
        return true;
    const ResolvedPipeline& pipeline = request.pipeline();
    const Snapshot& snapshot = *request.spec.snapshot;
    const auto is_usable_there = [&](std::size_t at) {
        const UpstreamSet& set = snapshot.sets[at];
        return count_usable(set, now, halls) > 0
            || time_to_first_usable(set, now, halls) > 0;
    };
    for (std::size_t at = 0; at < pipeline.piece_sets.size(); ++at)
        if (request.spec.pieces[at] > 0 && !is_usable_there(pipeline.piece_sets[at]))
            return false;
    return std::all_of(pipeline.sets.begin(), pipeline.sets.end(), is_usable_there);
}

/// The error for a stream that no upstream can continue soon.  Upstreams of a version that
/// has ended may never come back.
std::optional<ErrorKind>
Scheduler::Impl::continuation_error(const Request& request) const
{
    if (!request.spec.version)
        return std::nullopt;
    const UpstreamSet& set = request.set();
    const RatePart part = set.spec.has_leader() ? RatePart::Granted : RatePart::Own;
    const auto wait
        = time_to_continue(set, *request.spec.version, now, request.spec.halls, part);
    if (!wait)
        return ErrorKind::VersionGone;
    if (*wait > kMaxContinuationWait || now + *wait >= request.spec.deadline)
        return ErrorKind::NoUpstream;
    return std::nullopt;
}

/// Time until each stage has an upstream that is not in backoff.  Piece stages are left
/// out: their upstreams report a backoff to the leader of their set, and the wait that the
/// leader reports includes it.
Micros
Scheduler::Impl::backoff_remaining(const Request& request)
{
    Micros backoff = 0;
    for (std::size_t at = 0; at < request.pipeline().spec.stages.size(); ++at)
        backoff = std::max(backoff, capacity_of(request, at).backoff);
    return backoff;
}

/// True if the request is still answered within its target latency and its deadline when
/// its next stage starts after `wait`.  Other requests are refused with a retry-after time:
/// a retry at another daemon, or later at this one, is served no later than by waiting in
/// the queue, and uses no resources meanwhile.
bool
Scheduler::Impl::meets_target_after(const Request& request, Micros wait) const
{
    const PipelineSpec& spec = request.pipeline().spec;
    Micros last = request.spec.deadline;
    if (spec.target_latency > 0)
        last = std::min(last, request.arrived + spec.target_latency);
    Micros finish = now + wait;
    for (std::size_t at = request.stage; at < spec.stages.size(); ++at)
        finish += typical_time(request, at);
    return finish <= last;
}

/// True if the request is waiting for rate-limited upstreams, and is answered before its
/// deadline when its stage starts after `wait`.  Send slots come at uneven intervals, so
/// the start may be later than estimated at admission; a refusal then would waste the time
/// that the request has waited.
bool
Scheduler::Impl::may_wait_for_paced_slot(const Request& request, Micros wait)
{
    return capacity_of(request, request.stage).paced_per_s > 0
        && now + wait + typical_time(request, request.stage) <= request.spec.deadline;
}

/// Retry-after time for a request that is refused during a backoff, with jitter (see
/// SchedulerOptions::backoff_jitter).
Micros
Scheduler::Impl::retry_after_backoff(Micros backoff)
{
    const double jitter = options.backoff_jitter * static_cast<double>(backoff);
    return backoff
        + static_cast<Micros>(random() % (static_cast<std::uint64_t>(jitter) + 1));
}

/// Time until the next unassigned send slot of a stage whose upstreams are all
/// rate-limited.  Each refused caller is assigned a different slot, so that callers don't
/// retry at the same moment.  0 if an upstream without a limit is usable, or no upstream at
/// all.
Micros
Scheduler::Impl::next_paced_slot(const Request& request, std::size_t at)
{
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    if (capacity.paced_per_s <= 0)
        return 0;
    StageQueue& queue = queue_of(request.set_of(at).id);
    const auto interval = static_cast<Micros>(kSecond / capacity.paced_per_s);
    const Micros farthest = request.pipeline().spec.deadline;
    const Micros last = std::max(queue.retry_slots_until, now + capacity.backoff);
    queue.retry_slots_until = std::min(last + interval, now + farthest);
    if (queue.retry_slots_until < now + farthest)
        return queue.retry_slots_until - now;
    // More callers than send slots: no request can wait beyond its deadline, so retries are
    // spread over the second half of that time.
    const auto half = static_cast<std::uint64_t>(std::max<Micros>(1, farthest / 2));
    return farthest / 2 + static_cast<Micros>(random() % half);
}

/// Raises the retry-after time of a refusal for lack of capacity to the next send slot, for
/// stages whose upstreams are rate-limited.
AdmissionVerdict
Scheduler::Impl::with_paced_retry_after(const Request& request, AdmissionVerdict verdict)
{
    const bool lacks_capacity = verdict.kind == ErrorKind::Resting
        || verdict.kind == ErrorKind::DeadlineUnreachable;
    if (!lacks_capacity)
        return verdict;
    for (std::size_t at = 0; at < request.pipeline().spec.stages.size(); ++at)
        verdict.retry_after = std::max(verdict.retry_after, next_paced_slot(request, at));
    return verdict;
}

/// Median time of a stage as seen by the caller: for a relayed stream, the time to its
/// first byte.
Micros
Scheduler::Impl::typical_time(const Request& request, std::size_t at) const
{
    const ResolvedPipeline& pipeline = request.pipeline();
    if (pipeline.spec.relayed && pipeline.spec.stream)
        return pipeline.state->first_byte.load(std::memory_order_relaxed);
    return model.p50(pipeline.stage_ids[at], now).value_or(0);
}

StageEstimate
Scheduler::Impl::estimate_stage(const Request& request, std::size_t at)
{
    const StageId id = request.pipeline().stage_ids[at];
    StageEstimate result;
    result.typical = typical_time(request, at);
    // What is left of a resumed stream is shorter than a whole one, and each later retry
    // has less time, so that the median of whole streams is its bound.
    const auto tail = request.spec.resumes_stream ? model.p50(id, now) : model.p95(id, now);
    result.tail = std::max(result.typical, tail.value_or(result.typical));
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    result.usable = capacity.usable;
    StageQueue& queue = queue_of(request.set_of(at).id);
    result.waiting = static_cast<int>(queue.waiting.size());
    result.calls_allowed = queue.limit.calls();
    if (has_slots_by_leader(request, queue)) {
        add_wait(result, capacity.backoff, WaitCause::Backoff);
        add_wait(result, paced_slot_wait(request, at), WaitCause::Rate);
        return result;
    }
    // Service times are recorded with this many calls in flight, so that work is done at a
    // rate of this many service times per unit of time (Little's law).
    const double share = queue.limit.calls();
    // Work that already occupies the slots does not delay this request.
    const double ahead = static_cast<double>(queue.ahead_of(request.priority()))
        - share * static_cast<double>(result.typical);
    if (ahead > 0)
        queue.limit.record_demand(now);
    const double left = share - queue.busy_with_more_urgent(request.priority());
    const double drain = std::max({left, kMinDrainFraction * share, kMinDrainShare});
    add_wait(result, capacity.backoff, WaitCause::Backoff);
    if (ahead > 0)
        add_wait(result, capacity.backoff + static_cast<Micros>(ahead / drain),
                 WaitCause::Calls);
    add_wait(result, paced_slot_wait(request, at), WaitCause::Rate);
    return result;
}

/// True if the leader of the set, which counts the calls of all daemons, has granted the
/// last request a free slot.
bool
Scheduler::Impl::has_slots_by_leader(const Request& request, const StageQueue& queue) const
{
    return request.spec.asks_leader && queue.slot_granted_at > queue.slot_lacking_at
        && now - queue.slot_granted_at < kSlotGrantLifetime;
}

/// Expected wait for a stage whose upstreams are all rate-limited, in send slots, since the
/// rate is independent of an upstream's slots and service time.  0 if an upstream without a
/// limit is usable.
Micros
Scheduler::Impl::paced_slot_wait(const Request& request, std::size_t at)
{
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    if (capacity.paced_per_s <= 0)
        return 0;
    const StageQueue& queue = queue_of(request.set_of(at).id);
    const auto ahead = std::count_if(
        queue.waiting.begin(), queue.waiting.end(),
        [&request](const auto& waiting) { return waiting.priority <= request.priority(); });
    const double rate = capacity.paced_per_s / std::max(1, options.schedulers);
    const double wait = kPacedWaitFactor * static_cast<double>(ahead) * kSecond / rate;
    return capacity.backoff + static_cast<Micros>(std::min(wait, kMaxEstimatedWaitUs));
}

/// Estimate for the pieces of a request as one stage, from the call times of the upstream
/// sets and the queue waits reported by the leaders of the sets.
StageEstimate
Scheduler::Impl::estimate_pieces(const Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    const Snapshot& snapshot = *request.spec.snapshot;
    StageEstimate result;
    result.typical = pieces_time(snapshot, pipeline, request.spec.pieces);
    result.tail = result.typical;
    result.usable = std::numeric_limits<int>::max();
    for (std::size_t at = 0; at < pipeline.piece_sets.size(); ++at) {
        if (request.spec.pieces[at] == 0)
            continue;
        const UpstreamSet& set = snapshot.sets[pipeline.piece_sets[at]];
        const Micros then = now + time_to_first_usable(set, now, {}, RatePart::Granted);
        result.usable
            = std::min(result.usable, count_usable(set, then, {}, RatePart::Granted));
        add_wait(result, result.backlog + set.load->wait_at(request.priority(), now),
                 WaitCause::Pieces);
    }
    return result;
}

const StageQueue::Capacity&
Scheduler::Impl::capacity_of(const Request& request, std::size_t at)
{
    const UpstreamSet& set = request.set_of(at);
    StageQueue& queue = queue_of(set.id);
    StageQueue::Capacity& capacity = queue.capacity;
    const std::uint64_t generation = request.spec.snapshot->generation;
    const bool fresh = capacity.generation == generation && capacity.at >= 0
        && now - capacity.at < kCapacityLifetime;
    if (!fresh) {
        // While all upstreams in service are in backoff or have used up their limits, the
        // capacity is that at the time when the first of them is usable again.
        // The leader of a set grants each call; its use of the granted part is not recorded
        // here.
        const RatePart part = set.spec.has_leader() ? RatePart::Granted : RatePart::Own;
        const Micros backoff = time_to_first_usable(set, now, {}, part);
        const Micros then = now + backoff;
        const UsableUpstreams usable = usable_upstreams(set, then, part);
        capacity = {now,
                    generation,
                    usable.count,
                    share_of_slots(set, {options.daemons_in_hall, daemons},
                                   model.mean(request.pipeline().stage_ids[at], now)
                                       .value_or(typical_time(request, at)),
                                   then),
                    backoff,
                    calls_per_s_if_paced(set, daemons, then)};
        update_limit(queue, usable.slots);
    }
    return capacity;
}

/// `slots`: concurrent calls that the usable upstreams of the set serve.
void
Scheduler::Impl::update_limit(StageQueue& queue, int slots)
{
    const int schedulers = std::max(1, options.schedulers);
    const double even = kShareSlack * queue.capacity.share / schedulers;
    const double all = static_cast<double>(slots) / schedulers;
    queue.limit.set_bounds(even,
                           options.switches.uses(Mechanism::DemandLimit) ? all : even);
    queue.limit.age(now);
}

void
Scheduler::Impl::commit(Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at) {
        const Micros work = model.mean(pipeline.stage_ids[at], now).value_or(0);
        request.committed.at(at) = work;
        StageQueue& queue = queue_of(request.set_of(at).id);
        queue.committed.at(priority_index(request)) += work;
        queue.record_inflow(priority_index(request), work, now);
    }
}

void
Scheduler::Impl::release_commitment(Request& request, std::size_t at)
{
    auto& queue = queue_of(request.set_of(at).id);
    queue.committed.at(priority_index(request)) -= request.committed.at(at);
    request.committed.at(at) = 0;
}

} // namespace cypressford
