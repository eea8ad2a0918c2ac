// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "config.h"
#include "libutil/http_client.h"

namespace cypressford::load {

/// Result of one request, as observed by its caller.
enum class Outcome : unsigned char {
    Attained, ///< complete answer within the deadline
    Late, ///< complete answer after the deadline
    NotRun, ///< refused with "not run"
    Unknown, ///< failed; the request may have run
    Cut, ///< no answer, or an incomplete one that could not be resumed
    Misdelivered, ///< answer that does not belong to the request
};
inline constexpr std::size_t kOutcomes = 6;

/// One request and its outcome.
struct Record {
    std::size_t pipeline = 0;
    Outcome outcome = Outcome::Cut;
    std::string kind; ///< error kind, if the request was refused or failed
    std::string key; ///< idempotency key; "" if it has none
    double time_ms = 0;
    double first_token_ms = 0;
    int resumed = 0; ///< number of times that its stream was resumed
};

/// Stands in for the platform's load balancer: tracks which daemons report ready.
class Balancer {
public:
    Balancer(boost::asio::io_context& io, std::vector<std::string> daemons);

    /// Polls the readiness of all daemons until `stop`.
    boost::asio::awaitable<void> poll_readiness();
    void stop() { m_stopped = true; }

    /// Next ready daemon in round-robin order; any daemon if none is ready.
    std::string pick();
    std::size_t ready_count() const;

private:
    boost::asio::awaitable<bool> is_ready(std::string address);

    boost::asio::io_context& m_io;
    HttpClient m_client;
    std::vector<std::string> m_daemons;
    std::vector<bool> m_ready;
    std::size_t m_next = 0;
    bool m_stopped = false;
};

/// Sends requests and classifies their outcomes.
class Caller {
public:
    Caller(boost::asio::io_context& io, const LoadConfig& config, Balancer& balancer);

    boost::asio::awaitable<Record> request(std::size_t pipeline, std::uint64_t number);

private:
    struct StreamState;

    boost::asio::awaitable<void> send_unary(const PipelineLoad& load,
                                            const std::string& body, Record& record);
    boost::asio::awaitable<void> send_streaming(const PipelineLoad& load,
                                                const std::string& body, Record& record);
    HttpRequest make_request(const PipelineLoad& load, const std::string& body,
                             const Record& record, std::uint64_t number);
    std::string uuid7();

    HttpClient m_client;
    const LoadConfig& m_config;
    Balancer& m_balancer;
    std::mt19937_64 m_random;
    std::uint64_t m_number = 0;
};

/// Expected answer to a request body, as computed by the stand-ins.
std::string expected_output(const PipelineLoad& load, const std::string& body);

} // namespace cypressford::load
