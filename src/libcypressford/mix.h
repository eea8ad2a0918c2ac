// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Mixing of numbers to evenly distributed ones.

#pragma once

#include <cstdint>

namespace cypressford {

/// Finalizer of SplitMix64.
inline std::uint64_t
mix(std::uint64_t x)
{
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/// Maps seeds to numbers in [0, 1) that are evenly distributed.
inline double
uniform_from(std::uint64_t seed)
{
    constexpr int kept_bits = 53;
    return static_cast<double>(mix(seed + 0x9e3779b97f4a7c15ULL) >> (64 - kept_bits))
        / static_cast<double>(1ULL << kept_bits);
}

} // namespace cypressford
