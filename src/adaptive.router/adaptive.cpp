// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Chooses the upstream that caches the session while it is within its load bound and not
/// slow, or else, of two random candidates, the one with the lower expected completion
/// time.  Two candidates instead of all, since many daemons that read the same outdated
/// report would otherwise all choose the same upstream.

#include <cypressford/registry.h>
#include <cypressford/router.h>

#include <algorithm>
#include <cmath>

namespace cypressford {

namespace {

// Load bound: an upstream keeps its sessions up to this multiple of the average load
// (Mirrokni et al., "Consistent Hashing with Bounded Loads").
constexpr double kBoundedLoad = 1.25;
// Factor on the expected time of a call into another hall.
constexpr double kRemotePenalty = 1.5;
// Latency (us) assumed for an upstream that has not answered yet.
constexpr double kUnknownLatency = 1000;

/// Latency that a call sent now may expect there without a queue; 0 while unknown.
double
present_latency(const Candidate& c)
{
    return static_cast<double>(c.latency) * c.slowdown;
}

double
load(const Candidate& c)
{
    return c.in_flight + c.others_in_flight;
}

/// Expected time until a call sent now is answered, up to a common factor.
double
expected_time(const Candidate& c)
{
    const double latency
        = c.latency > 0 ? present_latency(c) : kUnknownLatency * c.slowdown;
    const double waves = (load(c) + 1) / std::max(1, c.slots);
    return latency * std::max(1.0, waves) * (1 + 0.1 * waves)
        * (c.remote ? kRemotePenalty : 1.0);
}

std::uint64_t
mix(std::uint64_t x)
{
    // Finalizer of SplitMix64.
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

class AdaptiveRouter final : public Router {
public:
    bool samples() const override { return true; }

    std::size_t pick(std::span<const Candidate> candidates,
                     const RouteContext& context) const override
    {
        const std::size_t two = best_of_two(candidates, context.random);
        if (context.affinity == 0)
            return two;
        const std::size_t home = rendezvous(candidates, context.affinity);
        return keeps(candidates, home) ? home : two;
    }

private:
    static std::size_t best_of_two(std::span<const Candidate> candidates,
                                   std::uint64_t random)
    {
        const std::size_t n = candidates.size();
        const std::size_t first = random % n;
        const std::size_t second
            = (first + 1 + (random >> 32) % std::max<std::size_t>(1, n - 1)) % n;
        return expected_time(candidates[second]) < expected_time(candidates[first]) ? second
                                                                                    : first;
    }

    static std::size_t rendezvous(std::span<const Candidate> candidates,
                                  std::uint64_t affinity)
    {
        std::size_t best = 0;
        std::uint64_t best_weight = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::uint64_t weight = mix(candidates[i].address_hash ^ affinity);
            if (weight >= best_weight) {
                best_weight = weight;
                best = i;
            }
        }
        return best;
    }

    static bool keeps(std::span<const Candidate> candidates, std::size_t home)
    {
        double total = 1;
        double latency = 0;
        for (const Candidate& c : candidates) {
            total += load(c);
            latency += present_latency(c);
        }
        const auto n = static_cast<double>(candidates.size());
        const double bound = std::ceil(kBoundedLoad * total / n);
        const Candidate& c = candidates[home];
        const bool slow = present_latency(c) > 2 * latency / n;
        return load(c) + 1 <= std::max(bound, static_cast<double>(c.slots)) && !slow;
    }
};

static const Registration<Router, AdaptiveRouter> s_registration("adaptive");

} // namespace cypressford
