// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/claims.h>
#include <cypressford/mutation.h>

#include <algorithm>

namespace cypressford {

void
ClaimLedger::apply(Offset offset, const ClaimBatch& batch, WallMs now)
{
    if (offset < m_next)
        return;
    on_first_retained(offset, now);
    m_next = offset + 1;
    // The maker had read past the gap when it made this record, so all records
    // in the gap were appended before `made_at` by its clock, and no key in
    // them lies further ahead than daemons accept.
    if (m_gap_end > 0 && batch.seen + 1 >= m_gap_end) {
        m_gap_floor = std::min(m_gap_floor, latest_key_before(batch.made_at));
    }
    for (const ClaimMade& claim : batch.claims)
        apply_claim(claim);
    for (const ClaimEnded& end : batch.ends)
        apply_end(end);
    bound_memory();
}

void
ClaimLedger::on_first_retained(Offset first, WallMs now)
{
    if (first <= m_next)
        return;
    m_gap_end = first;
    m_next = first;
    // All missed records were appended before now; a later record may tighten the bound.
    m_gap_floor = latest_key_before(now);
}

/// The latest possible time of a key in a record that was appended before `time`, given
/// the error of both clocks.
WallMs
ClaimLedger::latest_key_before(WallMs time) const
{
    return time + 2 * m_options.clock_error + m_options.future_keys;
}

ClaimLedger::KeyState&
ClaimLedger::state_of(const std::string& key, WallMs key_time)
{
    auto [it, fresh] = m_keys.try_emplace(key);
    if (fresh) {
        it->second.key_time = key_time;
        m_by_time.emplace(key_time, key);
    }
    return it->second;
}

void
ClaimLedger::apply_claim(const ClaimMade& claim)
{
    KeyState& state = state_of(claim.key, claim.key_time);
    const auto& released = state.released;
    const bool was_released
        = std::find(released.begin(), released.end(), claim.id) != released.end();
    if (was_released && !mutated(Mutation::IgnoreReleased))
        return;
    if (state.claimed && !mutated(Mutation::LastClaimWins))
        return;
    state.claimed = true;
    state.winner = claim.id;
    state.fingerprint = claim.fingerprint;
    state.outcome.reset();
    state.answer.reset();
}

void
ClaimLedger::apply_end(const ClaimEnded& end)
{
    KeyState& state = state_of(end.key, end.key_time);
    const bool holds = state.claimed && state.winner == end.id;
    if (end.outcome == ClaimOutcome::NotRun) {
        if (std::find(state.released.begin(), state.released.end(), end.id)
            == state.released.end())
            state.released.push_back(end.id);
        if (holds && !state.outcome)
            state.claimed = false;
        return;
    }
    if (!holds || state.outcome == ClaimOutcome::Done)
        return;
    state.outcome = end.outcome;
    state.answer = end.answer;
}

void
ClaimLedger::bound_memory()
{
    while (m_keys.size() > m_options.max_keys) {
        auto oldest = m_by_time.begin();
        m_dropped_floor = std::max(m_dropped_floor, oldest->first);
        m_keys.erase(oldest->second);
        m_by_time.erase(oldest);
    }
}

const ClaimLedger::KeyState*
ClaimLedger::find(const std::string& key) const
{
    auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &it->second;
}

WallMs
ClaimLedger::floor() const
{
    if (mutated(Mutation::IgnoreFloor))
        return 0;
    return std::max(m_dropped_floor, m_gap_floor);
}

} // namespace cypressford
