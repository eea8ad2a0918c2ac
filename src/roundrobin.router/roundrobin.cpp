// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Chooses the upstreams in cyclic order.  Baseline for comparisons.

#include <cypressford/registry.h>
#include <cypressford/router.h>

namespace cypressford {

class RoundRobinRouter final : public Router {
public:
    std::size_t pick(std::span<const Candidate> candidates,
                     const RouteContext& context) const override
    {
        return context.sequence % candidates.size();
    }
};

static const Registration<Router, RoundRobinRouter> s_registration("roundrobin");

} // namespace cypressford
