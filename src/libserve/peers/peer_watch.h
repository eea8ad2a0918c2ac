// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/daemon_table.h>

#include "libserve/kernel.h"
#include "libserve/peers/peer_link.h"

namespace cypressford {

/// Which daemons there are, and which of them answer.  One that loses an order is
/// suspected until it gives a sign of life.  Lives on one thread.
class PeerWatch {
public:
    PeerWatch(boost::asio::io_context& io, Kernel& kernel, PeerLink& link);

    /// Records that were read from the directory.
    void take(const std::vector<DaemonRecord>& records);

    /// Address of the daemon that leads the set; empty for this daemon itself.
    std::string leader_of(std::string_view set_name) const
    {
        return m_daemons.leader_of(set_name);
    }

    /// Daemons that another one of the hall has found not to answer, and no others: they
    /// lead nothing while they are named.
    void take_unreachable(std::set<std::string> addresses);

    void record_response(const std::string& address);
    void suspect(const std::string& address);

private:
    void check_leaders();
    boost::asio::awaitable<void> check(std::string address);
    boost::asio::awaitable<void> watch_suspect(std::string address);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PeerLink& m_link;
    DaemonTable m_daemons;
    std::set<std::string> m_told; ///< unreachable ones, as told
    std::set<std::string> m_watched; ///< those that this daemon found out itself
    Micros m_checked_at = 0; ///< when those that lead were last asked for a sign of life
};

} // namespace cypressford
