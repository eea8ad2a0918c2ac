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
    if (topic == DirectoryTopic::Configuration)
        end_evacuations(end, now);
    if (topic == DirectoryTopic::Suspects)
        m_suspects.end_listing(end);
    // Another daemon may tell of a time before this one started.
    if (!std::exchange(view.was_listed, true))
        view.as_of = asked_at;
    if (std::exchange(view.is_restored, false))
        view.returns_until = now + m_pace.outage;
    view.next = end;
    view.known_to = std::max(view.known_to, end);
    view.listing.end_listing();
    view.history.restart(end);
    confirm(topic, asked_at, now);
}

void
DirectoryView::end_evacuations(Offset end, Micros now)
{
    std::optional<Micros> valid_until;
    if (of(DirectoryTopic::Configuration).is_restored)
        valid_until = now + m_fold.vanish_grace();
    if (m_fold.evacuations().end_listing(end, valid_until))
        m_fold.note_evacuations_changed();
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
        // Not of a configuration if it told a listing, whose newest one was written late.
        const bool is_taken = !is_seen || is_configuration(topic, record);
        const bool changed
            = is_taken && take_record(topic, record, offset, after_outage, now, change);
        if (!is_seen && (changed || is_in_force(topic, record)))
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

bool
DirectoryView::note_generation(LogGeneration told, Micros now)
{
    if (told == 0 || told == m_generation)
        return false;
    const bool is_first = std::exchange(m_generation, told) == 0;
    if (is_first || mutated(Mutation::KeepOffsets))
        return false;
    ++m_restores;
    for (const DirectoryTopic topic : kTopics)
        forget_offsets(topic, now);
    m_fold.evacuations().forget_offsets();
    m_suspects.on_log_restored();
    return true;
}

/// What is known holds on; the listing that follows adds to it.
void
DirectoryView::forget_offsets(DirectoryTopic topic, Micros now)
{
    TopicView& view = of(topic);
    note_history_lost(topic, now);
    view.known_to = 0;
    view.is_restored = true;
    view.overdue = false;
    view.just_changed = false;
    view.history = {};
    view.packer = {};
    view.listing.forget_offsets();
}

std::vector<DirectoryRecord>
DirectoryView::lost_suspects(std::string_view prefix) const
{
    std::vector<DirectoryRecord> records;
    if (of(DirectoryTopic::Suspects).is_restored)
        return records;
    for (const auto& [key, record] : m_suspects.lost(prefix))
        records.push_back({key, encode(record)});
    return records;
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

bool
DirectoryView::is_configuration(DirectoryTopic topic, const DirectoryRecord& record) const
{
    return topic == DirectoryTopic::Configuration && !m_dialect.decode_evacuation(record);
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

// ------------------------------------------------------------------- records

/// True if records that went may have lapsed because the directory was away.
bool
DirectoryView::is_after_outage(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    return view.is_restored || now < view.returns_until || now - view.as_of > m_pace.outage;
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
        // An older copy holds what a daemon wrote before its last start.
        if (of(DirectoryTopic::Daemons).is_restored && m_daemons.knows_other_start(*daemon))
            return;
        m_lived_before |= m_own && daemon->node == m_own->node
            && daemon->incarnation != m_own->incarnation;
        m_daemons.apply(*daemon, now);
        m_new_daemons.push_back(*std::move(daemon));
    } else {
        change.unread.push_back(
            {DirectoryTopic::Daemons, record.key, daemon.error().detail});
    }
}

} // namespace cypressford
