// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An HTTP/1.1 server on one io_context that limits every resource a caller can make it
/// hold.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cypressford/error.h>

#include "http.h"
#include "tunnel_stream.h"

namespace cypressford {

/// Limits on the resources that callers can use.
struct HttpLimits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    int connections = 4000;
    std::chrono::milliseconds header_time {5000}; ///< from first to last byte of a header
    std::chrono::milliseconds body_time {10000};
    std::chrono::milliseconds idle_time {60000};
    std::chrono::milliseconds write_time {10000}; ///< without progress of an answer
};

/// Longest pause of a caller that takes an answer after its write deadline.
inline constexpr std::chrono::milliseconds kOverdueWriteTime {250};

/// One request and the functions that answer it.  A handler calls exactly one of respond(),
/// begin_stream() and tunnel().
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// When the system received the first byte of the request, in microseconds of
    /// monotonic_us().  A thread that was busy or suspended may read it much later.
    virtual std::int64_t received_at() const = 0;

    /// From `at` on (microseconds of monotonic_us()), an answer that makes no progress is
    /// cut off after kOverdueWriteTime in place of HttpLimits::write_time, and any answer
    /// after HttpLimits::write_time in all.  Applies to this request only.
    virtual void set_write_deadline(std::int64_t at) = 0;

    /// Sends the whole answer; false if the connection fails or makes no progress.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    /// Starts a chunked answer, to be followed by write() and end().
    virtual boost::asio::awaitable<bool> begin_stream(std::string content_type) = 0;
    /// The same with a status and header fields given by the handler.
    virtual boost::asio::awaitable<bool> begin_stream(HttpResponse head) = 0;

    /// Calls `on_disconnect` once if the caller closes its connection before the handler
    /// has returned.
    virtual void watch(std::function<void()> on_disconnect) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view text) = 0;
    virtual boost::asio::awaitable<bool> end() = 0;

    /// Calls `on_progress` with the number of bytes, including framing, that the socket has
    /// accepted, until the handler returns.  The system's send buffer is limited, so that
    /// accepted bytes are about to be read.
    virtual void watch_progress(std::function<void(std::size_t)> on_progress) = 0;

    /// Answers a CONNECT request with 200 and forwards bytes between the caller and
    /// `target` until one of them ends; then both are closed.
    virtual boost::asio::awaitable<void> tunnel(boost::asio::ip::tcp::socket target,
                                                TunnelForm form)
        = 0;

    /// Closes the connection after the handler has returned, without a complete answer.
    virtual void drop() = 0;

    /// Closes the connection now: pending writes fail, and bytes that the caller has not
    /// received are discarded.
    virtual void abort() = 0;
};

class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;
    /// Creates the answer to a request that is refused before it reaches the handler.
    using Refusal = std::function<HttpResponse(ErrorKind)>;
    /// Latest time at which the body of a request must be complete, in microseconds of
    /// monotonic_us(), given its head and when its first byte was received; nothing: no
    /// limit but HttpLimits::body_time.
    using BodyDeadline
        = std::function<std::optional<std::int64_t>(const HttpRequest&, std::int64_t)>;

    HttpServer(boost::asio::io_context& io, HttpLimits limits, Handler handler,
               Refusal refusal);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts to accept.  Several servers of one process may share a port; the
    /// kernel distributes connections among them.
    Result<unsigned short> listen(const Address& address);

    /// Makes every answer from now on close its connection.
    void close_after_answers();
    /// Accepts the connections in the backlog and then closes the listening socket.
    void stop_accepting();
    /// Closes connections that are between requests.
    void close_idle();

    /// Must be called before listen().
    void set_body_deadline(BodyDeadline body_deadline);

    /// Sets the limits for requests that arrive from now on.
    void set_limits(const HttpLimits& limits);

    int connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace cypressford
