// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one daemon knows of the directory, from wherever its records came, how
/// old that is, and when to ask whom.

#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <cypressford/daemon_table.h>
#include <cypressford/directory_feed.h>
#include <cypressford/suspects.h>
#include <cypressford/topic_listing.h>

namespace cypressford {

/// What is known of one topic.
struct TopicView {
    std::optional<Offset> next; ///< nothing: the topic must be listed first
    Offset known_to = 0; ///< an older listing would take back what is known
    Micros unlisted_since = 0; ///< while it must be listed
    bool was_listed = false;
    bool is_restored = false; ///< must be listed since the log came back from a copy
    Micros returns_until = 0; ///< records that the log lost may be written again
    /// The directory was as known here at that time or later; until the topic was listed:
    /// when this daemon started.
    Micros as_of = 0;
    Micros asked_at = 0; ///< when the directory itself was last asked
    bool is_pending = false; ///< the reader does not know the topic yet, either
    bool overdue = false; ///< the reader of the hall can't tell what is missing
    bool just_changed = false; ///< by the last answer of the directory
    int misses = 0; ///< of the hall's reader, in a row
    int failures = 0; ///< of the directory itself, in a row
    RecordHistory history;
    RecordPacker packer;
    TopicListing listing;
};

/// A record that can't be understood: it changes nothing.
struct UnreadRecord {
    DirectoryTopic topic = DirectoryTopic::Configuration;
    std::string key;
    std::string why;
};

/// What a batch of records did.
struct DirectoryChange {
    bool news = false; ///< other daemons must hear of it at once
    std::vector<UnreadRecord> unread;
};

/// Takes records from the directory itself and from the reader of the hall, in any
/// order of the two, and tells other daemons of them.  Has no I/O and no clock.
class DirectoryView {
public:
    static constexpr DirectoryTopic kTopics[]
        = {DirectoryTopic::Configuration, DirectoryTopic::Upstreams,
           DirectoryTopic::Daemons, DirectoryTopic::Suspects};

    /// `hall` and `node`: of this daemon.
    DirectoryView(const DirectoryDialect& dialect, DirectoryPace pace, Micros vanish_grace,
                  std::string node, std::string hall, double writes_per_s, Micros now);

    TopicView& of(DirectoryTopic topic) { return m_views[index_of(topic)]; }
    const TopicView& of(DirectoryTopic topic) const { return m_views[index_of(topic)]; }
    const DirectoryPace& pace() const { return m_pace; }
    DirectoryFold& fold() { return m_fold; }
    DaemonTable& daemons() { return m_daemons; }
    const DaemonTable& daemons() const { return m_daemons; }
    SuspectTable& suspects() { return m_suspects; }
    const SuspectTable& suspects() const { return m_suspects; }

    // From the directory itself.

    /// A listing of the topic begins; its pages follow.
    void begin_listing(DirectoryTopic topic, Micros now);
    DirectoryChange take_listed(DirectoryTopic topic,
                                const std::vector<DirectoryRecord>& records, Micros now);
    /// `end`: where the topic ended when the listing began.
    void end_listing(DirectoryTopic topic, Offset end, Micros asked_at, Micros now);
    /// Records from `from` on; `waited`: the question waited so long for the first.
    DirectoryChange take_page(DirectoryTopic topic, Offset from,
                              const std::vector<DirectoryRecord>& records, Micros asked_at,
                              Micros waited, Micros now);
    /// The directory has forgotten what follows; the topic must be listed again.
    void note_history_lost(DirectoryTopic topic, Micros now);

    /// What the directory's answer says of the log's generation.  If it is another one,
    /// what was read no longer tells what lies at an offset: all topics must be listed
    /// again, and answers to questions that were asked before count no more.  True if so.
    bool note_generation(LogGeneration told, Micros now);
    /// The same by the word of another daemon, which may know of an older one.
    bool hear_generation(LogGeneration told, Micros now)
    {
        return told > m_generation && note_generation(told, now);
    }
    LogGeneration generation() const { return m_generation; }
    /// How often topics had to be listed again for that.
    int restores() const { return m_restores; }

    // From the reader of the hall.

    FeedQuery query() const;
    DirectoryChange take_answer(const FeedAnswer& answer, Micros asked_at, Micros now);
    /// The directory answered what the reader should have told before.  True if the
    /// reader is not to be trusted any more: once, that may be because the directory
    /// was away until then.
    bool note_missed(DirectoryTopic topic, Micros now);

    // From a daemon that may know others.

    /// There are such daemons, so that records of daemons need not be listed at once.
    /// `own`: this daemon's record.  `is_peer`: it is one of those that refer others, and
    /// lists at once whom it may refer them to.
    void expect_referral(DaemonRecord own, bool is_peer)
    {
        m_own = std::move(own);
        m_is_peer = is_peer;
        m_peers_answer = true;
    }
    /// None of them refers this daemon.
    void note_peers_silent() { m_peers_answer = false; }
    /// True while this daemon knows nobody whom it could ask.
    bool wants_referral() const;
    void take_referral(const DirectoryReferral& referral, Micros now);

    // For other daemons.

    /// Daemons that don't answer this one.
    UnreachablePeers& unreachable() { return m_unreachable; }

    /// Another daemon has told of itself.
    void meet(const DaemonRecord& daemon, Micros now);
    /// While this daemon, which has just started itself, still meets others; 0 or less: it
    /// refers them now.
    Micros time_until_refer(Micros now) const;
    DirectoryReferral refer(const DaemonRecord& asker) const;

    /// False while a question may wait for news.
    bool must_answer(const FeedQuery& query) const;
    FeedAnswer answer_to(const FeedQuery& query, Micros now);

