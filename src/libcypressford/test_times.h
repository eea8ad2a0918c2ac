// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helper for tests of rates.

#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include <cypressford/bundle.h>

namespace cypressford {

/// The largest number of these times that lie within one interval of length `span`.
inline std::size_t
most_within(std::vector<Micros> times, Micros span)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= span)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace cypressford
