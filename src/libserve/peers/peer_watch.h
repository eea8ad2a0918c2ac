// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
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

/// Tracks which daemons exist and which of them are responsive.  A daemon that does not
/// answer an order is suspected until it answers a keepalive request.  Lives on one thread.
class PeerWatch {
public:
    PeerWatch(boost::asio::io_context& io, Kernel& kernel, PeerLink& link);

    /// Applies records that were read from the directory.
    void apply_records(const std::vector<DaemonRecord>& records);

    /// Address of the daemon that leads the set; empty for this daemon itself.
    std::string leader_of(std::string_view set_name);

    /// Sets the list of daemons that the hall's reader reports as unreachable.  They lead
    /// no set while they are on the list.
    void set_unreachable(std::set<std::string> addresses);

    void record_response(const std::string& address);
    void suspect(const std::string& address);

private:
    void update_led_sets();
    void report_leader(std::string_view set_name, const std::string& leader);
    void publish_tunnel_peers();
    void check_leaders();
    boost::asio::awaitable<void> check(std::string address);
    boost::asio::awaitable<void> watch_suspect(std::string address);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PeerLink& m_link;
    DaemonTable m_daemons;
    std::set<std::string>
        m_reported_unreachable; ///< unreachable daemons as reported by the hall's reader
    std::set<std::string>
        m_locally_suspected; ///< suspected by this daemon's own observation
    /// Generation of the snapshot that the sets of m_daemons were taken from.
    std::uint64_t m_sets_generation = 0;
    std::map<std::string, std::string, std::less<>> m_reported_leaders; ///< by set
    /// What the published peers for tunnels were derived from.
    std::uint64_t m_published_revision = 0;
    int m_published_alive = 0;
    Micros m_leaders_checked_at = 0; ///< when leaders were last sent keepalive requests
};

} // namespace cypressford