    /// True while a topic must be listed before others can tell what follows.
    bool must_list() const;

    /// Records of suspects that the log lost, those whose keys begin with `prefix`.
    std::vector<DirectoryRecord> lost_suspects(std::string_view prefix) const;

    /// True once enough is known to take requests.  Without the records of daemons a daemon
    /// takes itself for the leader of all sets: when 295 start at once and each makes calls
    /// of its own, 1,205 of 2,610 calls for pieces find their upstream full.  Without those
    /// of suspects it sends on what all others refuse.
    bool can_serve(Micros now) const;

    /// What this daemon is to the directory, and whom it asks.
    DirectorySource source() const;
    /// True if a reader that did not answer can be asked once more, for so long, before
    /// what is known must be renewed: it may be waiting for its processor.
    bool may_ask_again(Micros answer_time, Micros now) const;
    /// A reader that gives signs of life but has told nothing by then is left.
    Micros reader_due_at() const;
    /// Until the directory itself is to be asked; 0 or less: now.
    Micros time_until_read(DirectoryTopic topic, Micros now) const;
    /// Until a directory that did not answer so many times in a row is asked again. Readers
    /// ask at the same pace all along: on them hangs how soon others know.
    Micros retry_pause(int failures) const;
    /// From half of `time` to one and a half, by this daemon's draw: what many begin at
    /// once they do not all repeat at once.
    Micros in_turn(Micros time) const;
    /// Until this daemon's first record is to be written; 0 or less: now.  Records of
    /// hundreds that start at once would keep their readers from listing who there is.
    Micros time_until_publish(Micros now) const;
    /// Between the log's return from a copy and this daemon's next record.
    Micros time_to_republish() const;
    /// How long a question may wait at the directory.
    Micros wait_of(DirectoryTopic topic, Micros now) const;

    /// Records of daemons that came since the last call.
    std::vector<DaemonRecord> take_new_daemons();

private:
    static std::size_t index_of(DirectoryTopic topic)
    {
        return static_cast<std::size_t>(topic);
    }
    Micros bearable_age(DirectoryRole role) const
    {
        return role == DirectoryRole::HallReader ? m_pace.reader_stale_after
                                                 : m_pace.stale_after;
    }
    /// Configuration and upstreams are known as they were then.
    Micros known_at() const;
    void open_listing(DirectoryTopic topic);
    void forget_offsets(DirectoryTopic topic, Micros now);
    /// True if offsets of a log of that generation are those of this daemon's log.
    bool shares_offsets(LogGeneration told) const;
    /// The cursor as this daemon's log has it.
    FeedQuery::Cursor translated(const FeedQuery::Cursor& cursor,
                                 LogGeneration generation) const;
    Micros time_until_listed(DirectoryTopic topic, Micros now) const;
    /// True while all daemons may be starting and don't know each other yet.
    bool is_new(Micros now) const;
    bool is_after_outage(DirectoryTopic topic, Micros now) const;
    bool take_record(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                     bool after_outage, Micros now, DirectoryChange& change);
    bool take_configuration(const DirectoryRecord& record, Offset at,
                            DirectoryChange& change);
    void end_evacuations(Offset end, Micros now);
    bool take_evacuation(const EvacuationRecord& evacuation, Offset at);
    void keep_configuration(Offset offset, const DirectoryRecord& record);
    bool take_upstream(const DirectoryRecord& record, Offset at, bool after_outage,
                       Micros now, DirectoryChange& change);
    void take_daemon(const DirectoryRecord& record, Micros now, DirectoryChange& change);
    bool take_suspects(const DirectoryRecord& record, Offset at, DirectoryChange& change);
    void take_topic(const FeedAnswer::Topic& topic, Micros as_of, Micros now,
                    DirectoryChange& change);
    /// False: the topic is not known by it.
    bool take_listing(const FeedAnswer::Topic& topic, Micros now, DirectoryChange& change);
    void note_newest(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                     bool in_force);
    void keep(DirectoryTopic topic, Offset offset, const DirectoryRecord& record);
    bool is_configuration(DirectoryTopic topic, const DirectoryRecord& record) const;
    bool is_in_force(DirectoryTopic topic, const DirectoryRecord& record) const;
    void keep_told(DirectoryTopic topic, const OffsetRecord& told, bool changed);
    FeedAnswer::Topic answer_to(const FeedQuery::Cursor& cursor, Micros now);
    void add_signs(std::vector<OffsetRecord>& records, Offset from) const;
    void confirm(DirectoryTopic topic, Micros as_of, Micros now);

    const DirectoryDialect& m_dialect;
    const DirectoryPace m_pace;
    const std::string m_hall;
    const double m_writes_per_s;
    const Micros m_started_at;
    const double m_draw; ///< in [0, 1), of this node
    std::array<TopicView, std::size(kTopics)> m_views;
    DirectoryFold m_fold;
    DaemonTable m_daemons;
    UnreachablePeers m_unreachable;
    LogGeneration m_generation = 0; ///< 0: not told
    int m_restores = 0;
    std::optional<DaemonRecord> m_own; ///< nothing: this daemon refers nobody
    bool m_is_peer = false;
    bool m_lived_before = false; ///< the directory holds a record of an earlier life
    bool m_peers_answer = false; ///< as far as is known
    Micros m_met_at = 0; ///< the last daemon that was new
    DirectoryReferral m_referral; ///< holds until the records of daemons are known
    SuspectTable m_suspects;
    std::vector<DaemonRecord> m_new_daemons;
    std::uint64_t m_configuration_hash = 0; ///< of the value in force; 0: none
    std::string m_configuration_key; ///< of the record in force
};

} // namespace cypressford
