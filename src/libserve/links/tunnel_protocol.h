// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tunnels between daemons: a CONNECT request (RFC 9110, 9.3.6) that names an upstream's
/// "ip:port", and its answer.  A daemon of an older build answers 404, or sends the
/// upstream's bytes without frames.

#pragma once

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cypressford/upstream_links.h>

#include "libutil/http.h"
#include "libutil/tunnel_stream.h"

namespace cypressford {

inline constexpr std::string_view kTunnelMethod = "CONNECT";

/// The answer that says why no tunnel was opened.
HttpResponse tunnel_failure(TunnelAnswer answer);

/// Result of a request for a tunnel.
struct TunnelResult {
    TunnelAnswer answer = TunnelAnswer::NoAnswer;
    TunnelForm form = TunnelForm::Bytes;
};

/// The form that a CONNECT request, or the answer to it, names.
TunnelForm tunnel_form(std::string_view field);

/// Asks the peer to connect the socket, which is closed, to the upstream.  `deadline`:
/// point in time.
boost::asio::awaitable<TunnelResult> open_tunnel(boost::asio::ip::tcp::socket& socket,
                                                 std::string peer, std::string address,
                                                 Micros deadline);

} // namespace cypressford
