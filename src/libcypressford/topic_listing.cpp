// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/topic_listing.h>

namespace cypressford {

namespace {

/// Limits the memory for unpacking one part to about 1 MB.
constexpr std::size_t kRecordsPerPart = 4096;
/// More records than these, sent uncompressed after a listing, cost more than compressing a
/// new listing.
constexpr std::size_t kMaxFollowingRecords = 200;

} // namespace

void
TopicListing::begin_listing()
{
    for (const auto& [key, entry] : m_newest)
        m_unlisted.insert(key);
}

void
TopicListing::end_listing()
{
    for (const std::string& key : m_unlisted)
        erase(key);
    m_unlisted.clear();
    m_packed.parts.clear();
}

void
TopicListing::forget_offsets()
{
    m_by_offset.clear();
    for (auto& [key, entry] : m_newest) {
        entry.offset = -1;
        m_by_offset.emplace(entry.offset, key);
    }
    m_packed = {};
}

void
TopicListing::put(const DirectoryRecord& record, Offset offset)
{
    const auto [entry, is_new] = m_newest.try_emplace(record.key);
    if (!is_new)
        m_by_offset.erase({entry->second.offset, record.key});
    entry->second = {record.value, offset};
    m_by_offset.emplace(offset, record.key);
    // Records sent after the packed listing start at its end, so it must include this one.
    if (offset < m_packed.end)
        m_packed.parts.clear();
}

void
TopicListing::erase(const std::string& key)
{
    const auto entry = m_newest.find(key);
    if (entry == m_newest.end())
        return;
    m_by_offset.erase({entry->second.offset, key});
    m_newest.erase(entry);
}

const TopicListing::Entry*
TopicListing::find(const std::string& key) const
{
    const auto entry = m_newest.find(key);
    return entry == m_newest.end() ? nullptr : &entry->second;
}

std::vector<OffsetRecord>
TopicListing::since(Offset from) const
{
    std::vector<OffsetRecord> records;
    for (auto at = m_by_offset.lower_bound({from, {}}); at != m_by_offset.end(); ++at)
        records.push_back({at->first, {at->second, m_newest.at(at->second).value}});
    return records;
}

const PackedListing&
TopicListing::packed(const RecordHistory& history)
{
    const auto following = history.since(m_packed.end);
    const bool is_usable
        = !m_packed.parts.empty() && following && following->size() <= kMaxFollowingRecords;
    if (!is_usable)
        pack(history.next());
    return m_packed;
}

void
TopicListing::pack(Offset end)
{
    m_packed = {end, {}};
    std::vector<OffsetRecord> part;
    const auto close_part = [&] {
        m_packed.parts.push_back(pack_listing(part));
        part.clear();
    };
    for (const auto& [key, entry] : m_newest) {
        part.push_back({entry.offset, {key, entry.value}});
        if (part.size() == kRecordsPerPart)
            close_part();
    }
    if (!part.empty() || m_packed.parts.empty())
        close_part();
}

} // namespace cypressford
