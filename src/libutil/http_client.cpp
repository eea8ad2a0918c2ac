// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>

#include <netinet/tcp.h>

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

namespace cypressford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdlePerAddress = 64; ///< connections
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
/// Bytes of an answer that are buffered until they are parsed.  Bounds what has to arrive
/// as a whole and has no limit of its own: a chunk's size with its extensions, and
/// trailers.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/// Interim answers of one call.
constexpr int kMaxInterimAnswers = 16;
/// Answers to earlier calls that one call may get before its own.
constexpr int kMaxSkippedAnswers = 1;
constexpr std::size_t kChunkBytes = 8 * 1024;
/// Interval of the checks whether a paused body may be read on; see
/// CallHandle::pause_unless(). A pause serves to keep tens of kilobytes from growing, which
/// 20 ms do not change.
constexpr std::chrono::milliseconds kPauseInterval {20};
/// TCP_USER_TIMEOUT: data that stays unacknowledged for this time aborts the connection.
constexpr int kUserTimeoutMs = 3000;

/// A connector may take this time longer to find another way than a direct connection may.
constexpr std::int64_t kOtherWaysUs = 600'000;
/// Interval of the checks whether idle connections may still be used.
constexpr std::int64_t kIdleCheckIntervalUs = 500'000;

constexpr std::string_view kTimeoutField = "timeout=";
/// Longer announcements count as this: a day.
constexpr std::int64_t kMaxKeepAliveSeconds = 86'400;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

BootClock::time_point
time_point_of(std::int64_t monotonic)
{
    return BootClock::time_point(BootClock::duration(monotonic));
}

http::request<http::string_body>
to_beast(const std::string& host, const HttpRequest& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (request.headers.get("Host").empty())
        message.set(http::field::host, host);
    for (const auto& [name, value] : request.headers.fields())
        message.insert(name, value);
    message.body() = request.body;
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

template <class Message>
HttpResponse
head_of(const Message& message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.content_type = std::string(message[http::field::content_type]);
    for (const auto& field : message)
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    return response;
}

/// True for an error that occurs only if the remote side closes or resets the connection.
bool
is_close(const boost::system::error_code& ec)
{
    return ec == asio::error::eof || ec == asio::error::connection_reset
        || ec == asio::error::broken_pipe || ec == asio::error::connection_aborted
        || ec == http::error::end_of_stream || ec == http::error::partial_message;
}

/// Name of the bound that a message has passed; empty for any other error.
std::string_view
bound_of(const boost::system::error_code& ec)
{
    if (ec == http::error::header_limit)
        return "header";
    if (ec == http::error::body_limit)
        return "body";
    return ec == http::error::buffer_overflow ? "unparsed" : "";
}

using AnswerParser = http::response_parser<http::buffer_body>;

BodyFraming
framing_of(const AnswerParser& parser)
{
    if (parser.chunked())
        return BodyFraming::Chunks;
    return parser.need_eof() ? BodyFraming::Connection : BodyFraming::Length;
}

CallResult
lost(const boost::system::error_code& ec, HttpResponse response = {})
{
    CallResult result {CallStatus::Lost, std::move(response), is_close(ec)};
    result.error = ec;
    return result;
}

} // namespace

std::string_view
to_string(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    case BodyFraming::Unknown:
        break;
    }
    return "unknown";
}

std::string_view
to_string(PortState state)
{
    switch (state) {
    case PortState::Open:
        return "open";
    case PortState::Refused:
        return "refused";
    case PortState::Unresponsive:
        break;
    }
    return "silent";
}

asio::awaitable<PortState>
probe_port(asio::io_context& io, std::string address, std::int64_t deadline_us)
{
    const Address parsed = parse_address(address);
    if (parsed.ip.empty())
        co_return PortState::Unresponsive;
    const tcp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    tcp::socket socket(io);
    SocketWatchdog watchdog(socket, SocketWatchdog::Action::Close);
    watchdog.arm(time_point_of(deadline_us));
    auto [ec] = co_await socket.async_connect(endpoint, kToTuple);
    if (!ec)
        co_return PortState::Open;
    const bool refused
        = ec == asio::error::connection_refused || ec == asio::error::connection_reset;
    co_return refused ? PortState::Refused : PortState::Unresponsive;
}

