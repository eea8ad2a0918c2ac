// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The upstreams of the fuzzer's world.

#include "world_impl.h"

namespace cypressford::fuzz {

void
World::arrive(std::size_t daemon, std::uint64_t incarnation, const SendAttempt& send,
              std::size_t index, const std::string& input)
{
    FakeUpstream& upstream = m_upstreams[index];
    const auto answer = [&](Micros delay, AttemptStatus status,
                            const std::string& output = {}) {
        deliver(daemon, incarnation, delay, [this, send, status, output](Daemon& d) {
            if (status == AttemptStatus::Leaving && d.attempts.count(send.attempt) > 0)
                d.known_leaving.insert(send.upstream->address);
            end_attempt(d, send.attempt, status, output);
        });
    };
    if (upstream.leaving)
        return answer(random_delay(), AttemptStatus::Leaving);
    RequestModel& model = m_request_models.at(send.request);
    if (upstream.deduplicates && has_conflicting_body(model.key, input))
        return answer(random_delay(), AttemptStatus::Rejected);
    switch (upstream.behaviour) {
    case Behaviour::Refuse:
        return answer(random_delay(), AttemptStatus::NotSent);
    case Behaviour::Overloaded:
        return answer(random_delay(), AttemptStatus::Overloaded);
    case Behaviour::FailBeforeRun:
        return answer(random_delay(), AttemptStatus::Failed);
    case Behaviour::Good:
        return answer(random_delay() + Micros(m_random() % 20) * kMillisecond,
                      AttemptStatus::Ok, run(upstream, send, model, input));
    case Behaviour::Lagging:
        return answer(Micros(50 + m_random() % 100) * kMillisecond, AttemptStatus::Ok,
                      run(upstream, send, model, input));
    case Behaviour::Slow:
        return answer(Micros(1 + m_random() % 6) * kSecond, AttemptStatus::Ok,
                      run(upstream, send, model, input));
    case Behaviour::Unresponsive:
        return answer(30 * kSecond, AttemptStatus::Ok, run(upstream, send, model, input));
    case Behaviour::Fail:
        run(upstream, send, model, input);
        return answer(random_delay(), AttemptStatus::Failed);
    case Behaviour::Cut:
        run(upstream, send, model, input);
        return answer(random_delay(), AttemptStatus::Lost);
    }
}

/// A set that deduplicates rejects a key that is used again with another body.
bool
World::has_conflicting_body(const std::string& key, const std::string& input) const
{
    auto it = m_deduplicated.find(key);
    return it != m_deduplicated.end() && it->second != input;
}

std::string
World::run(FakeUpstream& upstream, const SendAttempt& send, RequestModel& model,
           const std::string& input)
{
    const std::string& stage = stages_of(model.pipeline).at(send.stage);
    std::string output = output_of(stage, input);
    const bool once = stage == "print" || stage == "push" || stage == "notify";
    model.ran = true;
    if (model.reported_not_run)
        report_violation("request ran after it was answered as not run");
    if (!once)
        return output;
    if (upstream.deduplicates) {
        // Keys are deduplicated over the whole set, as its spec says.
        if (m_deduplicated.count(model.key) > 0)
            return output;
        m_deduplicated[model.key] = input;
    }
    if (++m_once_runs[model.key] > 1)
        report_violation("key ran twice: " + model.key);
    return output;
}

} // namespace cypressford::fuzz
