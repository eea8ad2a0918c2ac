// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An HTTP/1.1 server on one io_context, with a bound on everything that a
/// caller can make it hold.

#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/error.h>

#include "http.h"

namespace cypressford {

/// Bounds on what one caller may take.
struct HttpLimits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    int connections = 4000;
    std::chrono::milliseconds header_time {5000}; ///< first byte to last of a header
    std::chrono::milliseconds body_time {10000};
    std::chrono::milliseconds idle_time {60000};
    std::chrono::milliseconds write_time {10000}; ///< for one write to make progress
};

/// One request and the ways to answer it.  Exactly one of respond() and
/// begin_stream() is called.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Sends the whole answer; false if the caller is gone.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    /// Starts a chunked answer, to be followed by write() and end().
    virtual boost::asio::awaitable<bool> begin_stream(std::string content_type) = 0;
    /// The same with a status and header fields of the handler's choice.
    virtual boost::asio::awaitable<bool> begin_stream(HttpResponse head) = 0;

    /// Calls `gone` once if the caller closes its connection before the handler
    /// is through.
    virtual void watch(std::function<void()> gone) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view text) = 0;
    virtual boost::asio::awaitable<bool> end() = 0;

    /// Ends the connection without an answer.
    virtual void drop() = 0;
};

class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;
    /// Makes the answer to a request that never reaches the handler.
    using Refusal = std::function<HttpResponse(ErrorKind)>;

    HttpServer(boost::asio::io_context& io, HttpLimits limits, Handler handler,
               Refusal refusal);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts to accept.  Several servers of one process may share a
    /// port; the kernel spreads connections over them.
    Result<unsigned short> listen(const Address& address);

    /// From now on each answer closes its connection.
    void close_after_answers();
    /// Takes what is in the backlog, then accepts no more.
    void stop_accepting();
    /// Closes connections that are between requests.
    void close_idle();

    /// Bounds for requests that come from now on.
    void set_limits(const HttpLimits& limits);

    int connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cypressford
