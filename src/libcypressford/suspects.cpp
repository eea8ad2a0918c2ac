// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/suspects.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include <cypressford/mutation.h>

#include "cypressford.pb.h"

namespace cypressford {

namespace {

/// Offsets of records that are not in the log yet; greater than all offsets of the log.
constexpr Offset kUnwritten = Offset {1} << 62;
constexpr Offset kBeforeAllOffsets = std::numeric_limits<Offset>::min();
/// One in this many records is evicted at a time once there are too many: finding the
/// records to evict takes longer than evicting them.
constexpr std::size_t kEvictionDivisor = 8;

} // namespace

std::string
encode(const SuspectRecord& record)
{
    proto::SuspectRecord out;
    out.set_at_ms(record.at);
    for (const UpstreamEnd& end : record.ends) {
        proto::UpstreamEnd* item = out.add_ends();
        item->set_identity(end.upstream.identity);
        item->set_born(end.upstream.born);
        for (const RequestDigest& digest : end.running)
            item->add_running(to_bytes(digest));
        for (const RequestDigest& digest : end.parts)
            item->add_parts(to_bytes(digest));
        item->set_at_ms(end.at);
    }
    for (const RequestDigest& digest : record.answered)
        out.add_answered(to_bytes(digest));
    return out.SerializeAsString();
}

Result<SuspectRecord>
decode_suspects(std::string_view bytes)
{
    proto::SuspectRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(ErrorKind::BadRequest, "not a record of ended upstreams");
    const auto is_digest
        = [](const std::string& text) { return text.size() == RequestDigest::kBytes; };
    SuspectRecord record;
    record.at = in.at_ms();
    for (const proto::UpstreamEnd& item : in.ends()) {
        UpstreamEnd end;
        end.upstream = {item.identity(), item.born()};
        for (const std::string& digest : item.running())
            if (is_digest(digest) && end.running.size() < SuspectTable::kMaxRunningRequests)
                end.running.push_back(digest_from(digest));
        for (const std::string& digest : item.parts())
            if (is_digest(digest) && end.parts.size() < SuspectTable::kMaxParts)
                end.parts.push_back(digest_from(digest));
        end.at = item.at_ms();
        record.ends.push_back(std::move(end));
    }
    for (const std::string& digest : in.answered())
        if (is_digest(digest))
            record.answered.push_back(digest_from(digest));
    return record;
}

// --------------------------------------------------------------------- view

bool
SuspectView::is_suspect(const RequestDigest& digest) const
{
    const auto it = m_suspicions.find(digest);
    if (it == m_suspicions.end())
        return false;
    return !is_prompt_part(digest) || it->second.ends >= SuspectTable::kEndsToReportPart;
}

bool
SuspectView::is_quarantined(const RequestDigest& digest) const
{
    const auto it = m_suspicions.find(digest);
    return it != m_suspicions.end() && it->second.quarantined;
}

std::size_t
SuspectView::count_quarantined() const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspicions.begin(), m_suspicions.end(),
                      [](const auto& item) { return item.second.quarantined; }));
}

/// The highest number of ends among the requests, or prompt parts, that ran on one upstream
/// when it ended.
struct SuspectTable::MaxEnds {
    std::size_t ends = 0;
    int suspects = 0; ///< that have this number of ends
};

SuspectTable::MaxEndsByUpstream
SuspectTable::max_ends(bool of_parts) const
{
    MaxEndsByUpstream most;
    for (const auto& [digest, ends] : m_watched) {
        if (is_prompt_part(digest) != of_parts)
            continue;
        for (const auto& [upstream, at] : ends) {
            MaxEnds& there = most[upstream];
            if (ends.size() > there.ends)
                there = {ends.size(), 1};
            else if (ends.size() == there.ends)
                ++there.suspects;
        }
    }
    return most;
}

