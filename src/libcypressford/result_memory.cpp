// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <algorithm>
#include <limits>

namespace cypressford {

namespace {

constexpr double kBytesOfMb = 1e6;
/// Steps of the margin, as parts of the memory: two results of fifty for each refusal, and
/// back over some twenty calls that fit (additive, as refusals are dear and memory is not).
constexpr double kMarginUp = 0.02;
constexpr double kMarginDown = 0.002;
constexpr double kMostMargin = 0.12;
/// A call says that the margin is large enough only if it nearly filled the memory.
constexpr double kNearlyFull = 0.1;

} // namespace

std::int64_t
ResultMemory::free_bytes(const UpstreamState& upstream, const BatchSpec& batch, Micros now)
{
    if (batch.memory_mb <= 0)
        return std::numeric_limits<std::int64_t>::max();
    expire(now);
    const auto full = m_full_until.find(&upstream);
    if (full != m_full_until.end() && full->second > now)
        return 0;
    const double memory = batch.memory_mb * kBytesOfMb;
    const auto it = m_bytes.find(&upstream);
    // One result may be as large as all of the memory.
    if (it == m_bytes.end())
        return static_cast<std::int64_t>(memory);
    return static_cast<std::int64_t>((1 - m_margin) * memory) - it->second;
}

void
ResultMemory::note_full(const UpstreamState& upstream, Micros until)
{
    m_full_until[&upstream] = until;
    m_margin = std::min(kMostMargin, m_margin + kMarginUp);
}

void
ResultMemory::note_fit(const BatchSpec& batch, std::int64_t left)
{
    if (static_cast<double>(left) < kNearlyFull * batch.memory_mb * kBytesOfMb)
        m_margin = std::max(0.0, m_margin - kMarginDown);
}

void
ResultMemory::take(const UpstreamState& upstream, PieceId piece, std::int64_t bytes,
                   Micros until)
{
    m_taken[piece] = {&upstream, bytes, until, {}};
    m_bytes[&upstream] += bytes;
    m_ends.emplace(until, piece);
}

void
ResultMemory::name(PieceId piece, const std::string& handle)
{
    const auto it = m_taken.find(piece);
    if (it == m_taken.end())
        return;
    it->second.handle = handle;
    m_by_handle[handle] = piece;
}

void
ResultMemory::give_back(PieceId piece)
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
ResultMemory::give_back(const std::string& handle)
{
    const auto it = m_by_handle.find(handle);
    if (it != m_by_handle.end())
        give_back(PieceId {it->second});
}

void
ResultMemory::expire(Micros now)
{
    while (!m_ends.empty() && m_ends.begin()->first <= now)
        give_back(PieceId {m_ends.begin()->second});
}

} // namespace cypressford
