// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace cypressford {

/// Hybrid logical clock (Kulkarni et al., 2014): wall-clock milliseconds in the upper 48
/// bits and a counter below, so that an event always has a smaller stamp than any event
/// that it caused, in whichever process.  Lock-free.
class HybridClock {
public:
    /// Returns a stamp for an event of this process.
    std::uint64_t tick();

    /// Advances the clock to a stamp that was received with a message.
    void observe(std::uint64_t remote);

    /// The clock of this process.
    static HybridClock& instance();

    static constexpr int kCounterBits = 16;

private:
    std::atomic<std::uint64_t> m_last {0};
};

/// Milliseconds since 1970.
std::int64_t wall_ms();
/// Microseconds of BootClock, which includes time in suspension.
std::int64_t monotonic_us();

/// Header that carries a stamp with a call.
inline constexpr std::string_view kClockHeader = "X-Cypressford-Clock";

std::string format_stamp(std::uint64_t stamp);
/// 0 if the text is not a stamp.
std::uint64_t parse_stamp(std::string_view text);

} // namespace cypressford
