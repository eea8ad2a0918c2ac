// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <ctime>

namespace cypressford {

/// Processor time that the calling thread has used.
inline std::chrono::nanoseconds
thread_cpu_time()
{
    timespec used {};
    // Fails only where the clock does not exist; the time is then always 0.
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace cypressford