class HttpClient::Connection {
public:
    Connection(asio::io_context& io, std::string address, Connector* connector,
               std::uint64_t number)
        : m_number(number)
        , m_socket(io)
        , m_stream(m_socket)
        , m_watchdog(m_socket, SocketWatchdog::Action::Close)
        , m_silence(io)
        , m_address(std::move(address))
        , m_connector(connector)
    {
    }
    ~Connection()
    {
        if (is_tunnel())
            m_connector->on_closed(m_via);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    asio::awaitable<bool> connect()
    {
        const Address address = parse_address(m_address);
        if (address.ip.empty())
            co_return false;
        const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        auto [ec] = co_await m_socket.async_connect(endpoint, kToTuple);
        if (ec)
            co_return false;
        on_connected();
        co_return true;
    }

    asio::awaitable<bool> connect_by_connector(std::int64_t direct_deadline,
                                               std::int64_t deadline)
    {
        if (parse_address(m_address).ip.empty())
            co_return false;
        ConnectRequest request {m_address, direct_deadline, deadline,
                                [this] { return m_aborted; }};
        ConnectResult result = co_await m_connector->connect(m_socket, std::move(request));
        if (!result.connected)
            co_return false;
        m_via = std::move(result.via);
        if (is_tunnel())
            m_stream.set_tunnel(result.form);
        on_connected();
        co_return true;
    }

    void set_deadline(std::int64_t deadline) { m_watchdog.arm(time_point_of(deadline)); }
    void clear_deadline() { m_watchdog.disarm(); }
    void abort()
    {
        m_aborted = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    std::uint64_t number() const { return m_number; }
    bool is_avoided(const CallOptions& options) const
    {
        const auto& avoided = options.avoided_connections;
        return std::find(avoided.begin(), avoided.end(), m_number) != avoided.end();
    }
    const std::string& via() const { return m_via; }
    bool is_tunnel() const { return !m_via.empty(); }
    bool reusable() const { return m_reusable; }
    void mark_idle() { m_idle_since_us = monotonic_us(); }
    /// True if neither the idle limit of the call nor the remote keep-alive has expired.
    bool is_fresh(const CallOptions& options) const
    {
        const std::int64_t now = monotonic_us();
        const bool within_limit
            = options.max_idle_us == 0 || now - m_idle_since_us <= options.max_idle_us;
        return within_limit && (m_keep_until_us == 0 || now < m_keep_until_us);
    }
    bool got_bytes() const { return m_got_bytes; }

    /// True if the remote side has closed an idle connection.
    bool is_stale()
    {
        boost::system::error_code ec;
        m_socket.non_blocking(true, ec);
        char byte = 0;
        m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec != asio::error::would_block;
    }

    asio::awaitable<CallResult> exchange(const HttpRequest& request,
                                         const CallOptions& options)
    {
        m_reusable = false;
        m_got_bytes = false;
        if (options.may_send && !options.may_send())
            co_return CallResult {CallStatus::Withheld, {}, false};
        const auto message = to_beast(m_address, request);
        auto [write_error, written]
            = co_await http::async_write(m_socket, message, kToTuple);
        // The bytes towards the upstream have no frames, so that such an error does not
        // tell which of the two connections has failed.
        if (write_error)
            co_return lost(is_tunnel() ? TunnelDecoder::error_of(write_error)
                                       : write_error);
        CallResult result;
        for (int skipped = 0; skipped <= kMaxSkippedAnswers; ++skipped) {
            const AnswerUse use = co_await read_answer(options, result);
            if (use == AnswerUse::Skip)
                continue;
            m_reusable = m_reusable && use == AnswerUse::Take && skipped == 0;
            co_return result;
        }
        m_reusable = false;
        co_return lost({}, std::move(result.response));
    }

private:
    void on_connected()
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.set_option(UserTimeout(kUserTimeoutMs), ignored);
        m_connected_us = monotonic_us();
    }

    /// A new connection has just shown that the link works.
    bool is_reused_direct() const
    {
        return m_connector && !is_tunnel() && m_idle_since_us != 0;
    }

    void watch_silence()
    {
        m_exchange_began_us = monotonic_us();
        if (!is_reused_direct())
            return;
        m_silence.expires_after(std::chrono::microseconds(Connector::kSilenceUs));
        m_silence.async_wait([connector = m_connector, address = m_address](auto ec) {
            if (!ec)
                connector->on_silence(address);
        });
    }

    void report_to_connector()
    {
        const bool waited = monotonic_us() - m_exchange_began_us >= Connector::kSilenceUs;
        if (m_connector && !is_tunnel() && m_got_bytes)
            m_connector->record_answer();
        else if (is_reused_direct() && waited)
            m_connector->on_silence(m_address);
    }

    /// End of the remote side's announced keep-alive, with a margin; 0: not announced.
    static std::int64_t keep_until(const HttpResponse& response)
    {
        const std::string_view text = response.headers.get("Keep-Alive");
        const std::size_t at = text.find(kTimeoutField);
        if (at == std::string_view::npos)
            return 0;
        std::int64_t seconds = 0;
        const char* first = text.data() + at + kTimeoutField.size();
        std::from_chars(first, text.data() + text.size(), seconds);
        seconds = std::clamp<std::int64_t>(seconds, 0, kMaxKeepAliveSeconds);
        return monotonic_us() + seconds * kMicrosPerSecond * 4 / 5;
    }

    /// Reads one answer.  Anything but Skip ends the call.
    asio::awaitable<AnswerUse> read_answer(const CallOptions& options, CallResult& result)
    {
        std::optional<AnswerParser> parser;
        const auto head_error = co_await read_head(parser);
        if (head_error) {
            result = lost(head_error);
            co_return AnswerUse::Take;
        }
        result = lost({}, head_of(parser->get()));
        result.framing = framing_of(*parser);
        if (const std::string_view fault = answer_fault(result.response); !fault.empty()) {
            LogEvent("answer_refused", LogLevel::Warn)
                .kv("upstream", m_address)
                .kv("fault", fault);
            co_return AnswerUse::Take;
        }
        if (options.on_answer)
            options.on_answer(result.response, m_connected_us);
        const HeadUse head_use
            = options.judge_head ? options.judge_head(result.response) : HeadUse::Take;
        if (head_use == HeadUse::Refuse)
            co_return AnswerUse::Take;
        const bool is_streamed = head_use == HeadUse::Take && result.response.status == 200;
        if (is_streamed && options.on_head)
            options.on_head(result.response);
        const auto body_error
            = co_await read_body(*parser, options, is_streamed, result.response);
        result.closed_by_peer = is_close(body_error);
        result.error = body_error;
        if (body_error)
            co_return AnswerUse::Take;
        if (head_use == HeadUse::Skip) {
            result = lost({});
            co_return AnswerUse::Skip;
        }
        result.status = CallStatus::Answered;
        // Bytes after a complete answer belong to no request of this client.
        m_reusable
            = parser->keep_alive() && m_buffer.size() == 0 && m_stream.is_between_frames();
        m_keep_until_us = keep_until(result.response);
        co_return options.judge_answer ? options.judge_answer(result.response)
                                       : AnswerUse::Take;
    }

    /// Reads the head of the final answer.  Interim answers are dropped (RFC 9110, 15.2).
    asio::awaitable<boost::system::error_code>
    read_head(std::optional<AnswerParser>& parser)
    {
        watch_silence();
        boost::system::error_code error = http::error::bad_status;
        for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
            parser.emplace();
            parser->body_limit(kMaxAnswerBytes);
            auto [ec, read]
                = co_await http::async_read_header(m_stream, m_buffer, *parser, kToTuple);
            error = ec;
            if (interim == 0) {
                m_silence.cancel();
                m_got_bytes = m_buffer.size() > 0 || parser->got_some();
                report_to_connector();
            }
            if (ec || !is_interim(parser->get().result_int()))
                break;
            error = http::error::bad_status;
        }
        if (!error && !is_final(parser->get().result_int()))
            error = http::error::bad_status;
        log_bound(error);
        co_return error;
    }

