// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace cypressford {

/// Hybrid logical clock (Kulkarni et al., 2014): wall-clock milliseconds in the
/// upper 48 bits and a counter below, so that an event which caused another one
/// in any process always has the smaller stamp.  Lock-free.
class HybridClock {
public:
    /// A stamp for an event of this process.
    std::uint64_t tick();

    /// Takes note of a stamp that came with a message.
    void observe(std::uint64_t remote);

    /// The clock of this process.
    static HybridClock& instance();

    static constexpr int kCounterBits = 16;

private:
    std::atomic<std::uint64_t> m_last {0};
};

/// Milliseconds since 1970.
std::int64_t wall_ms();
/// Microseconds of BootClock, which counts on while the node is suspended.
std::int64_t monotonic_us();

/// Header that carries a stamp with a call.
inline constexpr std::string_view kClockHeader = "X-Cypressford-Clock";

std::string format_stamp(std::uint64_t stamp);
/// 0 for text that is no stamp.
std::uint64_t parse_stamp(std::string_view text);

} // namespace cypressford
