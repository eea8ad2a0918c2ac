// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Daemons that do not answer, found by one daemon of a hall for its followers: a daemon
/// that gets a request only every few seconds would detect each of them at the cost of a
/// request.

#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace cypressford {

/// The list of unreachable daemons that followers receive.
struct UnreachableList {
    std::uint64_t revision = 0;
    std::set<std::string> addresses; ///< "ip:port" for other daemons
};

/// Keeps the list at the daemon that serves it.  Has no I/O and no clock.
class UnreachablePeers {
public:
    /// In a partitioned fleet, a list of more addresses is not worth its size.
    static constexpr std::size_t kMaxPeers = 64;

    /// True if the daemon must be checked with keepalive requests now, until it answers:
    /// the fault behind a report may lie with the reporter.
    bool begin_check(const std::string& address)
    {
        return m_checked.size() < kMaxPeers && m_checked.insert(address).second;
    }
    /// Records the result of a check.  True if the list changed.
    bool record_check(const std::string& address, bool answers);

    const UnreachableList& list() const { return m_list; }

private:
    std::set<std::string> m_checked; ///< checks in progress
    UnreachableList m_list;
};

} // namespace cypressford
