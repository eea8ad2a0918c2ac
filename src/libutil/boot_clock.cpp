// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "boot_clock.h"

#include <ctime>

namespace cypressford {

std::atomic<BootClock::rep> BootClock::s_suspended_in_test {0};

BootClock::time_point
BootClock::now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_start
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_start)
                      + duration(s_suspended_in_test.load(std::memory_order_relaxed)));
}

void
BootClock::suspend_for_test(duration time)
{
    s_suspended_in_test.fetch_add(time.count(), std::memory_order_relaxed);
}

} // namespace cypressford
