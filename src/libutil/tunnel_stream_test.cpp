// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Answers through tunnels.
///
/// Failure guarded against: an answer that only the end of its connection ends, and that
/// the upstream resets or whose intermediate is killed, is taken for complete.

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http_client.h"
#include "hybrid_clock.h"
#include "splice.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t kDeadlineUs = 2'000'000;
constexpr std::string_view kUntilClose = "HTTP/1.1 200 OK\r\n\r\nabc";
constexpr std::string_view kOfLength4 = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc";

std::string
frame(TunnelFrame type, std::string_view bytes = {})
{
    const TunnelHead head = tunnel_head(type, bytes.size());
    return std::string(head.begin(), head.end()).append(bytes);
}

std::string
data_frame(std::string_view bytes)
{
    return frame(TunnelFrame::Data, bytes);
}

void
reset(tcp::socket& socket)
{
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

/// Connects each call to an intermediate that sends the given bytes and ends its
/// connection.
class ScriptedTunnel final : public Connector {
public:
    ScriptedTunnel(TunnelForm form, std::string bytes)
        : m_form(form)
        , m_bytes(std::move(bytes))
        , m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_client(m_io, this)
    {
        asio::co_spawn(m_io, serve(), asio::detached);
    }

    CallResult call()
    {
        CallResult result;
        asio::co_spawn(
            m_io,
            [&]() -> asio::awaitable<void> {
                CallOptions options;
                options.deadline_us = monotonic_us() + kDeadlineUs;
                HttpRequest request;
                result = co_await m_client.call(m_address, std::move(request), options);
                m_io.stop();
            },
            asio::detached);
        m_io.run();
        m_io.restart();
        return result;
    }

    asio::awaitable<ConnectResult> connect(tcp::socket& socket,
                                           ConnectRequest /*request*/) override
    {
        ++connects;
        co_await socket.async_connect(m_acceptor.local_endpoint(), asio::use_awaitable);
        co_return ConnectResult {true, m_address, false, m_form};
    }
    bool may_reuse(const std::string& /*via*/) const override { return true; }
    void record_answer() override { }
    void on_silence(const std::string& /*address*/) override { }
    void on_closed(const std::string& /*via*/) override { }

    bool stays_open = false;
    bool one_by_one = false; ///< sends one byte at a time
    bool resets = false;
    int connects = 0;

private:
    asio::awaitable<void> serve()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_io, serve_one(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve_one(tcp::socket socket)
    {
        socket.set_option(tcp::no_delay(true));
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        kToTuple);
        const std::size_t step = one_by_one ? 1 : m_bytes.size();
        for (std::size_t at = 0; at < m_bytes.size(); at += step)
            co_await asio::async_write(socket, asio::buffer(m_bytes.data() + at, step),
                                       kToTuple);
        char byte = 0;
        if (stays_open)
            co_await asio::async_read(socket, asio::buffer(&byte, 1), kToTuple);
        if (resets)
            reset(socket);
    }

    const TunnelForm m_form;
    const std::string m_bytes;
    const std::string m_address = "127.0.0.1:1"; ///< nothing is sent there
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    HttpClient m_client;
};

/// An upstream that sends `text` and ends in some way, behind splice().
class Spliced {
public:
    enum End : unsigned char { Close, Reset, PeerCloses };

    /// All bytes that the peer gets.
    std::string run(TunnelForm form, End end, std::string text, std::string request = "x")
    {
        std::string got;
        asio::co_spawn(m_io, splice_one(form), asio::detached);
        asio::co_spawn(m_io, answer_one(end, std::move(text)), asio::detached);
        asio::co_spawn(m_io, read_all(got, end, std::move(request)), asio::detached);
        m_io.run_for(std::chrono::seconds(2));
        CHECK(is_over);
        return got;
    }

    bool is_over = false; ///< both connections are closed

private:
    asio::awaitable<void> splice_one(TunnelForm form)
    {
        tcp::socket peer = co_await m_intermediate.async_accept(asio::use_awaitable);
        tcp::socket upstream(m_io);
        co_await upstream.async_connect(m_upstream.local_endpoint(), asio::use_awaitable);
        co_await splice(peer, upstream, form);
        is_over = !peer.is_open() && !upstream.is_open();
    }

    asio::awaitable<void> answer_one(End end, std::string text)
    {
        tcp::socket socket = co_await m_upstream.async_accept(asio::use_awaitable);
        char byte = 0;
        co_await asio::async_read(socket, asio::buffer(&byte, 1), kToTuple);
        co_await asio::async_write(socket, asio::buffer(text), kToTuple);
        if (end == PeerCloses)
            co_await asio::async_read(socket, asio::buffer(&byte, 1), kToTuple);
        if (end == Reset)
            reset(socket);
    }

    asio::awaitable<void> read_all(std::string& got, End end, std::string request)
    {
        tcp::socket socket(m_io);
        co_await socket.async_connect(m_intermediate.local_endpoint(), asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(request), kToTuple);
        std::array<char, 1024> buffer {};
        for (;;) {
            auto [ec, size]
                = co_await socket.async_read_some(asio::buffer(buffer), kToTuple);
            if (ec)
                break;
            got.append(buffer.data(), size);
            if (end == PeerCloses)
                break;
        }
    }

    asio::io_context m_io;
    tcp::acceptor m_upstream {m_io, {asio::ip::make_address("127.0.0.1"), 0}};
    tcp::acceptor m_intermediate {m_io, {asio::ip::make_address("127.0.0.1"), 0}};
};

} // namespace

