// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What callers get when all upstreams of a set ask for rest under load.

#include <algorithm>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "test_fleet.h"

namespace cypressford {
namespace {

constexpr Micros kStep = 5 * kMillisecond;
constexpr Micros kServiceTime = 50 * kMillisecond;
constexpr Micros kAim = kSecond;
constexpr Micros kDeadline = 10 * kSecond; // as Fleet::arrive() sets it
constexpr Micros kShedFrom = 2 * kSecond;
constexpr Micros kShedUntil = kShedFrom + 300 * kMillisecond;
constexpr Micros kRest = 3 * kSecond;
constexpr Micros kLasts = 14 * kSecond;

/// What became of the callers of one play.
struct Outcome {
    int prompt = 0; ///< answered in the time they aim at, from their first try
    int late = 0;
    int lost = 0; ///< refused at their second try, too
    int asked_resting = 0; ///< calls that came to an upstream during its rest
};

/// Two upstreams with four slots each bear 160 requests a second; 120 come.  For 0.3 s both
/// turn all calls away and ask for 3 s of rest.  Callers that are refused come back once,
/// when they are told to, but after a third of their time at most.
class RestDay {
public:
    RestDay(double spread, unsigned seed)
        : m_random(seed)
        , m_fleet(spec_of(spread), [this] { return m_random(); })
    {
    }

    Outcome play()
    {
        for (; m_fleet.now < kLasts + kDeadline; m_fleet.now += kStep) {
            end_calls();
            if (m_fleet.now < kLasts && m_random() % 10 < 6)
                arrive(m_fleet.now, true);
            while (!m_back.empty() && m_back.begin()->first <= m_fleet.now) {
                const Micros first = m_back.begin()->second;
                m_back.erase(m_back.begin());
                arrive(first, false);
            }
            m_fleet.handle(Tick {});
            act();
        }
        return m_outcome;
    }

private:
    struct Caller {
        Micros first = 0; ///< when it came first
        bool may_come_back = false;
    };
    struct Call {
        SendAttempt send;
        Micros until = 0;
        AttemptStatus status = AttemptStatus::Ok;
    };

    static FleetSpec spec_of(double spread)
    {
        FleetSpec spec;
        spec.options.rest_spread = spread;
        spec.target_latency = kAim;
        return spec;
    }

    void arrive(Micros first, bool may_come_back)
    {
        m_callers[m_fleet.last_request() + 1] = {first, may_come_back};
        m_fleet.arrive();
        act();
    }

    void end_calls()
    {
        const auto ended = [this](const Call& call) { return call.until <= m_fleet.now; };
        while (true) {
            const auto it = std::find_if(m_calls.begin(), m_calls.end(), ended);
            if (it == m_calls.end())
                return;
            const Call call = *it;
            m_calls.erase(it);
            m_fleet.handle(AttemptEnded {call.send.attempt, call.status});
            act();
        }
    }

    void act()
    {
        const Actions actions = m_fleet.actions;
        m_fleet.actions.clear();
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                begin(*send);
            else if (const auto* reply = std::get_if<Reply>(&action))
                end(*reply);
        }
    }

    void begin(const SendAttempt& send)
    {
        SelfReport& said = *send.upstream->said;
        m_outcome.asked_resting += said.rests(m_fleet.now) ? 1 : 0;
        const bool sheds = m_fleet.now >= kShedFrom && m_fleet.now < kShedUntil;
        if (sheds)
            said.note_rest(m_fleet.now + kRest);
        m_calls.push_back({send, m_fleet.now + (sheds ? kStep : kServiceTime),
                           sheds ? AttemptStatus::Overloaded : AttemptStatus::Ok});
    }

    void end(const Reply& reply)
    {
        const Caller caller = m_callers.at(reply.request);
        const Micros took = m_fleet.now - caller.first;
        if (!reply.error) {
            ++(took <= kAim ? m_outcome.prompt : m_outcome.late);
        } else if (caller.may_come_back) {
            const Micros left = kDeadline - took;
            m_back.emplace(m_fleet.now + std::min(reply.retry_after, left / 3),
                           caller.first);
        } else {
            ++m_outcome.lost;
        }
    }

    std::mt19937_64 m_random;
    Fleet m_fleet;
    std::map<RequestId, Caller> m_callers;
    std::multimap<Micros, Micros> m_back; ///< when they come back, when they came first
    std::vector<Call> m_calls;
    Outcome m_outcome;
};

Outcome
play_all(double spread)
{
    Outcome sum;
    for (unsigned seed = 0; seed < 10; ++seed) {
        const Outcome one = RestDay(spread, seed).play();
        sum.prompt += one.prompt;
        sum.late += one.late;
        sum.lost += one.lost;
        sum.asked_resting += one.asked_resting;
    }
    return sum;
}

TEST_CASE("callers that are refused during a rest come back spread over part of its length")
{
    std::map<double, Outcome> by_spread;
    for (const double spread : {0.0, 0.1, 0.25, 0.5, 1.0}) {
        const Outcome& one = by_spread[spread] = play_all(spread);
        MESSAGE("spread over " << spread << " of the rest: " << one.prompt << " prompt, "
                               << one.late << " late, " << one.lost << " refused twice");
        CHECK(one.asked_resting == 0);
    }
    // As set: as many served as by any other, and nearly as many in time as by none.
    const Outcome& set = by_spread[SchedulerOptions {}.rest_spread];
    for (const auto& [spread, other] : by_spread) {
        CHECK(set.prompt + set.late >= 0.99 * (other.prompt + other.late));
        CHECK(set.prompt >= 0.98 * other.prompt);
    }
}

} // namespace
} // namespace cypressford
