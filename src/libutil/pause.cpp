// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "pause.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cypressford {

namespace asio = boost::asio;

asio::awaitable<void>
pause_for(asio::io_context& io, BootClock::duration time)
{
    BootTimer timer(io);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void>
pause_for(asio::io_context& io, std::int64_t time)
{
    return pause_for(io, std::chrono::microseconds(time));
}

} // namespace cypressford
