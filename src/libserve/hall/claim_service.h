// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/claims.h>
#include <cypressford/platform.h>

#include "libserve/kernel.h"

#include "libutil/boot_clock.h"

namespace cypressford {

/// Runs the Claimer of this daemon: appends and reads for it, and passes its
/// decisions to the workers.  Lives on the control thread; the public members
/// may be called from any thread.
class ClaimService {
public:
    using OnDecided = std::function<void(DecideClaim)>;

    ClaimService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform);

    void start();

    /// Requests a claim; `decided` is called on the control thread.
    void request_claim(ClaimRequested wanted, OnDecided decided);
    void end_request(ClaimRequestEnded ended);

    /// True if the log holds a claim for the key that was not released.
    boost::asio::awaitable<bool> is_claimed(std::string key);

    /// True if nothing is left to append.
    boost::asio::awaitable<bool> is_idle();

    /// Name of the stream in the log.
    static constexpr const char* kStream = "claims";

private:
    void handle(const ClaimEvent& event);
    boost::asio::awaitable<void> append(ClaimBatch batch);
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> tick_loop();

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    Claimer m_claimer;
    BootTimer m_tick;
    std::unordered_map<RequestId, OnDecided> m_pending;
};

} // namespace cypressford
