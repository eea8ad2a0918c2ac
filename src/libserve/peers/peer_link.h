// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/piece_order.h>
#include <cypressford/stream_origin.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Orders pieces from other daemons.  Since an order may legitimately take long, keepalive
/// requests are sent to each daemon that has open orders of this daemon; if it does not
/// answer them, its orders are cancelled.  Lives on one thread.
class PeerLink {
public:
    PeerLink(boost::asio::io_context& io, const Kernel& kernel)
        : m_io(io)
        , m_kernel(kernel)
        , m_client(io)
    {
    }

    /// An error means that the daemon did not answer or did not accept the order.
    boost::asio::awaitable<Result<PieceAnswer>> order(std::string address, PieceOrder order,
                                                      std::shared_ptr<CallHandle> handle);

    /// Cancels the orders that are open at the daemon.
    void cancel_orders(const std::string& address);

    /// False: the daemon did not confirm the releases.
    boost::asio::awaitable<bool> send_releases(std::string address, Releases releases);

    /// An error means that the daemon did not answer or that its answer is invalid.
    boost::asio::awaitable<Result<PlaceAnswer>> place(std::string address,
                                                      PlaceQuery query);

    /// Verdicts of the daemon, one for each query.  An error means that it did not answer
    /// within kCapacityTimeout, does not know the message, or that its answer is invalid.
    boost::asio::awaitable<Result<CapacityVerdicts>> reserve(std::string address,
                                                             SetQueries queries);

    /// Origins that the daemon knows of the wanted ones.  An error means that it did not
    /// answer in time or does not know the message.
    boost::asio::awaitable<Result<StreamOriginBatch>>
    exchange_origins(std::string address, StreamOriginBatch batch);

    /// True if the daemon answers and is not stopping.
    boost::asio::awaitable<bool> is_alive(std::string address);

    static constexpr const char* kCapacityPath = "/v1/capacity";
    static constexpr const char* kPlacePath = "/v1/place";
    static constexpr const char* kReleasePath = "/v1/releases";
    static constexpr const char* kOrderPath = "/v1/pieces";
    static constexpr const char* kAlivePath = "/v1/alive";
    static constexpr const char* kOriginsPath = "/v1/stream-origins";

private:
    boost::asio::awaitable<CallResult> post(std::string address, const char* path,
                                            std::string body, Micros time_limit);
    boost::asio::awaitable<void> watch(std::string address);
    boost::asio::awaitable<int> keepalive_status(std::string address);
    boost::asio::io_context& m_io;
    const Kernel& m_kernel;
    HttpClient m_client;
    std::map<std::string, std::set<std::shared_ptr<CallHandle>>>
        m_open_orders; ///< by address
    std::set<std::string> m_watched_addresses;
};

} // namespace cypressford
