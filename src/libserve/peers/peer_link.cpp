// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/peers/peer_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/silence.h>

#include "libutil/boot_clock.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Micros kConnectTimeout = 250 * kMillisecond;
constexpr Micros kKeepaliveTimeout = 200 * kMillisecond;
/// Longest delay of a request by capacity queries; a thirtieth of a target of 1,500 ms.
constexpr Micros kCapacityTimeout = 50 * kMillisecond;
/// Longest delay of a resumed stream by one round of questions for its origin.
constexpr Micros kOriginTimeout = 150 * kMillisecond;
constexpr int kOk = 200;

/// The decoded answer of the daemon at that address; an error unless its status is 200.
template <class T>
Result<T>
decode_answer(const CallResult& result, const std::string& address,
              Result<T> (*decode)(std::string_view))
{
    if (result.status != CallStatus::Answered || result.response.status != kOk)
        return fail(ErrorKind::UpstreamFailed, address);
    return decode(result.response.body);
}

} // namespace

asio::awaitable<Result<PieceAnswer>>
PeerLink::order(std::string address, PieceOrder order, std::shared_ptr<CallHandle> handle)
{
    HttpRequest request = protobuf_post(kOrderPath, encode(order));
    CallOptions options;
    options.handle = handle;
    options.deadline_us = monotonic_us() + order.time_left;
    options.connect_deadline_us = monotonic_us() + kConnectTimeout;
    m_open_orders[address].insert(handle);
    if (m_watched_addresses.insert(address).second)
        spawn_restarting_task(m_io, "order_watch",
                              [this, address] { return watch(address); });
    const CallResult result
        = co_await m_client.call(address, std::move(request), std::move(options));
    m_open_orders[address].erase(handle);
    co_return decode_answer(result, address, decode_piece_answer);
}

void
PeerLink::cancel_orders(const std::string& address)
{
    const auto open = m_open_orders[address];
    for (const auto& handle : open)
        handle->cancel();
}

/// Sends a message that the peer answers without delay.
asio::awaitable<CallResult>
PeerLink::post(std::string address, const char* path, std::string body, Micros time_limit)
{
    HttpRequest request = protobuf_post(path, std::move(body));
    CallOptions options;
    options.deadline_us = monotonic_us() + time_limit;
    co_return co_await m_client.call(std::move(address), std::move(request),
                                     std::move(options));
}

asio::awaitable<bool>
PeerLink::send_releases(std::string address, Releases releases)
{
    const CallResult result = co_await post(std::move(address), kReleasePath,
                                            encode(releases), kKeepaliveTimeout);
    co_return result.status == CallStatus::Answered&& result.response.status == kOk;
}

asio::awaitable<Result<PlaceAnswer>>
PeerLink::place(std::string address, PlaceQuery query)
{
    const CallResult result
        = co_await post(address, kPlacePath, encode(query), kKeepaliveTimeout);
    co_return decode_answer(result, address, decode_place_answer);
}

asio::awaitable<Result<CapacityVerdicts>>
PeerLink::reserve(std::string address, SetQueries queries)
{
    const CallResult result
        = co_await post(address, kCapacityPath, encode(queries), kCapacityTimeout);
    auto verdicts = decode_answer(result, address, decode_capacity_verdicts);
    if (verdicts && verdicts->size() != queries.size())
        co_return fail(ErrorKind::UpstreamFailed, address);
    co_return verdicts;
}

asio::awaitable<Result<StreamOriginBatch>>
PeerLink::exchange_origins(std::string address, StreamOriginBatch batch)
{
    const CallResult result
        = co_await post(address, kOriginsPath, encode(batch), kOriginTimeout);
    co_return decode_answer(result, address, decode_stream_origins);
}

/// Status of the answer to a keepalive request; 0 for none.
asio::awaitable<int>
PeerLink::keepalive_status(std::string address)
{
    HttpRequest request;
    request.target = kAlivePath;
    CallOptions options;
    options.deadline_us = monotonic_us() + kKeepaliveTimeout;
    const CallResult result
        = co_await m_client.call(address, std::move(request), std::move(options));
    co_return result.status == CallStatus::Answered ? result.response.status : 0;
}

asio::awaitable<bool>
PeerLink::is_alive(std::string address)
{
    const int status = co_await keepalive_status(address);
    co_return status == kOk;
}

asio::awaitable<void>
PeerLink::watch(std::string address)
{
    BootTimer timer(m_io);
    UnresponsiveDetector detector(m_kernel.daemons.load());
    std::optional<Micros> pause = detector.first_interval();
    while (pause) {
        timer.expires_after(std::chrono::microseconds(*pause));
        co_await timer.async_wait(kToTuple);
        if (m_open_orders[address].empty())
            break;
        // Any answer counts: a daemon that is stopping still completes its orders.
        const int status = co_await keepalive_status(address);
        pause = detector.next_interval(status != 0);
    }
    if (!pause)
        cancel_orders(address);
    m_watched_addresses.erase(address);
}

} // namespace cypressford
