// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a DirectoryView takes from another daemon's, and tells to others.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// Of a listing: as old as can be.
constexpr Micros kUnknownAge = 0;
/// So many times in a row a reader may know less than the directory.
constexpr int kMissesAllowed = 2;

} // namespace

// ---------------------------------------------------- from the hall's reader

FeedQuery
DirectoryView::query() const
{
    FeedQuery query;
    const bool is_reader = source().role != DirectoryRole::Follower;
    query.wait = is_reader ? m_pace.reader_hold : m_pace.hold;
    query.takes_packed = true;
    query.generation = m_generation;
    query.wants_signs = is_reader;
    for (const DirectoryTopic topic : kTopics) {
        const TopicView& view = of(topic);
        query.cursors.push_back({topic, view.next.value_or(FeedQuery::kNothing),
                                 view.history.state_hash(), true});
    }
    return query;
}

DirectoryChange
DirectoryView::take_answer(const FeedAnswer& answer, Micros asked_at, Micros now)
{
    DirectoryChange change;
    if (!shares_offsets(answer.generation) && !mutated(Mutation::TakeOlderGeneration))
        return change;
    Micros on_the_way = std::max<Micros>(0, now - asked_at - answer.held);
    if (mutated(Mutation::ForgetTransit))
        on_the_way = 0;
    for (const FeedAnswer::Topic& topic : answer.topics) {
        if (topic.covered)
            take_topic(topic, now - topic.age - on_the_way, now, change);
        else
            of(topic.topic).overdue = !topic.pending;
        of(topic.topic).is_pending = topic.pending;
    }
    return change;
}

/// Daemons of an earlier version tell no generation: while the log was never restored,
/// theirs is the same.
bool
DirectoryView::shares_offsets(LogGeneration told) const
{
    return told == m_generation || m_generation == 0 || (told == 0 && m_restores == 0);
}

FeedQuery::Cursor
DirectoryView::translated(const FeedQuery::Cursor& cursor, LogGeneration generation) const
{
    // An asker of an earlier version tells no generation, also once it has listed anew.
    const bool is_ahead = cursor.from > of(cursor.topic).history.next();
    const bool is_foreign
        = generation == 0 ? m_restores > 0 && is_ahead : !shares_offsets(generation);
    FeedQuery::Cursor result = cursor;
    if (is_foreign && !mutated(Mutation::KeepOffsets)) {
        result.from = FeedQuery::kNothing;
        result.base = 0;
    }
    return result;
}

void
DirectoryView::take_topic(const FeedAnswer::Topic& topic, Micros as_of, Micros now,
                          DirectoryChange& change)
{
    TopicView& view = of(topic.topic);
    const bool after_outage = is_after_outage(topic.topic, now);
    const bool is_behind = !view.next || *view.next < topic.listing_end;
    if (is_behind && !take_listing(topic, now, change)) {
        view.overdue = true;
        return;
    }
    const Offset seen = *view.next;
    for (const OffsetRecord& entry : topic.records) {
        if (entry.offset < seen)
            continue;
        OffsetRecord whole = entry;
        if (!RecordPacker::unpack(whole, view.history)) {
            change.unread.push_back(
                {topic.topic, entry.record.key, "packed against what is not known"});
            view.overdue = true;
            return;
        }
        const bool changed = take_record(topic.topic, whole.record, whole.offset,
                                         after_outage, now, change);
        change.news |= changed && topic.topic != DirectoryTopic::Daemons;
        keep_told(topic.topic, whole, changed);
    }
    view.next = std::max(seen, topic.next);
    view.known_to = std::max(view.known_to, *view.next);
    view.history.advance(*view.next);
    if (as_of > view.as_of)
        view.misses = 0;
    confirm(topic.topic, as_of, now);
}

/// A listing that is older than what was known before the topic had to be listed would take
/// some of it back.
bool
DirectoryView::take_listing(const FeedAnswer::Topic& topic, Micros now,
                            DirectoryChange& change)
{
    const bool is_older = topic.listing_end < of(topic.topic).known_to
        && !mutated(Mutation::TakeOlderListing);
    if (topic.listing.empty() || is_older)
        return false;
    std::vector<DirectoryRecord> records;
    for (const std::string& part : topic.listing) {
        auto unpacked = unpack_listing(part);
        if (!unpacked) {
            change.unread.push_back({topic.topic, "listing", unpacked.error().detail});
            return false;
        }
        for (OffsetRecord& entry : *unpacked)
            records.push_back(
                {std::move(entry.record.key), std::move(entry.record.value), entry.offset});
    }
    open_listing(topic.topic);
    const DirectoryChange listed = take_listed(topic.topic, records, now);
    change.unread.insert(change.unread.end(), listed.unread.begin(), listed.unread.end());
    // How old it is holds of it and the records that follow.
    end_listing(topic.topic, topic.listing_end, kUnknownAge, now);
    change.news = true;
    return true;
}

