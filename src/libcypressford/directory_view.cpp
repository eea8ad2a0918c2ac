// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory_view.h>

#include <algorithm>
#include <set>
#include <utility>

#include <cypressford/mutation.h>

#include "libutil/crypto.h"

namespace cypressford {

namespace {

/// Between attempts to reach a directory that does not answer; doubles so often for those
/// that hear from a reader.
constexpr Micros kRetryPause = 500 * kMillisecond;
constexpr int kMaxRetryDoublings = 2;
/// A daemon that knows nothing yet tries more often.
constexpr Micros kFirstRetryPause = 200 * kMillisecond;
/// Between looks at the records of daemons: short at first, while all may be starting.
constexpr Micros kDaemonsPace = 2500 * kMillisecond;
constexpr Micros kDaemonsFirstPace = 300 * kMillisecond;
constexpr Micros kFirstLooks = 2400 * kMillisecond; ///< so long after the start
/// Records of daemons older than this are renewed at the directory itself.
constexpr Micros kDaemonsStale = 6 * kSecond;
/// A daemon that has listed configuration and upstreams waits no longer for the rest: the
/// store lists 295 records of daemons in 40 ms.
constexpr Micros kWaitForRest = 500 * kMillisecond;
/// So many times in a row a reader may know less than the directory.
constexpr int kMissesAllowed = 2;

} // namespace

DirectoryView::DirectoryView(const DirectoryDialect& dialect, DirectoryPace pace,
                             Micros vanish_grace, std::string node, std::string hall,
                             double writes_per_s, Micros now)
    : m_dialect(dialect)
    , m_pace(pace)
    , m_hall(std::move(hall))
    , m_writes_per_s(writes_per_s)
    , m_started_at(now)
    , m_fold(vanish_grace)
    , m_daemons(std::move(node), silent_after(1, writes_per_s))
{
    for (TopicView& view : m_views)
        view.as_of = now;
}

/// What a daemon must have listed before it asks another one for what follows.  A listing
/// of suspects that fails keeps no daemon at the directory.
bool
DirectoryView::are_listed() const
{
    return std::all_of(std::begin(kTopics), std::end(kTopics), [this](auto topic) {
        return topic == DirectoryTopic::Suspects || of(topic).next.has_value();
    });
}

// --------------------------------------------------------- from the directory

void
DirectoryView::begin_listing(DirectoryTopic topic, Micros now)
{
    of(topic).asked_at = now;
    if (topic == DirectoryTopic::Upstreams)
        m_fold.begin_listing();
    if (topic == DirectoryTopic::Configuration)
        m_fold.evacuations().begin_listing();
    if (topic == DirectoryTopic::Suspects)
        m_suspects.begin_listing();
}

DirectoryChange
DirectoryView::take_listed(DirectoryTopic topic,
                           const std::vector<DirectoryRecord>& records, Micros now)
{
    DirectoryChange change;
    const bool after_outage = is_after_outage(topic, now);
    for (const DirectoryRecord& record : records) {
        take_record(topic, record, record.offset, after_outage, now, change);
        if (topic == DirectoryTopic::Upstreams)
            m_last_records[record.key] = {record.value, 0};
    }
    return change;
}

void
DirectoryView::end_listing(DirectoryTopic topic, Offset end, Micros asked_at, Micros now)
{
    TopicView& view = of(topic);
    if (topic == DirectoryTopic::Upstreams)
        m_fold.end_listing(now, is_after_outage(topic, now));
    if (topic == DirectoryTopic::Configuration && m_fold.evacuations().end_listing(end))
        m_fold.note_evacuations_changed();
    if (topic == DirectoryTopic::Suspects)
        m_suspects.end_listing(end);
    view.next = end;
    view.history.restart(end);
    confirm(topic, asked_at, now);
}

DirectoryChange
DirectoryView::take_page(DirectoryTopic topic, Offset from,
                         const std::vector<DirectoryRecord>& records, Micros asked_at,
                         Micros waited, Micros now)
{
    TopicView& view = of(topic);
    const bool after_outage = is_after_outage(topic, now);
    DirectoryChange change;
    Offset offset = from;
    for (const DirectoryRecord& record : records) {
        // The reader of the hall may have told of it meanwhile.
        const bool is_seen = view.next && offset < *view.next;
        const bool changed
            = !is_seen && take_record(topic, record, offset, after_outage, now, change);
        if (changed || (!is_seen && is_in_force(topic, record)))
            keep(topic, offset, record);
        change.news |= changed && topic != DirectoryTopic::Daemons;
        if (topic == DirectoryTopic::Upstreams && !record.value.empty())
            m_last_records[record.key] = {record.value, offset};
        ++offset;
    }
    view.next = std::max(view.next.value_or(offset), offset);
    view.history.advance(offset);
    view.just_changed = !records.empty();
    // An empty answer says that nothing came all the time that the question waited.
    confirm(topic, asked_at + (records.empty() ? waited : 0), now);
    return change;
}

/// True for the configuration in force, written once more: it changes nothing here, but
/// whoever listed an older one, written late in between, has missed it.
bool
DirectoryView::is_in_force(DirectoryTopic topic, const DirectoryRecord& record) const
{
    return topic == DirectoryTopic::Configuration
        && fast_hash(record.value) == m_configuration_hash;
}

/// A configuration takes the place of all before it; an evacuation stands beside it.
void
DirectoryView::keep_configuration(Offset offset, const DirectoryRecord& record)
{
    RecordHistory& history = of(DirectoryTopic::Configuration).history;
    if (m_dialect.decode_evacuation(record))
        history.append(offset, record);
    else
        history.append_state(offset, record);
}

/// Keeps a record for daemons that ask for it.
void
DirectoryView::keep(DirectoryTopic topic, Offset offset, const DirectoryRecord& record)
{
    RecordHistory& history = of(topic).history;
    if (topic == DirectoryTopic::Configuration) {
        keep_configuration(offset, record);
        return;
    }
    // Others were not told of signs of life.  With the last of them they take no
    // older record, written late, for a return.
    const auto last = m_last_records.find(record.key);
    const bool is_end = topic == DirectoryTopic::Upstreams && record.value.empty();
    if (is_end && last != m_last_records.end()) {
        if (!mutated(Mutation::ForgetLastRecord))
            history.append(offset, {last->first, last->second.value});
        m_last_records.erase(last);
    }
    history.append(offset, record);
}

// ---------------------------------------------------- from the hall's reader

FeedQuery
DirectoryView::query() const
{
    FeedQuery query;
    const bool is_reader = source().role != DirectoryRole::Follower;
    query.wait = is_reader ? m_pace.reader_hold : m_pace.hold;
    query.takes_packed = true;
    query.wants_signs = is_reader;
    for (const DirectoryTopic topic : kTopics) {
        const TopicView& view = of(topic);
        query.cursors.push_back({topic, view.next.value_or(0), view.history.state_hash()});
    }
    return query;
}

DirectoryChange
DirectoryView::take_answer(const FeedAnswer& answer, Micros asked_at, Micros now)
{
    DirectoryChange change;
    Micros on_the_way = std::max<Micros>(0, now - asked_at - answer.held);
    if (mutated(Mutation::ForgetTransit))
        on_the_way = 0;
    for (const FeedAnswer::Topic& topic : answer.topics) {
        if (topic.covered)
            take_topic(topic, now - topic.age - on_the_way, now, change);
        else
            of(topic.topic).overdue = true;
    }
    return change;
}

void
DirectoryView::take_topic(const FeedAnswer::Topic& topic, Micros as_of, Micros now,
                          DirectoryChange& change)
{
    TopicView& view = of(topic.topic);
    if (!view.next)
        return;
    const bool after_outage = is_after_outage(topic.topic, now);
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
    view.history.advance(*view.next);
    if (as_of > view.as_of)
        view.misses = 0;
    confirm(topic.topic, as_of, now);
}

/// Keeps what another daemon told for those that ask this one.
void
DirectoryView::keep_told(DirectoryTopic topic, const OffsetRecord& told, bool changed)
{
    RecordHistory& history = of(topic).history;
    if (topic == DirectoryTopic::Upstreams) {
        if (told.record.value.empty())
            m_last_records.erase(told.record.key);
        else
            m_last_records[told.record.key] = {told.record.value, told.offset};
    }
    if (topic == DirectoryTopic::Configuration
        && (changed || is_in_force(topic, told.record)))
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
    return std::any_of(query.cursors.begin(), query.cursors.end(), [this](const auto& c) {
        const RecordHistory& history = of(c.topic).history;
        if (!history.covers(c.from))
            return true;
        return c.topic != DirectoryTopic::Daemons && history.has_news(c.from);
    });
}

FeedAnswer
DirectoryView::answer_to(const FeedQuery& query, Micros now)
{
    FeedAnswer answer;
    for (const FeedQuery::Cursor& cursor : query.cursors) {
        TopicView& view = of(cursor.topic);
        FeedAnswer::Topic topic;
        topic.topic = cursor.topic;
        if (auto records = view.history.since(cursor.from)) {
            topic.covered = true;
            topic.next = view.history.next();
            topic.age = now - view.as_of;
            topic.records = *std::move(records);
            if (query.wants_signs && cursor.topic == DirectoryTopic::Upstreams)
                add_signs(topic.records, cursor.from);
            if (query.takes_packed)
                for (OffsetRecord& entry : topic.records)
                    entry = view.packer.pack(entry, view.history, cursor.base);
        }
        answer.topics.push_back(std::move(topic));
    }
    return answer;
}

/// Newest records of upstreams at `from` or later that changed nothing.
void
DirectoryView::add_signs(std::vector<OffsetRecord>& records, Offset from) const
{
    std::set<Offset> told;
    for (const OffsetRecord& entry : records)
        told.insert(entry.offset);
    for (const auto& [key, last] : m_last_records)
        if (last.offset >= from && !told.contains(last.offset))
            records.push_back({last.offset, {key, last.value}, false, 0, true});
    std::stable_sort(records.begin(), records.end(),
                     [](const auto& a, const auto& b) { return a.offset < b.offset; });
}

// ------------------------------------------------------------- when and whom

bool
DirectoryView::can_serve(Micros now) const
{
    if (!of(DirectoryTopic::Upstreams).next || !m_fold.configuration())
        return false;
    const bool has_rest
        = of(DirectoryTopic::Daemons).next && of(DirectoryTopic::Suspects).next;
    return has_rest || now - m_started_at >= kWaitForRest;
}

bool
DirectoryView::is_new(Micros now) const
{
    return now - m_started_at < kFirstLooks;
}

DirectorySource
DirectoryView::source() const
{
    return are_listed() ? m_daemons.source_for(m_hall) : DirectorySource {};
}

Micros
DirectoryView::time_until_read(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    if (!view.next)
        return 0;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    const DirectoryRole role = source().role;
    if (role != DirectoryRole::Root) {
        if (view.overdue)
            return 0;
        const Micros bearable = role == DirectoryRole::HallReader
            ? m_pace.reader_stale_after
            : m_pace.stale_after;
        const Micros stale = is_daemons ? kDaemonsStale : bearable;
        // While the directory is away it is not asked without a pause.
        return std::max(view.as_of + stale, view.asked_at + kRetryPause) - now;
    }
    // At first nearly all find out soon that another one reads: none of them waits there.
    if (topic == DirectoryTopic::Configuration && !is_new(now))
        return 0;
    const Micros daemons_pace = is_new(now) ? kDaemonsFirstPace : kDaemonsPace;
    return view.asked_at + (is_daemons ? daemons_pace : m_pace.read_pause) - now;
}

Micros
DirectoryView::retry_pause(int failures) const
{
    if (!m_fold.configuration())
        return kFirstRetryPause;
    if (source().role != DirectoryRole::Follower)
        return kRetryPause;
    return kRetryPause << std::min(failures, kMaxRetryDoublings);
}

/// A record that came while a question waited leaves open when; asked again without
/// waiting, the directory confirms it at once.
Micros
DirectoryView::wait_of(DirectoryTopic topic, Micros now) const
{
    const bool waits = topic == DirectoryTopic::Configuration && !is_new(now)
        && source().role == DirectoryRole::Root && !of(topic).just_changed;
    return waits ? m_pace.read_wait : 0;
}

std::vector<DaemonRecord>
DirectoryView::take_new_daemons()
{
    return std::exchange(m_new_daemons, {});
}

// ------------------------------------------------------------------- records

/// True if records that went may have lapsed because the directory was away.
bool
DirectoryView::is_after_outage(DirectoryTopic topic, Micros now) const
{
    return now - of(topic).as_of > m_pace.outage;
}

void
DirectoryView::confirm(DirectoryTopic topic, Micros as_of, Micros now)
{
    TopicView& view = of(topic);
    view.as_of = std::max(view.as_of, as_of);
    if (topic != DirectoryTopic::Daemons)
        return;
    m_daemons.note_read(now);
    m_daemons.set_silent_after(silent_after(m_daemons.alive(), m_writes_per_s));
}

/// True if the record changed something that other daemons must know.
bool
DirectoryView::take_record(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                           bool after_outage, Micros now, DirectoryChange& change)
{
    switch (topic) {
    case DirectoryTopic::Configuration:
        return take_configuration(record, at, change);
    case DirectoryTopic::Upstreams:
        return take_upstream(record, after_outage, now, change);
    case DirectoryTopic::Suspects:
        return take_suspects(record, at, change);
    case DirectoryTopic::Daemons:
        break;
    }
    take_daemon(record, now, change);
    return true;
}

bool
DirectoryView::take_configuration(const DirectoryRecord& record, Offset at,
                                  DirectoryChange& change)
{
    if (const auto evacuation = m_dialect.decode_evacuation(record))
        return take_evacuation(*evacuation, at);
    auto bundle = m_dialect.decode_configuration(record);
    if (!bundle) {
        change.unread.push_back(
            {DirectoryTopic::Configuration, record.key, bundle.error().detail});
        return false;
    }
    const auto faults = check_bundle(*bundle);
    if (!faults.empty()) {
        change.unread.push_back(
            {DirectoryTopic::Configuration, record.key, faults.front().message});
        return false;
    }
    const bool is_newer = m_fold.offer_configuration(*std::move(bundle));
    if (is_newer)
        m_configuration_hash = fast_hash(record.value);
    return is_newer;
}

bool
DirectoryView::take_evacuation(const EvacuationRecord& evacuation, Offset at)
{
    const bool changed = m_fold.evacuations().apply(evacuation, at);
    if (changed)
        m_fold.note_evacuations_changed();
    return changed;
}

bool
DirectoryView::take_upstream(const DirectoryRecord& record, bool after_outage, Micros now,
                             DirectoryChange& change)
{
    if (record.value.empty()) {
        m_fold.drop(record.key, now, after_outage);
        return true;
    }
    const auto upstream = m_dialect.decode_upstream(record);
    if (upstream)
        return m_fold.apply(*upstream, now);
    m_fold.note_listed(record.key);
    change.unread.push_back(
        {DirectoryTopic::Upstreams, record.key, upstream.error().detail});
    return false;
}

bool
DirectoryView::take_suspects(const DirectoryRecord& record, Offset at,
                             DirectoryChange& change)
{
    if (record.value.empty())
        return m_suspects.drop(record.key);
    const auto suspects = decode_suspects(record.value);
    if (!suspects) {
        change.unread.push_back(
            {DirectoryTopic::Suspects, record.key, suspects.error().detail});
        return false;
    }
    return m_suspects.apply(record.key, *suspects, at);
}

void
DirectoryView::take_daemon(const DirectoryRecord& record, Micros now,
                           DirectoryChange& change)
{
    if (record.value.empty()) {
        m_daemons.drop(record.key);
        DaemonRecord gone;
        gone.node = record.key;
        gone.stopping = true;
        m_new_daemons.push_back(std::move(gone));
    } else if (auto daemon = decode_daemon(record.value)) {
        m_daemons.apply(*daemon, now);
        m_new_daemons.push_back(*std::move(daemon));
    } else {
        change.unread.push_back(
            {DirectoryTopic::Daemons, record.key, daemon.error().detail});
    }
}

} // namespace cypressford
