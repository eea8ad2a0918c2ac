// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "tunnel_stream.h"

namespace cypressford {

/// Forwards bytes between a peer and an upstream until one of them ends, and then closes
/// both.  Bytes that one side sent before its end are still delivered to the other.
/// `form`: of the upstream's bytes.
boost::asio::awaitable<void> splice(boost::asio::ip::tcp::socket& peer,
                                    boost::asio::ip::tcp::socket& upstream,
                                    TunnelForm form);

} // namespace cypressford
