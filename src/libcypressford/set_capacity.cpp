// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/set_capacity.h>

#include <algorithm>

#include <cypressford/pieces.h>
#include <cypressford/upstream_use.h>

namespace cypressford {

double
full_call_rate(const UpstreamSet& set, Micros now)
{
    const Micros full_call = full_call_time(set.spec);
    if (!set.spec.batch || full_call <= 0)
        return 0;
    const double call_s = static_cast<double>(full_call) / kSecond;
    const double slots = std::max(1, set.spec.slots);
    double calls = 0; // in progress at the same time
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side) {
            if (!is_in_service(*upstream, now) || upstream->self_report->in_backoff(now))
                continue;
            const SharedRate& limit = upstream->self_report->limit();
            calls += limit.is_set()
                ? std::min(slots, limit.rate_of(RatePart::Granted) * call_s)
                : slots;
        }
    return calls * std::max(1, set.spec.batch->items) / call_s;
}

namespace {

/// Start of each piece stage, relative to that of the first, if nothing queues.
std::vector<Micros>
stage_starts(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
             const std::vector<int>& counts)
{
    const auto& stages = pipeline.spec.piece_stages;
    std::vector<Micros> starts(stages.size(), 0);
    // Stages may be listed in any order, so a pass for each is needed to settle all of
    // them.
    for (std::size_t pass = 0; pass < stages.size(); ++pass)
        for (std::size_t at = 0; at < stages.size(); ++at)
            for (const std::size_t before : stages[at].after) {
                if (counts[before] == 0)
                    continue;
                const UpstreamSetSpec& set
                    = snapshot.sets[pipeline.piece_sets[before]].spec;
                starts[at]
                    = std::max(starts[at], starts[before] + call_time(set, counts[before]));
            }
    return starts;
}

/// Adds a further stage at the same set: the pieces count from the first start, with the
/// least slack of the stages.
void
add_stage(CapacityQuery& need, int pieces, Micros starts_in, Micros due_in)
{
    const Micros slack = std::min(need.due_in - need.starts_in, due_in - starts_in);
    need.pieces += pieces;
    need.starts_in = std::min(need.starts_in, starts_in);
    need.due_in = need.starts_in + slack;
}

} // namespace

SetQueries
capacity_queries(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                 const std::vector<int>& counts, const CapacityQuery& request,
                 Micros target_in)
{
    const std::vector<Micros> starts = stage_starts(snapshot, pipeline, counts);
    SetQueries queries;
    for (std::size_t at = 0; at < starts.size(); ++at) {
        if (counts[at] == 0)
            continue;
        const Micros due_in = target_in - time_from_stage(snapshot, pipeline, counts, at);
        const std::string& name = snapshot.sets[pipeline.piece_sets[at]].spec.name;
        const auto known = std::find_if(queries.begin(), queries.end(), [&](const auto& q) {
            return q.upstream_set == name;
        });
        if (known != queries.end()) {
            add_stage(known->need, counts[at], starts[at], due_in);
            continue;
        }
        SetQuery query {name, request};
        query.need.pieces = counts[at];
        query.need.starts_in = starts[at];
        query.need.due_in = due_in;
        queries.push_back(std::move(query));
    }
    return queries;
}

bool
is_over_share(const CapacityQuery& query, const CapacityVerdict& verdict)
{
    return !verdict.admitted && query.starts_in + verdict.expected_wait <= query.due_in;
}

} // namespace cypressford
