// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/lease.h>
#include <cypressford/platform.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Ensures that the engines of a hall have the models of the bundle in force.  Only the
/// daemon that holds a lease from the log sends orders, each with the lease's fencing
/// token, at a rate that the weight store can sustain.  Lives on the control thread.
class PlacementService {
public:
    /// True if this daemon may hold the lease.
    using IsCandidate = std::function<bool()>;

    PlacementService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                     IsCandidate candidate);

    void start();

private:
    /// A model that an engine should have.
    struct RequiredModel {
        std::shared_ptr<UpstreamState> engine;
        const UpstreamKind* kind = nullptr;
        std::string model;
        std::string adapter;
    };

    boost::asio::awaitable<void> lease_loop();
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> work_loop();
    boost::asio::awaitable<void> place_once();
    boost::asio::awaitable<void> send_order(const RequiredModel& required);
    boost::asio::awaitable<std::vector<std::string>>
    models_of(const RequiredModel& required);
    std::vector<RequiredModel> required_models(const Snapshot& snapshot) const;
    std::string stream() const;

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    IsCandidate m_is_candidate;
    HttpClient m_client;
    Lease m_lease;
    Offset m_next = -1; ///< next record to read; -1 before the first read
};

} // namespace cypressford