/// An end does not count for a request if another request that ran there has more ends, or
/// if a quarantined prompt part ended the upstream.
bool
SuspectTable::is_quarantined(const Ends& ends, const MaxEndsByUpstream& requests,
                             const std::set<UpstreamRun>& ended_by_parts)
{
    int own = 0; // ends that count for this request
    bool alone = false; // at one of these, each other request has fewer ends
    for (const auto& [upstream, at] : ends) {
        const MaxEnds& there = requests.at(upstream);
        if (there.ends > ends.size() || ended_by_parts.contains(upstream))
            continue;
        ++own;
        alone = alone || there.suspects == 1;
    }
    return own >= kEndsOfInseparable || (own >= kEndsToQuarantine && alone);
}

/// Requests with kEndsToWatch ends or more, by the upstreams that ended under them.
SuspectTable::RequestsByUpstream
SuspectTable::watched_requests() const
{
    RequestsByUpstream requests;
    for (const auto& [digest, ends] : m_watched)
        if (!is_prompt_part(digest))
            for (const auto& [upstream, at] : ends)
                requests[upstream].push_back(digest);
    return requests;
}

/// The ends without those beyond kCountedEndsOfRequest of the same request.  Where several
/// requests ran, the one that ran at most of these ends is taken for the cause: others may
/// have more ends, under parts of their own.
SuspectTable::Ends
SuspectTable::without_repeated(const Ends& ends, const RequestsByUpstream& requests) const
{
    using Counts = std::unordered_map<RequestDigest, int, RequestDigestHash>;
    Counts shared;
    for (const auto& [upstream, at] : ends)
        if (const auto there = requests.find(upstream); there != requests.end())
            for (const RequestDigest& request : there->second)
                ++shared[request];
    const auto is_less_likely = [&](const RequestDigest& a, const RequestDigest& b) {
        return std::tuple(shared.at(a), m_watched.at(a).size(), a.bytes)
            < std::tuple(shared.at(b), m_watched.at(b).size(), b.bytes);
    };
    Ends counted;
    Counts counts;
    for (const auto& [upstream, at] : ends) {
        const auto there = requests.find(upstream);
        const bool repeats = there != requests.end()
            && ++counts[*std::max_element(there->second.begin(), there->second.end(),
                                          is_less_likely)]
                > kCountedEndsOfRequest;
        if (!repeats)
            counted.emplace(upstream, at);
    }
    return counted;
}

bool
SuspectTable::is_part_quarantined(const Ends& ends, const MaxEndsByUpstream& parts,
                                  const RequestsByUpstream& requests) const
{
    Ends own;
    bool alone = false;
    for (const auto& [upstream, at] : ends) {
        const MaxEnds& there = parts.at(upstream);
        if (there.ends > ends.size())
            continue;
        own.emplace(upstream, at);
        alone = alone || there.suspects == 1;
    }
    if (count_moments(own) < kEndsOfPart)
        return false;
    const int moments = count_moments(without_repeated(own, requests));
    return moments >= kEndsOfInseparableParts || (moments >= kEndsOfPart && alone);
}

SuspectViewPtr
SuspectTable::view() const
{
    const MaxEndsByUpstream requests = max_ends(false);
    const MaxEndsByUpstream parts = max_ends(true);
    const RequestsByUpstream watched = watched_requests();
    SuspectView::Suspicions suspicions;
    std::set<UpstreamRun> ended_by_parts;
    for (const auto& [digest, ends] : m_watched) {
        if (!is_prompt_part(digest))
            continue;
        const bool quarantined = is_part_quarantined(ends, parts, watched);
        suspicions[digest] = {count_ends(digest, ends), quarantined};
        for (const auto& [upstream, at] : ends)
            if (quarantined)
                ended_by_parts.insert(upstream);
    }
    for (const auto& [digest, ends] : m_watched)
        if (!is_prompt_part(digest))
            suspicions[digest] = {count_ends(digest, ends),
                                  is_quarantined(ends, requests, ended_by_parts)};
    return std::make_shared<const SuspectView>(std::move(suspicions));
}

/// Upstreams that ended since the request was last answered in full.  Several daemons may
/// report the same end.
SuspectTable::Ends
SuspectTable::ends_of(const Suspect& suspect) const
{
    Offset answered_at = kBeforeAllOffsets;
    if (!mutated(Mutation::IgnoreWholeAnswers))
        for (const std::string& key : suspect.answered)
            answered_at = std::max(answered_at, m_records.at(key).at);
    Ends upstreams;
    for (const auto& [key, ends] : suspect.ends) {
        if (m_records.at(key).at <= answered_at)
            continue;
        for (const auto& [upstream, at] : ends) {
            const auto [it, is_first] = upstreams.try_emplace(upstream, at);
            it->second = std::min(it->second, at);
        }
    }
    return upstreams;
}

