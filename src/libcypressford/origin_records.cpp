// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/origin_records.h>

#include <algorithm>
#include <utility>

#include "origin_codec.h"

namespace cypressford {

void
encode_origins(const RequestsByOrigin& origins, EncodedOrigins& out)
{
    for (const auto& [origin, requests] : origins) {
        proto::StreamOrigins* item = out.Add();
        item->set_upstream_set(origin.upstream_set);
        item->set_version(origin.version);
        for (const std::string& request : requests)
            item->add_requests(request);
    }
}

RequestsByOrigin
decode_origins(const EncodedOrigins& in)
{
    RequestsByOrigin origins;
    for (const proto::StreamOrigins& item : in) {
        auto& requests = origins[{item.upstream_set(), item.version()}];
        requests.insert(requests.end(), item.requests().begin(), item.requests().end());
    }
    return origins;
}

std::string
encode(const OriginRecord& record)
{
    proto::OriginRecord out;
    encode_origins(record.known, *out.mutable_known());
    out.set_written_ms(record.written_ms);
    return out.SerializeAsString();
}

Result<OriginRecord>
decode_origin_record(std::string_view bytes)
{
    proto::OriginRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || in.written_ms() <= 0)
        return fail(ErrorKind::BadRequest, "not a record of origins of streams");
    return OriginRecord {decode_origins(in.known()), in.written_ms()};
}

std::string
origin_key_prefix(std::string_view set_name)
{
    return std::string(set_name) + "#";
}

std::size_t
OriginOutbox::add(const RequestsByOrigin& origins)
{
    std::size_t dropped = 0;
    for (const auto& [origin, requests] : origins) {
        std::deque<Pending>& pending = m_pending[origin.upstream_set];
        for (const std::string& request : requests)
            if (!request.empty() && request.size() <= StreamOriginTable::kMaxIdChars)
                pending.push_back({origin.version, request});
        for (; pending.size() > kMaxOriginsPerSet; ++dropped) {
            pending.pop_front();
            if (origin.upstream_set == m_taken_set && m_taken > 0)
                --m_taken;
        }
        if (pending.empty())
            m_pending.erase(origin.upstream_set);
    }
    return dropped;
}

/// Slots follow the monotonic clock, so that a wall clock that is set back does not make
/// the writer replace its own records.
std::optional<DirectoryRecord>
OriginOutbox::take(std::int64_t now_ms, Micros now)
{
    if (!m_start)
        m_start = now_ms * kMillisecond - now;
    const std::int64_t slot = (*m_start + now) / kGatherTime;
    const auto is_due = [&](const auto& item) {
        const auto last = m_last_slot.find(item.first);
        return last == m_last_slot.end() || last->second < slot;
    };
    const auto due = std::find_if(m_pending.begin(), m_pending.end(), is_due);
    if (due == m_pending.end())
        return std::nullopt;
    const auto& [set_name, pending] = *due;
    m_last_slot[set_name] = slot;
    m_taken_set = set_name;
    m_taken = std::min(pending.size(), kMaxOriginsPerRecord);
    OriginRecord record;
    record.written_ms = now_ms;
    for (std::size_t i = 0; i < m_taken; ++i)
        record.known[{set_name, pending[i].version}].push_back(pending[i].request);
    return DirectoryRecord {origin_key_prefix(set_name) + std::to_string(slot % kSlots),
                            encode(record)};
}

void
OriginOutbox::drop_taken()
{
    const auto at = m_pending.find(m_taken_set);
    if (at == m_pending.end())
        return;
    std::deque<Pending>& pending = at->second;
    const std::size_t written = std::exchange(m_taken, 0);
    pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(written));
    if (pending.empty())
        m_pending.erase(at);
}

std::vector<RequestsByOrigin>
stored_origins(const std::vector<DirectoryRecord>& records, std::string_view set_name,
               std::int64_t now_ms)
{
    constexpr std::int64_t lifetime_ms = StreamOriginTable::kLifetime / kMillisecond;
    std::vector<OriginRecord> decoded;
    for (const DirectoryRecord& record : records) {
        auto one = decode_origin_record(record.value);
        if (one && now_ms - one->written_ms <= lifetime_ms)
            decoded.push_back(*std::move(one));
    }
    const auto is_older = [](const OriginRecord& a, const OriginRecord& b) {
        return a.written_ms < b.written_ms;
    };
    std::sort(decoded.begin(), decoded.end(), is_older);
    // The table keeps no more, and the newest count.
    std::size_t kept = 0;
    const auto first = std::find_if(decoded.rbegin(), decoded.rend(), [&](const auto& one) {
        for (const auto& [origin, requests] : one.known)
            kept += requests.size();
        return kept > StreamOriginTable::kMaxStreams;
    });
    decoded.erase(decoded.begin(), first.base());
    std::vector<RequestsByOrigin> result;
    for (OriginRecord& record : decoded) {
        std::erase_if(record.known, [set_name](const auto& item) {
            return item.first.upstream_set != set_name;
        });
        if (!record.known.empty())
            result.push_back(std::move(record.known));
    }
    return result;
}

} // namespace cypressford
