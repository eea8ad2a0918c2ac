// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "http_server.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <set>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "boot_clock.h"
#include "event_log.h"
#include "http_rules.h"
#include "hybrid_clock.h"
#include "socket_watchdog.h"
#include "splice.h"
#include "task.h"

namespace cypressford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kBacklog = 1024;
/// Send buffer of connections whose progress is watched.  Without this limit the system
/// accepted more than 3 MB of an answer of 4 MB for a caller on the same machine that read
/// nothing.  128 KB, doubled by the system, allow 5 MB/s at a round trip of 50 ms.
constexpr int kWatchedSendBuffer = 128 * 1024;
/// Connections accepted in a row.  One at a time, a busy thread accepts one each time it
/// has handled everything else; without a bound, requests in progress wait for all new
/// ones.
constexpr int kAcceptBatch = 16;
/// Bytes of a request that are buffered, beyond its header, until they are parsed.  Bounds
/// what has to arrive as a whole and has no limit of its own: a chunk's size with its
/// extensions, and trailers.
constexpr std::size_t kReadAheadBytes = 64 * 1024;
/// How long, and for how many bytes, a caller may go on sending after a refusal.
constexpr std::chrono::milliseconds kLingerTime {250};
constexpr std::size_t kLingerBytes = 1024 * 1024;
constexpr std::size_t kLingerReadBytes = 8 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Delay before accepting again after a failure such as too many open files.
constexpr std::chrono::milliseconds kAcceptRetryDelay {10};

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// The request without its body.
HttpRequest
head_of(const http::request<http::string_body>& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    return request;
}

HttpRequest
to_plain(http::request<http::string_body>&& message)
{
    HttpRequest request = head_of(message);
    request.body = std::move(message.body());
    return request;
}

BootClock::time_point
time_point_of(std::int64_t monotonic)
{
    return BootClock::time_point(std::chrono::microseconds(monotonic));
}

/// Time for which the newest bytes that arrived on a connection have been waiting, as far
/// as the system tells.
std::int64_t
unread_for_us(tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
        || size
            < offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv))
        return 0;
    constexpr std::int64_t micros_per_ms = 1000;
    return info.tcpi_last_data_recv * micros_per_ms;
}

/// One connection with the request that is being handled on it.
class Connection final : public HttpExchange {
public:
    Connection(tcp::socket socket, const HttpLimits& limits,
               const HttpServer::BodyDeadline& body_deadline)
        : m_socket(std::move(socket))
        , m_limits(limits)
        , m_body_deadline(body_deadline)
    {
    }

