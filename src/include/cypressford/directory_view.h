// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One daemon's state of the directory, regardless of the source of its records; the age
/// of that state, and when to refresh it from which source.

#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <cypressford/daemon_table.h>
#include <cypressford/directory_feed.h>
#include <cypressford/suspects.h>
#include <cypressford/topic_listing.h>

namespace cypressford {

/// A listing of one topic by the directory, of which some pages were applied.
struct ListingPages {
    std::string after; ///< last key of the pages so far; empty: none
    std::optional<Offset> end; ///< end of the topic when the first page was sent
    Micros requested_at = 0; ///< time of the last request for the first page
    Micros answered_at = 0; ///< when the last page arrived
};

/// The state of one topic.
struct TopicView {
    std::optional<Offset> next; ///< nothing: the topic must be listed first
    Offset known_end = 0; ///< a listing that ends before it would revert known changes
    Micros unlisted_since = 0; ///< while it must be listed
    Micros list_failed_at = 0; ///< when the directory last failed to send a page
    bool was_listed = false;
    bool is_restored = false; ///< must be listed since the log was restored from a copy
    Micros rewrites_until
        = 0; ///< records that the log lost may be written again until then
    /// The state here is at least as recent as the directory's at that time; until the
    /// topic was listed: when this daemon started.
    Micros as_of = 0;
    Micros requested_at = 0; ///< last request to the directory itself
    bool is_pending = false; ///< the reader has not listed the topic yet, either
    bool reader_lacks_records
        = false; ///< the reader of the hall lacks records that are missing here
    bool is_cut = false; ///< the directory's last answer did not hold all records
    bool just_changed = false; ///< the directory's last answer contained a change
    int misses = 0; ///< consecutive misses of the hall's reader, see record_reader_miss()
    int failures = 0; ///< consecutive failures of the directory itself
    std::optional<ListingPages> pages; ///< of a listing that has begun
    RecordHistory history;
    RecordPacker packer;
    TopicListing listing;
};

/// A record that can't be decoded, or is not valid: it changes nothing.
struct InvalidRecord {
    DirectoryTopic topic = DirectoryTopic::Configuration;
    std::string key;
    std::string reason;
};

/// Result of applying a batch of records.
struct DirectoryChange {
    bool must_notify = false; ///< other daemons must be notified at once
    std::vector<InvalidRecord> invalid;
};

/// Applies records from the directory itself and from the reader of the hall, in any order,
/// and answers queries of other daemons.  Has no I/O and no clock.
class DirectoryView {
public:
    static constexpr DirectoryTopic kTopics[]
        = {DirectoryTopic::Configuration, DirectoryTopic::Upstreams,
           DirectoryTopic::Daemons, DirectoryTopic::Suspects};

    /// `hall` and `node`: of this daemon.
    DirectoryView(const DirectoryDialect& dialect, DirectoryTiming timing,
                  Micros removal_grace_period, std::string node, std::string hall,
                  double writes_per_s, Micros now);

    TopicView& of(DirectoryTopic topic) { return m_views[index_of(topic)]; }
    const TopicView& of(DirectoryTopic topic) const { return m_views[index_of(topic)]; }
    const DirectoryTiming& timing() const { return m_timing; }
    DirectoryFold& fold() { return m_fold; }
    DaemonTable& daemons() { return m_daemons; }
    const DaemonTable& daemons() const { return m_daemons; }
    SuspectTable& suspects() { return m_suspects; }
    const SuspectTable& suspects() const { return m_suspects; }

    // Records from the directory itself.

