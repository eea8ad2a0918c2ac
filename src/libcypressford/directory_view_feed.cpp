// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of DirectoryView that queries other daemons' views and answers their queries.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// Time of confirmation of a listing whose age is not known yet: the oldest possible.
constexpr Micros kUnknownAge = 0;
/// Consecutive misses after which a reader is replaced.
constexpr int kMissesAllowed = 2;

} // namespace

// ---------------------------------------------------- from the hall's reader

FeedQuery
DirectoryView::query() const
{
    FeedQuery query;
    const bool is_reader = source().role != DirectoryRole::Follower;
    query.wait = is_reader ? m_timing.reader_hold : m_timing.hold;
    query.accepts_packed = true;
    query.generation = m_generation;
    query.wants_keepalives = is_reader;
    for (const DirectoryTopic topic : kTopics) {
        const TopicView& view = of(topic);
        query.cursors.push_back({topic, view.next.value_or(FeedQuery::kNothing),
                                 view.history.state_hash(), true});
    }
    return query;
}

Micros
DirectoryView::query_wait(Micros now) const
{
    const Micros hold = query().wait;
    const Micros stale_at = required_topics_as_of() + max_age(source().role);
    // Stale state is refreshed from the directory itself.
    if (must_list() || now >= stale_at || !m_may_skip_hold)
        return hold;
    const Micros answer_time = std::max<Micros>(0, now - m_answer_sent_at);
    return now + hold + answer_time < stale_at ? hold : 0;
}

DirectoryChange
DirectoryView::apply_answer(const FeedAnswer& answer, Micros requested_at, Micros now)
{
    DirectoryChange change;
    if (!shares_offsets(answer.generation) && !mutated(Mutation::TakeOlderGeneration))
        return change;
    const Micros known_as_of = required_topics_as_of();
    Micros in_transit = std::max<Micros>(0, now - requested_at - answer.held);
    if (mutated(Mutation::ForgetTransit))
        in_transit = 0;
    for (const FeedAnswer::Topic& topic : answer.topics) {
        if (topic.covered)
            apply_topic(topic, now - topic.age - in_transit, now, change);
        else
            of(topic.topic).reader_lacks_records = !topic.pending;
        of(topic.topic).is_pending = topic.pending;
    }
    m_answer_sent_at = requested_at + answer.held;
    const bool was_held = answer.held >= query().wait / 2;
    m_may_skip_hold = was_held || required_topics_as_of() > known_as_of;
    return change;
}

/// Daemons of an earlier version send no generation: as long as the log was never restored,
/// their generation is the same.
bool
DirectoryView::shares_offsets(LogGeneration generation) const
{
    return generation == m_generation || m_generation == 0
        || (generation == 0 && m_restores == 0);
}

