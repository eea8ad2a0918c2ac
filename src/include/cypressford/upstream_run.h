// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cypressford {

/// One run of an upstream, from its start to its end.  An upstream that restarts may keep
/// its identity; state recorded for the previous run does not apply to the next one.
struct UpstreamRun {
    std::string identity;
    /// Start time in ms by the upstream's own clock: only comparable with start times of
    /// the same identity.  0: not reported.
    std::int64_t born = 0;

    bool operator==(const UpstreamRun&) const = default;
    auto operator<=>(const UpstreamRun&) const = default;
};

struct UpstreamRunHash {
    std::size_t operator()(const UpstreamRun& run) const
    {
        // An identity rarely has two runs at a time.
        return std::hash<std::string> {}(run.identity)
            ^ std::hash<std::int64_t> {}(run.born);
    }
};

} // namespace cypressford