    const HttpRequest& request() const override { return m_request; }
    std::int64_t received_at() const override { return m_received_at; }
    void set_write_deadline(std::int64_t at) override { m_write_deadline = at; }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(
            static_cast<http::status>(response.status), 11, std::move(response.body));
        add_fields(message, response);
        message.keep_alive(m_keep_alive);
        message.prepare_payload();
        http::response_serializer<http::string_body> serializer(message);
        m_has_answered = true;
        SocketWatchdog watchdog(m_socket, SocketWatchdog::Action::Cancel);
        boost::system::error_code ec;
        // The limit applies to progress: a large answer may take longer on a slow link.
        while (!ec && !serializer.is_done()) {
            watchdog.arm(write_limit());
            std::size_t size = 0;
            std::tie(ec, size)
                = co_await http::async_write_some(m_socket, serializer, kToTuple);
            if (m_on_progress && size > 0)
                m_on_progress(size);
        }
        watchdog.disarm();
        co_return finish_write(ec);
    }

    asio::awaitable<bool> begin_stream(std::string content_type) override
    {
        HttpResponse head;
        head.content_type = std::move(content_type);
        head.headers.add("Cache-Control", "no-store");
        return begin_stream(std::move(head));
    }

    asio::awaitable<bool> begin_stream(HttpResponse response) override
    {
        http::response<http::empty_body> head(static_cast<http::status>(response.status),
                                              11);
        add_fields(head, response);
        head.keep_alive(m_keep_alive);
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer(head);
        m_has_answered = true;
        SocketWatchdog watchdog(m_socket, SocketWatchdog::Action::Cancel);
        watchdog.arm(write_limit());
        auto [ec, size] = co_await http::async_write_header(m_socket, serializer, kToTuple);
        watchdog.disarm();
        co_return finish_write(ec);
    }

    asio::awaitable<bool> write(std::string_view text) override
    {
        const auto chunk = http::make_chunk(asio::const_buffer(text.data(), text.size()));
        co_return co_await write_all(chunk);
    }

    asio::awaitable<bool> end() override
    {
        co_return co_await write_all(http::make_chunk_last());
    }

    void watch_progress(std::function<void(std::size_t)> on_progress) override
    {
        m_on_progress = std::move(on_progress);
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::send_buffer_size(kWatchedSendBuffer),
                            ignored);
    }

    asio::awaitable<void> tunnel(tcp::socket target, TunnelForm form) override
    {
        std::string head = "HTTP/1.1 200 Connected\r\n";
        if (form == TunnelForm::Frames)
            head.append(kTunnelFormField).append(": ").append(kTunnelFrames).append("\r\n");
        head += "\r\n";
        m_keep_alive = false;
        m_has_answered = true;
        auto [head_error, head_size]
            = co_await asio::async_write(m_socket, asio::buffer(head), kToTuple);
        // Bytes that the caller sent without waiting for the answer.
        auto [error, size] = co_await asio::async_write(target, m_buffer.data(), kToTuple);
        m_buffer.consume(size);
        if (!head_error && !error)
            co_await splice(m_socket, target, form);
    }

    void drop() override { m_keep_alive = false; }

    void abort() override
    {
        m_keep_alive = false;
        boost::system::error_code ignored;
        // Without this option the system keeps unsent bytes for a caller that does not
        // read.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    void watch(std::function<void()> on_disconnect) override
    {
        m_on_disconnect = std::make_shared<std::function<void()>>(std::move(on_disconnect));
        m_socket.async_wait(
            tcp::socket::wait_read, [this, callback = m_on_disconnect](auto ec) {
                if (ec || !*callback)
                    return;
                char byte = 0;
                boost::system::error_code peek;
                m_socket.non_blocking(true, peek);
                m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
                // Available bytes start the next request; end of stream means a disconnect.
                if (peek && peek != asio::error::would_block)
                    std::exchange(*callback, nullptr)();
            });
    }

    /// Ends what applies to one request only, once the handler has returned.
    void stop_watching()
    {
        m_on_progress = nullptr;
        m_write_deadline.reset();
        if (!m_on_disconnect)
            return;
        *m_on_disconnect = nullptr;
        m_on_disconnect.reset();
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }

    enum class ReadResult : unsigned char { Ok, Closed, Refused };

    /// Reads the next request.  For Refused, refusal() returns the kind of error.
    asio::awaitable<ReadResult> read()
    {
        m_has_answered = false;
        SocketWatchdog watchdog(m_socket, SocketWatchdog::Action::Cancel);
        if (m_buffer.size() == 0) {
            m_idle = true;
            watchdog.arm(m_limits.idle_time);
            auto [ec] = co_await m_socket.async_wait(tcp::socket::wait_read, kToTuple);
            m_idle = false;
            if (ec)
                co_return ReadResult::Closed;
        }
        // The limits may have changed while the connection was idle.
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.header_bytes));
        parser.body_limit(m_limits.body_bytes);
        m_buffer.max_size(
            std::max(m_limits.header_bytes + kReadAheadBytes, m_buffer.size()));
        m_received_at = monotonic_us();
        if (m_buffer.size() == 0)
            m_received_at -= unread_for_us(m_socket);
        watchdog.arm(time_point_of(m_received_at) + m_limits.header_time);
        auto [ec, size]
            = co_await http::async_read_header(m_socket, m_buffer, parser, kToTuple);
        if (!ec && !parser.is_done()) {
            watchdog.arm(body_limit(parser));
            if (waits_for_continue(parser.get()))
                std::tie(ec, size) = co_await asio::async_write(
                    m_socket, asio::buffer(kContinue), kToTuple);
            // A cancellation has no effect between two reads, so the limit is also checked.
            while (!ec && !parser.is_done() && !watchdog.fired())
                std::tie(ec, size)
                    = co_await http::async_read_some(m_socket, m_buffer, parser, kToTuple);
        }
        watchdog.disarm();
        if (ec || !parser.is_done())
            co_return refuse(ec, watchdog.fired());
        m_keep_alive = parser.get().keep_alive();
        m_request = to_plain(parser.release());
        if (const std::string_view fault = request_fault(m_request); !fault.empty())
            co_return refuse(ErrorKind::BadRequest, fault);
        co_return ReadResult::Ok;
    }

    /// Reads on for a moment after a refusal, because closing a connection with unread
    /// bytes resets it, and then the caller may lose the refusal (RFC 9112, 9.6).
    asio::awaitable<void> linger()
    {
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        SocketWatchdog watchdog(m_socket, SocketWatchdog::Action::Close);
        watchdog.arm(kLingerTime);
        std::array<char, kLingerReadBytes> bytes {};
        std::size_t total = 0;
        while (!ec && total < kLingerBytes) {
            std::size_t size = 0;
            std::tie(ec, size)
                = co_await m_socket.async_read_some(asio::buffer(bytes), kToTuple);
            total += size;
        }
    }

    ErrorKind refusal() const { return m_refusal; }
    bool keep_alive() const { return m_keep_alive; }
    void set_close() { m_keep_alive = false; }
    /// True if a part of the answer to the present request may have been sent.
    bool has_answered() const { return m_has_answered; }

    void close_if_idle()
    {
        if (!m_idle)
            return;
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }

