// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gives results up at the upstreams that keep them.

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

/// Lives on the thread of its io_context.
class ResultKeepers {
public:
    using OnFreed = std::function<void(const Releases&)>;

    /// `on_freed` is called once a keeper has answered: a call that is sent on the
    /// strength of the memory must not come there before.
    ResultKeepers(boost::asio::io_context& io, Kernel& kernel, OnFreed on_freed);

    /// Gives the results up, one call for each keeper.
    void free(const Releases& releases);

private:
    UpstreamPtr find_keeper(const std::string& set_name, const std::string& address) const;
    boost::asio::awaitable<void> wait_until_open(UpstreamPtr keeper);
    boost::asio::awaitable<void> free_at(std::string keeper);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    OnFreed m_on_freed;
    HttpClient m_client;
    std::map<std::string, Releases> m_held; ///< by keeper, not sent yet
};

} // namespace cypressford
