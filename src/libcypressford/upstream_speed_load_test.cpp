// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Prompts at engines of unequal speed that share their machines with others, in virtual
/// time: the times until first events, with and without Mechanism::UpstreamSpeeds.

#include <algorithm>
#include <array>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/prompt_placer.h>
#include <cypressford/registry.h>
#include <cypressford/router.h>

namespace cypressford {
namespace {

constexpr int kEngines = 90;
constexpr double kTokensPerMs = 40;
constexpr Micros kFixedTime = 9 * kMillisecond;
constexpr Micros kStateTime = 600 * kMillisecond;
constexpr double kSlowShare = 0.15;
constexpr double kSlowdown = 2.5;
constexpr Micros kMessageTime = 3 * kMillisecond;
constexpr Micros kAnswerTime = 800 * kMillisecond;

PolicySwitches
with_speeds()
{
    PolicySwitches switches;
    switches.switch_on(Mechanism::UpstreamSpeeds);
    return switches;
}

struct Load {
    std::vector<double> factors {0.6, 1, 1.6}; ///< of the engines, in turn
    double slow_share = kSlowShare;
    double prompts_per_s = 350;
    bool reports = false; ///< engines report their slowdown to the leader
    unsigned seed = 1;
};

/// Engines that read one prompt after the other, and a leader that places the prompts.
class World {
public:
    World(Load load, PolicySwitches switches)
        : m_load(std::move(load))
        , m_placer(switches)
        , m_random(m_load.seed)
        , m_free_at(kEngines)
    {
        m_set.spec.memory_tokens = 560'000;
        m_set.revision = 1;
        for (int i = 0; i < kEngines; ++i)
            m_set.own.push_back(std::make_shared<UpstreamState>(
                "10.0.0." + std::to_string(i) + ":1", "h", std::to_string(i)));
    }

    /// Places prompts until `end`; times are recorded from `measured_from` on.
    void run(Micros measured_from, Micros end)
    {
        std::exponential_distribution<double> gap(m_load.prompts_per_s);
        while (m_now < end) {
            m_now += static_cast<Micros>(gap(m_random) * kSecond);
            deliver_events();
            place(m_now >= measured_from);
        }
    }

    /// The 99th percentile of the times from placement to the first event, in ms.
    double slowest_first_events()
    {
        const auto at
            = m_times.begin() + static_cast<std::ptrdiff_t>(m_times.size() * 99 / 100);
        std::nth_element(m_times.begin(), at, m_times.end());
        return static_cast<double>(*at) / kMillisecond;
    }
    /// Engine of each prompt.
    const std::vector<std::size_t>& choices() const { return m_choices; }
    /// Prompts at the engines with the factor at this position.
    auto prompts_at(std::size_t factor) const
    {
        return std::count_if(m_choices.begin(), m_choices.end(), [&](std::size_t engine) {
            return engine % m_load.factors.size() == factor;
        });
    }

private:
    struct Event {
        Micros at;
        std::string attempt;
        bool is_end;
        bool operator<(const Event& other) const { return at > other.at; }
    };

    double slowdown(int engine, Micros at) const
    {
        // Engines do not change their state at the same time.
        const Micros shifted = at + engine * (kStateTime / kEngines);
        std::minstd_rand state(static_cast<unsigned>(shifted / kStateTime) * 7919U
                               + static_cast<unsigned>(engine) * 104'729U + m_load.seed);
        state.discard(3);
        return std::uniform_real_distribution<double>()(state) < m_load.slow_share
            ? kSlowdown
            : 1;
    }

    double factor(int engine) const
    {
        return m_load.factors[static_cast<std::size_t>(engine) % m_load.factors.size()];
    }

    Micros finish(int engine, Micros start, std::int64_t tokens) const
    {
        double work = factor(engine)
            * (kFixedTime + static_cast<double>(tokens) / kTokensPerMs * kMillisecond);
        Micros at = start;
        while (work > 0) {
            const double step = std::min<double>(work, kMillisecond);
            at += static_cast<Micros>(step * slowdown(engine, at));
            work -= step;
        }
        return at;
    }

    void deliver_events()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.is_end)
                m_placer.record_ended(event.attempt);
            else
                m_placer.on_answer_started(event.attempt, event.at);
        }
    }

