// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// RelayWorld: what its upstreams say of themselves, and what may come to them.

#include "relay_world.h"

#include <algorithm>

#include <rapidcheck.h>

namespace cypressford::fuzz {

UpstreamPtr
RelayWorld::state_of(const UpstreamFacts& facts) const
{
    for (const UpstreamSet& set : m_snapshot->sets)
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& state : *side)
                if (state->identity == facts.member.identity)
                    return state;
    return nullptr;
}

void
RelayWorld::say_leaving(std::size_t number)
{
    UpstreamFacts& facts = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(facts);
    if (!state)
        return;
    facts.leaves = true;
    state->said->record_leaving();
}

void
RelayWorld::ask_for_rest(std::size_t number)
{
    UpstreamFacts& facts = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(facts);
    if (!state)
        return;
    const Micros until
        = m_now + static_cast<Micros>(1 + number / 7 % 30) * 100 * kMillisecond;
    facts.backoff_until = std::max(facts.backoff_until, until);
    state->said->note_rest(until);
}

/// An answer to a call that was sent just now names a limit, or none.
void
RelayWorld::name_limit(std::size_t number)
{
    UpstreamFacts& facts = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(facts);
    if (!state)
        return;
    constexpr std::array<double, 4> limits {0, 0.05, 0.2, 1};
    const double named = limits.at(number / 7 % limits.size());
    const double before = facts.limit_per_s;
    const bool is_newer = m_now > facts.limit_heard;
    state->said->record_limit(named > 0 ? std::optional(named) : std::nullopt, m_now,
                              m_now);
    if (named == 0) {
        facts.limit_per_s = is_newer ? 0 : before;
    } else {
        // Of two answers at one time either may be the later word.
        const bool holds_lower = !is_newer && before > 0;
        facts.limit_per_s = holds_lower ? std::min(named, before) : named;
        facts.limit_heard = m_now;
    }
    if (facts.limit_per_s == before)
        return;
    facts.limited_since = m_now;
    facts.calls_since = 0;
}

/// It keeps its identity, as it may.
void
RelayWorld::start_again(std::size_t number)
{
    UpstreamFacts& facts = m_upstreams[number % m_upstreams.size()];
    ++facts.member.born;
    facts.listed = true;
    facts.leaves = false;
    facts.backoff_until = 0;
    facts.limit_per_s = 0;
    facts.limit_heard = 0;
    list_upstreams();
}

void
RelayWorld::lapse_or_return(std::size_t number)
{
    UpstreamFacts& facts = m_upstreams[number % m_upstreams.size()];
    facts.listed = !facts.listed;
    list_upstreams();
}

void
RelayWorld::check_reports() const
{
    for (const UpstreamFacts& facts : m_upstreams) {
        const UpstreamPtr state = state_of(facts);
        if (!state)
            continue;
        RC_ASSERT(state->born == facts.member.born);
        RC_ASSERT(state->said->leaves() == facts.leaves);
        RC_ASSERT(state->said->backoff_until() == facts.backoff_until);
        RC_ASSERT(state->said->limit().per_s() == facts.limit_per_s);
    }
}

void
RelayWorld::count_arrival(const AttemptFacts& attempt)
{
    for (UpstreamFacts& facts : m_upstreams) {
        if (facts.member.identity != attempt.upstream->identity || facts.limit_per_s == 0)
            continue;
        ++facts.calls_since;
        // The only daemon there is has all of the limit, and one call in hand.
        const Micros lasted = m_now - facts.limited_since + SharedRate::kBurstWindow;
        const double may
            = 1 + 1.5 * facts.limit_per_s * static_cast<double>(lasted) / kSecond;
        RC_ASSERT(facts.calls_since <= may);
    }
}

/// What the run has said of itself, to whichever thread, and what operators and the
/// platform's list say of it.
void
RelayWorld::check_arrival(const AttemptFacts& attempt) const
{
    const UpstreamState& state = *attempt.upstream;
    RC_ASSERT(std::find(m_evacuated.begin(), m_evacuated.end(), state.hall)
              == m_evacuated.end());
    for (const UpstreamFacts& facts : m_upstreams) {
        if (facts.member.identity != state.identity)
            continue;
        RC_ASSERT(facts.listed);
        RC_ASSERT(facts.member.born == state.born);
        RC_ASSERT(!facts.leaves);
        RC_ASSERT(facts.backoff_until <= m_now);
    }
}

} // namespace cypressford::fuzz