    /// The key after which the next page of the topic's listing begins; starts the listing
    /// unless one has begun.  A listing whose page failed goes on with that page: the
    /// directory may still be working on it.
    std::string next_page(DirectoryTopic topic, Micros now);
    /// Applies the page that next_page() named; drops it if another daemon sent the whole
    /// topic meanwhile.  An error: the page does not advance the listing, which is given
    /// up.
    Result<DirectoryChange> apply_listing_page(DirectoryTopic topic,
                                               const DirectoryPage& page, Micros now);
    /// Starts a listing of the topic; its pages follow.
    void begin_listing(DirectoryTopic topic, Micros now);
    DirectoryChange apply_listed(DirectoryTopic topic,
                                 const std::vector<DirectoryRecord>& records, Micros now);
    /// `end`: end of the topic when the listing started.
    void end_listing(DirectoryTopic topic, Offset end, Micros requested_at, Micros now);
    /// Applies records from `from` on; `waited`: how long the request waited for the first;
    /// `end`: of the topic as the directory gives it, nothing: of the records.
    DirectoryChange apply_page(DirectoryTopic topic, Offset from,
                               const std::vector<DirectoryRecord>& records,
                               Micros requested_at, Micros waited, Micros now,
                               std::optional<Offset> end = std::nullopt);
    /// The directory no longer stores the records that follow; the topic must be listed
    /// again.
    void on_history_lost(DirectoryTopic topic, Micros now);

    /// Records the log's generation from an answer of the directory.  If it changed, known
    /// offsets are not valid any more: all topics must be listed again, and answers to
    /// requests sent before must be ignored.  True if so.
    bool record_generation(LogGeneration generation, Micros now);
    /// The same for a generation reported by another daemon, which may be older.
    bool receive_generation(LogGeneration generation, Micros now)
    {
        return generation > m_generation && record_generation(generation, now);
    }
    LogGeneration generation() const { return m_generation; }
    /// How many times the topics had to be listed again because the log was restored.
    int restores() const { return m_restores; }

    // Records from the reader of the hall.

    /// A query to be held for the full time.
    FeedQuery query() const;
    /// Time for which the reader may hold the next query: none if an answer that was held,
    /// and took as long as the last one, would come after the state had to be refreshed.
    /// `now`: when the query is sent.
    Micros query_wait(Micros now) const;
    DirectoryChange apply_answer(const FeedAnswer& answer, Micros requested_at, Micros now);
    /// The directory returned records that the reader should have sent before.  True if the
    /// reader must not be used any more: a single miss may result from an outage of the
    /// directory that has just ended.
    bool record_reader_miss(DirectoryTopic topic, Micros now);

    // Referrals to other daemons.

    /// True if the known records of daemons are those of the whole fleet.  A few records
    /// are no evidence that there are no other daemons: the directory must have been read
    /// for some time since it has this daemon's own record, or most of the daemons that
    /// announce themselves to a peer must be listed.  The peer tells others so in its
    /// referrals.
    bool knows_fleet() const;
    /// Live daemons of the fleet; 0: not known.
    int fleet_size() const;

    /// `own`: this daemon's record.  Without it, this daemon refers no others.
    void set_own_record(DaemonRecord own) { m_own = std::move(own); }
    /// There are daemons that refer others, so that records of daemons need not be listed
    /// at once.  `is_peer`: this daemon is one of them, and lists the daemons at once to
    /// refer others to them.
    void expect_referral(bool is_peer)
    {
        m_has_peers = true;
        m_is_peer = is_peer;
        m_peers_answer = true;
    }
    /// No daemon answered this daemon's request for a referral.
    void on_peers_unresponsive() { m_peers_answer = false; }
    /// True while this daemon has no daemon to query.
    bool needs_referral() const;
    void apply_referral(const DirectoryReferral& referral, Micros now);

    // Service to other daemons.

    /// Daemons that are unreachable for this one.
    UnreachablePeers& unreachable() { return m_unreachable; }

    /// Applies the record that another daemon sent about itself.
    void on_daemon_announced(const DaemonRecord& daemon, Micros now);
    /// Time for which this daemon, having just started, still waits for others to announce
    /// themselves before it answers with referrals; 0 or less: it answers now.
    Micros time_until_referral(Micros now) const;
    DirectoryReferral refer(const DaemonRecord& requester) const;

