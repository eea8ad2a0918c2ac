// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams of a large set in an order that is the same at every daemon, so that a choice
/// looks at few of them.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <cypressford/upstream.h>

namespace cypressford {

/// Consistent hashing (Karger et al., 1997), with a ring for each hall.
class EngineRing {
public:
    /// Takes the upstreams of the set, if they are others than before.
    void follow(const UpstreamSet& set);

    /// Upstreams that come first for that key: about `most` of all halls together, of each
    /// hall in proportion to what it has, and some of each.
    std::vector<UpstreamPtr> first_for(std::uint64_t key, std::size_t most) const;

private:
    using Ring = std::vector<std::pair<std::uint64_t, UpstreamPtr>>; ///< by hash

    std::map<std::string, Ring> m_halls;
    std::size_t m_upstreams = 0;
    std::uint64_t m_revision = 0; ///< of the set; 0: none yet
};

} // namespace cypressford
