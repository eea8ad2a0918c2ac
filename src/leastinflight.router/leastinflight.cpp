// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Chooses the upstream with the fewest calls of this daemon in flight.  Baseline for
/// comparisons.

#include <cypressford/registry.h>
#include <cypressford/router.h>

#include <algorithm>

namespace cypressford {

class LeastInFlightRouter final : public Router {
public:
    std::size_t pick(std::span<const Candidate> candidates,
                     const RouteContext& context) const override
    {
        // Start at a random position, so that ties are not always won by the first
        // candidate.
        const std::size_t start = context.random % candidates.size();
        std::size_t best = start;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const std::size_t at = (start + i) % candidates.size();
            if (candidates[at].in_flight < candidates[best].in_flight)
                best = at;
        }
        return best;
    }
};

static const Registration<Router, LeastInFlightRouter> s_registration("leastinflight");

} // namespace cypressford