    /// No request asks for another protocol, so 101 is no interim answer.
    static bool is_interim(unsigned status)
    {
        constexpr unsigned first = 100;
        constexpr unsigned switching_protocols = 101;
        constexpr unsigned last = 199;
        return status >= first && status <= last && status != switching_protocols;
    }

    static bool is_final(unsigned status)
    {
        constexpr unsigned first = 200;
        constexpr unsigned last = 599;
        return status >= first && status <= last;
    }

    void log_bound(const boost::system::error_code& ec) const
    {
        const std::string_view bound = bound_of(ec);
        if (bound.empty())
            return;
        LogEvent("answer_too_large", LogLevel::Warn)
            .kv("upstream", m_address)
            .kv("bound", bound)
            .kv("buffered_bytes", m_buffer.size());
    }

    asio::awaitable<boost::system::error_code> read_body(AnswerParser& parser,
                                                         const CallOptions& options,
                                                         bool is_streamed,
                                                         HttpResponse& response)
    {
        std::array<char, kChunkBytes> chunk {};
        const std::int64_t until = monotonic_us() + options.body.limit_us;
        while (!parser.is_done()) {
            while (m_socket.is_open() && options.handle->is_paused()) {
                BootTimer timer(m_socket.get_executor(), kPauseInterval);
                co_await timer.async_wait(kToTuple);
            }
            if (options.body.gap_us > 0)
                set_deadline(std::min(until, monotonic_us() + options.body.gap_us));
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            auto [ec, size]
                = co_await http::async_read_some(m_stream, m_buffer, parser, kToTuple);
            const std::size_t got = chunk.size() - parser.get().body().size;
            const std::string_view text(chunk.data(), got);
            if (options.on_chunk && is_streamed)
                options.on_chunk(text);
            else
                response.body += text;
            if (ec && ec != http::error::need_buffer) {
                log_bound(ec);
                co_return ec;
            }
        }
        co_return boost::system::error_code {};
    }

