// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A clock that includes the time during which the node is suspended.
///
/// The standard library's steady clock stops during suspension: after a minute of
/// suspension, the time left of a lease or deadline and the age of a value would be the
/// same as before it.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include <boost/asio/basic_waitable_timer.hpp>

namespace cypressford {

/// Time since the node was started, including time in suspension (CLOCK_BOOTTIME).
struct BootClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now();

    /// For tests: advances the clock by `time`, as a suspension of the node would.
    static void suspend_for_test(duration time);

private:
    static std::atomic<rep> s_suspended_in_test;
};

/// A timer on BootClock.  The kernel timer behind all timers of an io_context stops during
/// suspension.  A wait that expires in a suspension therefore completes when the shortest
/// wait then pending on that io_context completes, which is within 50 ms on threads that
/// handle requests.
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace cypressford
