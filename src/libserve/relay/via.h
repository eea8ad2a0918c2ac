// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Recognizes requests that a daemon of the fleet has sent to an upstream and that reach a
/// daemon again, because an entry names a daemon's address (RFC 9110, 7.6.3).

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cypressford/upstream_links.h>

#include "libutil/http.h"

namespace cypressford {

/// Adds the field by which the daemons of the fleet recognize the request.  `peers_address`
/// is the address of this daemon for others; without one, nothing is added.
void add_via(HttpRequest& request, std::string_view peers_address);

/// The daemon of the fleet that has sent the request; empty: none has.  `others` may be
/// null.
std::string_view sender_in_fleet(const HttpRequest& request, const TunnelPeers* others,
                                 std::string_view own_address);

} // namespace cypressford
