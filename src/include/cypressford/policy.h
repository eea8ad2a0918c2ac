// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Mechanisms of scheduling and placement that can be switched individually, by a
/// deployment that needs them or to measure the effect of each (ablation).  Those from
/// kFirstOptIn on are off unless the settings switch them on; the others are on unless the
/// settings switch them off.

#pragma once

#include <array>
#include <bitset>
#include <optional>
#include <string>
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
    DemandLimit, ///< the calls of a daemon follow demand beyond its even part of the slots
    CapacityLedger, ///< leaders admit requests before their first piece is made
    RoomiestUpstream, ///< calls limited by memory for results go where most is free
    UpstreamSpeeds, ///< upstreams are chosen by their reported or learned speed
    UnreadBound, ///< answers that callers do not read are buffered within bounds
    AccountPrecedence, ///< the account's priority takes precedence over the pipeline's
    kCount
};

inline constexpr std::size_t kMechanisms = static_cast<std::size_t>(Mechanism::kCount);
/// This mechanism and those after it are off by default.
inline constexpr Mechanism kFirstOptIn = Mechanism::CapacityLedger;

/// Names used in settings, in the order of Mechanism.
inline constexpr std::array<std::string_view, kMechanisms> kMechanismNames {
    "hall_waits",        "whole_groups",    "full_calls_first", "late_tier",
    "drop_late_pieces",  "early_release",   "latest_start",     "transfer_halls",
    "stable_engines",    "tolerated_cost",  "near_results",     "eject_silent",
    "shared_reach",      "strong_leaders",  "demand_limit",     "capacity_ledger",
    "roomiest_upstream", "upstream_speeds", "unread_bound",     "account_precedence"};

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
    PolicySwitches()
    {
        for (auto at = static_cast<std::size_t>(kFirstOptIn); at < kMechanisms; ++at)
            m_off.set(at);
    }

    bool uses(Mechanism mechanism) const
    {
        return !m_off.test(static_cast<std::size_t>(mechanism));
    }
    void switch_off(Mechanism mechanism) { m_off.set(static_cast<std::size_t>(mechanism)); }
    void switch_on(Mechanism mechanism)
    {
        m_off.reset(static_cast<std::size_t>(mechanism));
    }

private:
    std::bitset<kMechanisms> m_off;
};

/// Names of the mechanisms that are off by default and switched on, separated by commas.
inline std::string
names_of_opt_ins(const PolicySwitches& switches)
{
    std::string names;
    for (auto at = static_cast<std::size_t>(kFirstOptIn); at < kMechanisms; ++at)
        if (switches.uses(static_cast<Mechanism>(at)))
            names.append(names.empty() ? "" : ",").append(kMechanismNames.at(at));
    return names;
}

} // namespace cypressford
