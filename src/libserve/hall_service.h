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

#include "kernel.h"
#include "libutil/http_client.h"
#include "peer_transport.h"

namespace cypressford {

class BundleService;

/// What the daemons of a hall do together: they know who is alive, divide the
/// watching of upstreams and tell each other what they saw, pass on bundles, and
/// share out the rates of accounts.  Lives on the control thread.
class HallService {
public:
    HallService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                BundleService& bundles);
    ~HallService();

    Result<void> start();

    /// Tells the whole hall at once that this daemon is stopping.
    void announce_stop();

private:
    /// The newest report on an upstream, from whichever daemon.
    struct Observation {
        LoadReport report;
        Micros at = 0; ///< when it was made, by our clock
        Micros changed = 0; ///< when we learnt of it; newer than a peer's last look is news
    };

    // Who is alive.
    boost::asio::awaitable<void> gossip_loop();
    void gossip_once();
    void exchange_with(const std::string& address);
    void receive(const proto::PeerState& state, bool is_answer);
    proto::PeerState own_state(const std::string& peer, Offset peer_bundle_next);

    // What upstreams report.
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> ask(std::shared_ptr<UpstreamState> upstream,
                                     const UpstreamKind& kind);
    void observe(const std::string& address, const LoadReport& report, Micros at,
                 const char* source);
    void spread_marks();
    void tell_everyone();

    // How accounts are shared out.
    void update_shares(Micros now);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    BundleService& m_bundles;
    HttpClient m_client;
    Membership m_membership;
    PeerTransport m_transport;
    std::mt19937_64 m_random;
    std::map<std::string, Observation> m_observations;
    std::map<std::string, Micros> m_last_sent; ///< to each peer: when we last told it
    std::map<std::string, std::map<std::uint64_t, double>>
        m_peer_rates; ///< by peer, account
    std::map<std::uint64_t, double> m_own_rates;
    std::map<std::uint64_t, std::uint64_t> m_admitted_before;
    Micros m_rates_at = 0;
};

} // namespace cypressford
