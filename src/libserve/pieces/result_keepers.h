// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Releases results at the upstreams that hold them.

#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/piece_order.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Runs on the thread of its io_context.
class ResultHolders {
public:
    using OnFreed = std::function<void(const Releases&)>;

    /// `on_freed` is called after a holder has answered: a call that relies on the freed
    /// memory must not arrive at the holder earlier.
    ResultHolders(boost::asio::io_context& io, Kernel& kernel, Connector& connector,
                  OnFreed on_freed);

    /// Releases the results, with one call for each holder.
    void free(const Releases& releases);

private:
    UpstreamPtr find_holder(const std::string& set_name, const std::string& address) const;
    boost::asio::awaitable<void> wait_until_open(UpstreamPtr holder);
    boost::asio::awaitable<void> free_at(std::string holder);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    OnFreed m_on_freed;
    HttpClient m_client;
    std::map<std::string, Releases> m_held; ///< not sent yet, by holder
};

} // namespace cypressford
