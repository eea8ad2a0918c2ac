// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Effects of the daemons' actions in the fuzzer's world.

#include "world_impl.h"

namespace cypressford::fuzz {

void
World::feed(Daemon& daemon, const Event& event)
{
    Actions actions;
    daemon.scheduler->handle(event, m_time.now(), actions);
    for (const Action& action : actions)
        std::visit([&](const auto& a) { act(daemon, a); }, action);
}

void
World::feed_claims(Daemon& daemon, const ClaimEvent& event)
{
    ClaimActions actions;
    daemon.claimer->handle(event, {m_time.now(), wall(daemon)}, actions);
    for (ClaimAction& action : actions) {
        if (auto* start = std::get_if<StartAppend>(&action)) {
            append(daemon, start->batch);
            continue;
        }
        auto& decision = std::get<DecideClaim>(action);
        // The decision reaches the scheduler's thread a little later.
        deliver(daemon.index, daemon.incarnation, kMillisecond,
                [this, decision](Daemon& d) {
                    auto it = d.requests.find(decision.request);
                    if (it != d.requests.end())
                        it->second.recorded = decision.answer;
                    feed(d, ClaimDecided {decision.request, decision.result});
                });
    }
}

void
World::act(Daemon& daemon, const SendAttempt& action)
{
    auto upstream
        = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const FakeUpstream& u) {
              return u.address == action.upstream->address;
          });
    check_leaving(daemon, *upstream);
    daemon.attempts[action.attempt] = {action.request, false};
    const std::string input = daemon.requests.at(action.request).input;
    const std::size_t index = static_cast<std::size_t>(upstream - m_upstreams.begin());
    m_time.after(random_delay(),
                 [this, d = daemon.index, inc = daemon.incarnation, action, index, input] {
                     arrive(d, inc, action, index, input);
                 });
    const Micros extra_wait = action.may_repeat ? 0 : SchedulerOptions {}.detached_limit;
    deliver(daemon.index, daemon.incarnation, action.deadline + extra_wait - m_time.now(),
            [this, attempt = action.attempt](Daemon& d) {
                end_attempt(d, attempt, AttemptStatus::Lost, {});
            });
}

void
World::act(Daemon& daemon, const CancelAttempt& action)
{
    daemon.attempts[action.attempt].second = true;
    // A cancelled call ends some time later; its answer may arrive before that.
    deliver(daemon.index, daemon.incarnation, Micros(m_random() % 200) * kMillisecond,
            [this, attempt = action.attempt](Daemon& d) {
                end_attempt(d, attempt, AttemptStatus::Lost, {});
            });
}

void
World::act(Daemon& daemon, const BeginClaim& action)
{
    const RequestModel& model = m_request_models.at(action.request);
    ClaimRequested wanted;
    wanted.request = action.request;
    wanted.key = model.key;
    wanted.fingerprint = fast_hash(model.body);
    for (const UsedKey& used : m_keys)
        if (used.key == model.key)
            wanted.key_time = used.time;
    wanted.deadline = action.deadline;
    deliver(daemon.index, daemon.incarnation, kMillisecond,
            [this, wanted](Daemon& d) { feed_claims(d, wanted); });
}

void
World::act(Daemon& daemon, const EndClaim& action)
{
    ClaimRequestEnded over {action.request, action.outcome, std::nullopt};
    if (action.outcome == ClaimOutcome::Done)
        over.answer = RecordedAnswer {"text", daemon.requests.at(action.request).input};
    deliver(daemon.index, daemon.incarnation, kMillisecond,
            [this, over](Daemon& d) { feed_claims(d, over); });
}

void
World::act(Daemon& daemon, const Reply& action)
{
    check_reply(daemon, action, m_request_models.at(action.request));
}

void
World::act(Daemon& daemon, const Forget& action)
{
    daemon.requests.erase(action.request);
}

void
World::end_attempt(Daemon& daemon, AttemptId attempt, AttemptStatus status,
                   const std::string& output)
{
    auto it = daemon.attempts.find(attempt);
    if (it == daemon.attempts.end())
        return;
    const auto [request, cancelled] = it->second;
    daemon.attempts.erase(it);
    if (status == AttemptStatus::Ok && (!cancelled || mutated(Mutation::TrustLateAnswer)))
        daemon.requests.at(request).input = output;
    daemon.last_results.emplace_back(attempt, status);
    if (daemon.last_results.size() > 4)
        daemon.last_results.pop_front();
    feed(daemon, AttemptEnded {attempt, status});
}

} // namespace cypressford::fuzz
