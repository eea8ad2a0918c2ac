// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/suspect_outbox.h>

namespace cypressford {

SuspectOutbox::Entry&
SuspectOutbox::open(WallMs now)
{
    if (m_entries.empty() || m_entries.back().sealed)
        m_entries.push_back({m_prefix + std::to_string(++m_made), {}, false});
    m_entries.back().record.at = now;
    return m_entries.back();
}

const SuspectOutbox::Entry&
SuspectOutbox::seal_first()
{
    m_entries.front().sealed = true;
    return m_entries.front();
}

std::size_t
SuspectOutbox::trim()
{
    std::size_t dropped = 0;
    for (; m_entries.size() > kMaxEntries; ++dropped)
        m_entries.pop_front();
    return dropped;
}

} // namespace cypressford
