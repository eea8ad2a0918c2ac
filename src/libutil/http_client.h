// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An HTTP/1.1 client on one io_context, with a pool of idle connections.  Results
/// distinguish requests that were certainly not sent from those that may have been.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "http.h"
#include "tunnel_stream.h"

namespace cypressford {

/// Outcome of a call.
enum class CallStatus : unsigned char {
    Answered, ///< a complete answer was read
    NotSent, ///< no connection, so nothing was sent
    Lost, ///< something was sent, but no complete answer was received
    Withheld, ///< `may_send` returned false, so nothing was sent
};

/// What marks the end of an answer's body (RFC 9112, 6.3).
enum class BodyFraming : unsigned char {
    Unknown, ///< no head was read
    Length,
    Chunks,
    Connection ///< the answer ends with its connection
};

std::string_view to_string(BodyFraming framing);

struct CallResult {
    CallStatus status = CallStatus::NotSent;
    HttpResponse response;
    /// Lost because the remote side closed or reset the connection, and not because of a
    /// limit, a cancellation, a malformed answer or the end of an intermediate.
    bool closed_by_peer = false;
    BodyFraming framing = BodyFraming::Unknown;
    boost::system::error_code error {}; ///< that ended a lost call, if one did
    std::string via {}; ///< address of the intermediate; empty: none
    /// Number of the connection within its client; 0: none.
    std::uint64_t connection = 0;
};

/// Result of a connection attempt to an address.
enum class PortState : unsigned char {
    Open, ///< a process listens on the port
    Refused, ///< the node responds, but no process listens on the port
    Unresponsive ///< no response in time: the node or the route to it may be down
};

std::string_view to_string(PortState state);

/// Opens a connection to the address and closes it.
boost::asio::awaitable<PortState> probe_port(boost::asio::io_context& io,
                                             std::string address, std::int64_t deadline_us);

/// A connection that a Connector is to open.
struct ConnectRequest {
    std::string address; ///< "ip:port"
    std::int64_t direct_deadline_us = 0; ///< for a direct connection
    std::int64_t deadline_us = 0; ///< for all ways together
    std::function<bool()> is_cancelled;
};

/// How a connection was opened.
struct ConnectResult {
    bool connected = false;
    std::string via; ///< address of the intermediate; empty: a direct connection
    bool is_target_down = false; ///< an intermediate found that no way leads to the address
    TunnelForm form = TunnelForm::Bytes; ///< of a connection through an intermediate
};

/// Opens the connections of an HttpClient, for callers that can reach an address in several
/// ways.  Lives on the client's thread.
class Connector {
public:
    virtual ~Connector() = default;

    /// Connects the socket, which may be closed and opened again meanwhile.
    virtual boost::asio::awaitable<ConnectResult>
    connect(boost::asio::ip::tcp::socket& socket, ConnectRequest request) = 0;

    /// False if an idle connection that was opened that way is not to be used now.
    virtual bool may_reuse(const std::string& via) const = 0;
    /// The remote side has begun to answer on a direct connection.
    virtual void record_answer() = 0;
    /// A call on a reused direct connection got no byte for kSilenceUs, or was given up
    /// without one.
    virtual void on_silence(const std::string& address) = 0;
    virtual void on_closed(const std::string& via) = 0;

    /// Several round trips between halls; less than most callers wait for an answer.
    static constexpr std::int64_t kSilenceUs = 400'000;
};

/// Allows another coroutine on the same thread to cancel or pause a call.
class CallHandle {
public:
    void cancel()
    {
        m_cancelled = true;
        if (m_abort)
            m_abort();
    }
    bool cancelled() const { return m_cancelled; }

    /// `may_read` is asked before each read of the answer's body, and again every 20 ms
    /// while it returns false, until the call is cancelled or reaches its deadline.
    void pause_unless(std::function<bool()> may_read) { m_may_read = std::move(may_read); }

private:
    friend class HttpClient;
    bool is_paused() const { return !m_cancelled && m_may_read && !m_may_read(); }

