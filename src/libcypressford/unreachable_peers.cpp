// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/unreachable_peers.h>

namespace cypressford {

bool
UnreachablePeers::record_check(const std::string& address, bool answers)
{
    if (answers)
        m_checked.erase(address);
    const bool changed = answers ? m_list.addresses.erase(address) > 0
                                 : m_list.addresses.insert(address).second;
    if (changed)
        ++m_list.revision;
    return changed;
}

} // namespace cypressford
