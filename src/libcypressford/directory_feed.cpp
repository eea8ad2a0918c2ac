// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory_feed.h>

#include <algorithm>

#include <cypressford/mutation.h>

#include "cypressford.pb.h"
#include "libutil/crypto.h"
#include "libutil/packing.h"

namespace cypressford {

namespace {

constexpr std::size_t kMaxRecords = 1024;
constexpr std::size_t kMaxBytes = 1 << 20;
/// Smaller values take at most 3 ms on a link of 10 Mbit/s and are sent uncompressed.
constexpr std::size_t kPackThresholdBytes = 4 * 1024;

/// Fraction of the bound within which a change must be in force: older state is refreshed
/// from the directory itself, which leaves a third of the bound for the request.
constexpr double kStaleFraction = 0.65;
/// Fractions of stale_after.  A follower's state is at most as old as one wait at the
/// directory, one hold at the root reader, one hold at the reader of its hall and the
/// messages together; if the root reader fails, as old as reader_stale_after and one hold.
/// Both sums must stay below stale_after, or else every follower queries the directory in
/// addition to its reader (295 daemons, bound 4 s, heartbeat 1.2 s, a sum of 2.2 s
/// instead of 1.92 s: 712 changes of readers in normal operation, and half of all calls).
constexpr double kReaderStaleFraction = 0.75;
constexpr double kWaitFraction = 0.42;
constexpr double kReaderHoldFraction = 0.25;
constexpr double kHoldFraction = 0.2;
/// A record expires after three heartbeats without a write, the last of which may be one
/// heartbeat old when an outage begins.
constexpr Micros kOutageHeartbeats = 2;
constexpr double kOutageStaleFraction = 0.8;

Micros
fraction_of(Micros time, double part)
{
    return static_cast<Micros>(static_cast<double>(time) * part);
}

std::size_t
size_of(const DirectoryRecord& record)
{
    return record.key.size() + record.value.size();
}

std::optional<DirectoryTopic>
topic_of(std::uint32_t number)
{
    const auto last = static_cast<std::uint32_t>(DirectoryTopic::Suspects);
    if (number > last)
        return std::nullopt;
    return static_cast<DirectoryTopic>(number);
}

std::uint32_t
to_ms(Micros time)
{
    return static_cast<std::uint32_t>(std::max<Micros>(0, time) / kMillisecond);
}

void
fill(proto::FeedRecord& record, const OffsetRecord& entry)
{
    record.set_offset(entry.offset);
    record.set_key(entry.record.key);
    record.set_value(entry.record.value);
    record.set_packed(entry.packed);
    record.set_base(entry.base);
    record.set_sign(entry.is_keepalive);
}

void
fill(proto::FeedReferral& out, const DirectoryReferral& referral)
{
    out.set_role(static_cast<std::uint32_t>(referral.role));
    for (const DaemonRecord& daemon : referral.daemons)
        out.add_daemons(encode(daemon));
    const auto fleet_size = static_cast<std::uint32_t>(std::max(0, referral.fleet_size));
    out.set_alive(fleet_size);
    out.set_fleet_size(fleet_size);
    out.set_met(static_cast<std::uint32_t>(std::max(0, referral.met)));
}

DirectoryReferral
read(const proto::FeedReferral& in)
{
    DirectoryReferral referral;
    if (in.role() <= static_cast<std::uint32_t>(DirectoryRole::Follower))
        referral.role = static_cast<DirectoryRole>(in.role());
    for (const std::string& bytes : in.daemons())
        if (auto daemon = decode_daemon(bytes))
            referral.daemons.push_back(*std::move(daemon));
    // Earlier versions send only `alive`, a count of the daemons that they have met.
    referral.fleet_size = static_cast<int>(in.fleet_size());
    referral.met = static_cast<int>(std::max(in.met(), in.alive()));
    return referral;
}

OffsetRecord
read(const proto::FeedRecord& record)
{
    return {record.offset(),
            {record.key(), record.value()},
            record.packed(),
            record.base(),
            record.sign()};
}

} // namespace

void
RecordHistory::restart(Offset end)
{
    m_records.clear();
    m_bytes = 0;
    m_first = end;
    m_next = end;
    m_started = true;
    m_state_hash = 0;
    m_previous_hash = 0;
    m_previous.clear();
}

void
RecordHistory::append(Offset offset, const DirectoryRecord& record)
{
    m_records.push_back({offset, record});
    m_bytes += size_of(record);
    m_next = std::max(m_next, offset + 1);
    while (m_records.size() > kMaxRecords
           || (m_bytes > kMaxBytes && m_records.size() > 1)) {
        m_bytes -= size_of(m_records.front().record);
        m_first = m_records.front().offset + 1;
        m_records.pop_front();
    }
}

void
RecordHistory::append_state(Offset offset, const DirectoryRecord& record)
{
    m_previous_hash = 0;
    for (auto older = find(record.key); older != m_records.end();
         older = find(record.key)) {
        m_bytes -= size_of(older->record);
        if (older->offset == m_state_offset) {
            m_previous = std::move(older->record.value);
            m_previous_hash = m_state_hash;
        }
        m_records.erase(older);
    }
    m_state_hash = fast_hash(record.value);
    m_state_offset = offset;
    append(offset, record);
}

std::deque<OffsetRecord>::iterator
RecordHistory::find(std::string_view key)
{
    return std::find_if(m_records.begin(), m_records.end(),
                        [key](const OffsetRecord& r) { return r.record.key == key; });
}

std::optional<std::string_view>
RecordHistory::value_of(std::uint64_t hash) const
{
    if (hash == 0)
        return std::nullopt;
    if (hash == m_previous_hash)
        return m_previous;
    const auto state
        = std::find_if(m_records.begin(), m_records.end(), [this](const OffsetRecord& r) {
              return r.offset == m_state_offset;
          });
    if (hash != m_state_hash || state == m_records.end())
        return std::nullopt;
    return state->record.value;
}

void
RecordHistory::advance(Offset next)
{
    m_next = std::max(m_next, next);
}

bool
RecordHistory::covers(Offset from) const
{
    return m_started && (from >= m_first || mutated(Mutation::GapInHistory));
}

std::optional<std::vector<OffsetRecord>>
RecordHistory::since(Offset from) const
{
    if (!covers(from))
        return std::nullopt;
    const auto begin = std::find_if(m_records.begin(), m_records.end(),
                                    [from](const auto& r) { return r.offset >= from; });
    return std::vector<OffsetRecord>(begin, m_records.end());
}

bool
RecordHistory::has_changes(Offset from) const
{
    return !m_records.empty() && m_records.back().offset >= from;
}

OffsetRecord
RecordPacker::pack(const OffsetRecord& entry, const RecordHistory& history,
                   std::uint64_t base)
{
    if (entry.record.value.size() < kPackThresholdBytes)
        return entry;
    if (m_offset != entry.offset)
        m_packed.clear();
    m_offset = entry.offset;
    const auto base_value = history.value_of(base);
    const std::uint64_t used = base_value ? base : 0;
    auto packed = std::find_if(m_packed.begin(), m_packed.end(),
                               [used](const Packed& p) { return p.base == used; });
    if (packed == m_packed.end()) {
        const std::string_view against = base_value.value_or(std::string_view {});
        m_packed.push_back({used, cypressford::pack(entry.record.value, against)});
        packed = std::prev(m_packed.end());
    }
    if (packed->value.empty())
        return entry;
    return {
        entry.offset, {entry.record.key, packed->value}, true, used, entry.is_keepalive};
}

bool
RecordPacker::unpack(OffsetRecord& entry, const RecordHistory& history)
{
    if (!entry.packed)
        return true;
    const auto base = history.value_of(entry.base);
    if (entry.base != 0 && !base)
        return false;
    auto value
        = cypressford::unpack(entry.record.value, base.value_or(std::string_view {}));
    if (!value)
        return false;
    entry = {
        entry.offset, {entry.record.key, *std::move(value)}, false, 0, entry.is_keepalive};
    return true;
}

DirectoryTiming::DirectoryTiming(Micros bound_, Micros heartbeat)
    : bound(bound_)
    , outage(kOutageHeartbeats * heartbeat)
    , stale_after(std::min(fraction_of(bound, kStaleFraction),
                           fraction_of(outage, kOutageStaleFraction)))
    , reader_stale_after(fraction_of(stale_after, kReaderStaleFraction))
    , read_wait(fraction_of(stale_after, kWaitFraction))
    , read_interval(fraction_of(stale_after, kWaitFraction))
    , hold(fraction_of(stale_after, kHoldFraction))
    , reader_hold(fraction_of(stale_after, kReaderHoldFraction))
{
}

std::string
encode(const FeedQuery& query)
{
    proto::FeedQuery out;
    for (const FeedQuery::Cursor& cursor : query.cursors) {
        proto::FeedCursor* item = out.add_cursors();
        item->set_topic(static_cast<std::uint32_t>(cursor.topic));
        item->set_offset(cursor.from);
        item->set_base(cursor.base);
        item->set_takes_listing(cursor.accepts_listing);
    }
    out.set_wait_ms(to_ms(query.wait));
    out.set_takes_packed(query.accepts_packed);
    out.set_wants_signs(query.wants_keepalives);
    if (query.joiner)
        out.set_joiner(encode(*query.joiner));
    for (const std::string& address : query.unreachable)
        out.add_lost(address);
    out.set_takes_unreachable(query.accepts_unreachable_list);
    out.set_unreachable_revision(query.unreachable_revision);
    out.set_generation(query.generation);
    return out.SerializeAsString();
}

Result<FeedQuery>
decode_feed_query(std::string_view bytes)
{
    proto::FeedQuery in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed directory feed query");
    FeedQuery query;
    query.wait = in.wait_ms() * kMillisecond;
    query.accepts_packed = in.takes_packed();
    query.wants_keepalives = in.wants_signs();
    if (auto joiner = decode_daemon(in.joiner()))
        query.joiner = *std::move(joiner);
    query.unreachable.assign(in.lost().begin(), in.lost().end());
    query.accepts_unreachable_list = in.takes_unreachable();
    query.unreachable_revision = in.unreachable_revision();
    query.generation = in.generation();
    for (const proto::FeedCursor& cursor : in.cursors())
        if (const auto topic = topic_of(cursor.topic()))
            query.cursors.push_back(
                {*topic, cursor.offset(), cursor.base(), cursor.takes_listing()});
    return query;
}

std::string
encode(const FeedAnswer& answer)
{
    proto::FeedAnswer out;
    out.set_held_ms(to_ms(answer.held));
    out.set_generation(answer.generation);
    if (answer.referral)
        fill(*out.mutable_referral(), *answer.referral);
    if (answer.unreachable) {
        out.mutable_unreachable()->set_revision(answer.unreachable->revision);
        for (const std::string& address : answer.unreachable->addresses)
            out.mutable_unreachable()->add_addresses(address);
    }
    for (const FeedAnswer::Topic& topic : answer.topics) {
        proto::FeedTopic* item = out.add_topics();
        item->set_topic(static_cast<std::uint32_t>(topic.topic));
        item->set_covered(topic.covered);
        item->set_next(topic.next);
        item->set_age_ms(to_ms(topic.age));
        item->set_pending(topic.pending);
        for (const std::string& part : topic.listing)
            item->add_listing(part);
        item->set_listing_end(topic.listing_end);
        for (const OffsetRecord& entry : topic.records)
            fill(*item->add_records(), entry);
    }
    return out.SerializeAsString();
}

Result<FeedAnswer>
decode_feed_answer(std::string_view bytes)
{
    proto::FeedAnswer in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "malformed directory feed answer");
    FeedAnswer answer;
    answer.held = in.held_ms() * kMillisecond;
    answer.generation = in.generation();
    if (in.has_referral())
        answer.referral = read(in.referral());
    if (in.has_unreachable()) {
        const auto& unreachable = in.unreachable();
        answer.unreachable
            = {unreachable.revision(),
               {unreachable.addresses().begin(), unreachable.addresses().end()}};
    }
    for (const proto::FeedTopic& item : in.topics()) {
        const auto topic = topic_of(item.topic());
        if (!topic)
            continue;
        FeedAnswer::Topic decoded;
        decoded.topic = *topic;
        decoded.covered = item.covered();
        decoded.next = item.next();
        decoded.age = item.age_ms() * kMillisecond;
        decoded.pending = item.pending();
        decoded.listing.assign(item.listing().begin(), item.listing().end());
        decoded.listing_end = item.listing_end();
        for (const proto::FeedRecord& record : item.records())
            decoded.records.push_back(read(record));
        answer.topics.push_back(std::move(decoded));
    }
    return answer;
}

std::string
pack_listing(const std::vector<OffsetRecord>& records)
{
    proto::FeedListing out;
    for (const OffsetRecord& entry : records)
        fill(*out.add_records(), entry);
    return pack(out.SerializeAsString(), {});
}

Result<std::vector<OffsetRecord>>
unpack_listing(std::string_view packed)
{
    const auto bytes = unpack(packed, {});
    proto::FeedListing in;
    if (!bytes || !in.ParseFromString(*bytes))
        return fail(ErrorKind::BadRequest, "malformed part of a directory listing");
    std::vector<OffsetRecord> records;
    for (const proto::FeedRecord& record : in.records())
        records.push_back(read(record));
    return records;
}

} // namespace cypressford
