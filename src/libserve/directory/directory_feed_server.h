// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/directory_view.h>

#include "libutil/boot_clock.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Serves this daemon's view of the directory to the other daemons of the hall.  A query is
/// held until there are changes.  Lives on the control thread.
class DirectoryFeedServer {
public:
    static constexpr const char* kPath = "/directory/feed";

    DirectoryFeedServer(boost::asio::io_context& io, const HttpLimits& limits,
                        DirectoryView& view);

    Result<void> listen(const std::string& address);

    /// Wakes the held queries after a change that must be sent at once.
    void wake_held_queries();

    /// Called with addresses of daemons that did not answer a requester.
    void on_unreachable_reported(std::function<void(const std::string&)> action)
    {
        m_on_unreachable_reported = std::move(action);
    }

    /// Called with the log generation that a query reports.
    void on_generation(std::function<void(LogGeneration)> action)
    {
        m_on_generation = std::move(action);
    }

private:
    boost::asio::awaitable<void> serve(HttpExchange& exchange);

    boost::asio::io_context& m_io;
    DirectoryView& m_view;
    std::function<void(const std::string&)> m_on_unreachable_reported;
    std::function<void(LogGeneration)> m_on_generation;
    std::set<BootTimer*> m_hold_timers; ///< one for each held query
    HttpServer m_server;
};

} // namespace cypressford
