// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of router plug-ins, which choose the upstream for an attempt.

#pragma once

#include <span>

#include <cypressford/upstream.h>

namespace cypressford {

/// One upstream that may take the attempt.  A plain value, so that a router decides on
/// numbers that don't change during the decision.
struct Candidate {
    std::uint32_t index = 0; ///< into the caller's list
    int in_flight = 0; ///< calls of this daemon
    int others_in_flight = 0; ///< calls of other daemons, as last reported
    int queued = 0; ///< calls queued at the upstream, as last reported
    int slots = 1;
    Micros latency = 0; ///< moving average; 0 while unknown
    bool remote = false; ///< in another hall
    double slowdown = 1; ///< reported time for work as a multiple of the usual time
    std::uint64_t address_hash = 0;
};

/// Input of a routing decision besides the candidates.
struct RouteContext {
    std::uint64_t affinity = 0; ///< hash of session or prefix; 0: none
    std::uint64_t random = 0; ///< fresh random bits for this decision
    std::uint64_t sequence = 0; ///< number of earlier decisions for this set
};

/// Chooses among candidates.  Stateless: all input is passed in.
class Router {
public:
    virtual ~Router() = default;

    /// True if a random sample of a large set is enough to choose from.
    virtual bool samples() const { return false; }

    /// Returns an index into `candidates`, which is never empty.
    virtual std::size_t pick(std::span<const Candidate> candidates,
                             const RouteContext& context) const
        = 0;
};

} // namespace cypressford
