// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Time that goes on while the node is suspended.
///
/// The steady clock of the standard library stands still then: a lease, a deadline or the
/// age of what was read would be as fresh after a minute of suspension as before it.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include <boost/asio/basic_waitable_timer.hpp>

namespace cypressford {

/// Time since the node's start, with the time it was suspended (CLOCK_BOOTTIME).
struct BootClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now();

    /// For tests: as if the node had been suspended for so long just now.
    static void suspend_for_test(duration time);

private:
    static std::atomic<rep> s_suspended_in_test;
};

/// A timer over it.  The kernel's timer behind all timers of an io_context stands still in
/// a suspension: a wait that ends meanwhile ends when the shortest wait of that io_context
/// at the time would have ended without it: within 50 ms on threads that take requests.
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace cypressford
