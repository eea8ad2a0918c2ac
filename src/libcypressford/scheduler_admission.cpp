// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduler: what is admitted, and the work that is promised.

#include "scheduler_impl.h"

#include <cypressford/pieces.h>

#include <algorithm>
#include <limits>

namespace cypressford {

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
    AdmissionQuery query;
    query.now = now;
    query.deadline = request.spec.deadline;
    if (pipeline.spec.target_latency > 0)
        query.prompt_by = now + pipeline.spec.target_latency;
    query.priority = pipeline.spec.priority;
    query.in_progress = static_cast<int>(unanswered);
    const ResolvedAccount& account = request.account();
    const auto of_account = by_account.find(account.state.get());
    query.account_in_progress = of_account == by_account.end() ? 0 : of_account->second;
    query.active_accounts = static_cast<int>(by_account.size());
    std::array<StageOutlook, kMaxStages + 1> outlooks;
    std::size_t count = 0;
    if (request.spec.needs_pieces())
        outlooks.at(count++) = pieces_outlook(request);
    for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at)
        outlooks.at(count++) = outlook(request, at);
    query.stages = std::span(outlooks).first(count);
    const Micros rest = rest_ahead(request);
    if (rest > 0 && !bears_wait(request, rest))
        return with_next_place(request,
                               {false, ErrorKind::Resting, come_back_after(rest), 0});
    const AdmissionVerdict verdict = admission.admit(query);
    if (!verdict.admitted)
        return with_next_place(request, verdict);
    if (const Micros wait = account.state->take(account.spec, now); wait > 0)
        return {false, ErrorKind::AccountLimit, wait, verdict.expected};
    return verdict;
}

/// True if each set that the request needs has an upstream that is usable where the
/// request may be worked on.  Asked of limited requests only; others are judged by their
/// stages' outlooks.
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

/// How long until each stage has an upstream that does not rest.  Stage upstreams that make
/// pieces say to the leader of their set that they want rest; it tells by its wait.
Micros
Scheduler::Impl::rest_ahead(const Request& request)
{
    Micros rest = 0;
    for (std::size_t at = 0; at < request.pipeline().spec.stages.size(); ++at)
        rest = std::max(rest, capacity_of(request, at).rest);
    return rest;
}

/// True if the request is still answered in the time it aims at when its next stage begins
/// after `wait`.  One that is not is told when to come back: at another daemon, or later at
/// this one, it is served no later than by waiting here, and holds nothing meanwhile.
bool
Scheduler::Impl::bears_wait(const Request& request, Micros wait) const
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

/// True if the request has waited for upstreams that get calls at a rate, and is answered
/// before its deadline when its turn comes after `wait`.  Places come at uneven times, so
/// that may be later than it was admitted for; who is refused then has waited for nothing.
bool
Scheduler::Impl::waits_for_place(const Request& request, Micros wait)
{
    return capacity_of(request, request.stage).paced_per_s > 0
        && now + wait + typical_time(request, request.stage) <= request.spec.deadline;
}

/// When a caller that is refused during a rest is to come back; SchedulerOptions says why
/// it is spread.
Micros
Scheduler::Impl::come_back_after(Micros rest)
{
    const double spread = options.rest_spread * static_cast<double>(rest);
    return rest + static_cast<Micros>(random() % (static_cast<std::uint64_t>(spread) + 1));
}

/// The next place that upstreams of a stage, which get calls at a rate, have for a caller
/// that is refused; each caller is told of another one, so that they don't come back to one
/// place.  0: there are others, or none at all.
Micros
Scheduler::Impl::next_place(const Request& request, std::size_t at)
{
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    if (capacity.paced_per_s <= 0)
        return 0;
    StageQueue& queue = queue_of(request.set_of(at).id);
    const auto interval = static_cast<Micros>(kSecond / capacity.paced_per_s);
    const Micros farthest = request.pipeline().spec.deadline;
    const Micros last = std::max(queue.promised_until, now + capacity.rest);
    queue.promised_until = std::min(last + interval, now + farthest);
    if (queue.promised_until < now + farthest)
        return queue.promised_until - now;
    // More callers than places: nobody waits for longer, so they are spread up to there.
    const auto half = static_cast<std::uint64_t>(std::max<Micros>(1, farthest / 2));
    return farthest / 2 + static_cast<Micros>(random() % half);
}

