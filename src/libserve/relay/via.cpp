// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/relay/via.h"

#include <algorithm>

namespace cypressford {

namespace {

constexpr std::string_view kSpace = " \t";

/// The part of `text` before the separator, which is removed from `text` along with it.
std::string_view
take_until(std::string_view& text, std::string_view separators)
{
    const std::size_t end = text.find_first_of(separators);
    const std::string_view taken = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return taken;
}

std::string_view
without_leading_space(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(kSpace), text.size()));
    return text;
}

/// Of one member of the field: protocol, received-by and an optional comment.
std::string_view
received_by(std::string_view member)
{
    member = without_leading_space(member);
    take_until(member, kSpace);
    member = without_leading_space(member);
    return take_until(member, kSpace);
}

bool
contains(const TunnelPeers& daemons, std::string_view address)
{
    const auto it = std::lower_bound(daemons.begin(), daemons.end(), address,
                                     [](const TunnelPeer& daemon, std::string_view wanted) {
                                         return daemon.address < wanted;
                                     });
    return it != daemons.end() && it->address == address;
}

} // namespace

void
add_via(HttpRequest& request, std::string_view peers_address)
{
    if (!peers_address.empty())
        request.headers.add("Via", "1.1 " + std::string(peers_address));
}

std::string_view
sender_in_fleet(const HttpRequest& request, const TunnelPeers* others,
                std::string_view own_address)
{
    for (std::string_view field : request.headers.all("Via"))
        while (!field.empty()) {
            const std::string_view by = received_by(take_until(field, ","));
            if (by.empty())
                continue;
            if (by == own_address || (others && contains(*others, by)))
                return by;
        }
    return {};
}

} // namespace cypressford
