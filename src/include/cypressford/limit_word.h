// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one daemon tells another of the limit that an upstream names.

#pragma once

#include <vector>

#include <cypressford/bundle.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

struct LimitWord {
    UpstreamRun run;
    double per_s = 0; ///< requests a second; 0: it names none any more
    /// How long ago an answer named it; for none, how long ago the call was sent whose
    /// answer named none.
    Micros ago = 0;

    bool operator==(const LimitWord&) const = default;
};

using LimitReports = std::vector<LimitWord>;

/// A message carries no more of them; 40 bytes each.
inline constexpr std::size_t kMaxLimitReports = 24;

} // namespace cypressford
