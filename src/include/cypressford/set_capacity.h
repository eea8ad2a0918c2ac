// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Inputs of the capacity ledger: what a set of batched upstreams can do, and what one
/// request needs of each set.

#pragma once

#include <string>
#include <vector>

#include <cypressford/capacity_ledger.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Pieces per second that the set completes if all its usable upstreams receive full calls
/// in every slot.  An upstream with a rate limit counts for no more calls than the limit
/// permits.  0 if no upstream is usable.
double full_call_rate(const UpstreamSet& set, Micros now);

/// What one request needs of one set.
struct SetQuery {
    std::string upstream_set;
    CapacityQuery need;
};
using SetQueries = std::vector<SetQuery>;

/// What a request needs of each set, with one entry for each set that makes pieces for it.
/// `request`: its attempt, account, priority and `expires_in`.  `target_in`: time until
/// its pieces must be made to meet the target latency.
SetQueries capacity_queries(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
                            const std::vector<int>& counts, const CapacityQuery& request,
                            Micros target_in);

/// True if the request was refused although its pieces would have started by `due_in`: its
/// account has more than its share of the set.
bool is_over_share(const CapacityQuery& query, const CapacityVerdict& verdict);

} // namespace cypressford