int
SuspectTable::count_moments(const Ends& ends)
{
    std::vector<WallMs> times;
    times.reserve(ends.size());
    for (const auto& [upstream, at] : ends)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    int moments = 0;
    WallMs began = 0;
    for (const WallMs at : times) {
        if (moments > 0 && at - began <= kMomentMs)
            continue;
        ++moments;
        began = at;
    }
    return moments;
}

int
SuspectTable::count_ends(const RequestDigest& digest, const Ends& ends)
{
    return is_prompt_part(digest) ? count_moments(ends) : static_cast<int>(ends.size());
}

/// Ends that name no parts were added by operators or reported by earlier builds.
SuspectRecord
SuspectTable::release_of(const RequestDigest& digest) const
{
    std::optional<std::set<RequestDigest>> shared;
    for (const auto& [key, known] : m_records)
        for (const UpstreamEnd& end : known.record.ends) {
            const bool ran_there = std::find(end.running.begin(), end.running.end(), digest)
                != end.running.end();
            if (!ran_there || end.parts.empty())
                continue;
            const std::set<RequestDigest> parts(end.parts.begin(), end.parts.end());
            if (!shared)
                shared = parts;
            else
                std::erase_if(*shared,
                              [&](const auto& part) { return !parts.contains(part); });
        }
    SuspectRecord release;
    release.answered.push_back(digest);
    if (shared)
        release.answered.insert(release.answered.end(), shared->begin(), shared->end());
    return release;
}

// ------------------------------------------------------------------ records

bool
SuspectTable::apply(const std::string& key, const SuspectRecord& record, Offset at)
{
    return put(key, record, at);
}

void
SuspectTable::apply_unwritten(const std::string& key, const SuspectRecord& record)
{
    drop(key);
    put(key, record, kUnwritten + m_unwritten++);
}

void
SuspectTable::mark_written(const std::string& key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end())
        return;
    mark_written(it->second);
}

void
SuspectTable::mark_written(Known& known)
{
    known.is_written = true;
    m_lost -= std::exchange(known.is_lost, false) ? 1 : 0;
}

/// Moves the records behind all records of the log, in their present order.
void
SuspectTable::on_log_restored()
{
    std::vector<std::pair<Offset, std::string>> order;
    order.reserve(m_records.size());
    for (const auto& [key, known] : m_records)
        order.emplace_back(known.at, key);
    std::sort(order.begin(), order.end());
    m_unwritten = 0;
    m_lost = 0;
    for (const auto& [at, key] : order) {
        Known& known = m_records.at(key);
        known.at = kUnwritten + m_unwritten++;
        known.is_lost = known.is_written;
        m_lost += known.is_lost ? 1 : 0;
    }
}

std::vector<std::pair<std::string, SuspectRecord>>
SuspectTable::lost(std::string_view prefix) const
{
    std::vector<std::pair<std::string, SuspectRecord>> records;
    for (const auto& [key, known] : m_records)
        if (known.is_lost && key.starts_with(prefix))
            records.emplace_back(key, known.record);
    return records;
}

bool
SuspectTable::put(const std::string& key, const SuspectRecord& record, Offset at)
{
    auto [it, is_new] = m_records.try_emplace(key);
    it->second.listed = true;
    if (at < kUnwritten)
        mark_written(it->second);
    // A record that was written again because the acknowledgement was lost counts at its
    // first offset.
    const bool is_known = !is_new && it->second.at <= at;
    if (is_known)
        return false;
    it->second.at = at;
    if (is_new) {
        it->second.record = record;
        add(key, record);
        m_evicted.erase(key);
    }
    recount(record);
    enforce_bounds();
    return is_new;
}

