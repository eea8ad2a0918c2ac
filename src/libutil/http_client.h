// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An HTTP/1.1 client on one io_context, with kept connections.  It tells
/// apart what was certainly not sent from what may have been.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "http.h"

namespace cypressford {

/// How far a call came.
enum class CallStatus : unsigned char {
    Answered, ///< a whole answer was read
    NotSent, ///< no connection, so nothing left
    Lost, ///< something was sent and no whole answer came
    Withheld, ///< `may_send` said no, so nothing left
};

struct CallResult {
    CallStatus status = CallStatus::NotSent;
    HttpResponse response;
    /// Lost because the far side closed or reset the connection, and not because of a
    /// limit, a cancellation or bytes that are no answer.
    bool closed_there = false;
};

/// What a new connection says of an address.
enum class PortState : unsigned char {
    Open, ///< somebody listens
    Refused, ///< the node answers that nobody does
    Silent ///< no answer in time: the node or the way to it may be down
};

std::string_view to_string(PortState state);

/// Opens a connection to the address and closes it again.
boost::asio::awaitable<PortState> probe_port(boost::asio::io_context& io,
                                             std::string address, std::int64_t deadline_us);

/// Lets another coroutine of the same thread end a call.
class CallHandle {
public:
    void cancel()
    {
        m_cancelled = true;
        if (m_abort)
            m_abort();
    }
    bool cancelled() const { return m_cancelled; }

private:
    friend class HttpClient;
    std::function<void()> m_abort;
    bool m_cancelled = false;
};

/// How long the body of an answer may take.  A limit for the whole of it cuts off what is
/// large on a thin link and has it begun anew from its start (275 of 314 transfers of a
/// configuration of 836 kB with 0.8 s, 10 Mbit/s), so bytes that come keep a call alive.
struct BodyPatience {
    std::int64_t gap_us = 0; ///< between bytes; 0: the call's deadline holds for the body
    std::int64_t limit_us = 0; ///< for all of it, against a sender of a byte now and then
};

/// For answers whose size grows with a deployment: the largest that is taken (8 MB) needs
/// 6.7 s on a link of 10 Mbit/s.  The gap bears two losses of one packet, resent after 0.2
/// and 0.4 s.
constexpr BodyPatience kLargeBody {800'000, 10'000'000};

struct CallOptions {
    std::int64_t deadline_us = 0; ///< point in time, monotonic microseconds
    BodyPatience body;
    bool fresh_connection = false; ///< never on a kept connection
    /// Send once more, on a new connection, if a kept one turns out to be closed.
    bool resend_if_stale = true;
    bool send_clock = true; ///< add this process's hybrid clock
    /// Kept connections that have rested longer are not used; 0: any.
    std::int64_t max_idle_us = 0;
    std::int64_t connect_deadline_us = 0; ///< point in time; 0: deadline_us
    std::shared_ptr<CallHandle> handle;
    /// Asked right before the first byte, on a connection that is there; false withholds
    /// the call.
    std::function<bool()> may_send;
    /// Gets status and header fields of every answer, also of one that belongs to another
    /// call or breaks off later, and when its connection came up (monotonic microseconds).
    std::function<void(const HttpResponse&, std::int64_t connected_us)> on_answer;
    /// False for an answer that belongs to another call; it is then lost.
    std::function<bool(const HttpResponse&)> belongs;
    /// Gets status and header fields of a 200 before the first piece of its body.
    std::function<void(const HttpResponse&)> on_head;
    /// Gets the body piece by piece if the answer is a 200; the body is empty then.
    std::function<void(std::string_view)> on_chunk;
};

/// Not thread-safe: one for each thread.
class HttpClient {
public:
    explicit HttpClient(boost::asio::io_context& io);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    boost::asio::awaitable<CallResult> call(std::string address, HttpRequest request,
                                            CallOptions options);

    /// Closes kept connections.
    void close_idle();

private:
    class Connection;
    struct Impl;

    boost::asio::awaitable<CallResult>
    attempt(Connection& connection, const HttpRequest& request, const CallOptions& options);
    std::unique_ptr<Connection> take_idle(const std::string& address,
                                          const CallOptions& options);
    void keep(const std::string& address, std::unique_ptr<Connection> connection);

    boost::asio::io_context& m_io;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_idle;
};

} // namespace cypressford