private:
    /// When a write that makes no progress is cancelled.
    BootClock::time_point write_limit() const
    {
        const BootClock::time_point now = BootClock::now();
        const BootClock::time_point limit = now + m_limits.write_time;
        if (!m_write_deadline)
            return limit;
        const BootClock::time_point deadline = time_point_of(*m_write_deadline);
        const BootClock::time_point overdue
            = std::max<BootClock::time_point>(deadline, now + kOverdueWriteTime);
        return std::min<BootClock::time_point>(
            {limit, overdue, deadline + m_limits.write_time});
    }

    /// True if the caller sends the body only once it is told to (RFC 9110, 10.1.1).
    template <class Message> bool waits_for_continue(const Message& head) const
    {
        return m_buffer.size() == 0 && head.version() >= 11
            && beast::iequals(head[http::field::expect], "100-continue");
    }

    /// When a body that is not complete is refused.
    template <class Parser> BootClock::time_point body_limit(const Parser& parser) const
    {
        const BootClock::time_point limit = BootClock::now() + m_limits.body_time;
        const auto left = parser.content_length_remaining();
        if (!m_body_deadline || (left && *left <= m_buffer.size()))
            return limit;
        const auto deadline = m_body_deadline(head_of(parser.get()), m_received_at);
        return deadline ? std::min<BootClock::time_point>(limit, time_point_of(*deadline))
                        : limit;
    }

    /// Writes with a limit on the time without progress.
    template <class Buffers> asio::awaitable<bool> write_all(Buffers buffers)
    {
        beast::buffers_suffix<Buffers> rest(buffers);
        SocketWatchdog watchdog(m_socket, SocketWatchdog::Action::Cancel);
        boost::system::error_code ec;
        while (!ec && beast::buffer_bytes(rest) > 0) {
            watchdog.arm(write_limit());
            std::size_t size = 0;
            std::tie(ec, size) = co_await m_socket.async_write_some(rest, kToTuple);
            rest.consume(size);
            if (m_on_progress && size > 0)
                m_on_progress(size);
        }
        watchdog.disarm();
        co_return finish_write(ec);
    }

    template <class Message>
    static void add_fields(Message& message, const HttpResponse& response)
    {
        if (!response.content_type.empty())
            message.set(http::field::content_type, response.content_type);
        for (const auto& [name, value] : response.headers.fields())
            message.insert(name, value);
    }

    bool finish_write(const boost::system::error_code& ec)
    {
        if (ec)
            m_keep_alive = false;
        // The system would keep the unsent bytes, and the connection, until the caller
        // reads.
        if (ec && m_write_deadline && monotonic_us() >= *m_write_deadline)
            abort();
        return !ec;
    }

    ReadResult refuse(const boost::system::error_code& ec, bool timed_out)
    {
        m_keep_alive = false;
        if (timed_out)
            m_refusal = ErrorKind::SlowRequest;
        else if (ec == http::error::header_limit || ec == http::error::body_limit
                 || ec == http::error::buffer_overflow)
            m_refusal = ErrorKind::TooLarge;
        else if (ec.category() == make_error_code(http::error::bad_method).category()
                 && ec != http::error::end_of_stream && ec != http::error::partial_message)
            m_refusal = ErrorKind::BadRequest;
        else
            return ReadResult::Closed;
        return refuse(m_refusal, ec.message());
    }

    ReadResult refuse(ErrorKind kind, std::string_view why)
    {
        m_keep_alive = false;
        m_refusal = kind;
        boost::system::error_code ignored;
        LogEvent("request_unread")
            .kv("caller", m_socket.remote_endpoint(ignored).address().to_string())
            .kv("kind", error_row(kind).name)
            .kv("why", why)
            .kv("buffered_bytes", m_buffer.size());
        return ReadResult::Refused;
    }

    tcp::socket m_socket;
    const HttpLimits& m_limits; ///< owned by the server, which may change them
    const HttpServer::BodyDeadline& m_body_deadline; ///< owned by the server; may be empty
    std::int64_t m_received_at = 0;
    std::optional<std::int64_t> m_write_deadline;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    ErrorKind m_refusal = ErrorKind::BadRequest;
    bool m_keep_alive = true;
    bool m_idle = false;
    std::shared_ptr<std::function<void()>> m_on_disconnect; ///< empty once called
    std::function<void(std::size_t)> m_on_progress; ///< empty: progress is not watched
    bool m_has_answered = false;
};

