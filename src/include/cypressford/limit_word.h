// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Report about an upstream's announced rate limit, from one daemon to another.

#pragma once

#include <vector>

#include <cypressford/bundle.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

struct LimitReport {
    UpstreamRun run;
    double per_s = 0; ///< requests per second; 0: no limit any more
    /// Age of the answer that announced the limit; without a limit, the time since the
    /// sending of the call whose answer announced none.
    Micros ago = 0;

    bool operator==(const LimitReport&) const = default;
};

using LimitReports = std::vector<LimitReport>;

/// Maximum number of reports in one message; 40 bytes each.
inline constexpr std::size_t kMaxLimitReports = 24;

} // namespace cypressford
