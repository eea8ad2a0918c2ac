// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// RelayWorld: what its upstreams report of themselves, and the checks of calls to them.

#include "relay_world.h"

#include <algorithm>

#include <rapidcheck.h>

namespace cypressford::fuzz {

UpstreamPtr
RelayWorld::state_of(const UpstreamModel& model) const
{
    for (const UpstreamSet& set : m_snapshot->sets)
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& state : *side)
                if (state->identity == model.member.identity)
                    return state;
    return nullptr;
}

void
RelayWorld::report_leaving(std::size_t number)
{
    UpstreamModel& model = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(model);
    if (!state)
        return;
    model.leaves = true;
    state->self_report->record_leaving();
}

void
RelayWorld::request_backoff(std::size_t number)
{
    UpstreamModel& model = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(model);
    if (!state)
        return;
    const Micros until
        = m_now + static_cast<Micros>(1 + number / 7 % 30) * 100 * kMillisecond;
    model.backoff_until = std::max(model.backoff_until, until);
    state->self_report->record_backoff(until);
}

/// The answer to a call that was sent at this time reports a limit, or reports none.
void
RelayWorld::report_limit(std::size_t number)
{
    UpstreamModel& model = m_upstreams[number % m_upstreams.size()];
    const UpstreamPtr state = state_of(model);
    if (!state)
        return;
    constexpr std::array<double, 4> limits {0, 0.05, 0.2, 1};
    const double reported = limits.at(number / 7 % limits.size());
    const double before = model.limit_per_s;
    const bool is_newer = m_now > model.limit_received_at;
    state->self_report->record_limit(reported > 0 ? std::optional(reported) : std::nullopt,
                                     m_now, m_now);
    if (reported == 0) {
        model.limit_per_s = is_newer ? 0 : before;
    } else {
        // Either of two answers of the same time may be the later; the lower limit holds.
        const bool holds_lower = !is_newer && before > 0;
        model.limit_per_s = holds_lower ? std::min(reported, before) : reported;
        model.limit_received_at = m_now;
    }
    if (model.limit_per_s == before)
        return;
    model.limit_since = m_now;
    model.calls_since_limit = 0;
}

/// The upstream restarts and keeps its identity, which is allowed.
void
RelayWorld::restart_upstream(std::size_t number)
{
    UpstreamModel& model = m_upstreams[number % m_upstreams.size()];
    ++model.member.born;
    // It may restart under another version.
    if (!model.member.version.empty() && number % 3 == 0)
        model.member.version = model.member.version == "v1" ? "v2" : "v1";
    model.listed = true;
    model.leaves = false;
    model.backoff_until = 0;
    model.limit_per_s = 0;
    model.limit_received_at = 0;
    list_upstreams();
}

void
RelayWorld::toggle_listing(std::size_t number)
{
    UpstreamModel& model = m_upstreams[number % m_upstreams.size()];
    model.listed = !model.listed;
    list_upstreams();
}

void
RelayWorld::check_reports() const
{
    for (const UpstreamModel& model : m_upstreams) {
        const UpstreamPtr state = state_of(model);
        if (!state)
            continue;
        RC_ASSERT(state->born == model.member.born);
        RC_ASSERT(state->self_report->is_leaving() == model.leaves);
        RC_ASSERT(state->self_report->backoff_until() == model.backoff_until);
        RC_ASSERT(state->self_report->limit().per_s() == model.limit_per_s);
    }
}

void
RelayWorld::count_arrival(const AttemptModel& attempt)
{
    for (UpstreamModel& model : m_upstreams) {
        if (model.member.identity != attempt.upstream->identity || model.limit_per_s == 0)
            continue;
        ++model.calls_since_limit;
        // The only daemon has the whole limit, and may send one call ahead.
        const Micros elapsed = m_now - model.limit_since + SharedRate::kBurstWindow;
        const double max_calls
            = 1 + 1.5 * model.limit_per_s * static_cast<double>(elapsed) / kSecond;
        RC_ASSERT(model.calls_since_limit <= max_calls);
    }
}

/// Some streams send their first event; the stream then goes on at the same version only.
void
RelayWorld::begin_stream(RequestId request, AttemptId id, std::size_t number)
{
    const auto it = m_attempts.find({request % kSchedulers, id});
    if (number % 2 == 0 || it == m_attempts.end() || it->second.cancelled)
        return;
    std::optional<std::string>& version = m_requests.at(request).version;
    if (!version)
        version = it->second.upstream->version;
    handle(request, StreamBegan {id});
}

/// The call respects the reports of the upstream's present run, whichever thread received
/// them, the operators' evacuations and the platform's list.
void
RelayWorld::check_arrival(const AttemptModel& attempt) const
{
    const UpstreamState& state = *attempt.upstream;
    RC_ASSERT(std::find(m_evacuated.begin(), m_evacuated.end(), state.hall)
              == m_evacuated.end());
    for (const UpstreamModel& model : m_upstreams) {
        if (model.member.identity != state.identity)
            continue;
        RC_ASSERT(model.listed);
        RC_ASSERT(model.member.born == state.born);
        RC_ASSERT(!model.leaves);
        RC_ASSERT(model.backoff_until <= m_now);
    }
}

} // namespace cypressford::fuzz
