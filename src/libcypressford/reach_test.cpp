// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What daemons tell each other of upstreams that can't be reached, and what callers of a
/// large fleet get by it.

#include <deque>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include <cypressford/prompt_placer.h>
#include <cypressford/reach_table.h>

namespace cypressford {
namespace {

constexpr Micros kSoon = ReachTable::kTryPace - 1;

TEST_CASE("an upstream that failed for one daemon is avoided by all, and tried again")
{
    ReachTable table;
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i1", 1}, "b", 0));
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 0);
    CHECK(table.avoids("a", UpstreamRun {"i1", 1}, "b", kSoon));
    CHECK(table.avoids("c", UpstreamRun {"i1", 1}, "b", kSoon));
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i2", 1}, "b", kSoon));
    // One request tries it; the others wait for what becomes of that.
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i1", 1}, "b", ReachTable::kTryPace));
    table.note_sent("a", UpstreamRun {"i1", 1}, "b", ReachTable::kTryPace);
    CHECK(table.avoids("c", UpstreamRun {"i1", 1}, "b", ReachTable::kTryPace + kSoon));
    table.note_answered("a", UpstreamRun {"i1", 1}, "b");
    CHECK_FALSE(
        table.avoids("c", UpstreamRun {"i1", 1}, "b", ReachTable::kTryPace + kSoon));
}

TEST_CASE("a hall whose upstreams fail one after the other is taken for cut off")
{
    ReachTable table;
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 0);
    table.record_unreachable("a", UpstreamRun {"i1", 1}, "b", 1);
    table.record_unreachable("a", UpstreamRun {"i2", 1}, "b", 2);
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i9", 1}, "b", 3));
    table.record_unreachable("a", UpstreamRun {"i3", 1}, "b", 3);
    CHECK(table.avoids("a", UpstreamRun {"i9", 1}, "b", 4));
    // Daemons of other halls may reach it.
    CHECK_FALSE(table.avoids("c", UpstreamRun {"i9", 1}, "b", 4));
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i8", 1}, "c", 4));
    table.note_answered("a", UpstreamRun {"i4", 1}, "b");
    CHECK_FALSE(table.avoids("a", UpstreamRun {"i9", 1}, "b", 5));
}

TEST_CASE("answers in between keep single failures from closing a hall")
{
    ReachTable table;
    for (int i = 0; i < 20; ++i) {
        table.record_unreachable("a", UpstreamRun {"dead-" + std::to_string(i), 1}, "b", i);
        table.note_answered("a", UpstreamRun {"sound", 1}, "b");
    }
    CHECK_FALSE(table.avoids("a", UpstreamRun {"other", 1}, "b", 20));
}

/// Prompts of daemons in five halls for 160 engines while one hall is cut off: what the
/// leader of the set does with them.
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

    /// Requests that were sent to an engine that can't be reached.
    int lost() const { return m_lost; }
    /// Requests sent to the hall that was cut off, in the last second.
    int back_again() const { return m_back_again; }

    void play()
    {
        for (Micros now = 0; now < kEnd; now += kPace) {
            tell(now);
            send(now);
        }
    }

private:
    static constexpr int kEngines = 160;
    static constexpr int kHalls = 5;
    static constexpr Micros kPace = kSecond / 446;
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

    void tell(Micros now)
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
        // Daemons of the hall that is cut off do not reach this leader.
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
            ++m_back_again;
        const Micros at = now + (reached ? kFirstEvent : kConnectTime);
        m_outcomes.emplace(at, Outcome {at, query.attempt, reached});
    }

    UpstreamSet m_set;
    PromptPlacer m_placer;
    std::multimap<Micros, Outcome> m_outcomes;
    std::mt19937_64 m_random {1};
    std::uint64_t m_number = 0;
    int m_lost = 0;
    int m_back_again = 0;
};

TEST_CASE("while a hall is cut off, few prompts are sent there, and many once it is back")
{
    PolicySwitches alone;
    alone.switch_off(Mechanism::SharedReach);
    CutHall without(alone);
    without.play();
    CutHall with({});
    with.play();
    MESSAGE("prompts sent to a hall that is cut off for 5.5 s: ", without.lost(),
            " without, ", with.lost(), " with");
    CHECK(without.lost() > 300);
    CHECK(with.lost() < 100);
    CHECK(with.back_again() > 60);
}

} // namespace
} // namespace cypressford
