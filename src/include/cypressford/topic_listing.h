// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The newest record of each key of one topic of the directory, and the form in which a
/// daemon sends all of them to another that has none.

#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cypressford/directory_feed.h>

namespace cypressford {

/// All records of a topic, compressed for transfer between daemons.
struct PackedListing {
    Offset end = 0; ///< it holds all records before this offset
    std::vector<std::string> parts; ///< at least one; see unpack_listing()
};

/// Newest records by key.  Has no I/O and no clock.
class TopicListing {
public:
    struct Entry {
        std::string value;
        Offset offset = 0; ///< -1: not known
    };

    /// Starts a listing of the topic by the directory; end_listing() erases all keys that
    /// were not passed to mark_present() since.
    void begin_listing();
    void mark_present(const std::string& key) { m_unlisted.erase(key); }
    void end_listing();

    /// The log was restored from an older copy: the offsets of all records are unknown.
    void forget_offsets();

    void put(const DirectoryRecord& record, Offset offset);
    void erase(const std::string& key);

    /// Null if there is no such key.
    const Entry* find(const std::string& key) const;

    /// Newest records at that offset or later, in the order of the log.
    std::vector<OffsetRecord> since(Offset from) const;

    /// All records up to the listing's end; later records are in `history`.  The listing is
    /// compressed again only once too many records follow it, since hundreds of daemons
    /// that start at the same time request the same listing.
    const PackedListing& packed(const RecordHistory& history);

private:
    void pack(Offset end);

    std::map<std::string, Entry> m_newest;
    std::set<std::string> m_unlisted; ///< keys not yet contained in the current listing
    std::set<std::pair<Offset, std::string>> m_by_offset;
    PackedListing m_packed; ///< without parts: to be compressed again
};

} // namespace cypressford
