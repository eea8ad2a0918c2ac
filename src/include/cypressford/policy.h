// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Mechanisms of scheduling and placement that can be switched off individually, to
/// measure the effect of each (ablation).  All are on unless switched off in the settings.

#pragma once

#include <array>
#include <bitset>
#include <optional>
#include <string_view>
#include <utility>

namespace cypressford {

enum class Mechanism : unsigned char {
    HallWaits, ///< pieces wait briefly for an upstream of their hall
    WholeGroups, ///< pieces that are only useful together are sent in one call
    FullCallsFirst, ///< under high load, full calls take precedence over halls and groups
    LateTier, ///< pieces that can't meet their target time go last within their priority
    DropLatePieces, ///< pieces that wait long past their target time are dropped
    EarlyRelease, ///< results are released when they are read, not when the request ends
    LatestStart, ///< stages start as late as the longest path allows
    TransferHalls, ///< stages run where the fewest bytes need to be transferred
    StableEngines, ///< the engine of a prompt is found by hashing, the same at each leader
    ToleratedCost, ///< an engine that caches the prompt may cost somewhat more
    NearResults, ///< engines near the results, if the results outweigh the cached prompt
    EjectUnresponsive, ///< upstreams that do not start to answer are ejected
    SharedReach, ///< upstreams that are unreachable for one daemon are avoided by all
    StrongLeaders, ///< only nodes with half of the strongest node's capacity lead
    kCount
};

inline constexpr std::size_t kMechanisms = static_cast<std::size_t>(Mechanism::kCount);

/// Names used in settings, in the order of Mechanism.
inline constexpr std::array<std::string_view, kMechanisms> kMechanismNames {
    "hall_waits",       "whole_groups",   "full_calls_first", "late_tier",
    "drop_late_pieces", "early_release",  "latest_start",     "transfer_halls",
    "stable_engines",   "tolerated_cost", "near_results",     "eject_silent",
    "shared_reach",     "strong_leaders"};

/// Empty for an unknown name.
constexpr std::optional<Mechanism>
mechanism_of(std::string_view name)
{
    for (std::size_t at = 0; at < kMechanisms; ++at)
        if (kMechanismNames.at(at) == name)
            return static_cast<Mechanism>(at);
    return std::nullopt;
}

/// The set of mechanisms that are switched on.
class PolicySwitches {
public:
    bool uses(Mechanism mechanism) const
    {
        return !m_off.test(static_cast<std::size_t>(mechanism));
    }
    void switch_off(Mechanism mechanism) { m_off.set(static_cast<std::size_t>(mechanism)); }

private:
    std::bitset<kMechanisms> m_off;
};

} // namespace cypressford
