// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory_view.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <cypressford/mutation.h>

#include "libutil/crypto.h"
#include "mix.h"

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
/// Daemons that start together tell of themselves within this time after the first.
constexpr Micros kMeetingTime = 600 * kMillisecond;
/// Or it is over once none has come for so long.
constexpr Micros kMeetingQuiet = 150 * kMillisecond;
/// A daemon that is told nothing lists by itself after so long, a reader first, ...
constexpr Micros kUntoldLimit = 3 * kSecond;
constexpr Micros kReaderUntoldLimit = 1500 * kMillisecond;
/// The same where its reader answers but does not know the topic yet, either.
constexpr Micros kPendingLimit = 8 * kSecond;
/// ... one after the other: a listing of 10,003 upstreams is some 30 calls and 4 MB.
constexpr Micros kListingSpacing = 20 * kMillisecond;
/// Until it knows how many others there are, a daemon takes them for so many.
constexpr int kLeastSpreadOver = 200;
/// Of a listing: as old as can be.
constexpr Micros kUnknownAge = 0;
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
    , m_draw(spread(fast_hash(node)))
    , m_fold(vanish_grace)
    , m_daemons(std::move(node), silent_after(1, writes_per_s))
{
    for (TopicView& view : m_views) {
        view.as_of = now;
        view.unlisted_since = now;
    }
}

// --------------------------------------------------------- from the directory

void
DirectoryView::begin_listing(DirectoryTopic topic, Micros now)
{
    of(topic).asked_at = now;
    open_listing(topic);
}

void
DirectoryView::open_listing(DirectoryTopic topic)
{
    of(topic).listing.begin_listing();
    // What lies in the directory may be an older configuration, written late.
    if (topic == DirectoryTopic::Configuration)
        of(topic).listing.name(m_configuration_key);
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
        const bool changed
            = take_record(topic, record, record.offset, after_outage, now, change);
        note_newest(topic, record, record.offset, changed || is_in_force(topic, record));
        of(topic).listing.name(record.key);
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
    // Another daemon may tell of a time before this one started.
    if (!std::exchange(view.was_listed, true))
        view.as_of = asked_at;
    view.next = end;
    view.known_to = std::max(view.known_to, end);
    view.listing.end_listing();
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
        note_newest(topic, record, offset, changed || is_in_force(topic, record));
        ++offset;
    }
    view.next = std::max(view.next.value_or(offset), offset);
    view.known_to = std::max(view.known_to, *view.next);
    view.history.advance(offset);
    view.just_changed = !records.empty();
    // An empty answer says that nothing came all the time that the question waited.
    confirm(topic, asked_at + (records.empty() ? waited : 0), now);
    return change;
}

void
DirectoryView::note_history_lost(DirectoryTopic topic, Micros now)
{
    of(topic).next.reset();
    of(topic).unlisted_since = now;
}

