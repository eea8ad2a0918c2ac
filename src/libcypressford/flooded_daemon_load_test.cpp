// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Daemons that share upstreams while callers come to one or a few of them, and while more
/// callers come to all of them than the upstreams serve.

#include <deque>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "test_fleet.h"

namespace cypressford {
namespace {

constexpr Micros kStep = 2 * kMillisecond;
constexpr Micros kServiceTime = 20 * kMillisecond;
constexpr Micros kTargetLatency = 2 * kSecond;
constexpr int kSlots = 4; // of each of the two upstreams, as in Fleet
constexpr std::size_t kQueue = 4; // calls that wait at an upstream before it rejects more
/// Requests per second that both upstreams serve.
constexpr double kCapacity = 2 * kSlots * static_cast<double>(kSecond) / kServiceTime;

struct Outcome {
    int sent = 0;
    int served = 0;
    int calls = 0;
    int rejected = 0; ///< calls, by an upstream without room
    std::vector<Micros> times; ///< from arrival to answer

    double served_part() const { return static_cast<double>(served) / sent; }
    double rejected_part() const { return static_cast<double>(rejected) / calls; }
    Micros p99()
    {
        std::sort(times.begin(), times.end());
        return times.at(times.size() * 99 / 100);
    }
};

PolicySwitches
even_parts_only()
{
    PolicySwitches switches;
    switches.switch_off(Mechanism::DemandLimit);
    return switches;
}

/// Daemons with a scheduler each, and two upstreams that all of them call.
class SharedUpstreams {
public:
    explicit SharedUpstreams(int daemons, PolicySwitches switches = {})
    {
        FleetSpec spec;
        spec.options.switches = switches;
        spec.daemons = daemons;
        spec.options.daemons_in_hall = daemons;
        spec.target_latency = kTargetLatency;
        for (int i = 0; i < daemons; ++i)
            m_daemons.push_back(
                std::make_unique<Fleet>(spec, [this] { return m_random(); }));
    }

    /// Requests for `span`, evenly to the daemons from `first` on, `count` of them.
    Outcome load(double per_s, Micros span, std::size_t first, std::size_t count)
    {
        m_outcome = {};
        std::exponential_distribution<double> gap(per_s / kSecond);
        double next = static_cast<double>(m_now);
        for (const Micros until = m_now + span; m_now < until; m_now += kStep) {
            end_calls();
            for (; next <= static_cast<double>(m_now); next += gap(m_random))
                arrive(first + m_random() % count);
            for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
                m_daemons[daemon]->now = m_now;
                m_daemons[daemon]->handle(Tick {});
                act(daemon);
            }
        }
        return m_outcome;
    }

private:
    struct Call {
        std::size_t daemon = 0;
        AttemptId attempt = 0;
        Micros until = 0; ///< end of the service; 0: waits
    };
    struct Upstream {
        std::vector<Call> running;
        std::deque<Call> waiting;
    };

    void arrive(std::size_t daemon)
    {
        ++m_outcome.sent;
        Fleet& fleet = *m_daemons[daemon];
        fleet.now = m_now;
        m_arrived[{daemon, fleet.last_request() + 1}] = m_now;
        fleet.arrive();
        act(daemon);
    }

    void act(std::size_t daemon)
    {
        const Actions actions = std::exchange(m_daemons[daemon]->actions, {});
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                begin(daemon, *send);
            else if (const auto* reply = std::get_if<Reply>(&action))
                record(daemon, *reply);
        }
    }

    void begin(std::size_t daemon, const SendAttempt& send)
    {
        ++m_outcome.calls;
        Upstream& upstream = m_upstreams[send.upstream->identity];
        if (upstream.running.size() < kSlots) {
            upstream.running.push_back({daemon, send.attempt, m_now + kServiceTime});
        } else if (upstream.waiting.size() < kQueue) {
            upstream.waiting.push_back({daemon, send.attempt});
        } else {
            ++m_outcome.rejected;
            m_daemons[daemon]->handle(
                AttemptEnded {send.attempt, AttemptStatus::Overloaded});
            act(daemon);
        }
    }

