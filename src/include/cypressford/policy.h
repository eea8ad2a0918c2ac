// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Mechanisms of the decisions that can be switched off one by one, to measure what
/// each is worth (ablation).  All are on unless settings say otherwise.

#pragma once

#include <array>
#include <bitset>
#include <optional>
#include <string_view>
#include <utility>

namespace cypressford {

enum class Mechanism : unsigned char {
    HallWaits, ///< pieces wait a moment for an upstream of their hall
    WholeGroups, ///< pieces that are of use only together go in one call
    FullCallsFirst, ///< when much waits, full calls come before halls and groups
    LateTier, ///< pieces that can't be prompt go behind those of their priority that can
    DropLatePieces, ///< pieces that wait long behind their time are dropped
    EarlyRelease, ///< results are released when they are read, not at the end
    LatestStart, ///< stages start as late as the longest path allows
    TransferHalls, ///< stages are made where the fewest bytes move
    StableEngines, ///< a prompt's engine is found by hashing, the same at each leader
    ToleratedCost, ///< an engine that keeps the prompt may cost somewhat more
    NearResults, ///< engines near the results, where these outweigh the prompt
    EjectSilent, ///< upstreams that do not begin to answer are taken out
    SharedReach, ///< upstreams that one daemon can't reach are avoided by all
    StrongLeaders, ///< only nodes with half of the strongest one's capacity lead
    kCount
};

inline constexpr std::size_t kMechanisms = static_cast<std::size_t>(Mechanism::kCount);

/// Names for settings, in the order of Mechanism.
inline constexpr std::array<std::string_view, kMechanisms> kMechanismNames {
    "hall_waits",       "whole_groups",   "full_calls_first", "late_tier",
    "drop_late_pieces", "early_release",  "latest_start",     "transfer_halls",
    "stable_engines",   "tolerated_cost", "near_results",     "eject_silent",
    "shared_reach",     "strong_leaders"};

/// Nothing for an unknown name.
constexpr std::optional<Mechanism>
mechanism_of(std::string_view name)
{
    for (std::size_t at = 0; at < kMechanisms; ++at)
        if (kMechanismNames.at(at) == name)
            return static_cast<Mechanism>(at);
    return std::nullopt;
}

/// Which mechanisms are in use.
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
