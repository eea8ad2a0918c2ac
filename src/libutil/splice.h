// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cypressford {

/// Forwards bytes between two connections until one of them ends, and then closes both.
/// Bytes that one side sent before its end are still delivered to the other.
boost::asio::awaitable<void> splice(boost::asio::ip::tcp::socket& left,
                                    boost::asio::ip::tcp::socket& right);

} // namespace cypressford