/// Keeps a connection in the server's list while it is served.
class Registered {
public:
    Registered(std::set<Connection*>& connections, Connection& connection)
        : m_connections(connections)
        , m_connection(connection)
    {
        m_connections.insert(&m_connection);
    }
    ~Registered() { m_connections.erase(&m_connection); }
    Registered(const Registered&) = delete;
    Registered& operator=(const Registered&) = delete;

private:
    std::set<Connection*>& m_connections;
    Connection& m_connection;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& io_, HttpLimits limits_, Handler handler_, Refusal refusal_)
        : io(io_)
        , acceptor(io_)
        , limits(limits_)
        , handler(std::move(handler_))
        , refusal(std::move(refusal_))
    {
    }

    asio::awaitable<void> accept_loop()
    {
        auto self = shared_from_this();
        while (acceptor.is_open()) {
            auto [ec, socket] = co_await acceptor.async_accept(kToTuple);
            if (!ec) {
                start(std::move(socket));
                accept_waiting(kAcceptBatch - 1);
                continue;
            }
            if (ec == asio::error::operation_aborted)
                break;
            BootTimer pause(io, kAcceptRetryDelay);
            co_await pause.async_wait(kToTuple);
        }
    }

    /// Accepts up to `most` of the connections in the backlog.
    void accept_waiting(int most)
    {
        boost::system::error_code ec;
        for (; most > 0 && !ec; --most) {
            tcp::socket socket(io);
            acceptor.accept(socket, ec);
            if (!ec)
                start(std::move(socket));
        }
    }

    void start(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        spawn_task(io, "connection", serve(std::move(socket)));
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        auto self = shared_from_this();
        Connection connection(std::move(socket), limits, body_deadline);
        const Registered registered(connections, connection);
        if (static_cast<int>(connections.size()) > limits.connections) {
            connection.set_close();
            co_await connection.respond(refusal(ErrorKind::TooManyConnections));
        } else {
            co_await serve_requests(connection);
        }
    }

    /// An exception of the handler ends its request only.  The caller gets a refusal unless
    /// a part of an answer was sent.
    asio::awaitable<void> handle(Connection& connection)
    {
        std::exception_ptr failure;
        try {
            co_await handler(connection);
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        report_task_failure("request", failure);
        connection.set_close();
        if (connection.has_answered())
            connection.abort();
        else
            co_await connection.respond(refusal(ErrorKind::Internal));
    }

    asio::awaitable<void> serve_requests(Connection& connection)
    {
        while (connection.keep_alive()) {
            const auto result = co_await connection.read();
            if (result == Connection::ReadResult::Closed)
                break;
            if (result == Connection::ReadResult::Refused) {
                co_await connection.respond(refusal(connection.refusal()));
                co_await connection.linger();
                break;
            }
            if (closing)
                connection.set_close();
            co_await handle(connection);
            connection.stop_watching();
            if (closing)
                connection.set_close();
        }
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    HttpLimits limits;
    Handler handler;
    Refusal refusal;
    BodyDeadline body_deadline;
    std::set<Connection*> connections;
    bool closing = false;
};

HttpServer::HttpServer(asio::io_context& io, HttpLimits limits, Handler handler,
                       Refusal refusal)
    : m_impl(std::make_shared<Impl>(io, limits, std::move(handler), std::move(refusal)))
{
}

HttpServer::~HttpServer() = default;

Result<unsigned short>
HttpServer::listen(const Address& address)
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, ec), address.port);
    auto& acceptor = m_impl->acceptor;
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.set_option(ReusePort(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(kBacklog, ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
    if (ec)
        return fail(ErrorKind::Internal, address.ip + ": " + ec.message());
    spawn_restarting_task(m_impl->io, "accept",
                          [impl = m_impl] { return impl->accept_loop(); });
    return acceptor.local_endpoint().port();
}

void
HttpServer::close_after_answers()
{
    m_impl->closing = true;
}

void
HttpServer::stop_accepting()
{
    auto& acceptor = m_impl->acceptor;
    boost::system::error_code ec;
    acceptor.cancel(ec);
    m_impl->accept_waiting(std::numeric_limits<int>::max());
    acceptor.close(ec);
}

void
HttpServer::close_idle()
{
    for (Connection* connection : m_impl->connections)
        connection->close_if_idle();
}

void
HttpServer::set_body_deadline(BodyDeadline body_deadline)
{
    m_impl->body_deadline = std::move(body_deadline);
}

void
HttpServer::set_limits(const HttpLimits& limits)
{
    m_impl->limits = limits;
}

int
HttpServer::connections() const
{
    return static_cast<int>(m_impl->connections.size());
}

} // namespace cypressford
