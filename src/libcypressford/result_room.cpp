// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <limits>

namespace cypressford {

namespace {

constexpr double kBytesOfMb = 1e6;

} // namespace

std::int64_t
ResultRoom::free_bytes(const UpstreamState& upstream, const BatchSpec& batch, Micros now)
{
    if (batch.room_mb <= 0)
        return std::numeric_limits<std::int64_t>::max();
    expire(now);
    const auto full = m_full_until.find(&upstream);
    if (full != m_full_until.end() && full->second > now)
        return 0;
    const auto it = m_bytes.find(&upstream);
    const auto all = static_cast<std::int64_t>(batch.room_mb * kBytesOfMb);
    return all - (it == m_bytes.end() ? 0 : it->second);
}

void
ResultRoom::take(const UpstreamState& upstream, PieceId piece, std::int64_t bytes,
                 Micros until)
{
    m_taken[piece] = {&upstream, bytes, until, {}};
    m_bytes[&upstream] += bytes;
    m_ends.emplace(until, piece);
}

void
ResultRoom::name(PieceId piece, const std::string& handle)
{
    const auto it = m_taken.find(piece);
    if (it == m_taken.end())
        return;
    it->second.handle = handle;
    m_by_handle[handle] = piece;
}

void
ResultRoom::give_back(PieceId piece)
{
    const auto it = m_taken.find(piece);
    if (it == m_taken.end())
        return;
    const Taken& taken = it->second;
    const auto bytes = m_bytes.find(taken.upstream);
    bytes->second -= taken.bytes;
    if (bytes->second <= 0)
        m_bytes.erase(bytes);
    m_by_handle.erase(taken.handle);
    m_ends.erase({taken.until, piece});
    m_taken.erase(it);
}

void
ResultRoom::give_back(const std::string& handle)
{
    const auto it = m_by_handle.find(handle);
    if (it != m_by_handle.end())
        give_back(PieceId {it->second});
}

void
ResultRoom::expire(Micros now)
{
    while (!m_ends.empty() && m_ends.begin()->first <= now)
        give_back(PieceId {m_ends.begin()->second});
}

} // namespace cypressford
