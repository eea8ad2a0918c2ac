// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/piece_order.h>
#include <cypressford/prompt_placer.h>

#include "libserve/kernel.h"
#include "libserve/links/tunnel_server.h"
#include "libserve/links/upstream_connector.h"
#include "libserve/pieces/leader_work.h"
#include "libserve/pieces/piece_maker.h"
#include "libserve/pieces/result_keepers.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Serves all daemons as the leader of upstream sets: admits requests by capacity, makes
/// pieces, places prompts, and processes releases; also opens tunnels.  Runs on one thread.
class SetLeader {
public:
    SetLeader(boost::asio::io_context& io, Kernel& kernel, UpstreamConnector& connector,
              PieceMaker::FreeResult free_result);

    /// Binds the address for other daemons.
    Result<void> listen(const std::string& address);

    /// Completes when every piece of the order is made or one has failed.
    boost::asio::awaitable<PieceAnswer> make(PieceOrder order,
                                             std::shared_ptr<PieceMaker::Ticket> ticket);
    PlaceAnswer place(const PlaceQuery& query);
    /// Verdicts from the ledgers of the sets, one for each query.
    CapacityVerdicts reserve(const SetQueries& queries);
    void take_releases(const Releases& releases);

    const LeaderWorkBySet& work() const { return m_work; }

    bool is_idle() const { return m_maker.is_idle() && m_tunnels.open() == 0; }

private:
    boost::asio::awaitable<void> serve(HttpExchange& exchange);
    boost::asio::awaitable<void> serve_order(HttpExchange& exchange);
    boost::asio::awaitable<void> serve_capacity(HttpExchange& exchange);
    /// False without a configuration, and while the daemon is stopping.
    bool can_lead() const { return !m_kernel.stopping.load() && m_kernel.snapshot.load(); }

    Kernel& m_kernel;
    PieceMaker m_maker;
    ResultHolders m_holders;
    TunnelServer m_tunnels;
    HttpServer m_server;
    std::map<std::string, PromptPlacer> m_placers; ///< by upstream set
    LeaderWorkBySet m_work;
};

} // namespace cypressford