/// Keeps what another daemon told for those that ask this one.
void
DirectoryView::keep_told(DirectoryTopic topic, const OffsetRecord& told, bool changed)
{
    RecordHistory& history = of(topic).history;
    const bool in_force = changed || is_in_force(topic, told.record);
    note_newest(topic, told.record, told.offset, in_force);
    if (topic == DirectoryTopic::Configuration && in_force)
        keep_configuration(told.offset, told.record);
    else if (changed || !told.is_sign)
        // Kept also if it changed nothing here: it may do so elsewhere.
        history.append(told.offset, told.record);
}

bool
DirectoryView::note_missed(DirectoryTopic topic, Micros now)
{
    const bool is_vital
        = topic == DirectoryTopic::Configuration || topic == DirectoryTopic::Upstreams;
    if (!is_vital || is_new(now))
        return false;
    int& misses = of(topic).misses;
    if (++misses < kMissesAllowed)
        return false;
    misses = 0;
    return true;
}

// ------------------------------------------------------------ for others

/// Records of daemons are no news that an answer would not wait for.
bool
DirectoryView::must_answer(const FeedQuery& query) const
{
    if (query.takes_unreachable
        && query.unreachable_revision != m_unreachable.list().revision)
        return true;
    return std::any_of(query.cursors.begin(), query.cursors.end(), [&](const auto& told) {
        const FeedQuery::Cursor c = translated(told, query.generation);
        const TopicView& view = of(c.topic);
        if (!view.next)
            return false;
        if (!view.history.covers(c.from))
            return true;
        return c.topic != DirectoryTopic::Daemons && view.history.has_news(c.from);
    });
}

FeedAnswer
DirectoryView::answer_to(const FeedQuery& query, Micros now)
{
    FeedAnswer answer;
    answer.generation = m_generation;
    for (const FeedQuery::Cursor& told : query.cursors) {
        const FeedQuery::Cursor cursor = translated(told, query.generation);
        FeedAnswer::Topic topic = answer_to(cursor, now);
        const bool wants_signs
            = query.wants_signs && cursor.topic == DirectoryTopic::Upstreams;
        if (topic.covered && wants_signs)
            add_signs(topic.records,
                      topic.listing.empty() ? cursor.from : topic.listing_end);
        TopicView& view = of(cursor.topic);
        // An asker that takes a listing forgets the value that it named.
        const std::uint64_t base = topic.listing.empty() ? cursor.base : 0;
        if (query.takes_packed)
            for (OffsetRecord& entry : topic.records)
                entry = view.packer.pack(entry, view.history, base);
        answer.topics.push_back(std::move(topic));
    }
    if (query.takes_unreachable
        && query.unreachable_revision != m_unreachable.list().revision)
        answer.unreachable = m_unreachable.list();
    return answer;
}

/// What changed since, or all there is for an asker that takes that.
FeedAnswer::Topic
DirectoryView::answer_to(const FeedQuery::Cursor& cursor, Micros now)
{
    TopicView& view = of(cursor.topic);
    FeedAnswer::Topic topic;
    topic.topic = cursor.topic;
    topic.pending = !view.next;
    auto records = view.history.since(cursor.from);
    if (!records && cursor.takes_listing && view.next) {
        const PackedListing& listing = view.listing.packed(view.history);
        topic.listing = listing.parts;
        topic.listing_end = listing.end;
        records = view.history.since(listing.end);
    }
    if (!records)
        return topic;
    topic.covered = true;
    topic.next = view.history.next();
    topic.age = now - view.as_of;
    topic.records = *std::move(records);
    return topic;
}

/// Newest records of upstreams at `from` or later that changed nothing.
void
DirectoryView::add_signs(std::vector<OffsetRecord>& records, Offset from) const
{
    std::set<Offset> told;
    for (const OffsetRecord& entry : records)
        told.insert(entry.offset);
    for (OffsetRecord& sign : of(DirectoryTopic::Upstreams).listing.since(from)) {
        sign.is_sign = true;
        if (!told.contains(sign.offset))
            records.push_back(std::move(sign));
    }
    std::stable_sort(records.begin(), records.end(),
                     [](const auto& a, const auto& b) { return a.offset < b.offset; });
}

} // namespace cypressford