    void end_calls()
    {
        for (auto& [identity, upstream] : m_upstreams) {
            std::vector<Call> ended;
            for (Call& call : upstream.running)
                if (call.until <= m_now)
                    ended.push_back(call);
            std::erase_if(upstream.running,
                          [this](const Call& call) { return call.until <= m_now; });
            while (upstream.running.size() < kSlots && !upstream.waiting.empty()) {
                upstream.running.push_back(upstream.waiting.front());
                upstream.running.back().until = m_now + kServiceTime;
                upstream.waiting.pop_front();
            }
            for (const Call& call : ended) {
                m_daemons[call.daemon]->now = m_now;
                m_daemons[call.daemon]->handle(
                    AttemptEnded {call.attempt, AttemptStatus::Ok});
                act(call.daemon);
            }
        }
    }

    void record(std::size_t daemon, const Reply& reply)
    {
        const auto arrived = m_arrived.extract({daemon, reply.request});
        if (reply.error)
            return;
        ++m_outcome.served;
        m_outcome.times.push_back(m_now - arrived.mapped());
    }

    std::mt19937_64 m_random {1};
    std::vector<std::unique_ptr<Fleet>> m_daemons;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::pair<std::size_t, RequestId>, Micros> m_arrived;
    Micros m_now = kSecond;
    Outcome m_outcome;
};

/// Outcome of more requests than the upstreams serve, at all daemons.
Outcome
burst_at_all(int daemons, PolicySwitches switches)
{
    SharedUpstreams shared(daemons, switches);
    const auto all = static_cast<std::size_t>(daemons);
    shared.load(0.3 * kCapacity, 5 * kSecond, 0, all);
    return shared.load(3 * kCapacity, 5 * kSecond, 0, all);
}

} // namespace

TEST_CASE("one of many daemons serves all callers while upstreams have room")
{
    for (const int daemons : {6, 30, 80}) {
        CAPTURE(daemons);
        SharedUpstreams shared(daemons);
        const auto all = static_cast<std::size_t>(daemons);
        Outcome calm = shared.load(0.6 * kCapacity, 5 * kSecond, 0, all);
        CHECK(calm.served_part() >= 0.99);
        // A second for the flooded daemon to take up what the others leave.
        for (const std::size_t flooded : {std::size_t {0}, all - 1}) {
            shared.load(0.6 * kCapacity, kSecond, flooded, 1);
            Outcome flood = shared.load(0.6 * kCapacity, 4 * kSecond, flooded, 1);
            CHECK(flood.served_part() >= 0.95 * calm.served_part());
            CHECK(flood.p99() <= 2 * calm.p99());
        }
    }
}

TEST_CASE("a few of many daemons serve all callers while upstreams have room")
{
    for (const std::size_t flooded : {2, 5}) {
        CAPTURE(flooded);
        SharedUpstreams shared(30);
        Outcome calm = shared.load(0.6 * kCapacity, 5 * kSecond, 0, 30);
        shared.load(0.6 * kCapacity, kSecond, 3, flooded);
        Outcome flood = shared.load(0.6 * kCapacity, 4 * kSecond, 3, flooded);
        CHECK(flood.served_part() >= 0.95 * calm.served_part());
        CHECK(flood.p99() <= 2 * calm.p99());
    }
}

TEST_CASE("daemons that all have more callers than upstreams serve overrun no upstream")
{
    for (const int daemons : {6, 30, 80}) {
        CAPTURE(daemons);
        const Outcome burst = burst_at_all(daemons, {});
        const Outcome even = burst_at_all(daemons, even_parts_only());
        MESSAGE(daemons << " daemons: " << burst.served << " of " << burst.sent
                        << " served (even parts: " << even.served << "), " << burst.rejected
                        << " of " << burst.calls << " calls rejected (even parts: "
                        << even.rejected << " of " << even.calls << ")");
        CHECK(burst.served >= even.served);
        CHECK(burst.rejected_part() <= even.rejected_part() + 0.1);
    }
}

} // namespace cypressford
