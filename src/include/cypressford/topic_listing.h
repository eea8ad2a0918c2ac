// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The newest record of each key of one topic of the directory, and the form in which one
/// daemon hands all of them to another that knows none.

#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cypressford/directory_feed.h>

namespace cypressford {

/// All of a topic, compressed for the way between daemons.
struct PackedListing {
    Offset end = 0; ///< it holds what came before this offset
    std::vector<std::string> parts; ///< one at least; see unpack_listing()
};

/// Newest records by key.  Has no I/O and no clock.
class TopicListing {
public:
    struct Entry {
        std::string value;
        Offset offset = 0; ///< -1: not known
    };

    /// The directory lists the topic: keys that are not named by end_listing() are gone.
    void begin_listing();
    void name(const std::string& key) { m_unnamed.erase(key); }
    void end_listing();

    /// The log came back from an older copy: no record is known to lie where it was read.
    void forget_offsets();

    void put(const DirectoryRecord& record, Offset offset);
    void erase(const std::string& key);

    /// Null: there is no such key.
    const Entry* find(const std::string& key) const;

    /// Newest records at that offset or later, in the order of the log.
    std::vector<OffsetRecord> since(Offset from) const;

    /// All records, with what `history` tells behind the listing's end.  Compressed anew
    /// only once too much follows: hundreds of daemons that start at once ask for the same.
    const PackedListing& packed(const RecordHistory& history);

private:
    void pack(Offset end);

    std::map<std::string, Entry> m_newest;
    std::set<std::string> m_unnamed; ///< while the topic is listed
    std::set<std::pair<Offset, std::string>> m_by_offset;
    PackedListing m_packed; ///< without parts: to be made
};

} // namespace cypressford
