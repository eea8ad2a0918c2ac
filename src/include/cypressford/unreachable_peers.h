// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Daemons that one daemon of a hall has found not to answer, for all that ask it: a daemon
/// that sees a request every few seconds would find out with a request of its own.

#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace cypressford {

/// What is told of them.
struct UnreachableList {
    std::uint64_t revision = 0;
    std::set<std::string> addresses; ///< "ip:port" for other daemons
};

/// Keeps them at the daemon that others ask.  Has no I/O and no clock.
class UnreachablePeers {
public:
    /// Of a fleet in parts; more than these are not worth their bytes.
    static constexpr std::size_t kMost = 64;

    /// True if the daemon is to be asked for a sign of life now, and again until it gives
    /// one: a report alone may be the teller's fault.
    bool begin_check(const std::string& address)
    {
        return m_checked.size() < kMost && m_checked.insert(address).second;
    }
    /// What came of asking.  True if the list changed.
    bool record_check(const std::string& address, bool answers);

    const UnreachableList& list() const { return m_list; }

private:
    std::set<std::string> m_checked; ///< under way
    UnreachableList m_list;
};

} // namespace cypressford
