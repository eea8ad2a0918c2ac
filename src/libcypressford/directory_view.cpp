// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory_view.h>

#include <algorithm>
#include <exception>
#include <set>
#include <type_traits>
#include <utility>
#include <vector>

#include <cypressford/mutation.h>

#include "libutil/crypto.h"
#include "mix.h"

namespace cypressford {

namespace {

/// Calls a decoder of one record.  An exception makes that record invalid, and must not
/// keep the records after it from being read.
template <class Decode>
std::invoke_result_t<Decode>
decode_one(Decode&& decode)
{
    try {
        return std::forward<Decode>(decode)();
    } catch (const std::exception& e) {
        return fail(ErrorKind::BadRequest, e.what());
    }
}

} // namespace

DirectoryView::DirectoryView(const DirectoryDialect& dialect, DirectoryTiming timing,
                             Micros removal_grace_period, std::string node,
                             std::string hall, double writes_per_s, Micros now)
    : m_dialect(dialect)
    , m_timing(timing)
    , m_hall(std::move(hall))
    , m_writes_per_s(writes_per_s)
    , m_started_at(now)
    , m_jitter_fraction(uniform_from(fast_hash(node)))
    , m_fold(removal_grace_period)
    , m_daemons(std::move(node), record_timeout(1, writes_per_s))
{
    for (TopicView& view : m_views) {
        view.as_of = now;
        view.unlisted_since = now;
    }
}

// --------------------------------------------------------- from the directory

std::string
DirectoryView::next_page(DirectoryTopic topic, Micros now)
{
    TopicView& view = of(topic);
    if (!view.pages) {
        begin_listing(topic, now);
        view.pages.emplace();
    }
    if (!view.pages->end)
        view.pages->requested_at = now;
    return view.pages->after;
}

Result<DirectoryChange>
DirectoryView::apply_listing_page(DirectoryTopic topic, const DirectoryPage& page,
                                  Micros now)
{
    TopicView& view = of(topic);
    if (!view.pages || view.next) {
        view.pages.reset();
        return DirectoryChange {};
    }
    const bool is_last = !page.more || page.records.empty();
    // If the directory returned this key as the last one again, the listing would never
    // end.
    if (!is_last && page.records.back().key == view.pages->after) {
        view.pages.reset();
        return fail(ErrorKind::Internal,
                    "directory listing returned the same last key twice");
    }
    DirectoryChange change = apply_listed(topic, page.records, now);
    // Records that changed while later pages were read follow the first page's end.
    view.pages->end = view.pages->end.value_or(page.end);
    if (!is_last) {
        view.pages->after = page.records.back().key;
        view.pages->answered_at = now;
        return change;
    }
    const ListingPages done = *std::exchange(view.pages, std::nullopt);
    end_listing(topic, *done.end, done.requested_at, now);
    change.must_notify = true;
    return change;
}

void
DirectoryView::begin_listing(DirectoryTopic topic, Micros now)
{
    of(topic).requested_at = now;
    open_listing(topic);
}

void
DirectoryView::open_listing(DirectoryTopic topic)
{
    of(topic).listing.begin_listing();
    // The directory may hold an older configuration that was written late.
    if (topic == DirectoryTopic::Configuration)
        of(topic).listing.mark_present(m_configuration_key);
    if (topic == DirectoryTopic::Upstreams)
        m_fold.begin_listing();
    if (topic == DirectoryTopic::Configuration)
        m_fold.evacuations().begin_listing();
    if (topic == DirectoryTopic::Suspects)
        m_suspects.begin_listing();
}

DirectoryChange
DirectoryView::apply_listed(DirectoryTopic topic,
                            const std::vector<DirectoryRecord>& records, Micros now)
{
    DirectoryChange change;
    const bool after_outage = is_after_outage(topic, now);
    for (const DirectoryRecord& record : records) {
        const bool changed
            = apply_record(topic, record, record.offset, after_outage, now, change);
        record_newest(topic, record, record.offset, changed || is_in_force(topic, record));
        of(topic).listing.mark_present(record.key);
    }
    return change;
}

void
DirectoryView::end_listing(DirectoryTopic topic, Offset end, Micros requested_at,
                           Micros now)
{
    TopicView& view = of(topic);
    if (topic == DirectoryTopic::Upstreams)
        m_fold.end_listing(now, is_after_outage(topic, now));
    if (topic == DirectoryTopic::Configuration)
        end_evacuation_listing(end, now);
    if (topic == DirectoryTopic::Suspects)
        m_suspects.end_listing(end);
    // A feed may carry a state confirmed before this daemon started.
    if (!std::exchange(view.was_listed, true)) {
        view.as_of = requested_at;
        if (topic == DirectoryTopic::Daemons)
            m_daemons_listed_at = now;
    }
    if (std::exchange(view.is_restored, false))
        view.rewrites_until = now + m_timing.outage;
    view.pages.reset();
    view.is_cut = false;
    view.next = end;
    view.known_end = std::max(view.known_end, end);
    view.listing.end_listing();
    view.history.restart(end);
    confirm(topic, requested_at, now);
}

void
DirectoryView::end_evacuation_listing(Offset end, Micros now)
{
    std::optional<Micros> valid_until;
    if (of(DirectoryTopic::Configuration).is_restored)
        valid_until = now + m_fold.removal_grace_period();
    if (m_fold.evacuations().end_listing(end, valid_until))
        m_fold.on_evacuations_changed();
}

DirectoryChange
DirectoryView::apply_page(DirectoryTopic topic, Offset from,
                          const std::vector<DirectoryRecord>& records, Micros requested_at,
                          Micros waited, Micros now, std::optional<Offset> end)
{
    TopicView& view = of(topic);
    const bool after_outage = is_after_outage(topic, now);
    DirectoryChange change;
    Offset offset = from;
    for (const DirectoryRecord& record : records) {
        // The reader of the hall may have sent the record while the request was pending.
        const bool is_seen = view.next && offset < *view.next;
        // A configuration is applied nevertheless: the reader may have sent a listing, in
        // which the newest configuration was an older one, written late.
        const bool is_applied = !is_seen || is_configuration(topic, record);
        const bool changed
            = is_applied && apply_record(topic, record, offset, after_outage, now, change);
        // After a restore, records of suspects are written again: they change nothing here,
        // but a daemon that starts later must get them.
        const bool is_kept
            = changed || is_in_force(topic, record) || topic == DirectoryTopic::Suspects;
        if (!is_seen && is_kept)
            keep_record(topic, offset, record);
        change.must_notify |= changed && topic != DirectoryTopic::Daemons;
        record_newest(topic, record, offset, changed || is_in_force(topic, record));
        ++offset;
    }
    view.next = std::max(view.next.value_or(offset), offset);
    view.known_end = std::max(view.known_end, *view.next);
    view.history.advance(offset);
    view.just_changed = !records.empty();
    // The directory cuts an answer that is too long.  Until the rest is read, nothing newer
    // is known of the topic as a whole.
    view.is_cut = end && *view.next < *end;
    if (view.is_cut)
        return change;
    // An empty answer confirms that no record was written while the request waited.
    confirm(topic, requested_at + (records.empty() ? waited : 0), now);
    return change;
}

void
DirectoryView::on_history_lost(DirectoryTopic topic, Micros now)
{
    of(topic).next.reset();
    of(topic).unlisted_since = now;
}

bool
DirectoryView::record_generation(LogGeneration generation, Micros now)
{
    if (generation == 0 || generation == m_generation)
        return false;
    const bool is_first = std::exchange(m_generation, generation) == 0;
    if (is_first || mutated(Mutation::KeepOffsets))
        return false;
    ++m_restores;
    for (const DirectoryTopic topic : kTopics)
        forget_offsets(topic, now);
    m_fold.evacuations().forget_offsets();
    m_suspects.on_log_restored();
    return true;
}

/// Keeps the known state; the listing that follows adds to it.
void
DirectoryView::forget_offsets(DirectoryTopic topic, Micros now)
{
    TopicView& view = of(topic);
    on_history_lost(topic, now);
    view.known_end = 0;
    view.pages.reset();
    view.is_restored = true;
    view.reader_lacks_records = false;
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

/// Keeps the record for daemons that have no records yet.  A configuration that is not in
/// force is left out, so that they don't start with it.
void
DirectoryView::record_newest(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                             bool in_force)
{
    const bool is_required
        = topic == DirectoryTopic::Configuration || topic == DirectoryTopic::Upstreams;
    const bool is_evacuation = topic == DirectoryTopic::Configuration
        && m_dialect.decode_evacuation(record).has_value();
    if (record.value.empty())
        of(topic).listing.erase(record.key);
    else if (!is_required || is_evacuation
             || (topic == DirectoryTopic::Configuration && in_force))
        of(topic).listing.put(record, at);
}

bool
DirectoryView::is_configuration(DirectoryTopic topic, const DirectoryRecord& record) const
{
    return topic == DirectoryTopic::Configuration && !m_dialect.decode_evacuation(record);
}

/// True if the record is the configuration in force, written again: it changes nothing
/// here, but a daemon that listed the topic after an older one was written late has missed
/// it.
bool
DirectoryView::is_in_force(DirectoryTopic topic, const DirectoryRecord& record) const
{
    return topic == DirectoryTopic::Configuration
        && fast_hash(record.value) == m_configuration_hash;
}

/// A configuration replaces all earlier ones; evacuation records are kept beside it.
void
DirectoryView::keep_configuration(Offset offset, const DirectoryRecord& record)
{
    RecordHistory& history = of(DirectoryTopic::Configuration).history;
    if (m_dialect.decode_evacuation(record))
        history.append(offset, record);
    else
        history.append_state(offset, record);
}

/// Keeps a record for daemons that query this one.
void
DirectoryView::keep_record(DirectoryTopic topic, Offset offset,
                           const DirectoryRecord& record)
{
    RecordHistory& history = of(topic).history;
    if (topic == DirectoryTopic::Configuration) {
        keep_configuration(offset, record);
        return;
    }
    // Followers were not sent keepalives.  They need the last one, or else they mistake an
    // older record that is written late for the upstream's return.
    const TopicListing::Entry* last = of(topic).listing.find(record.key);
    const bool is_end = topic == DirectoryTopic::Upstreams && record.value.empty();
    if (is_end && last && !mutated(Mutation::ForgetLastRecord))
        history.append(offset, {record.key, last->value});
    history.append(offset, record);
}

// ------------------------------------------------------------------- records

/// True if missing records may have expired because of an outage of the directory.
bool
DirectoryView::is_after_outage(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    return view.is_restored || now < view.rewrites_until
        || now - view.as_of > m_timing.outage;
}

void
DirectoryView::confirm(DirectoryTopic topic, Micros as_of, Micros now)
{
    TopicView& view = of(topic);
    view.as_of = std::max(view.as_of, as_of);
    if (topic != DirectoryTopic::Daemons)
        return;
    update_settled();
    m_daemons.on_directory_read(now);
    m_daemons.set_record_timeout(record_timeout(m_daemons.alive(), m_writes_per_s));
}

/// True if the record changed something that must be passed on to other daemons.
bool
DirectoryView::apply_record(DirectoryTopic topic, const DirectoryRecord& record, Offset at,
                            bool after_outage, Micros now, DirectoryChange& change)
{
    switch (topic) {
    case DirectoryTopic::Configuration:
        return apply_configuration(record, at, change);
    case DirectoryTopic::Upstreams:
        return apply_upstream(record, at, after_outage, now, change);
    case DirectoryTopic::Suspects:
        return apply_suspects(record, at, change);
    case DirectoryTopic::Versions:
    case DirectoryTopic::Origins:
        return false;
    case DirectoryTopic::Daemons:
        break;
    }
    apply_daemon(record, now, change);
    return true;
}

Result<Bundle>
DirectoryView::decode_sound_configuration(const DirectoryRecord& record) const
{
    const Bundle* const known = m_fold.configuration();
    auto bundle = m_dialect.decode_configuration(record, known);
    if (!bundle)
        return bundle;
    const auto faults = check_bundle(*bundle, known);
    if (!faults.empty())
        return fail(ErrorKind::BadRequest, faults.front().message);
    return bundle;
}

bool
DirectoryView::apply_configuration(const DirectoryRecord& record, Offset at,
                                   DirectoryChange& change)
{
    if (const auto evacuation = m_dialect.decode_evacuation(record))
        return apply_evacuation(*evacuation, at);
    auto bundle = decode_one([&] { return decode_sound_configuration(record); });
    if (!bundle) {
        change.invalid.push_back(
            {DirectoryTopic::Configuration, record.key, bundle.error().detail});
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
DirectoryView::apply_evacuation(const EvacuationRecord& evacuation, Offset at)
{
    const bool changed = m_fold.evacuations().apply(evacuation, at);
    if (changed)
        m_fold.on_evacuations_changed();
    return changed;
}

bool
DirectoryView::apply_upstream(const DirectoryRecord& record, Offset at, bool after_outage,
                              Micros now, DirectoryChange& change)
{
    if (record.value.empty()) {
        m_fold.drop(record.key, now, after_outage);
        return true;
    }
    const auto upstream = decode_one([&] { return m_dialect.decode_upstream(record); });
    if (upstream) {
        const bool changed = m_fold.apply(*upstream, now);
        // A daemon that is sent an outdated record, and then the upstream's end, mistakes
        // the records in between for the upstream's return.
        if (!m_fold.is_outdated(*upstream))
            of(DirectoryTopic::Upstreams).listing.put(record, at);
        return changed;
    }
    m_fold.mark_listed(record.key);
    change.invalid.push_back(
        {DirectoryTopic::Upstreams, record.key, upstream.error().detail});
    return false;
}

bool
DirectoryView::apply_suspects(const DirectoryRecord& record, Offset at,
                              DirectoryChange& change)
{
    if (record.value.empty())
        return m_suspects.drop(record.key);
    const auto suspects = decode_one([&] { return decode_suspects(record.value); });
    if (!suspects) {
        change.invalid.push_back(
            {DirectoryTopic::Suspects, record.key, suspects.error().detail});
        return false;
    }
    return m_suspects.apply(record.key, *suspects, at);
}

void
DirectoryView::apply_daemon(const DirectoryRecord& record, Micros now,
                            DirectoryChange& change)
{
    if (record.value.empty()) {
        m_daemons.drop(record.key);
        DaemonRecord removed;
        removed.node = record.key;
        removed.stopping = true;
        m_new_daemons.push_back(std::move(removed));
    } else if (auto daemon = decode_one([&] { return decode_daemon(record.value); })) {
        // A restored log holds records that a daemon wrote before its last start.
        if (of(DirectoryTopic::Daemons).is_restored
            && m_daemons.knows_other_incarnation(*daemon))
            return;
        m_is_own_listed |= m_own && daemon->node == m_own->node
            && daemon->incarnation == m_own->incarnation;
        if (m_is_peer && !m_is_settled)
            m_listed.insert(daemon->node);
        m_daemons.apply(*daemon, now);
        m_new_daemons.push_back(*std::move(daemon));
    } else {
        change.invalid.push_back(
            {DirectoryTopic::Daemons, record.key, daemon.error().detail});
    }
}

} // namespace cypressford
