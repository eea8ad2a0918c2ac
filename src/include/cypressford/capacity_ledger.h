// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides at the leader of a set which requests the set can serve in time, before their
/// first piece is made.

#pragma once

#include <array>
#include <cstddef>
#include <string>

#include <cypressford/bundle.h>

namespace cypressford {

/// What one request needs of one set.  Times are relative to the query.
struct CapacityQuery {
    std::string attempt; ///< the caller's id of the request
    std::string account;
    int priority = 0; ///< 0 is the most urgent
    int pieces = 0;
    Micros starts_in = 0; ///< until its pieces reach the set if nothing queues before
    Micros due_in = 0; ///< until the latest start for a prompt answer
    Micros expires_in = 0; ///< until the deadline of the request
};

/// Capacity and queue of the set at the time of a query.
struct SetCapacity {
    double pieces_per_s = 0; ///< by full calls of all usable upstreams
    std::array<int, kLowestPriority + 1> queued {}; ///< pieces at the leader, by priority
};

struct CapacityVerdict {
    bool admitted = true;
    Micros expected_wait = 0; ///< of the request's pieces in the queue
    Micros retry_after = 0; ///< if refused
};

/// The work that the leader of a set has promised to do.
class CapacityLedger {
public:
    CapacityVerdict reserve(const CapacityQuery& query, const SetCapacity& capacity,
                            Micros now);
    /// The pieces of the request are in the queue now and counted there.
    void on_ordered(const std::string& attempt);
    /// The promise was withdrawn, or the order has ended.
    void release(const std::string& attempt);
    /// A call was sent; `left_waiting`: pieces were left in the queue.
    void record_call(int pieces, bool left_waiting, Micros now);
    std::size_t size() const;
};

} // namespace cypressford
