// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libutil/thread_cpu_time.h"

namespace cypressford {

/// What a daemon has done as the leader of one upstream set, since its start.
struct LeaderWork {
    std::uint64_t queries = 0; ///< orders, placements, capacity queries and releases
    /// For placements, capacity queries and releases; without the transfer of messages and
    /// without the calls for pieces.
    std::chrono::nanoseconds cpu_time {0};
};

using LeaderWorkBySet = std::map<std::string, LeaderWork, std::less<>>;

/// Adds one query, and the processor time until it is destroyed, to the work for a set.
class LeaderWorkScope {
public:
    explicit LeaderWorkScope(LeaderWork& work)
        : m_work(work)
        , m_began(thread_cpu_time())
    {
    }
    ~LeaderWorkScope()
    {
        ++m_work.queries;
        m_work.cpu_time += thread_cpu_time() - m_began;
    }
    LeaderWorkScope(const LeaderWorkScope&) = delete;
    LeaderWorkScope& operator=(const LeaderWorkScope&) = delete;

private:
    LeaderWork& m_work;
    const std::chrono::nanoseconds m_began;
};

} // namespace cypressford
