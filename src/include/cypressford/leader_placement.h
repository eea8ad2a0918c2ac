// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which daemon leads each upstream set.  Every daemon computes the placement from the same
/// records, without a vote.  No I/O and no clock.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cypressford {

/// A daemon that may lead sets.
struct LeaderCandidate {
    std::string node;
    double capacity = 1; ///< processor power of its node, relative to the others
    bool is_suspected = false; ///< does not answer the daemon that computes the placement
};

/// Rules by which builds place leaders.
enum class LeaderRule : unsigned char {
    /// Each set on its own: several sets may share a node while others lead none.  Builds
    /// whose records don't announce the other rule know only this one.
    ByHash,
    /// Each set goes to the node with the least load for its capacity.
    ByLoad
};

/// Highest random weight (Thaler and Ravishankar, 1998): every daemon computes the same
/// order of nodes for a key, and if a node is removed, only what it had moves.
std::uint64_t rendezvous_weight(std::string_view node, std::string_view key);

/// Removes the candidates with less than half of the capacity of the strongest: the load of
/// a role can't be divided.  `capacity_of` gives the capacity of an element.
template <class T, class CapacityOf>
void
keep_strongest(std::vector<T>& candidates, CapacityOf capacity_of)
{
    constexpr double min_ratio = 0.5;
    double strongest = 0;
    for (const T& candidate : candidates)
        strongest = std::max(strongest, capacity_of(candidate));
    std::erase_if(candidates, [&](const T& candidate) {
        return capacity_of(candidate) < min_ratio * strongest;
    });
}

/// The leaders of all sets.
class LeaderPlacement {
public:
    /// `sets`: names of the sets that are led, in any order.  Suspicion is the view of one
    /// daemon.  By load, it moves only the sets of the suspected nodes, so that daemons
    /// that suspect different nodes agree on the other sets.
    LeaderPlacement(std::vector<LeaderCandidate> candidates, std::vector<std::string> sets,
                    LeaderRule rule);

    /// Nodes in the order in which they take over the set, at most `count`; the first one
    /// is the leader.  A set that was not named at construction is placed beside those that
    /// were.
    std::vector<std::string> leaders_of(std::string_view set_name, std::size_t count) const;

private:
    struct Node {
        LeaderCandidate candidate;
        int led_sets = 0;
    };
    using Indices = std::vector<std::size_t>; ///< into m_nodes

    Indices strong_nodes(bool with_suspected) const;
    /// `nodes` must not be empty.
    std::size_t choose(const Indices& nodes, std::string_view set_name) const;
    double load_with_another(std::size_t node) const;

    LeaderRule m_rule;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t, std::less<>>
        m_leaders; ///< by set, index of the node
};

} // namespace cypressford