    /// False while the query may be held until there are changes.
    bool must_answer(const FeedQuery& query) const;
    FeedAnswer answer_to(const FeedQuery& query, Micros now);

    /// True while a topic must be listed before queries about it can be answered.
    bool must_list() const;

    /// Records of suspects that the log lost and whose keys begin with `prefix`.
    std::vector<DirectoryRecord> lost_suspects(std::string_view prefix) const;

    /// True once enough is known to serve requests.  Without the records of daemons, a
    /// daemon assumes that it leads all sets: when 295 start at the same time and
    /// each makes its own calls, 1,205 of 2,610 calls for pieces find their upstream full.
    /// Without the records of suspects, it relays requests that all others refuse.
    bool can_serve(Micros now) const;

    /// This daemon's role, and the daemon it queries.
    DirectorySource source() const;
    /// True if a reader that did not answer can be queried once more, for `answer_time`,
    /// before the state must be refreshed: the reader may be waiting for processor
    /// time.
    bool may_retry_reader(Micros answer_time, Micros now) const;
    /// Time at which a reader that sends keepalives but no answer is abandoned.
    Micros reader_deadline() const;
    /// Time until the next request to the directory itself; 0 or less: now.
    Micros time_until_read(DirectoryTopic topic, Micros now) const;
    /// Delay before the next request to a directory that failed to answer `failures` times
    /// in a row.  Readers don't back off: other daemons get changes only through them.
    Micros retry_delay(int failures) const;
    /// The directory failed to answer a request; returns the delay before the next one.  A
    /// daemon that lists for want of a reader's records waits for the reader once more:
    /// when the directory answers again, all that wait for it must not list at the same
    /// time.
    Micros record_failure(DirectoryTopic topic, Micros now);
    /// Between half of `time` and one and a half, fixed for this daemon, so that daemons
    /// that start an action at the same time don't all repeat it at the same time.
    Micros with_jitter(Micros time) const;
    /// Time until this daemon's first record is to be written; 0 or less: now.  Records of
    /// hundreds of daemons that start at the same time would delay their readers' listing
    /// of the daemons, and the directory would reject many of them.
    Micros time_until_publish(Micros now) const;
    /// Time from one of this daemon's records to the next.
    Micros time_to_next_record() const;
    /// Time from the restoration of the log to this daemon's next record.
    Micros time_to_republish() const;
    /// Longest wait of a long poll at the directory; 0: no wait.
    Micros read_wait_for(DirectoryTopic topic, Micros now) const;

