// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/pieces.h>

#include <algorithm>

#include "candidates.h"

namespace cypressford {

void
PieceQueue::add(const WaitingPiece& piece)
{
    if (m_by_id.emplace(piece.id, piece).second)
        m_waiting.insert(piece);
}

bool
PieceQueue::remove(PieceId id)
{
    const auto it = m_by_id.find(id);
    if (it == m_by_id.end())
        return false;
    m_waiting.erase(it->second);
    m_by_id.erase(it);
    return true;
}

bool
PieceQueue::is_free(const UpstreamState& upstream, const UpstreamSet& set, Micros now) const
{
    const auto resting = m_resting.find(&upstream);
    if (resting != m_resting.end() && resting->second > now)
        return false;
    const int slots = std::max(1, set.spec.slots);
    return is_usable(upstream, now)
        && upstream.in_flight.load(std::memory_order_relaxed) < slots;
}

std::optional<PieceCall>
PieceQueue::next_call(const UpstreamSet& set, Micros now)
{
    if (m_waiting.empty())
        return std::nullopt;
    // In turn, so that results spread over the upstreams' room.
    const std::size_t own = set.own.size();
    const std::size_t count = own + set.remote.size();
    PieceCall call;
    for (std::size_t i = 0; i < count && !call.upstream; ++i) {
        const std::size_t at = (m_turn + i) % count;
        const auto& upstream = at < own ? set.own[at] : set.remote[at - own];
        if (!is_free(*upstream, set, now))
            continue;
        call.upstream = upstream;
        m_turn = at + 1;
    }
    if (!call.upstream)
        return std::nullopt;
    const int items = set.spec.batch ? set.spec.batch->items : 1;
    while (!m_waiting.empty() && static_cast<int>(call.pieces.size()) < items) {
        call.pieces.push_back(m_waiting.begin()->id);
        m_by_id.erase(m_waiting.begin()->id);
        m_waiting.erase(m_waiting.begin());
    }
    return call;
}

Micros
PieceQueue::expected_wait(const UpstreamSet& set, Micros now) const
{
    const BatchSpec batch = set.spec.batch.value_or(BatchSpec {});
    const int usable = count_usable(set, now);
    if (usable == 0)
        return kSecond;
    int busy = 0;
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            busy += is_usable(*upstream, now) && !is_free(*upstream, set, now) ? 1 : 0;
    const auto waiting = static_cast<Micros>(m_waiting.size());
    if (waiting == 0 && busy < usable)
        return 0;
    const Micros full_call = batch.call_time + batch.items * batch.item_time;
    const Micros rate_unit = std::max<Micros>(1, batch.items * usable);
    return full_call / (2 * usable) + waiting * full_call / rate_unit;
}

void
PieceQueue::rest(const UpstreamState& upstream, Micros until)
{
    m_resting[&upstream] = until;
}

} // namespace cypressford
