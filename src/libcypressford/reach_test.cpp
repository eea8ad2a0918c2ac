// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reports between daemons about unreachable upstreams, and their effect in a large fleet.

#include <deque>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include <cypressford/prompt_placer.h>
#include <cypressford/reach_table.h>

namespace cypressford {
namespace {

constexpr Micros kBeforeRetry = ReachTable::kRetryInterval - 1;

TEST_CASE("an upstream that failed for one daemon is avoided by all, and retried")
{
    ReachTable table;
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"i1", 1}, "b", 0));
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 0);
    CHECK(table.should_avoid("a", UpstreamRun {"i1", 1}, "b", kBeforeRetry));
    CHECK(table.should_avoid("c", UpstreamRun {"i1", 1}, "b", kBeforeRetry));
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"i2", 1}, "b", kBeforeRetry));
    // One request tries it; the others avoid it until the result is known.
    CHECK_FALSE(
        table.should_avoid("a", UpstreamRun {"i1", 1}, "b", ReachTable::kRetryInterval));
    table.record_sent("a", UpstreamRun {"i1", 1}, "b", ReachTable::kRetryInterval);
    CHECK(table.should_avoid("c", UpstreamRun {"i1", 1}, "b",
                             ReachTable::kRetryInterval + kBeforeRetry));
    table.record_answer("a", UpstreamRun {"i1", 1}, "b");
    CHECK_FALSE(table.should_avoid("c", UpstreamRun {"i1", 1}, "b",
                                   ReachTable::kRetryInterval + kBeforeRetry));
}

TEST_CASE("a hall whose upstreams fail one after another is assumed to be cut off")
{
    ReachTable table;
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 0);
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 1);
    table.record_unreachable("a", UpstreamRun {"i2", 1}, "b", 2);
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"i9", 1}, "b", 3));
    table.record_unreachable("a", UpstreamRun {"i3", 1}, "b", 3);
    CHECK(table.should_avoid("a", UpstreamRun {"i9", 1}, "b", 4));
    // Daemons of other halls may reach it.
    CHECK_FALSE(table.should_avoid("c", UpstreamRun {"i9", 1}, "b", 4));
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"i8", 1}, "c", 4));
    table.record_answer("a", UpstreamRun {"i4", 1}, "b");
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"i9", 1}, "b", 5));
}

TEST_CASE("answers in between keep isolated failures from closing off a hall")
{
    ReachTable table;
    for (int i = 0; i < 20; ++i) {
        table.record_unreachable("a", UpstreamRun {"dead-" + std::to_string(i), 1}, "b", i);
        table.record_answer("a", UpstreamRun {"sound", 1}, "b");
    }
    CHECK_FALSE(table.should_avoid("a", UpstreamRun {"other", 1}, "b", 20));
}

/// Prompts from daemons in five halls to 160 engines while one hall is cut off, as placed
/// by the leader of the set.
class CutHall {
public:
    explicit CutHall(PolicySwitches switches)
        : m_placer(switches)
    {
        m_set.spec.slots = 64;
        m_set.spec.memory_tokens = 600'000;
        for (int i = 0; i < kEngines; ++i)
            m_set.remote.push_back(std::make_shared<UpstreamState>(
                "10.0.0." + std::to_string(i) + ":80", hall(i), "i" + std::to_string(i)));
    }

    /// Requests sent to unreachable engines.
    int lost() const { return m_lost; }
    /// Requests sent in the last second to the hall that had been cut off.
    int sent_after_recovery() const { return m_sent_after_recovery; }

    void simulate()
    {
        for (Micros now = 0; now < kEnd; now += kInterval) {
            report_outcomes(now);
            send(now);
        }
    }

private:
    static constexpr int kEngines = 160;
    static constexpr int kHalls = 5;
    static constexpr Micros kInterval = kSecond / 446;
    static constexpr Micros kCutFrom = 2 * kSecond;
    static constexpr Micros kCutUntil = kCutFrom + 5500 * kMillisecond;
    static constexpr Micros kEnd = kCutUntil + 3 * kSecond;
    static constexpr Micros kConnectTime = 250 * kMillisecond;
    static constexpr Micros kFirstEvent = 400 * kMillisecond;

    struct Outcome {
        Micros at = 0;
        std::string attempt;
        bool reached = false;
    };

    static std::string hall(int number) { return "h" + std::to_string(number % kHalls); }

    void report_outcomes(Micros now)
    {
        while (!m_outcomes.empty() && m_outcomes.begin()->first <= now) {
            const Outcome& outcome = m_outcomes.begin()->second;
            if (outcome.reached) {
                m_placer.on_answer_started(outcome.attempt);
                m_placer.record_ended(outcome.attempt);
            } else {
                m_placer.record_unreachable(outcome.attempt, now);
            }
            m_outcomes.erase(m_outcomes.begin());
        }
    }

    void send(Micros now)
    {
        const std::string cut = hall(2);
        const std::string from = hall(static_cast<int>(m_random() % kHalls));
        const bool is_cut = now >= kCutFrom && now < kCutUntil;
        // Daemons of the hall that is cut off can't reach this leader.
        if (is_cut && from == cut)
            return;
        PromptQuery query;
        query.attempt = std::to_string(++m_number);
        query.affinity = m_random() % 400;
        query.parts = {{query.affinity + 1, 13'000}, {1'000 + m_number, 3'700}};
        query.tokens = 16'700;
        query.from = from;
        query.reserve = true;
        const auto upstream = m_placer.place(m_set, query, now);
        REQUIRE(upstream);
        const bool reached = !is_cut || upstream->hall != cut;
        m_lost += reached ? 0 : 1;
        if (upstream->hall == cut && now >= kEnd - kSecond)
            ++m_sent_after_recovery;
        const Micros at = now + (reached ? kFirstEvent : kConnectTime);
        m_outcomes.emplace(at, Outcome {at, query.attempt, reached});
    }

    UpstreamSet m_set;
    PromptPlacer m_placer;
    std::multimap<Micros, Outcome> m_outcomes;
    std::mt19937_64 m_random {1};
    std::uint64_t m_number = 0;
    int m_lost = 0;
    int m_sent_after_recovery = 0;
};

TEST_CASE("few prompts go to a hall while it is cut off, and many once it has recovered")
{
    PolicySwitches unshared;
    unshared.switch_off(Mechanism::SharedReach);
    CutHall without(unshared);
    without.simulate();
    CutHall with({});
    with.simulate();
    MESSAGE("prompts sent to a hall that is cut off for 5.5 s: ", without.lost(),
            " without shared reports, ", with.lost(), " with them");
    CHECK(without.lost() > 300);
    CHECK(with.lost() < 100);
    CHECK(with.sent_after_recovery() > 60);
}

} // namespace
} // namespace cypressford