bool
SuspectTable::drop(const std::string& key)
{
    m_evicted.erase(key);
    const auto it = m_records.find(key);
    if (it == m_records.end())
        return false;
    const SuspectRecord record = std::move(it->second.record);
    m_lost -= it->second.is_lost ? 1 : 0;
    remove(key, record);
    m_records.erase(it);
    recount(record);
    return true;
}

template <class F>
void
SuspectTable::for_each_digest(const UpstreamEnd& end, F&& action)
{
    for (const auto* digests : {&end.running, &end.parts})
        for (const RequestDigest& digest : *digests)
            action(digest);
}

void
SuspectTable::add(const std::string& key, const SuspectRecord& record)
{
    for (const UpstreamEnd& end : record.ends) {
        // Builds without the time of each end report that of the record.
        const WallMs at = end.at != 0 ? end.at : record.at;
        for_each_digest(end, [&](const RequestDigest& digest) {
            m_suspects[digest].ends[key].try_emplace(end.upstream, at);
        });
    }
    for (const RequestDigest& digest : record.answered)
        m_suspects[digest].answered.insert(key);
}

void
SuspectTable::remove(const std::string& key, const SuspectRecord& record)
{
    for (const UpstreamEnd& end : record.ends)
        for_each_digest(
            end, [&](const RequestDigest& digest) { m_suspects[digest].ends.erase(key); });
    for (const RequestDigest& digest : record.answered)
        m_suspects[digest].answered.erase(key);
}

void
SuspectTable::recount(const SuspectRecord& record)
{
    for (const UpstreamEnd& end : record.ends)
        for_each_digest(end, [this](const RequestDigest& digest) { recount(digest); });
    for (const RequestDigest& digest : record.answered)
        recount(digest);
}

void
SuspectTable::recount(const RequestDigest& digest)
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end())
        return;
    Ends ends = ends_of(it->second);
    if (it->second.ends.empty() && it->second.answered.empty())
        m_suspects.erase(it);
    if (count_ends(digest, ends) < static_cast<int>(kEndsToWatch)) {
        m_revision += m_watched.erase(digest);
        return;
    }
    Ends& known = m_watched[digest];
    if (ends == known)
        return;
    known = std::move(ends);
    ++m_revision;
}

void
SuspectTable::begin_listing()
{
    for (auto& [key, known] : m_records)
        known.listed = false;
}

void
SuspectTable::end_listing(Offset end)
{
    std::vector<std::string> removed;
    for (const auto& [key, known] : m_records)
        if (!known.listed && known.at < end)
            removed.push_back(key);
    for (const std::string& key : removed)
        drop(key);
}

// ------------------------------------------------------------------- bounds

std::vector<std::string>
SuspectTable::outdated(WallMs now, std::size_t most) const
{
    std::vector<std::string> keys;
    for (const std::string& key : m_evicted)
        if (keys.size() < most)
            keys.push_back(key);
    for (const auto& [key, known] : m_records)
        if (keys.size() < most && now - known.record.at > kRetentionMs)
            keys.push_back(key);
    return keys;
}

bool
SuspectTable::has_quarantined(const SuspectRecord& record) const
{
    bool found = false;
    const auto check = [&](const RequestDigest& digest) {
        const auto it = m_watched.find(digest);
        const int needed = is_prompt_part(digest) ? kEndsOfPart : kEndsToQuarantine;
        found
            = found || (it != m_watched.end() && count_ends(digest, it->second) >= needed);
    };
    for (const UpstreamEnd& end : record.ends)
        for_each_digest(end, check);
    return found;
}

void
SuspectTable::enforce_bounds()
{
    if (m_records.size() <= kMaxRecords && m_suspects.size() <= kMaxDigests)
        return;
    std::vector<std::tuple<bool, Offset, std::string>> order;
    order.reserve(m_records.size());
    for (const auto& [key, known] : m_records)
        order.emplace_back(has_quarantined(known.record), known.at, key);
    std::sort(order.begin(), order.end());
    order.resize(std::max<std::size_t>(1, order.size() / kEvictionDivisor));
    for (const auto& [quarantined, at, key] : order) {
        drop(key);
        m_evicted.insert(key);
    }
    while (m_evicted.size() > kMaxRecords)
        m_evicted.erase(m_evicted.begin());
}

} // namespace cypressford
