// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What all stand-in upstreams share: slots with a queue, faults, counters.

#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libutil/http_server.h"
#include "libutil/json_fields.h"

namespace cypressford::standin {

/// How one stand-in behaves.
struct UpstreamConfig {
    std::string address;
    std::string role; ///< engine, pool or service
    int slots = 4;
    double service_ms = 10; ///< of one call; of one token for an engine
    double jitter = 0.2; ///< relative, uniform
    int queue_limit = 64;
    std::size_t max_tokens = 16;
    double prefill_ms = 20; ///< engine: before the first token, cache cold
    int cache_entries = 64; ///< engine: prefixes kept
    bool deduplicates = false; ///< service
    bool checks_fence = false;
    double report_lag_ms = 200; ///< age of the load that it reports
    unsigned seed = 1;
};

/// Faults, switched at /control.
struct Faults {
    double slow = 1; ///< factor on all service times
    bool fail = false; ///< answer 500 unread
    bool hang = false; ///< take requests and never answer
    bool cut = false; ///< run, then close without an answer
    bool leaving = false; ///< refuse new work with 503
};

/// Counters, read at /control.
struct Counters {
    double busy_ms = 0; ///< slot time used
    std::uint64_t runs = 0;
    std::uint64_t refused = 0;
    std::uint64_t after_leaving = 0; ///< calls that came while leaving
    std::map<std::string, int> runs_by_key;
};

class Upstream {
public:
    Upstream(boost::asio::io_context& io, UpstreamConfig config);
    virtual ~Upstream() = default;
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    Result<unsigned short> listen();

protected:
    /// Serves a call that is no load report and no control.
    virtual boost::asio::awaitable<void> serve(HttpExchange& exchange) = 0;

    /// Waits for a slot; false if the queue is full or it is leaving, in which
    /// case the refusal was sent.  Lower priorities go first.
    boost::asio::awaitable<bool> take_slot(HttpExchange& exchange, int priority);
    void give_slot();

    /// Occupies a slot for a time.
    boost::asio::awaitable<void> work(double ms);

    boost::asio::awaitable<void> refuse(HttpExchange& exchange, int status,
                                        const char* why);

    boost::asio::io_context& m_io;
    UpstreamConfig m_config;
    Faults m_faults;
    Counters m_counters;

private:
    struct Waiter {
        int priority;
        std::uint64_t number;
        boost::asio::steady_timer* timer;
        auto operator<=>(const Waiter&) const = default;
    };

    boost::asio::awaitable<void> dispatch(HttpExchange& exchange);
    HttpResponse control(const HttpRequest& request);
    HttpResponse load();
    void sample_load();

    HttpServer m_server;
    std::mt19937 m_random;
    std::set<Waiter> m_waiting;
    int m_in_use = 0;
    std::uint64_t m_next_waiter = 0;
    std::uint64_t m_incarnation;
    int m_reported_in_use = 0;
    int m_reported_waiting = 0;
    std::int64_t m_sampled_at = 0;
};

std::unique_ptr<Upstream> make_engine(boost::asio::io_context& io, UpstreamConfig config);
std::unique_ptr<Upstream> make_pool(boost::asio::io_context& io, UpstreamConfig config);

/// Body of a JSON request; an empty object for anything else.
boost::json::object parse_body(const HttpRequest& request);
HttpResponse json_response(int status, const boost::json::object& body);

} // namespace cypressford::standin
