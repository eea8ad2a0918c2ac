// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <cypressford/suspects.h>

namespace cypressford {

/// What a daemon has to tell of suspects and has not written yet.  No I/O, no clock.
class SuspectOutbox {
public:
    struct Entry {
        std::string key;
        SuspectRecord record;
        bool sealed = false; ///< it was sent once
    };

    /// Records that wait for a directory that is away; the oldest go first, and what they
    /// say stays in force at this daemon.
    static constexpr std::size_t kMaxEntries = 64;

    /// `prefix`: of keys; no other daemon's, and no other process's of this node.
    explicit SuspectOutbox(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    /// The entry that takes what is told now.
    Entry& open(WallMs now);

    bool empty() const { return m_entries.empty(); }
    /// The oldest entry, to be sent.  It grows no more: others take the first record of a
    /// key that they meet, and it may be there although no answer said so.
    const Entry& seal_first();
    /// The oldest entry is written.
    void drop_first() { m_entries.pop_front(); }
    /// Forgets the oldest entries beyond the bound; how many.
    std::size_t trim();

private:
    const std::string m_prefix;
    std::deque<Entry> m_entries;
    std::uint64_t m_made = 0;
};

} // namespace cypressford
