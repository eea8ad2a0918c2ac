// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How the daemons of a hall share what one of them reads from the directory: the reader
/// keeps the records that changed something, and the others query it for the records from
/// an offset of the log on and for the age of its state.  Offsets are the log's own, so a
/// daemon may switch to another reader, or to the directory itself, at any time.

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

/// A record with its offset in the log.
struct OffsetRecord {
    Offset offset = 0;
    DirectoryRecord record;
    bool packed = false; ///< the value is compressed, only in transit between daemons
    std::uint64_t base = 0; ///< hash of the value it is compressed against; 0: none
    bool is_keepalive = false; ///< of an upstream: the record changed nothing
};

/// The newest records of one topic that changed something, in bounded memory: the oldest
/// are evicted, but never the newest, however large.  A record that is not kept is not
/// passed on, and every daemon of the hall reads it from the directory (5.1 MB instead of
/// 2.6 for two changes of a configuration of 1.3 MB at two daemons).
class RecordHistory {
public:
    /// Clears the history: records before `end` are not known.
    void restart(Offset end);
    /// Adds a record that changed something; offsets must rise.
    void append(Offset offset, const DirectoryRecord& record);
    /// Adds a record that holds the whole state of its key: older records of the key are
    /// removed, which leaves no gap.
    void append_state(Offset offset, const DirectoryRecord& record);
    /// All records before `next` have been seen.
    void advance(Offset next);

    /// True if all records from that offset on are known.
    bool covers(Offset from) const;
    /// Records that changed something, from that offset on; nothing if !covers(from).
    std::optional<std::vector<OffsetRecord>> since(Offset from) const;
    /// True if there is a record at that offset or later.
    bool has_changes(Offset from) const;
    Offset next() const { return m_next; }
    /// Hash of the newest value added by append_state(); 0: none.
    std::uint64_t state_hash() const { return m_state_hash; }
    /// That value, or the one it replaced, if it has the hash.
    std::optional<std::string_view> value_of(std::uint64_t hash) const;

private:
    std::deque<OffsetRecord>::iterator find(std::string_view key);

    std::uint64_t m_state_hash = 0;
    Offset m_state_offset = 0;
    std::uint64_t m_previous_hash = 0;
    std::string m_previous;
    std::deque<OffsetRecord> m_records;
    std::size_t m_bytes = 0;
    Offset m_first = 0; ///< all records from here on are known
    Offset m_next = 0;
    bool m_started = false;
};

/// Times derived from the bound within which a change must be in force.
struct DirectoryTiming {
    /// `bound`: a change is in force within this time; `heartbeat`: interval between two
    /// records of one upstream.
    DirectoryTiming(Micros bound, Micros heartbeat);

    Micros bound;
    /// After this time without contact, records may have expired because of an outage of
    /// the directory.
    Micros outage;
    Micros stale_after; ///< older state is refreshed from the directory itself
    Micros reader_stale_after; ///< the same for readers, which serve other daemons
    Micros read_wait; ///< longest wait of a long poll at the directory
    Micros read_interval; ///< interval between reads of topics that change all the time
    Micros hold; ///< longest wait of a query at the reader of a hall
    Micros reader_hold; ///< longest wait of one reader's query at another reader
};

/// A daemon's query to the reader of its hall.
struct FeedQuery {
    /// As a cursor's offset: nothing of the topic is known.
    static constexpr Offset kNothing = -1;

    struct Cursor {
        DirectoryTopic topic = DirectoryTopic::Configuration;
        Offset from = kNothing; ///< all records before this offset are known
        std::uint64_t base = 0; ///< hash of the newest known value; 0: none
        /// If the reader does not have all records from there on, a listing of the whole
        /// topic is accepted.
        bool accepts_listing = false;
    };
    std::vector<Cursor> cursors;
    Micros wait = 0; ///< longest time to hold the query until there are changes
    bool accepts_packed = false; ///< false from daemons of an earlier version
    /// Also requests records that changed nothing: a daemon that may become a reader of the
    /// directory must have an upstream's newest sequence, or else it mistakes an older
    /// record that was written late for the return of that upstream.
    bool wants_keepalives = false;
    /// Record of a requester that requests a referral, as it has no daemon to query.
    std::optional<DaemonRecord> joiner;
    std::vector<std::string>
        unreachable; ///< addresses of daemons unreachable for the requester
    bool accepts_unreachable_list = false; ///< false from daemons of an earlier version
    std::uint64_t unreachable_revision = 0; ///< of the list that the requester has
    LogGeneration generation = 0; ///< of the log that the cursors refer to
};

/// Compresses large values of one topic for the daemons that request them, each against the
/// value that the requester has.  A configuration of 836 kB takes 0.67 s on a link of
/// 10 Mbit/s, and a reader sends it to up to 32 followers.
class RecordPacker {
public:
    /// The record as sent to a requester that has the value with the hash `base`.
    OffsetRecord pack(const OffsetRecord& entry, const RecordHistory& history,
                      std::uint64_t base);
    /// Reverses pack(); false if the value it was packed against is not known here.
    static bool unpack(OffsetRecord& entry, const RecordHistory& history);

private:
    struct Packed {
        std::uint64_t base = 0;
        std::string value;
    };

    Offset m_offset = -1; ///< of the record that m_packed holds
    std::vector<Packed> m_packed; ///< one for each base that was requested
};

/// The reader's answer to a FeedQuery.
struct FeedAnswer {
    struct Topic {
        DirectoryTopic topic = DirectoryTopic::Configuration;
        bool covered = false; ///< false: the reader lacks records from the cursor on
        bool pending = false; ///< the reader has not listed the topic yet; retry later
        Offset next = 0;
        Micros age = 0; ///< time since the directory confirmed the state, when answering
        std::vector<OffsetRecord> records;
        /// If not empty: the newest record of each key, compressed; `records` follow it.
        std::vector<std::string> listing;
        Offset listing_end = 0; ///< the listing holds all records before this offset
    };
    std::vector<Topic> topics;
    Micros held = 0; ///< how long the query was held
    std::optional<DirectoryReferral> referral;
    std::optional<UnreachableList> unreachable; ///< nothing: the requester's is current
    LogGeneration generation = 0; ///< of the log that the offsets refer to
};

std::string encode(const FeedQuery& query);
Result<FeedQuery> decode_feed_query(std::string_view bytes);
std::string encode(const FeedAnswer& answer);
Result<FeedAnswer> decode_feed_answer(std::string_view bytes);

/// One part of a listing, compressed.
std::string pack_listing(const std::vector<OffsetRecord>& records);
/// An error: the bytes are damaged, or the part is too large.
Result<std::vector<OffsetRecord>> unpack_listing(std::string_view packed);

} // namespace cypressford
