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

/// How one request ended, as its caller sees it.
enum class Outcome : unsigned char {
    Attained, ///< whole answer within the deadline
    Late, ///< whole answer after the deadline
    NotRun, ///< refused, "not run"
    Unknown, ///< failed, it may have run
    Cut, ///< no answer, or one that breaks off for good
    Misdelivered, ///< an answer to something else
};
inline constexpr std::size_t kOutcomes = 6;

/// One request and its end.
struct Record {
    std::size_t pipeline = 0;
    Outcome outcome = Outcome::Cut;
    std::string kind; ///< error kind, if it was refused or failed
    std::string key; ///< "" if it has none
    double time_ms = 0;
    double first_token_ms = 0;
    int resumed = 0; ///< times that its stream was resumed
};

/// Plays the platform's balancer: knows which daemons say that they are ready.
class Balancer {
public:
    Balancer(boost::asio::io_context& io, std::vector<std::string> daemons);

    /// Asks all daemons again and again until `stop`.
    boost::asio::awaitable<void> watch();
    void stop() { m_stopped = true; }

    /// The next ready daemon in turn; any if none is ready.
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

/// Sends requests and judges their answers.
class Caller {
public:
    Caller(boost::asio::io_context& io, const LoadConfig& config, Balancer& balancer);

    boost::asio::awaitable<Record> request(std::size_t pipeline, std::uint64_t number);

private:
    struct StreamState;

    boost::asio::awaitable<void> whole(const PipelineLoad& load, const std::string& body,
                                       Record& record);
    boost::asio::awaitable<void> stream(const PipelineLoad& load, const std::string& body,
                                        Record& record);
    HttpRequest make_request(const PipelineLoad& load, const std::string& body,
                             const Record& record, std::uint64_t number);
    std::string uuid7();

    HttpClient m_client;
    const LoadConfig& m_config;
    Balancer& m_balancer;
    std::mt19937_64 m_random;
    std::uint64_t m_number = 0;
};

/// What the answer to a body must be.
std::string expected_output(const PipelineLoad& load, const std::string& body);

} // namespace cypressford::load