    void place(bool is_measured)
    {
        PromptQuery query;
        query.attempt = std::to_string(++m_number);
        query.affinity = 1 + m_random() % 200;
        const auto own = static_cast<std::int64_t>(500 + m_random() % 7000);
        query.parts = {{query.affinity, 13'000}, {1'000'000 + m_number, own}};
        query.tokens = 13'000 + own;
        query.reserve = true;
        if (m_load.reports)
            for (int i = 0; i < kEngines; ++i)
                m_set.own[static_cast<std::size_t>(i)]->speed.record(slowdown(i, m_now),
                                                                     m_now);
        const int engine = std::stoi(m_placer.place(m_set, query, m_now)->identity);
        Micros& free_at = m_free_at[static_cast<std::size_t>(engine)];
        free_at = finish(engine, std::max(free_at, m_now + kMessageTime),
                         m_placer.last_read().unread);
        m_events.push({free_at + kMessageTime, query.attempt, false});
        m_events.push({free_at + kAnswerTime, query.attempt, true});
        m_choices.push_back(static_cast<std::size_t>(engine));
        if (is_measured)
            m_times.push_back(free_at - m_now);
    }

    Load m_load;
    PromptPlacer m_placer;
    std::mt19937 m_random;
    UpstreamSet m_set;
    std::vector<Micros> m_free_at;
    std::priority_queue<Event> m_events;
    Micros m_now = kSecond;
    std::uint64_t m_number = 0;
    std::vector<Micros> m_times;
    std::vector<std::size_t> m_choices;
};

TEST_CASE("slow engines get fewer prompts and do not determine the slowest first events")
{
    // With reports at a high rate: guards against engines that are avoided at the cost of
    // reading cached parts again elsewhere.
    for (const auto& [rate, reports] : {std::pair(150, false), {350, false}, {550, true}}) {
        const Load load {.prompts_per_s = static_cast<double>(rate), .reports = reports};
        World without(load, {});
        World with(load, with_speeds());
        without.run(10 * kSecond, 25 * kSecond);
        with.run(10 * kSecond, 25 * kSecond);
        MESSAGE(rate, " prompts/s: 99th percentile ", without.slowest_first_events(),
                " ms, with speeds ", with.slowest_first_events());
        CHECK(with.slowest_first_events() < 0.8 * without.slowest_first_events());
        CHECK(with.prompts_at(0) > 1.3 * with.prompts_at(1));
        CHECK(with.prompts_at(1) > 1.3 * with.prompts_at(2));
    }
}

TEST_CASE("for engines of equal speed nothing changes")
{
    const Load load {.factors = {1}, .slow_share = 0};
    World without(load, {});
    World with(load, with_speeds());
    without.run(0, 25 * kSecond);
    with.run(0, 25 * kSecond);
    CHECK(without.choices() == with.choices());
}

TEST_CASE("a factor is learned within ten answers and does not depend on the queue")
{
    SetSpeeds speeds;
    std::array<EngineSpeed, 30> engines;
    const auto answer = [&](std::size_t engine, double factor, double tokens) {
        const double time = factor * (9'000 + tokens * 25);
        speeds.record(engines.at(engine), tokens, static_cast<Micros>(time));
    };
    for (std::size_t i = 0; i < 300; ++i)
        answer(3 + i % 27, 1, 1'000 + 500 * static_cast<double>(i % 10));
    CHECK(speeds.factor(engines[1]) == 1);
    for (int i = 0; i < 10; ++i) {
        answer(1, 1, 20'000);
        answer(2, 2, 1'000);
    }
    CHECK(speeds.factor(engines[2]) / speeds.factor(engines[1]) > 1.6);
    CHECK(speeds.factor(engines[1]) == 1);
    // One engine can't get a factor beyond the bounds.
    for (int i = 0; i < 100; ++i)
        answer(2, 1'000, 1'000);
    CHECK(speeds.factor(engines[2]) <= kMaxSpeedFactor);
}

TEST_CASE("a reported slowdown is bounded and expires")
{
    ReportedSpeed speed;
    CHECK(speed.slowdown(0) == 1);
    speed.record(1e9, kSecond);
    CHECK(speed.slowdown(kSecond) == kMaxSpeedFactor);
    speed.record(0, kSecond);
    CHECK(speed.slowdown(kSecond) == kMinSpeedFactor);
    CHECK(speed.slowdown(kSecond + kSpeedReportValid) == 1);
    CHECK(speed.record_unreadable());
    CHECK_FALSE(speed.record_unreadable());
}

TEST_CASE("the adaptive router avoids an upstream that reports to be slow")
{
    const auto router = Registry<Router>::instance().make("adaptive");
    std::vector<Candidate> candidates {{.latency = 1000}, {.latency = 1200}};
    CHECK(router->pick(candidates, {}) == 0);
    candidates[0].slowdown = 2.5;
    CHECK(router->pick(candidates, {}) == 1);
}

} // namespace
} // namespace cypressford
