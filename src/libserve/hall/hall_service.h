// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/membership.h>
#include <cypressford/platform.h>

#include "libserve/hall/peer_transport.h"
#include "libserve/hall/upstream_watch.h"
#include "libserve/kernel.h"

namespace cypressford {

class BundleService;

/// Cooperation of the daemons of a hall: membership, division of the polling of
/// upstreams, exchange of load reports and bundles, and shares of the rates of
/// accounts.  Lives on the control thread.
class HallService {
public:
    HallService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                BundleService& bundles);
    ~HallService();

    Result<void> start();

    /// True if this daemon is one of the `count` daemons responsible for a task.
    bool is_chosen(std::string_view task, int count) const;

    /// Exchanges state with all known peers at once, outside the gossip rounds.
    void exchange_with_all();

    /// Announces to the whole hall at once that this daemon is stopping.
    void announce_stop();

private:
    /// This daemon's admissions for one account.
    struct AccountRate {
        double rate = 0; ///< requests per second
        /// Used part of the account's rate if all daemons admitted at the same rate.
        double pressure = 0;
    };

    boost::asio::awaitable<void> gossip_loop();
    void gossip_once();
    void exchange_with(const std::string& address);
    void receive(const proto::PeerState& state, bool is_answer);
    proto::PeerState own_state(const std::string& peer, Offset peer_bundle_next,
                               bool members_in_full);

    void add_members(proto::PeerState& state, bool in_full);
    void add_accounts(proto::PeerState& state);
    void add_reports(proto::PeerState& state);

    // Shares of accounts.
    void update_shares(Micros now);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    BundleService& m_bundles;
    Membership m_membership;
    UpstreamWatch m_watch;
    PeerTransport m_transport;
    std::mt19937_64 m_random;
    std::map<std::string, int> m_exchanges; ///< number of exchanges with each peer
    bool m_wants_members = false; ///< a keepalive of an unknown member arrived
    std::map<std::string, std::map<std::uint64_t, double>>
        m_peer_rates; ///< by peer, account
    std::map<std::uint64_t, AccountRate> m_own_use;
    std::map<std::uint64_t, std::uint64_t> m_admitted_before;
    Micros m_rates_at = 0;
};

} // namespace cypressford