/// Keeps it for daemons that know nothing yet.  A configuration that is not in force is
/// none that they should begin with.
void
DirectoryView::note_newest(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                           bool in_force)
{
    const bool is_vital
        = topic == DirectoryTopic::Configuration || topic == DirectoryTopic::Upstreams;
    const bool is_evacuation = topic == DirectoryTopic::Configuration
        && m_dialect.decode_evacuation(record).has_value();
    if (record.value.empty())
        of(topic).listing.erase(record.key);
    else if (!is_vital || is_evacuation
             || (topic == DirectoryTopic::Configuration && in_force))
        of(topic).listing.put(record, at);
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
    const TopicListing::Entry* last = of(topic).listing.find(record.key);
    const bool is_end = topic == DirectoryTopic::Upstreams && record.value.empty();
    if (is_end && last && !mutated(Mutation::ForgetLastRecord))
        history.append(offset, {record.key, last->value});
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
        query.cursors.push_back({topic, view.next.value_or(FeedQuery::kNothing),
                                 view.history.state_hash(), true});
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
            of(topic.topic).overdue = !topic.pending;
        of(topic.topic).is_pending = topic.pending;
    }
    return change;
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
    return std::any_of(query.cursors.begin(), query.cursors.end(), [this](const auto& c) {
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
    for (const FeedQuery::Cursor& cursor : query.cursors) {
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

bool
DirectoryView::must_list() const
{
    return std::any_of(std::begin(kTopics), std::end(kTopics), [this](auto topic) {
        return topic != DirectoryTopic::Suspects && !of(topic).next;
    });
}

DirectorySource
DirectoryView::source() const
{
    if (of(DirectoryTopic::Daemons).was_listed)
        return m_daemons.source_for(m_hall);
    if (m_referral.role == DirectoryRole::Root)
        return {};
    for (const DaemonRecord& daemon : m_referral.ask)
        if (!m_daemons.is_suspected(daemon.peers_address))
            return {m_referral.role, daemon};
    return {DirectoryRole::Fresh, std::nullopt};
}

bool
DirectoryView::wants_referral() const
{
    return source().role == DirectoryRole::Fresh;
}

void
DirectoryView::take_referral(const DirectoryReferral& referral, Micros now)
{
    m_referral = referral;
    m_peers_answer = true;
    for (const DaemonRecord& daemon : referral.ask)
        m_daemons.apply(daemon, now);
}

void
DirectoryView::meet(const DaemonRecord& daemon, Micros now)
{
    if (!m_daemons.apply(daemon, now))
        return;
    m_new_daemons.push_back(daemon);
    m_met_at = now;
}

DirectoryReferral
DirectoryView::refer(const DaemonRecord& asker) const
{
    return m_own ? m_daemons.refer(asker, *m_own) : DirectoryReferral {};
}

Micros
DirectoryView::time_until_refer(Micros now) const
{
    if (of(DirectoryTopic::Daemons).was_listed)
        return 0;
    const Micros quiet = std::max(m_started_at, m_met_at) + kMeetingQuiet;
    return std::min(m_started_at + kMeetingTime, quiet) - now;
}

/// Daemons that know who reads wait to be told, and those that know nobody until they do:
/// 986 that start at once and list 10,003 upstreams each ask more than the directory can
/// answer.  Whoever is not told in time lists by itself, at a rate that does not grow with
/// the fleet.
Micros
DirectoryView::time_until_listed(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    const DirectoryRole role = source().role;
    if (role == DirectoryRole::Root || view.overdue)
        return 0;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    if (is_daemons && !m_own)
        return 0;
    Micros limit = role == DirectoryRole::HallReader ? kReaderUntoldLimit : kUntoldLimit;
    if (view.is_pending)
        limit = kPendingLimit;
    if (is_daemons && !m_peers_answer)
        limit = 0;
    const double others = std::max(kLeastSpreadOver, m_daemons.alive());
    const auto turn = static_cast<Micros>(m_draw * others * kListingSpacing);
    return view.unlisted_since + limit + turn - now;
}

Micros
DirectoryView::time_until_read(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    if (!view.next)
        return time_until_listed(topic, now);
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    const DirectorySource from = source();
    const DirectoryRole role = from.role;
    if (from.daemon) {
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

Micros
DirectoryView::in_turn(Micros time) const
{
    return time / 2 + static_cast<Micros>(m_draw * static_cast<double>(time));
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
        return take_upstream(record, at, after_outage, now, change);
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
    if (is_newer) {
        m_configuration_hash = fast_hash(record.value);
        m_configuration_key = record.key;
    }
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
DirectoryView::take_upstream(const DirectoryRecord& record, Offset at, bool after_outage,
                             Micros now, DirectoryChange& change)
{
    if (record.value.empty()) {
        m_fold.drop(record.key, now, after_outage);
        return true;
    }
    const auto upstream = m_dialect.decode_upstream(record);
    if (upstream) {
        const bool changed = m_fold.apply(*upstream, now);
        // Whoever is told of one that was written late, and then of the upstream's end,
        // takes the records in between for its return.
        if (!m_fold.is_outdated(*upstream))
            of(DirectoryTopic::Upstreams).listing.put(record, at);
        return changed;
    }
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
