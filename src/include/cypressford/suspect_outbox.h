// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <cypressford/suspects.h>

namespace cypressford {

/// Suspect records of this daemon that are not written to the directory yet.  No I/O, no
/// clock.
class SuspectOutbox {
public:
    struct Entry {
        std::string key;
        SuspectRecord record;
        bool sealed = false; ///< was sent at least once; takes no additions
    };

    /// Records kept while the directory is unreachable; the oldest are dropped first, and
    /// stay in force at this daemon.
    static constexpr std::size_t kMaxEntries = 64;

    /// `prefix`: of the keys; unique to this process among all daemons and restarts.
    explicit SuspectOutbox(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    /// The entry to which new reports are added.
    Entry& open(WallMs now);

    bool empty() const { return m_entries.empty(); }
    /// The oldest entry, to be sent.  Nothing is added to it any more: readers of the log
    /// keep the first record under a key, and the log may have the entry although the
    /// acknowledgement was lost.
    const Entry& seal_first();
    /// Removes the oldest entry, after it was written.
    void drop_first() { m_entries.pop_front(); }
    /// Drops the oldest entries beyond kMaxEntries; returns their number.
    std::size_t trim();

private:
    const std::string m_prefix;
    std::deque<Entry> m_entries;
    std::uint64_t m_made = 0;
};

} // namespace cypressford