/// What a caller that is refused for want of a place is told, where places come at a rate.
AdmissionVerdict
Scheduler::Impl::with_next_place(const Request& request, AdmissionVerdict verdict)
{
    const bool lacks_place = verdict.kind == ErrorKind::Resting
        || verdict.kind == ErrorKind::DeadlineUnreachable;
    if (!lacks_place)
        return verdict;
    for (std::size_t at = 0; at < request.pipeline().spec.stages.size(); ++at)
        verdict.retry_after = std::max(verdict.retry_after, next_place(request, at));
    return verdict;
}

/// How long a stage takes as its caller feels it: a relayed stream counts up to
/// its first byte.
Micros
Scheduler::Impl::typical_time(const Request& request, std::size_t at) const
{
    const ResolvedPipeline& pipeline = request.pipeline();
    if (pipeline.spec.relayed && pipeline.spec.stream)
        return pipeline.state->first_byte.load(std::memory_order_relaxed);
    return model.p50(pipeline.stage_ids[at]).value_or(0);
}

StageOutlook
Scheduler::Impl::outlook(const Request& request, std::size_t at)
{
    const StageId id = request.pipeline().stage_ids[at];
    StageOutlook result;
    result.typical = typical_time(request, at);
    result.tail = std::max(result.typical, model.p95(id).value_or(result.typical));
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
    result.backlog = capacity.rest + static_cast<Micros>(std::max(0.0, ahead) / drain);
    result.backlog = std::max(result.backlog, wait_for_place(request, at));
    return result;
}

/// How long the request would wait for upstreams of a stage that get calls at a rate: their
/// places are counted, since slots and the time of a call say nothing of them.  0: there
/// are others.
Micros
Scheduler::Impl::wait_for_place(const Request& request, std::size_t at)
{
    const StageQueue::Capacity& capacity = capacity_of(request, at);
    if (capacity.paced_per_s <= 0)
        return 0;
    const StageQueue& queue = queue_of(request.set_of(at).id);
    const auto ahead = std::count_if(
        queue.waiting.begin(), queue.waiting.end(),
        [&request](const auto& waiting) { return waiting.priority <= request.priority(); });
    const double rate = capacity.paced_per_s / std::max(1, options.schedulers);
    const double wait = kPlaceMargin * static_cast<double>(ahead) * kSecond / rate;
    return capacity.rest + static_cast<Micros>(std::min(wait, kLongestWait));
}

/// The pieces of a request as one stage, by what the sets say of their calls and
/// what the daemons that lead them say of their queues.
StageOutlook
Scheduler::Impl::pieces_outlook(const Request& request)
{
    const ResolvedPipeline& pipeline = request.pipeline();
    const Snapshot& snapshot = *request.spec.snapshot;
    StageOutlook result;
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
        result.backlog += set.load->wait_at(request.priority(), now);
    }
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
    if (!fresh) {
        // Where all that could be used rest or have had what their limits allow, it is what
        // there will be when the first of them is back.
        // What the leader of the set grants is not known here: it is asked for each call.
        const RatePart part = set.spec.has_leader() ? RatePart::Granted : RatePart::Own;
        const Micros rest = time_to_first_usable(set, now, {}, part);
        const Micros then = now + rest;
        capacity = {now,
                    generation,
                    count_usable(set, then, {}, part),
                    share_of_slots(set, {options.daemons_in_hall, daemons},
                                   model.mean(request.pipeline().stage_ids[at])
                                       .value_or(typical_time(request, at)),
                                   then),
                    rest,
                    calls_per_s_if_paced(set, daemons, then)};
    }
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

} // namespace cypressford
