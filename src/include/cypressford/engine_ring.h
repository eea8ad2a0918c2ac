// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Consistent-hash order of the upstreams of a large set, identical at every daemon, so
/// that a choice examines only a few of them.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <cypressford/upstream.h>

namespace cypressford {

/// Consistent hashing (Karger et al., 1997) with one ring for each hall.
class EngineRing {
public:
    /// Rebuilds the rings if the set's revision has changed.
    void update(const UpstreamSet& set);

    /// The first upstreams for the key: about `limit` over all halls, from each hall in
    /// proportion to its upstreams, with a minimum for each hall.
    std::vector<UpstreamPtr> first_for(std::uint64_t key, std::size_t limit) const;

private:
    using Ring = std::vector<std::pair<std::uint64_t, UpstreamPtr>>; ///< by hash

    std::map<std::string, Ring> m_halls;
    std::size_t m_upstreams = 0;
    std::uint64_t m_revision = 0; ///< of the set; 0: no set yet
};

} // namespace cypressford
