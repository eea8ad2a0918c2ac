// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/leader_placement.h>

#include <algorithm>
#include <utility>

namespace cypressford {

std::uint64_t
rendezvous_weight(std::string_view node, std::string_view key)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL; // FNV-1a
    for (const std::string_view text : {node, std::string_view("/"), key})
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    return hash ^ (hash >> 31);
}

LeaderPlacement::LeaderPlacement(std::vector<LeaderCandidate> candidates,
                                 std::vector<std::string> sets, LeaderRule rule)
    : m_rule(rule)
{
    m_nodes.reserve(candidates.size());
    for (LeaderCandidate& candidate : candidates)
        m_nodes.push_back({std::move(candidate)});
    // All daemons place the sets in the same order.
    std::sort(sets.begin(), sets.end());
    const Indices able = strong_nodes(m_rule == LeaderRule::ByLoad);
    const Indices available = strong_nodes(false);
    if (available.empty())
        return;
    for (const std::string& set : sets) {
        const std::size_t leader = choose(able, set);
        m_leaders[set] = leader;
        ++m_nodes[leader].led_sets;
    }
    for (auto& [set, leader] : m_leaders) {
        if (!m_nodes[leader].candidate.is_suspected)
            continue;
        leader = choose(available, set);
        ++m_nodes[leader].led_sets;
    }
}

std::vector<std::string>
LeaderPlacement::leaders_of(std::string_view set_name, std::size_t count) const
{
    std::vector<std::string> leaders;
    Indices left = strong_nodes(false);
    const auto placed = m_leaders.find(set_name);
    while (leaders.size() < count && !left.empty()) {
        const bool is_placed = leaders.empty() && placed != m_leaders.end();
        const std::size_t next = is_placed ? placed->second : choose(left, set_name);
        leaders.push_back(m_nodes[next].candidate.node);
        std::erase(left, next);
    }
    return leaders;
}

LeaderPlacement::Indices
LeaderPlacement::strong_nodes(bool with_suspected) const
{
    Indices nodes;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        if (with_suspected || !m_nodes[i].candidate.is_suspected)
            nodes.push_back(i);
    keep_strongest(nodes, [this](std::size_t i) { return m_nodes[i].candidate.capacity; });
    return nodes;
}

double
LeaderPlacement::load_with_another(std::size_t node) const
{
    if (m_rule == LeaderRule::ByHash)
        return 0;
    return (m_nodes[node].led_sets + 1) / m_nodes[node].candidate.capacity;
}

/// The node with the least load, and of several the one with the highest random weight.
std::size_t
LeaderPlacement::choose(const Indices& nodes, std::string_view set_name) const
{
    std::size_t chosen = nodes.front();
    double least = load_with_another(chosen);
    std::uint64_t highest = rendezvous_weight(m_nodes[chosen].candidate.node, set_name);
    for (const std::size_t node : nodes) {
        const double load = load_with_another(node);
        if (load > least)
            continue;
        const std::uint64_t weight
            = rendezvous_weight(m_nodes[node].candidate.node, set_name);
        if (load == least && weight <= highest)
            continue;
        chosen = node;
        least = load;
        highest = weight;
    }
    return chosen;
}

} // namespace cypressford
