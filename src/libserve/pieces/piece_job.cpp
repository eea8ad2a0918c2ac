// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/piece_job.h"

#include <algorithm>

#include <cypressford/upstream_use.h>

#include "libserve/upstream_says.h"

namespace cypressford {

namespace {

/// Empty if the set has no upstream with that address.
std::string
hall_of(const UpstreamSet& set, const std::string& address)
{
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (upstream->address == address)
                return upstream->hall;
    return {};
}

} // namespace

std::vector<Micros>
PieceJob::time_left(Micros now) const
{
    std::vector<Micros> left(started_at.size(), 0);
    for (std::size_t stage = 0; stage < left.size(); ++stage) {
        if (plan.count(stage) == 0 || plan.is_made(stage))
            continue;
        const UpstreamSet& set = set_of(stage);
        left[stage] = call_time(set.spec, plan.count(stage))
            + set.load->typical_delay(wanted.priority);
        if (started_at[stage] != 0)
            left[stage] -= std::min(left[stage], now - started_at[stage]);
    }
    return left;
}

const UpstreamSet&
PieceJob::reader_set() const
{
    return wanted.snapshot->sets[resolved().sets.front()];
}

std::vector<std::string>
PieceJob::unusable_engines(Micros now) const
{
    // Each identity takes 12 bytes.  If the leader chooses an unusable upstream that was
    // left out because of this limit, this daemon replaces it with its own choice.
    constexpr std::size_t most = 64;
    std::vector<std::string> identities;
    const UpstreamSet& set = reader_set();
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            // Limits are reported separately: the leader checks the sum over all daemons.
            const bool can_use
                = is_in_service(*upstream, now) && !upstream->self_report->in_backoff(now);
            if (!can_use && identities.size() < most)
                identities.push_back(upstream->identity);
        }
    return identities;
}

LimitReports
PieceJob::reports_of(AnnouncedKind kind, Micros now) const
{
    return cypressford::reports_of(reader_set(), kind, now);
}

void
PieceJob::receive_limit_reports(const LimitReports& reports, Micros now) const
{
    receive_reports(reader_set(), AnnouncedKind::Limit, reports, now);
}

SetQueries
PieceJob::capacity_queries(Micros now) const
{
    CapacityQuery request;
    request.attempt = wanted.attempt;
    request.account = wanted.account;
    request.priority = wanted.priority;
    request.expires_in = wanted.deadline - now;
    return cypressford::capacity_queries(*wanted.snapshot, resolved(), wanted.counts,
                                         request, wanted.target_by - now);
}

PieceOrder
PieceJob::order_for(std::size_t stage, std::string hall) const
{
    PieceOrder order;
    order.upstream_set = set_of(stage).spec.name;
    order.priority = wanted.priority;
    order.near = std::move(hall);
    order.is_retry = wanted.is_retry;
    order.halls = wanted.halls;
    order.result_bytes = resolved().spec.piece_stages[stage].result_bytes;
    order.due_left = wanted.target_by
        - time_from_stage(*wanted.snapshot, resolved(), wanted.counts, stage);
    const std::vector<std::string> inputs = plan.inputs_of(stage);
    for (int segment = 0; segment < plan.count(stage); ++segment) {
        PieceItem item;
        item.attempt = wanted.attempt;
        item.stage = static_cast<int>(stage);
        item.segment = segment;
        item.piece_key = wanted.piece_key;
        item.inputs = inputs;
        order.pieces.push_back(std::move(item));
    }
    return order;
}

BytesByHall
PieceJob::bytes_by_hall(const std::vector<std::string>& handles,
                        const CallDialect& dialect) const
{
    BytesByHall bytes;
    for (const std::string& handle : handles) {
        const std::size_t stage = plan.stage_of(handle);
        const std::string hall = hall_of(set_of(stage), dialect.holder_of(handle));
        bytes[hall] += resolved().spec.piece_stages[stage].result_bytes;
    }
    return bytes;
}

StageTransfer
PieceJob::transfer_of(std::size_t stage, const CallDialect& dialect) const
{
    StageTransfer transfer;
    transfer.inputs = bytes_by_hall(plan.inputs_of(stage), dialect);
    transfer.pieces = plan.count(stage);
    // If no upstream has cached the prompt, its reader is chosen near the results.
    if (plan.is_last(stage) && wanted.follows_prompt) {
        transfer.reader = near;
        transfer.result_bytes
            = transfer.pieces * resolved().spec.piece_stages[stage].result_bytes;
    }
    return transfer;
}

std::vector<PieceHandle>
PieceJob::with_set_names(const std::vector<std::string>& handles) const
{
    std::vector<PieceHandle> result;
    result.reserve(handles.size());
    for (const std::string& handle : handles)
        result.push_back({set_of(plan.stage_of(handle)).spec.name, handle});
    return result;
}

} // namespace cypressford