    /// Moves out the records of daemons received since the last call.
    std::vector<DaemonRecord> take_new_daemons();

private:
    static std::size_t index_of(DirectoryTopic topic)
    {
        return static_cast<std::size_t>(topic);
    }
    Micros max_age(DirectoryRole role) const
    {
        return role == DirectoryRole::HallReader ? m_timing.reader_stale_after
                                                 : m_timing.stale_after;
    }
    /// The time as of which both configuration and upstreams are known.
    Micros required_topics_as_of() const;
    void open_listing(DirectoryTopic topic);
    /// True if this daemon is a peer and most of those that it has met are listed.
    bool are_joiners_listed() const;
    void update_settled();
    void forget_offsets(DirectoryTopic topic, Micros now);
    /// True if offsets of a log of that generation are valid in this daemon's log.
    bool shares_offsets(LogGeneration generation) const;
    /// The cursor as it applies to this daemon's log.
    FeedQuery::Cursor to_local_cursor(const FeedQuery::Cursor& cursor,
                                      LogGeneration generation) const;
    Micros time_until_listed(DirectoryTopic topic, Micros now) const;
    int assumed_writers() const;
    static Micros page_spacing(const ListingPages& pages, Micros now);
    /// Age at which records of daemons are read from the directory itself.
    Micros daemons_stale_after() const;
    /// True while all daemons may be starting and may lack each other's records.
    bool is_starting(Micros now) const;
    bool is_after_outage(DirectoryTopic topic, Micros now) const;
    Result<Bundle> decode_sound_configuration(const DirectoryRecord& record) const;
    bool apply_record(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                      bool after_outage, Micros now, DirectoryChange& change);
    bool apply_configuration(const DirectoryRecord& record, Offset at,
                             DirectoryChange& change);
    void end_evacuation_listing(Offset end, Micros now);
    bool apply_evacuation(const EvacuationRecord& evacuation, Offset at);
    void keep_configuration(Offset offset, const DirectoryRecord& record);
    bool apply_upstream(const DirectoryRecord& record, Offset at, bool after_outage,
                        Micros now, DirectoryChange& change);
    void apply_daemon(const DirectoryRecord& record, Micros now, DirectoryChange& change);
    bool apply_suspects(const DirectoryRecord& record, Offset at, DirectoryChange& change);
    void apply_topic(const FeedAnswer::Topic& topic, Micros as_of, Micros now,
                     DirectoryChange& change);
    /// False: the topic's state remains unknown.
    bool apply_listing(const FeedAnswer::Topic& topic, Micros now, DirectoryChange& change);
    void record_newest(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                       bool in_force);
    void keep_record(DirectoryTopic topic, Offset offset, const DirectoryRecord& record);
    bool is_configuration(DirectoryTopic topic, const DirectoryRecord& record) const;
    bool is_in_force(DirectoryTopic topic, const DirectoryRecord& record) const;
    void keep_received(DirectoryTopic topic, const OffsetRecord& received, bool changed);
    FeedAnswer::Topic answer_to(const FeedQuery::Cursor& cursor, Micros now);
    void add_keepalives(std::vector<OffsetRecord>& records, Offset from) const;
    void confirm(DirectoryTopic topic, Micros as_of, Micros now);

    const DirectoryDialect& m_dialect;
    const DirectoryTiming m_timing;
    const std::string m_hall;
    const double m_writes_per_s;
    const Micros m_started_at;
    const double m_jitter_fraction; ///< in [0, 1), derived from the node's name
    std::array<TopicView, std::size(kTopics)> m_views;
    DirectoryFold m_fold;
    DaemonTable m_daemons;
    UnreachablePeers m_unreachable;
    Micros m_answer_sent_at = 0; ///< when the reader sent its last answer
    /// False after an answer that was not held and did not make the state more recent: the
    /// reader is not queried without pause.
    bool m_may_skip_hold = false;
    LogGeneration m_generation = 0; ///< 0: not known
    int m_restores = 0;
    std::optional<DaemonRecord> m_own; ///< nothing: this daemon does not refer others
    bool m_has_peers = false;
    bool m_is_peer = false;
    std::set<std::string> m_joiners; ///< nodes that announced themselves to this daemon
    std::set<std::string> m_listed; ///< nodes with a record in the directory
    bool m_is_own_listed = false; ///< the directory has this daemon's record of this start
    std::optional<Micros> m_settled_as_of; ///< the state that m_settling_time counts up to
    Micros m_settling_time = 0; ///< for which the directory was read since
    Micros m_daemons_listed_at = 0; ///< when the records of daemons were first known
    bool m_is_settled = false; ///< the directory has had the time to get all records
    bool m_peers_answer = false; ///< assumed until a request has no answer
    Micros m_last_new_daemon_at = 0; ///< when the last new daemon announced itself
    Micros m_referred_at = 0; ///< when this daemon first learned whom to query
    DirectoryReferral m_referral; ///< in use until the records of daemons are known
    SuspectTable m_suspects;
    std::vector<DaemonRecord> m_new_daemons;
    std::uint64_t m_configuration_hash = 0; ///< of the value in force; 0: none
    std::string m_configuration_key; ///< of the record in force
};

} // namespace cypressford