    const std::uint64_t m_number;
    tcp::socket m_socket;
    UpstreamStream m_stream; ///< reads from the socket
    SocketWatchdog m_watchdog;
    BootTimer m_silence; ///< until the first byte of an answer is overdue
    beast::flat_buffer m_buffer {kMaxUnparsedBytes};
    std::string m_address;
    Connector* const m_connector; ///< null: direct connections only
    std::string m_via; ///< address of the intermediate; empty: none
    bool m_aborted = false;
    std::int64_t m_exchange_began_us = 0;
    bool m_reusable = false;
    bool m_got_bytes = false;
    std::int64_t m_connected_us = 0;
    std::int64_t m_idle_since_us = 0;
    std::int64_t m_keep_until_us = 0; ///< 0: not announced
};

HttpClient::HttpClient(asio::io_context& io, Connector* connector)
    : m_io(io)
    , m_connector(connector)
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<CallResult>
HttpClient::call(std::string address, HttpRequest request, CallOptions options)
{
    if (options.send_clock)
        request.headers.add(std::string(kClockHeader),
                            format_stamp(HybridClock::instance().tick()));
    if (!options.handle)
        options.handle = std::make_shared<CallHandle>();
    if (!options.fresh_connection) {
        if (auto idle = take_idle(address, options)) {
            CallResult result = co_await attempt(*idle, request, options);
            const bool is_unresponsive = result.status == CallStatus::Lost
                && !idle->got_bytes() && !options.handle->cancelled();
            // The other idle connections to the address, up to 64, may be dead for the same
            // reason, and each could use up the whole deadline of a later call.
            if (is_unresponsive)
                m_idle.erase(address);
            const bool stale = options.resend_if_stale && result.status == CallStatus::Lost
                && !idle->got_bytes() && !options.handle->cancelled()
                && monotonic_us() < options.deadline_us;
            if (!stale) {
                store_if_reusable(address, std::move(idle));
                co_return result;
            }
        }
    }
    auto connection
        = std::make_unique<Connection>(m_io, address, m_connector, ++m_connections);
    // GCC 12 compiles the end of this coroutine wrongly if the call is in the condition.
    const bool connected = co_await open(*connection, options);
    if (!connected || options.handle->cancelled())
        co_return CallResult {};
    CallResult result = co_await attempt(*connection, request, options);
    store_if_reusable(address, std::move(connection));
    co_return result;
}

