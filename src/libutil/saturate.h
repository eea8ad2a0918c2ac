// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Conversion of numbers from other writers to integers.  A cast of a floating-point number
/// that does not fit is undefined, and gives different values on x86-64 and arm64.

#pragma once

#include <cmath>
#include <concepts>
#include <limits>

namespace cypressford {

/// The integral part of `value`, or the end of T's range that is nearest to it; 0 for a
/// value that is not a number.
template <std::integral T>
T
saturate_cast(double value)
{
    using Limits = std::numeric_limits<T>;
    if (std::isnan(value))
        return 0;
    // The greatest value of T may not be exact as a double; the power of two after it is.
    const double end = std::ldexp(1.0, Limits::digits);
    if (value >= end)
        return Limits::max();
    if (value <= static_cast<double>(Limits::min()))
        return Limits::min();
    return static_cast<T>(value);
}

} // namespace cypressford
