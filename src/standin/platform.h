// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-in for the platform: a log service with several streams, and a lagging node list.

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "libutil/http_server.h"

namespace cypressford::standin {

struct PlatformConfig {
    std::string address;
    double appends_per_s = 300; ///< rate limit of appends; also the burst size
    double append_ms = 3; ///< duration of an append
    std::size_t retained = 100'000; ///< records kept per stream
    double list_lag_ms = 2000; ///< delay until a change shows in the node list
    std::vector<std::string> nodes; ///< addresses listed as live at the start
};

class Platform {
public:
    Platform(boost::asio::io_context& io, PlatformConfig config);

    Result<unsigned short> listen();

private:
    struct Stream {
        std::int64_t first = 0; ///< offset of records.front()
        std::deque<std::string> records;
        std::int64_t next() const
        {
            return first + static_cast<std::int64_t>(records.size());
        }
    };
    struct ListChange {
        std::int64_t at_ms = 0;
        std::string address;
        std::string state;
    };

    boost::asio::awaitable<void> dispatch(HttpExchange& exchange);
    boost::asio::awaitable<void> append(HttpExchange& exchange, const std::string& stream);
    boost::asio::awaitable<void> read(HttpExchange& exchange, const std::string& stream);
    HttpResponse control(const HttpRequest& request);
    HttpResponse node_list(const HttpRequest& request);
    bool take_token();
    bool is_cut_off(const HttpRequest& request) const;

    boost::asio::io_context& m_io;
    PlatformConfig m_config;
    HttpServer m_server;
    std::map<std::string, Stream> m_streams;
    std::vector<ListChange> m_changes;
    boost::asio::steady_timer m_appended; ///< cancelled to wake up readers
    double m_tokens;
    std::int64_t m_refilled_ms = 0;
    std::uint64_t m_appends = 0;
    bool m_outage = false;
    bool m_lose_answers = false;
    double m_delay_ms = 0;
    std::vector<std::string> m_cut_halls; ///< halls whose requests are refused
};

} // namespace cypressford::standin