asio::awaitable<bool>
HttpClient::open(Connection& connection, const CallOptions& options)
{
    if (options.handle->cancelled())
        co_return false;
    options.handle->m_abort = [&connection] { connection.abort(); };
    const std::int64_t direct = options.connect_deadline_us > 0
        ? std::min(options.connect_deadline_us, options.deadline_us)
        : options.deadline_us;
    const std::int64_t deadline
        = m_connector ? std::min(direct + kOtherWaysUs, options.deadline_us) : direct;
    connection.set_deadline(deadline);
    const bool connected = m_connector
        ? co_await connection.connect_by_connector(direct, deadline)
        : co_await connection.connect();
    options.handle->m_abort = nullptr;
    co_return connected;
}

asio::awaitable<CallResult>
HttpClient::attempt(Connection& connection, const HttpRequest& request,
                    const CallOptions& options)
{
    connection.set_deadline(options.deadline_us);
    options.handle->m_abort = [&connection] { connection.abort(); };
    CallResult result = co_await connection.exchange(request, options);
    options.handle->m_abort = nullptr;
    connection.clear_deadline();
    result.via = connection.via();
    result.connection = connection.number();
    const std::uint64_t stamp = parse_stamp(result.response.headers.get(kClockHeader));
    if (stamp != 0)
        HybridClock::instance().observe(stamp);
    co_return result;
}

std::unique_ptr<HttpClient::Connection>
HttpClient::take_idle(const std::string& address, const CallOptions& options)
{
    close_unusable_idle();
    auto it = m_idle.find(address);
    if (it == m_idle.end())
        return nullptr;
    auto& idle = it->second;
    for (std::size_t at = idle.size(); at-- > 0;) {
        // A direct connection that may not be used during a cut stays for the time after
        // it.
        if (m_connector && !m_connector->may_reuse(idle[at]->via()))
            continue;
        if (idle[at]->is_avoided(options))
            continue;
        auto connection = std::move(idle[at]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (connection->is_fresh(options) && !connection->is_stale())
            return connection;
    }
    return nullptr;
}

/// Closes idle tunnels that may not be used any more, so that the intermediate can stop,
/// and connections that the remote side has closed.
void
HttpClient::close_unusable_idle()
{
    const std::int64_t now = monotonic_us();
    if (!m_connector || now - m_idle_checked_us < kIdleCheckIntervalUs)
        return;
    m_idle_checked_us = now;
    for (auto& [address, idle] : m_idle)
        std::erase_if(idle, [this](const auto& connection) {
            return connection->is_tunnel()
                && (!m_connector->may_reuse(connection->via()) || connection->is_stale());
        });
}

void
HttpClient::store_if_reusable(const std::string& address,
                              std::unique_ptr<Connection> connection)
{
    auto& idle = m_idle[address];
    if (!connection->reusable() || idle.size() >= kMaxIdlePerAddress)
        return;
    connection->mark_idle();
    idle.push_back(std::move(connection));
}

void
HttpClient::close_idle()
{
    m_idle.clear();
}

} // namespace cypressford
