// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "hybrid_clock.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "boot_clock.h"

namespace cypressford {

namespace {

// A stamp that is further ahead of the wall clock is ignored: adopting it would move this
// clock ahead permanently.
constexpr std::int64_t kMaxLeadMs = 60'000;
constexpr int kHexBase = 16;

std::uint64_t
wall_stamp()
{
    return static_cast<std::uint64_t>(wall_ms()) << HybridClock::kCounterBits;
}

} // namespace

std::uint64_t
HybridClock::tick()
{
    std::uint64_t last = m_last.load(std::memory_order_relaxed);
    for (;;) {
        const std::uint64_t next = std::max(last + 1, wall_stamp());
        if (m_last.compare_exchange_weak(last, next, std::memory_order_relaxed))
            return next;
    }
}

void
HybridClock::observe(std::uint64_t remote)
{
    const auto lead = static_cast<std::int64_t>(remote >> kCounterBits) - wall_ms();
    if (lead > kMaxLeadMs)
        return;
    std::uint64_t last = m_last.load(std::memory_order_relaxed);
    while (last < remote
           && !m_last.compare_exchange_weak(last, remote, std::memory_order_relaxed)) { }
}

HybridClock&
HybridClock::instance()
{
    static HybridClock clock;
    return clock;
}

std::int64_t
wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::int64_t
monotonic_us()
{
    return BootClock::now().time_since_epoch().count();
}

std::string
format_stamp(std::uint64_t stamp)
{
    std::string text(sizeof(stamp) * 2, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it, stamp >>= 4)
        *it = "0123456789abcdef"[stamp & 0xf];
    return text;
}

std::uint64_t
parse_stamp(std::string_view text)
{
    std::uint64_t stamp = 0;
    const auto [end, error]
        = std::from_chars(text.data(), text.data() + text.size(), stamp, kHexBase);
    return error == std::errc {} && end == text.data() + text.size() ? stamp : 0;
}

} // namespace cypressford