TEST_CASE("an answer that its connection ends is whole only if the upstream ended it")
{
    const std::string part = data_frame(kUntilClose);
    ScriptedTunnel ended(TunnelForm::Frames, part + frame(TunnelFrame::End));
    const CallResult whole = ended.call();
    CHECK(whole.status == CallStatus::Answered);
    CHECK(whole.response.body == "abc");
    CHECK(whole.framing == BodyFraming::Connection);

    ScriptedTunnel was_reset(TunnelForm::Frames, part + frame(TunnelFrame::Reset));
    const CallResult reset_result = was_reset.call();
    CHECK(reset_result.status == CallStatus::Lost);
    CHECK(reset_result.closed_by_peer);

    for (const bool resets : {false, true}) {
        ScriptedTunnel killed(TunnelForm::Frames, part);
        killed.resets = resets;
        const CallResult cut = killed.call();
        CHECK(cut.status == CallStatus::Lost);
        CHECK_FALSE(cut.closed_by_peer);
    }
}

TEST_CASE("a tunnel without frames does not tell how the upstream ended")
{
    for (const std::string_view text : {kUntilClose, kOfLength4}) {
        ScriptedTunnel tunnel(TunnelForm::Bytes, std::string(text));
        const CallResult result = tunnel.call();
        CHECK(result.status == CallStatus::Lost);
        CHECK_FALSE(result.closed_by_peer);
    }
    ScriptedTunnel whole(TunnelForm::Bytes, std::string(kOfLength4) + "d");
    CHECK(whole.call().status == CallStatus::Answered);
}

TEST_CASE("only an end at the upstream itself is an end by the upstream")
{
    ScriptedTunnel ended(TunnelForm::Frames,
                         data_frame(kOfLength4) + frame(TunnelFrame::End));
    CHECK(ended.call().closed_by_peer);
    ScriptedTunnel killed(TunnelForm::Frames, data_frame(kOfLength4));
    CHECK_FALSE(killed.call().closed_by_peer);
    ScriptedTunnel no_head(TunnelForm::Frames, frame(TunnelFrame::End));
    CHECK(no_head.call().closed_by_peer);
    ScriptedTunnel nothing(TunnelForm::Frames, "");
    CHECK_FALSE(nothing.call().closed_by_peer);
}

TEST_CASE("an answer may be divided among frames in any way")
{
    std::string bytes;
    for (const char& byte : kUntilClose)
        bytes += data_frame(std::string_view(&byte, 1));
    for (const bool one_by_one : {false, true}) {
        ScriptedTunnel tunnel(TunnelForm::Frames, bytes + frame(TunnelFrame::End));
        tunnel.one_by_one = one_by_one;
        const CallResult result = tunnel.call();
        CHECK(result.status == CallStatus::Answered);
        CHECK(result.response.body == "abc");
    }
}

TEST_CASE("malformed frames end the call, and convict no request")
{
    const std::string part = data_frame(kUntilClose);
    for (const std::string& bad : {std::string("\x03\0\0", 3), std::string("\x01\0\1", 3),
                                   std::string("\x02\1\0", 3), std::string("\0\0\0", 3),
                                   std::string("\xff\xff\xff", 3), std::string("\x01\0", 2),
                                   std::string("\0\0\5ab", 5)}) {
        ScriptedTunnel tunnel(TunnelForm::Frames, part + bad);
        const CallResult result = tunnel.call();
        CHECK(result.status == CallStatus::Lost);
        CHECK_FALSE(result.closed_by_peer);
    }
}

TEST_CASE("a tunnel is reused only between frames and while the upstream's side is open")
{
    const std::string whole = std::string(kOfLength4) + "d";
    const std::string unfinished = data_frame(whole + "rest");
    for (const std::string& bytes : {data_frame(whole) + frame(TunnelFrame::End),
                                     unfinished.substr(0, unfinished.size() - 4)}) {
        ScriptedTunnel tunnel(TunnelForm::Frames, bytes);
        tunnel.stays_open = true;
        for (int i = 1; i <= 2; ++i) {
            const CallResult result = tunnel.call();
            INFO(result.error.message());
            CHECK(result.status == CallStatus::Answered);
            CHECK(tunnel.connects == i);
        }
    }
}

TEST_CASE("the frames of a tunnel tell how the upstream ended")
{
    CHECK(Spliced().run(TunnelForm::Frames, Spliced::Close, "abc")
          == data_frame("abc") + frame(TunnelFrame::End));
    CHECK(Spliced()
              .run(TunnelForm::Frames, Spliced::Reset, "abc")
              .ends_with(frame(TunnelFrame::Reset)));
    CHECK(Spliced().run(TunnelForm::Frames, Spliced::PeerCloses, "abc")
          == data_frame("abc"));
    CHECK(Spliced().run(TunnelForm::Bytes, Spliced::Close, "abc") == "abc");
}

TEST_CASE("a reset in the middle of a request is told as a reset")
{
    // More than the buffers of both connections hold, so that a write meets the reset.
    const std::string request(16UL * 1024 * 1024, 'x');
    const std::string got = Spliced().run(TunnelForm::Frames, Spliced::Reset, "", request);
    CHECK(got.find(frame(TunnelFrame::End)) == std::string::npos);
}

} // namespace cypressford
