// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Invariants of the fuzzer's world.

#include "world_impl.h"

namespace cypressford::fuzz {

void
World::check_reply(Daemon& daemon, const Reply& action, RequestModel& model)
{
    ++m_replies;
    if (++model.replies > 1)
        report_violation("request answered twice");
    const auto& data = daemon.requests.at(action.request);
    if (!action.error) {
        const std::string answer
            = action.replayed && data.recorded ? data.recorded->body : data.input;
        if (answer != expected(model.pipeline, model.body))
            report_violation("wrong or partial answer");
        return;
    }
    if (action.ran != Ran::NotRun)
        return;
    if (model.ran)
        report_violation("request was answered as not run although it ran");
    model.reported_not_run = true;
}

void
World::check_leaving(const Daemon& daemon, const FakeUpstream& upstream)
{
    if (!upstream.leaving)
        return;
    if (daemon.known_leaving.count(upstream.address) > 0)
        report_violation("new work was sent to an upstream that is known to be leaving");
    const bool node_list_current = can_reach_log(daemon) && !m_log.slow
        && daemon.node_list_current_since >= 0
        && m_time.now() - daemon.node_list_current_since > kMaxLeavingDelay;
    if (node_list_current && m_time.now() - upstream.leaving_since > kMaxLeavingDelay)
        report_violation("new work was sent to an upstream that left more than 3 s ago");
}

void
World::settle()
{
    m_log.outage = m_log.lose_answers = m_log.slow = false;
    m_log.cut_halls.clear();
    for (FakeUpstream& upstream : m_upstreams)
        upstream.behaviour = Behaviour::Good;
    for (std::size_t d = 0; d < kDaemons; ++d)
        resume(d);
    advance(kMaxLeavingDelay + SchedulerOptions {}.detached_limit + 30 * kSecond);
    for (const auto& [id, model] : m_request_models) {
        const Daemon& daemon = *m_daemons[model.daemon];
        if (daemon.incarnation == model.incarnation && model.replies == 0)
            report_violation("request " + std::to_string(id) + " was never answered");
    }
    for (const auto& daemon : m_daemons) {
        if (daemon->scheduler->live() != 0)
            report_violation("a daemon still holds requests that have ended");
        if (!daemon->claimer->idle())
            report_violation("a daemon has a claim that never ended");
        if (daemon->bundles->in_force_version() != m_newest_version)
            report_violation("the newest bundle is not in force in every daemon");
    }
    check_free_keys();
}

/// A key must be free again if all requests with it were answered as not run.
void
World::check_free_keys()
{
    std::map<std::string, bool> is_free;
    for (const auto& [id, model] : m_request_models) {
        if (model.key.empty())
            continue;
        const bool alive = m_daemons[model.daemon]->incarnation == model.incarnation;
        auto& is_key_free = is_free.try_emplace(model.key, true).first->second;
        is_key_free = is_key_free && alive && model.reported_not_run;
    }
    for (const auto& daemon : m_daemons)
        for (const auto& [key, expect_free] : is_free) {
            const ClaimLedger& ledger = daemon->claimer->ledger();
            const auto* state = ledger.find(key);
            // The record that released the key may have been trimmed.
            const bool readable = state && state->key_time > ledger.floor();
            if (expect_free && readable && state->claimed)
                report_violation("key of a request that never ran was not released: "
                                 + key);
        }
}

Micros
World::random_delay()
{
    return 200 + static_cast<Micros>(m_random() % (5 * kMillisecond));
}

WallMs
World::wall(const Daemon& daemon) const
{
    return kEpoch + m_time.now() / kMillisecond + daemon.skew_ms;
}

void
World::report_violation(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

} // namespace cypressford::fuzz
