// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <algorithm>
#include <limits>

namespace cypressford {

namespace {

constexpr double kBytesPerMb = 1e6;
/// Steps of the margin, as fractions of the memory: each refusal adds one result out of
/// fifty, and ten calls that fit take the step back (an additive increase, since refusals
/// are expensive and memory is not).
constexpr double kMarginIncrease = 0.02;
constexpr double kMarginDecrease = 0.002;
constexpr double kMaxMargin = 0.12;
/// A call that fits shrinks the margin only if less than this fraction of the memory was
/// left free.
constexpr double kNearlyFullFraction = 0.1;

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
    const double memory = batch.memory_mb * kBytesPerMb;
    const auto it = m_bytes.find(&upstream);
    // One result may be as large as all of the memory.
    if (it == m_bytes.end())
        return static_cast<std::int64_t>(memory);
    return static_cast<std::int64_t>((1 - m_margin) * memory) - it->second;
}

void
ResultMemory::record_full(const UpstreamState& upstream, Micros until)
{
    m_full_until[&upstream] = until;
    m_margin = std::min(kMaxMargin, m_margin + kMarginIncrease);
}

void
ResultMemory::record_fit(const BatchSpec& batch, std::int64_t left)
{
    if (static_cast<double>(left) < kNearlyFullFraction * batch.memory_mb * kBytesPerMb)
        m_margin = std::max(0.0, m_margin - kMarginDecrease);
}

void
ResultMemory::reserve(const UpstreamState& upstream, PieceId piece, std::int64_t bytes,
                      Micros until)
{
    m_reservations[piece] = {&upstream, bytes, until, {}};
    m_bytes[&upstream] += bytes;
    m_expiries.emplace(until, piece);
}

void
ResultMemory::set_handle(PieceId piece, const std::string& handle)
{
    const auto it = m_reservations.find(piece);
    if (it == m_reservations.end())
        return;
    it->second.handle = handle;
    m_by_handle[handle] = piece;
}

void
ResultMemory::release(PieceId piece)
{
    const auto it = m_reservations.find(piece);
    if (it == m_reservations.end())
        return;
    const Reservation& reservation = it->second;
    // A result of unknown size takes 0 bytes, so that the release of another one may
    // already have removed the entry.
    const auto bytes = m_bytes.find(reservation.upstream);
    if (bytes != m_bytes.end()) {
        bytes->second -= reservation.bytes;
        if (bytes->second <= 0)
            m_bytes.erase(bytes);
    }
    m_by_handle.erase(reservation.handle);
    m_expiries.erase({reservation.until, piece});
    m_reservations.erase(it);
}

void
ResultMemory::release(const std::string& handle)
{
    const auto it = m_by_handle.find(handle);
    if (it != m_by_handle.end())
        release(PieceId {it->second});
}

void
ResultMemory::expire(Micros now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        release(PieceId {m_expiries.begin()->second});
}

} // namespace cypressford
