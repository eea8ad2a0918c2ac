// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How the daemons of a hall share what one of them reads in the directory: the
/// reader keeps the records that changed something, the others ask it for what
/// came behind an offset of the log and how old that knowledge is.  Offsets are
/// the log's own, so a daemon may go on at another reader, or at the directory
/// itself, at any moment.

#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/daemon_table.h>
#include <cypressford/directory.h>
#include <cypressford/unreachable_peers.h>

namespace cypressford {

/// A record with its place in the log.
struct OffsetRecord {
    Offset offset = 0;
    DirectoryRecord record;
    bool packed = false; ///< the value is compressed, on its way between daemons only
    std::uint64_t base = 0; ///< hash of the value it is compressed against; 0: none
    bool is_sign = false; ///< of an upstream's life: it changed nothing
};

/// The newest records of one topic that changed something.  Bounded: the oldest go, but
/// never the newest, however large it is: what is not kept is not handed on, and every
/// daemon of the hall reads it at the directory (5.1 MB instead of 2.6 for two changes of
/// a configuration of 1.3 MB at two daemons).
class RecordHistory {
public:
    /// Nothing is known of what came before `end`.
    void restart(Offset end);
    /// A record that changed something; offsets rise.
    void append(Offset offset, const DirectoryRecord& record);
    /// A record that is the whole state of its key: older ones of the key go, which
    /// leaves no gap.
    void append_state(Offset offset, const DirectoryRecord& record);
    /// All records before `next` were seen.
    void advance(Offset next);

    /// True if all from there on is known.
    bool covers(Offset from) const;
    /// What changed something at `from` or later; nothing if that is not known.
    std::optional<std::vector<OffsetRecord>> since(Offset from) const;
    /// True if since() has a record to tell.
    bool has_news(Offset from) const;
    Offset next() const { return m_next; }
    /// Hash of the newest value that is a whole state; 0: none.
    std::uint64_t state_hash() const { return m_state_hash; }
    /// That value, or the one it took the place of, if it has the hash.
    std::optional<std::string_view> value_of(std::uint64_t hash) const;

private:
    std::deque<OffsetRecord>::iterator find(std::string_view key);

    std::uint64_t m_state_hash = 0;
    Offset m_state_offset = 0;
    std::uint64_t m_previous_hash = 0;
    std::string m_previous;
    std::deque<OffsetRecord> m_records;
    std::size_t m_bytes = 0;
    Offset m_first = 0; ///< from here on all is known
    Offset m_next = 0;
    bool m_started = false;
};

/// Times that follow from how soon a change must be in force.
struct DirectoryPace {
    /// `bound`: a change is in force within it; `heartbeat`: between two records of
    /// one upstream.
    DirectoryPace(Micros bound, Micros heartbeat);

    Micros bound;
    /// Without contact for so long, records may have lapsed by the directory's fault.
    Micros outage;
    Micros stale_after; ///< older knowledge is renewed at the directory itself
    Micros reader_stale_after; ///< the same of those that others ask
    Micros read_wait; ///< a question waits so long at the directory
    Micros read_pause; ///< between looks at what changes all the time
    Micros hold; ///< a question to the reader of a hall waits so long for news
    Micros reader_hold; ///< one reader's question to another waits so long
};

/// What a daemon asks the reader of its hall.
struct FeedQuery {
    /// Of a cursor: nothing of the topic is known.
    static constexpr Offset kNothing = -1;

    struct Cursor {
        DirectoryTopic topic = DirectoryTopic::Configuration;
        Offset from = kNothing; ///< what came before it is known
        std::uint64_t base = 0; ///< hash of the newest value that is known; 0: none
        /// Where the reader does not know what came since, all of the topic will do.
        bool takes_listing = false;
    };
    std::vector<Cursor> cursors;
    Micros wait = 0; ///< for news
    bool takes_packed = false; ///< daemons of an earlier version don't
    /// Also records that changed nothing: whoever may come to read the directory itself
    /// must know an upstream's newest sequence, or takes an older record, written late,
    /// for its return.
    bool wants_signs = false;
    /// An asker that knows no daemon gives its own record and wants to be referred to one.
    std::optional<DaemonRecord> joiner;
    std::vector<std::string> lost; ///< addresses of daemons that did not answer the asker
    bool takes_unreachable = false; ///< daemons of an earlier version don't
    std::uint64_t unreachable_revision = 0; ///< of the list that the asker has
    LogGeneration generation = 0; ///< of the log that the cursors are of
};

/// Compresses large values of one topic for the daemons that ask for them, each against
/// the value that its asker has.  A configuration of 836 kB crosses a link of 10 Mbit/s in
/// 0.67 s, and a reader's link once for each of up to 32 followers.
class RecordPacker {
public:
    /// The record as it is sent to an asker that has the value of hash `base`.
    OffsetRecord pack(const OffsetRecord& entry, const RecordHistory& history,
                      std::uint64_t base);
    /// Undoes pack(); false if the value it was packed against is not known here.
    static bool unpack(OffsetRecord& entry, const RecordHistory& history);

private:
    struct Packed {
        std::uint64_t base = 0;
        std::string value;
    };

    Offset m_offset = -1; ///< of the record that m_packed holds
    std::vector<Packed> m_packed; ///< one for each base that was asked for
};

/// What the reader knows.
struct FeedAnswer {
    struct Topic {
        DirectoryTopic topic = DirectoryTopic::Configuration;
        bool covered = false; ///< false: the reader doesn't know all from there on
        bool pending = false; ///< the reader does not know the topic yet; ask again
        Offset next = 0;
        Micros age = 0; ///< since the directory confirmed it, at the time of answering
        std::vector<OffsetRecord> records;
        /// Not empty: the newest record of each key, compressed; the records come after it.
        std::vector<std::string> listing;
        Offset listing_end = 0; ///< the listing holds what came before it
    };
    std::vector<Topic> topics;
    Micros held = 0; ///< how long the question waited
    std::optional<DirectoryReferral> referral;
    std::optional<UnreachableList> unreachable; ///< nothing: the asker has it
    LogGeneration generation = 0; ///< of the log that the offsets are of
};

std::string encode(const FeedQuery& query);
Result<FeedQuery> decode_feed_query(std::string_view bytes);
std::string encode(const FeedAnswer& answer);
Result<FeedAnswer> decode_feed_answer(std::string_view bytes);

/// One part of a listing, compressed.
std::string pack_listing(const std::vector<OffsetRecord>& records);
/// An error: the bytes are damaged, or too large a part.
Result<std::vector<OffsetRecord>> unpack_listing(std::string_view packed);

} // namespace cypressford
