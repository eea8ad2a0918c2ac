// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/bundle_fold.h>
#include <cypressford/platform.h>

#include "libserve/directory/evacuations.h"
#include "libserve/kernel.h"

namespace cypressford {

/// Follows the bundles stream and applies each version that is rolled out, on all
/// workers.  Lives on the control thread.
class BundleService {
public:
    BundleService(boost::asio::io_context& io, Kernel& kernel, PlatformClient& platform);

    void start();

    const BundleFold& fold() const { return m_fold; }

    /// Replaces this daemon's state by a peer's if the peer's state is newer.
    void adopt(const std::string& encoded_snapshot);

    /// Called when the log contained new records.
    void on_update(std::function<void()> call) { m_on_update = std::move(call); }

    /// Whether this daemon reads the log itself or receives bundles from its peers.
    void set_reader(bool reader) { m_is_reader = reader; }

    static constexpr const char* kStream = "bundles";

private:
    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> snapshot_loop();
    void bring_into_force();

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PlatformClient& m_platform;
    BundleFold m_fold;
    Evacuations m_evacuations;
    std::uint64_t m_applied_version = 0;
    bool m_is_reader = true;
    std::function<void()> m_on_update;
};

} // namespace cypressford
