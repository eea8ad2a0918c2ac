// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cypressford {

/// One run of an upstream, from its start to its end.  An upstream that starts again may
/// keep its identity; what was known of the run before says nothing of the next one.
struct UpstreamRun {
    std::string identity;
    /// When it started, in milliseconds by its own clock: to be compared with the starts
    /// of the same identity only.  0: not told.
    std::int64_t born = 0;

    bool operator==(const UpstreamRun&) const = default;
    auto operator<=>(const UpstreamRun&) const = default;
};

struct UpstreamRunHash {
    std::size_t operator()(const UpstreamRun& run) const
    {
        // An identity seldom has two runs at a time.
        return std::hash<std::string> {}(run.identity)
            ^ std::hash<std::int64_t> {}(run.born);
    }
};

} // namespace cypressford
