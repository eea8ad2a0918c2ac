// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Common part of all stand-in upstreams: slots with a queue, faults, counters.

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

/// Configuration of one stand-in.
struct UpstreamConfig {
    std::string address;
    std::string role; ///< engine, pool or service
    int slots = 4;
    double service_ms = 10; ///< duration of a call; for an engine, of a token
    double jitter = 0.2; ///< relative, uniform
    int queue_limit = 64;
    std::size_t max_tokens = 16;
    double prefill_ms
        = 20; ///< engine: added before the first token if the prefix is not cached
    int cache_entries = 64; ///< engine: maximum number of cached prefixes
    bool deduplicates = false; ///< service: runs a repeated idempotency key only once
    bool checks_fence = false; ///< engine: refuses orders with an outdated fencing token
    double report_lag_ms = 200; ///< maximum age of the reported load
    unsigned seed = 1;
};

/// Injected faults, set through /control.
struct Faults {
    double slow = 1; ///< factor on all service times
    bool fail = false; ///< answer 500 without serving the request
    bool hang = false; ///< accept requests and never answer
    bool cut = false; ///< serve the request, then close without a complete answer
    bool leaving = false; ///< refuse new work with 503
};

/// Counters, reported by /control.
struct Counters {
    double busy_ms = 0; ///< slot time used
    std::uint64_t runs = 0;
    std::uint64_t refused = 0;
    std::uint64_t after_leaving = 0; ///< calls received while leaving
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
    /// Serves any call other than a load report or /control.
    virtual boost::asio::awaitable<void> serve(HttpExchange& exchange) = 0;

    /// Waits for a slot, lower priority values first.  Returns false, with the refusal
    /// already sent, if the queue is full or the upstream is leaving.
    boost::asio::awaitable<bool> acquire_slot(HttpExchange& exchange, int priority);
    void release_slot();

    /// Simulates work for `ms`, scaled by the slow fault and jitter, and counts it as busy
    /// time.
    boost::asio::awaitable<void> simulate_work(double ms);

    boost::asio::awaitable<void> refuse(HttpExchange& exchange, int status,
                                        const char* reason);

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
    std::uint64_t m_next_waiter_number = 0;
    std::uint64_t m_incarnation;
    int m_reported_in_use = 0;
    int m_reported_waiting = 0;
    std::int64_t m_sampled_at_ms = 0;
};

std::unique_ptr<Upstream> make_engine(boost::asio::io_context& io, UpstreamConfig config);
std::unique_ptr<Upstream> make_pool(boost::asio::io_context& io, UpstreamConfig config);

/// Body of a JSON request; an empty object if it is not a JSON object.
boost::json::object parse_body(const HttpRequest& request);
HttpResponse json_response(int status, const boost::json::object& body);

} // namespace cypressford::standin