    std::function<bool()> m_may_read; ///< empty: always
    std::function<void()> m_abort;
    bool m_cancelled = false;
};

/// Time limits for the body of an answer.  A single limit for the whole body would cut off
/// large bodies on slow links and make them start over (275 of 314 transfers of a
/// configuration of 836 kB with 0.8 s, 10 Mbit/s), so received bytes keep the call alive.
struct BodyTimeouts {
    std::int64_t gap_us = 0; ///< max. time between bytes; 0: deadline_us covers the body
    std::int64_t limit_us = 0; ///< for the whole body, against a sender that trickles bytes
};

/// For answers whose size grows with the deployment: the largest accepted answer (8 MB)
/// needs 6.7 s on a link of 10 Mbit/s.  The gap tolerates two losses of one packet, which
/// are retransmitted after 0.2 and 0.4 s.
constexpr BodyTimeouts kLargeBodyTimeouts {800'000, 10'000'000};

/// What becomes of a complete answer and of its connection.
enum class AnswerUse : unsigned char {
    Take,
    TakeAndClose, ///< the connection is not used again
    /// It answers an earlier call: the next answer is awaited, and the connection is not
    /// used again.
    Skip
};

/// What an answer's head says about the call that it answers.
enum class HeadUse : unsigned char {
    Take,
    Skip, ///< it answers an earlier call; as for AnswerUse
    Refuse ///< the call is lost
};

struct CallOptions {
    std::int64_t deadline_us = 0; ///< point in time, monotonic microseconds
    BodyTimeouts body;
    bool fresh_connection = false; ///< never use an idle connection
    /// Numbers of connections that are not used, as in CallResult::connection.
    std::vector<std::uint64_t> avoided_connections;
    /// Resend once, on a new connection, if an idle connection turns out to be closed.
    bool resend_if_stale = true;
    bool send_clock = true; ///< add a stamp of this process's hybrid clock
    /// Connections that have been idle for longer are not used; 0: no limit.
    std::int64_t max_idle_us = 0;
    std::int64_t connect_deadline_us = 0; ///< point in time; 0: deadline_us
    std::shared_ptr<CallHandle> handle;
    /// Called right before the first byte is sent, once the connection is established;
    /// false withholds the call.
    std::function<bool()> may_send;
    /// Receives the status and header fields of every answer, including an answer to
    /// another call and one that breaks off later, and the time at which the connection was
    /// established (monotonic microseconds).
    std::function<void(const HttpResponse&, std::int64_t connected_us)> on_answer;
    /// Judges an answer by its head, which may name its call; empty: Take.
    std::function<HeadUse(const HttpResponse&)> judge_head;
    /// Judges a complete answer, for answers without an id of their call; empty: Take.
    std::function<AnswerUse(const HttpResponse&)> judge_answer;
    /// Receives the status and header fields of a 200 before the first chunk of its body.
    std::function<void(const HttpResponse&)> on_head;
    /// Receives the body chunk by chunk if the status is 200; `body` then stays empty.
    std::function<void(std::string_view)> on_chunk;
};

/// Not thread-safe: each thread needs its own client.
class HttpClient {
public:
    /// `connector`: null for direct connections only; must outlive the client.
    explicit HttpClient(boost::asio::io_context& io, Connector* connector = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    boost::asio::awaitable<CallResult> call(std::string address, HttpRequest request,
                                            CallOptions options);

    /// Closes all idle connections.
    void close_idle();

private:
    class Connection;
    struct Impl;

    boost::asio::awaitable<CallResult>
    attempt(Connection& connection, const HttpRequest& request, const CallOptions& options);
    boost::asio::awaitable<bool> open(Connection& connection, const CallOptions& options);
    std::unique_ptr<Connection> take_idle(const std::string& address,
                                          const CallOptions& options);
    void close_unusable_idle();
    void store_if_reusable(const std::string& address,
                           std::unique_ptr<Connection> connection);

    boost::asio::io_context& m_io;
    Connector* const m_connector;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_idle;
    std::int64_t m_idle_checked_us = 0;
    std::uint64_t m_connections = 0; ///< number of the last one
};

} // namespace cypressford
