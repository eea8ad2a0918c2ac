// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls that end at this side in the middle of an answer's body.
///
/// Failure guarded against: an answer that only its connection ends is taken for complete
/// because this side closed the connection: the other call of a hedge won, the caller has
/// gone, a limit was reached, or bytes of an answer that has ended were not read yet.

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "boot_clock.h"
#include "http_client.h"
#include "hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t kShortUs = 100'000;
constexpr std::int64_t kLongUs = 5'000'000;
/// More than the client reads at once, so that bytes are left when a call ends.
constexpr std::size_t kEvents = 4096;
const std::string kEvent = "id: 1\ndata: warm\n\n";
const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// How a call ends at this side.
enum class Cause : unsigned char {
    None, ///< it is read to its end
    CancelledByChunk, ///< while the first chunk is passed on
    CancelledInRead, ///< while the next bytes are awaited
    CancelledInPause, ///< while the caller reads nothing
    Deadline,
    Gap, ///< the longest time between bytes
    Limit ///< the longest time for the body
};

/// Answers one call with `body`, and closes the connection or keeps it open.
asio::awaitable<void>
serve(tcp::acceptor& acceptor, std::string body, bool closes)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    kToTuple);
    const std::string answer = kHead + body;
    co_await asio::async_write(socket, asio::buffer(answer), kToTuple);
    if (closes)
        co_return;
    // The connection stays open until the client closes it.
    request.clear();
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    kToTuple);
}

asio::awaitable<void>
cancel_later(std::shared_ptr<CallHandle> handle)
{
    BootTimer timer(co_await asio::this_coro::executor,
                    std::chrono::microseconds(kShortUs));
    co_await timer.async_wait(kToTuple);
    handle->cancel();
}

CallOptions
options_for(Cause cause, const std::shared_ptr<CallHandle>& handle)
{
    CallOptions options;
    options.handle = handle;
    options.resend_if_stale = false;
    options.deadline_us = monotonic_us() + (cause == Cause::Deadline ? kShortUs : kLongUs);
    if (cause == Cause::Gap)
        options.body = {kShortUs, kLongUs};
    if (cause == Cause::Limit)
        options.body = {kLongUs, kShortUs};
    if (cause == Cause::CancelledInPause)
        handle->pause_unless([] { return false; });
    return options;
}

/// Calls a server that sends `body`; `streams`: the body is passed on chunk by chunk.
CallResult
call_ended_by(Cause cause, const std::string& body, bool closes, bool streams)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(io, serve(acceptor, body, closes), asio::detached);
    HttpClient client(io);
    CallResult result;
    const auto handle = std::make_shared<CallHandle>();
    CallOptions options = options_for(cause, handle);
    if (streams)
        options.on_chunk = [&](std::string_view) {
            if (cause == Cause::CancelledByChunk)
                handle->cancel();
        };
    if (cause == Cause::CancelledInRead || cause == Cause::CancelledInPause)
        asio::co_spawn(io, cancel_later(handle), asio::detached);
    const std::string address
        = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            result = co_await client.call(address, std::move(request), options);
            io.stop();
        },
        asio::detached);
    io.run();
    return result;
}

void
check_lost(Cause cause, const std::string& body, bool closes, bool streams)
{
    CAPTURE(static_cast<int>(cause));
    CAPTURE(body.size());
    CAPTURE(closes);
    CAPTURE(streams);
    const CallResult result = call_ended_by(cause, body, closes, streams);
    CHECK(result.status == CallStatus::Lost);
    CHECK(result.framing == BodyFraming::Connection);
    CHECK_FALSE(result.closed_by_peer);
}

std::string
many_events()
{
    std::string body;
    for (std::size_t i = 0; i < kEvents; ++i)
        body += kEvent;
    return body;
}

TEST_CASE("an answer that its connection ends is whole if this side reads to its end")
{
    const CallResult result = call_ended_by(Cause::None, kEvent, true, false);
    CHECK(result.status == CallStatus::Answered);
    CHECK(result.framing == BodyFraming::Connection);
    CHECK(result.response.body == kEvent);
}

TEST_CASE("a call that this side ends at an event's end is lost")
{
    for (const Cause cause :
         {Cause::CancelledInRead, Cause::CancelledInPause, Cause::Deadline, Cause::Gap})
        for (const bool streams : {false, true})
            check_lost(cause, kEvent, false, streams);
    check_lost(Cause::CancelledByChunk, kEvent, false, true);
    check_lost(Cause::Limit, kEvent, false, true);
}

TEST_CASE("a call that is cancelled is lost even if the answer has ended and is not read")
{
    for (const std::string& body : {kEvent, many_events()}) {
        check_lost(Cause::CancelledByChunk, body, true, true);
        check_lost(Cause::CancelledInPause, body, true, true);
        check_lost(Cause::CancelledInPause, body, true, false);
    }
}

} // namespace
} // namespace cypressford
