// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "boot_clock.h"

namespace cypressford {

/// Completes after that time, on the executor of the coroutine that awaits it.
boost::asio::awaitable<void> pause_for(boost::asio::io_context& io,
                                       BootClock::duration time);
/// `time`: in microseconds.
boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, std::int64_t time);

} // namespace cypressford
