// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/engine_ring.h>

#include <algorithm>

#include "mix.h"

namespace cypressford {

namespace {

/// Minimum from a hall with few upstreams, since those of other halls may be out of
/// service.
constexpr std::size_t kMinPerHall = 4;

} // namespace

void
EngineRing::update(const UpstreamSet& set)
{
    if (m_revision == set.revision && m_revision != 0)
        return;
    m_revision = set.revision;
    m_halls.clear();
    m_upstreams = set.own.size() + set.remote.size();
    for (const auto* side : {&set.own, &set.remote})
        for (const UpstreamPtr& upstream : *side)
            m_halls[upstream->hall].emplace_back(mix(upstream->address_hash), upstream);
    for (auto& [hall, ring] : m_halls)
        std::sort(ring.begin(), ring.end(), [](const auto& a, const auto& b) {
            return std::pair(a.first, a.second->identity)
                < std::pair(b.first, b.second->identity);
        });
}

std::vector<UpstreamPtr>
EngineRing::first_for(std::uint64_t key, std::size_t limit) const
{
    std::vector<UpstreamPtr> first;
    const std::uint64_t place = mix(key);
    for (const auto& [hall, ring] : m_halls) {
        const std::size_t part
            = limit * ring.size() / std::max<std::size_t>(1, m_upstreams);
        const std::size_t count = std::min(ring.size(), std::max(part, kMinPerHall));
        auto at = std::lower_bound(
            ring.begin(), ring.end(), place,
            [](const auto& item, std::uint64_t hash) { return item.first < hash; });
        for (std::size_t taken = 0; taken < count; ++taken) {
            if (at == ring.end())
                at = ring.begin();
            first.push_back(at->second);
            ++at;
        }
    }
    return first;
}

} // namespace cypressford
