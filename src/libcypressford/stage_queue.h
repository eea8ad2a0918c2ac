// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <cmath>
#include <compare>
#include <set>

#include <cypressford/concurrency_limit.h>
#include <cypressford/scheduler.h>

namespace cypressford {

/// A request that waits for a free slot of an upstream set.
struct WaitingRequest {
    int priority = 0;
    Micros deadline = 0;
    RequestId request = 0;

    auto operator<=>(const WaitingRequest&) const = default;
};

/// State that one scheduler keeps for one upstream set.
struct StageQueue {
    /// Most urgent first; within a priority the earliest deadline.
    std::set<WaitingRequest> waiting;
    /// Service time admitted and not yet done, by priority.
    std::array<Micros, kLowestPriority + 1> committed {};
    int running = 0; ///< calls in flight
    int granted = 0; ///< of these, calls for which the leader of the set granted a slot
    /// Slots of granted calls that have ended while requests waited.  The leader counts the
    /// waiting requests already, so they take over these slots.
    int freed_grants = 0;
    std::uint64_t decisions = 0; ///< routing decisions made for this set

    /// Cached result of a scan over all upstreams of the set.
    struct Capacity {
        Micros at = -1;
        std::uint64_t generation = 0; ///< of the scanned snapshot
        int usable = 0;
        double share = 0; ///< concurrent calls that are this daemon's even part
        /// While no upstream is usable: time until the first one is.  The other members
        /// then describe the set at that time.
        Micros backoff = 0;
        /// Calls per second if all upstreams are rate-limited; else 0.
        double paced_per_s = 0;
    };
    Capacity capacity;
    /// Calls that may be in flight, according to demand and to the load of the upstreams.
    ConcurrencyLimit limit;
    /// When the leader of the set last answered that the chosen upstream has a free slot,
    /// or has none.
    Micros slot_granted_at = -1;
    Micros slot_lacking_at = -1;
    Micros retry_slots_until = 0; ///< last send slot assigned to a refused caller

    /// Admitted service time per second, by priority, averaged over about a second.
    std::array<double, kLowestPriority + 1> inflow {};
    Micros inflow_at = 0;

    /// Decays the averages and adds newly admitted service time.
    void record_inflow(std::size_t priority, Micros work, Micros now)
    {
        constexpr double window = kSecond;
        const double decay = std::exp(-static_cast<double>(now - inflow_at) / window);
        inflow_at = now;
        for (double& rate : inflow)
            rate *= decay;
        inflow.at(priority) += static_cast<double>(work) * kSecond / window;
    }

    /// Slots occupied by more urgent requests, estimated from the recent inflow: such
    /// requests will overtake the ones that are waiting now.
    double busy_with_more_urgent(int priority) const
    {
        double sum = 0;
        for (int p = 0; p < priority; ++p)
            sum += inflow.at(static_cast<std::size_t>(p));
        return sum / kSecond;
    }

    /// Admitted service time that precedes a request of this priority.
    Micros ahead_of(int priority) const
    {
        Micros sum = 0;
        for (int p = 0; p <= priority; ++p)
            sum += committed.at(static_cast<std::size_t>(p));
        return sum;
    }
};

} // namespace cypressford
