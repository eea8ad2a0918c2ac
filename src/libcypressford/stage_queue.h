// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <cmath>
#include <compare>
#include <set>

#include <cypressford/scheduler.h>

namespace cypressford {

/// A request that waits for a free slot of an upstream set.
struct WaitingRequest {
    int priority = 0;
    Micros deadline = 0;
    RequestId request = 0;

    auto operator<=>(const WaitingRequest&) const = default;
};

/// What one scheduler has in hand for one upstream set.
struct StageQueue {
    /// Most urgent first; within a priority the earliest deadline.
    std::set<WaitingRequest> waiting;
    /// Service time admitted and not yet done, by priority.
    std::array<Micros, kLowestPriority + 1> committed {};
    int running = 0; ///< calls under way
    std::uint64_t decisions = 0; ///< routing decisions made for this set

    /// What a look over all upstreams of the set gave, kept for a moment.
    struct Capacity {
        Micros at = -1;
        std::uint64_t generation = 0; ///< of the snapshot that was looked at
        int usable = 0;
        double share = 0; ///< calls that this daemon can run at a time
        Micros rest = 0; ///< all rest: until the first is back, what the others tell of
        double paced_per_s = 0; ///< calls a second, if all upstreams get them at a rate
    };
    Capacity capacity;
    Micros promised_until = 0; ///< last place that a refused caller was told of

    /// Service time that comes in per second, by priority, over about a second.
    std::array<double, kLowestPriority + 1> inflow {};
    Micros inflow_at = 0;

    /// Lets the past fade and adds what was just committed.
    void note_inflow(std::size_t priority, Micros work, Micros now)
    {
        constexpr double window = kSecond;
        const double fade = std::exp(-static_cast<double>(now - inflow_at) / window);
        inflow_at = now;
        for (double& rate : inflow)
            rate *= fade;
        inflow.at(priority) += static_cast<double>(work) * kSecond / window;
    }

    /// Slots that more urgent requests keep busy, going by what came in lately:
    /// they will overtake whatever waits now.
    double busy_with_more_urgent(int priority) const
    {
        double sum = 0;
        for (int p = 0; p < priority; ++p)
            sum += inflow.at(static_cast<std::size_t>(p));
        return sum / kSecond;
    }

    /// Committed service time that goes before a request of this priority.
    Micros ahead_of(int priority) const
    {
        Micros sum = 0;
        for (int p = 0; p <= priority; ++p)
            sum += committed.at(static_cast<std::size_t>(p));
        return sum;
    }
};

} // namespace cypressford