FeedQuery::Cursor
DirectoryView::to_local_cursor(const FeedQuery::Cursor& cursor,
                               LogGeneration generation) const
{
    // A requester of an earlier version sends no generation even after it listed again.
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
DirectoryView::apply_topic(const FeedAnswer::Topic& topic, Micros as_of, Micros now,
                           DirectoryChange& change)
{
    TopicView& view = of(topic.topic);
    const bool after_outage = is_after_outage(topic.topic, now);
    const bool is_behind = !view.next || *view.next < topic.listing_end;
    if (is_behind && !apply_listing(topic, now, change)) {
        view.reader_lacks_records = true;
        return;
    }
    const Offset seen = *view.next;
    for (const OffsetRecord& entry : topic.records) {
        if (entry.offset < seen)
            continue;
        OffsetRecord whole = entry;
        if (!RecordPacker::unpack(whole, view.history)) {
            change.invalid.push_back(
                {topic.topic, entry.record.key, "compressed against an unknown value"});
            view.reader_lacks_records = true;
            return;
        }
        const bool changed = apply_record(topic.topic, whole.record, whole.offset,
                                          after_outage, now, change);
        change.must_notify |= changed && topic.topic != DirectoryTopic::Daemons;
        keep_received(topic.topic, whole, changed);
    }
    view.next = std::max(seen, topic.next);
    view.known_end = std::max(view.known_end, *view.next);
    view.history.advance(*view.next);
    if (as_of > view.as_of)
        view.misses = 0;
    confirm(topic.topic, as_of, now);
}

/// A listing older than the state known before the topic had to be listed would revert some
/// of that state.
bool
DirectoryView::apply_listing(const FeedAnswer::Topic& topic, Micros now,
                             DirectoryChange& change)
{
    const bool is_older = topic.listing_end < of(topic.topic).known_end
        && !mutated(Mutation::TakeOlderListing);
    if (topic.listing.empty() || is_older)
        return false;
    std::vector<DirectoryRecord> records;
    for (const std::string& part : topic.listing) {
        auto unpacked = unpack_listing(part);
        if (!unpacked) {
            change.invalid.push_back({topic.topic, "listing", unpacked.error().detail});
            return false;
        }
        for (OffsetRecord& entry : *unpacked)
            records.push_back(
                {std::move(entry.record.key), std::move(entry.record.value), entry.offset});
    }
    open_listing(topic.topic);
    const DirectoryChange listed = apply_listed(topic.topic, records, now);
    change.invalid.insert(change.invalid.end(), listed.invalid.begin(),
                          listed.invalid.end());
    // The age in the answer applies to the listing together with the records that follow.
    end_listing(topic.topic, topic.listing_end, kUnknownAge, now);
    change.must_notify = true;
    return true;
}

/// Keeps a record received from another daemon for daemons that query this one.
void
DirectoryView::keep_received(DirectoryTopic topic, const OffsetRecord& received,
                             bool changed)
{
    RecordHistory& history = of(topic).history;
    const bool in_force = changed || is_in_force(topic, received.record);
    record_newest(topic, received.record, received.offset, in_force);
    if (topic == DirectoryTopic::Configuration && in_force)
        keep_configuration(received.offset, received.record);
    else if (changed || !received.is_keepalive)
        // Kept even if it changed nothing here: it may change the state of other daemons.
        history.append(received.offset, received.record);
}

bool
DirectoryView::record_reader_miss(DirectoryTopic topic, Micros now)
{
    const bool is_required
        = topic == DirectoryTopic::Configuration || topic == DirectoryTopic::Upstreams;
    if (!is_required || is_starting(now))
        return false;
    int& misses = of(topic).misses;
    if (++misses < kMissesAllowed)
        return false;
    misses = 0;
    return true;
}

// ------------------------------------------------------ for other daemons

/// New records of daemons don't end the wait of a query.
bool
DirectoryView::must_answer(const FeedQuery& query) const
{
    if (query.accepts_unreachable_list
        && query.unreachable_revision != m_unreachable.list().revision)
        return true;
    return std::any_of(query.cursors.begin(), query.cursors.end(), [&](const auto& cursor) {
        const FeedQuery::Cursor c = to_local_cursor(cursor, query.generation);
        const TopicView& view = of(c.topic);
        if (!view.next)
            return false;
        if (!view.history.covers(c.from))
            return true;
        return c.topic != DirectoryTopic::Daemons && view.history.has_changes(c.from);
    });
}

FeedAnswer
DirectoryView::answer_to(const FeedQuery& query, Micros now)
{
    FeedAnswer answer;
    answer.generation = m_generation;
    for (const FeedQuery::Cursor& requested : query.cursors) {
        const FeedQuery::Cursor cursor = to_local_cursor(requested, query.generation);
        FeedAnswer::Topic topic = answer_to(cursor, now);
        const bool wants_keepalives
            = query.wants_keepalives && cursor.topic == DirectoryTopic::Upstreams;
        if (topic.covered && wants_keepalives)
            add_keepalives(topic.records,
                           topic.listing.empty() ? cursor.from : topic.listing_end);
        TopicView& view = of(cursor.topic);
        // A requester that applies a listing discards the value whose hash it sent.
        const std::uint64_t base = topic.listing.empty() ? cursor.base : 0;
        if (query.accepts_packed)
            for (OffsetRecord& entry : topic.records)
                entry = view.packer.pack(entry, view.history, base);
        answer.topics.push_back(std::move(topic));
    }
    if (query.accepts_unreachable_list
        && query.unreachable_revision != m_unreachable.list().revision)
        answer.unreachable = m_unreachable.list();
    return answer;
}

/// Changes from the cursor on, or a listing if they are not known and it is accepted.
FeedAnswer::Topic
DirectoryView::answer_to(const FeedQuery::Cursor& cursor, Micros now)
{
    TopicView& view = of(cursor.topic);
    FeedAnswer::Topic topic;
    topic.topic = cursor.topic;
    topic.pending = !view.next;
    auto records = view.history.since(cursor.from);
    if (!records && cursor.accepts_listing && view.next) {
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

/// Adds newest records of upstreams at `from` or later that changed nothing.
void
DirectoryView::add_keepalives(std::vector<OffsetRecord>& records, Offset from) const
{
    std::set<Offset> present;
    for (const OffsetRecord& entry : records)
        present.insert(entry.offset);
    for (OffsetRecord& newest : of(DirectoryTopic::Upstreams).listing.since(from)) {
        newest.is_keepalive = true;
        if (!present.contains(newest.offset))
            records.push_back(std::move(newest));
    }
    std::stable_sort(records.begin(), records.end(),
                     [](const auto& a, const auto& b) { return a.offset < b.offset; });
}

} // namespace cypressford
