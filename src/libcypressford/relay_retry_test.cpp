// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against retries of relayed requests that run a request twice, exceed the limits
/// of retries, or give up too early.

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/leader_retries.h>

#include "relay_fixture.h"

namespace cypressford {
namespace {

TEST_CASE("a request that is proven not to have run is sent to another upstream")
{
    for (const AttemptStatus status :
         {AttemptStatus::NotSent, AttemptStatus::Overloaded, AttemptStatus::Leaving}) {
        RelayFixture fixture;
        fixture.publish(pipeline(false));
        fixture.arrive(1, kSecond);
        const auto first = *fixture.find<SendAttempt>();
        fixture.handle(AttemptEnded {first.attempt, status});
        const auto* second = fixture.find<SendAttempt>();
        REQUIRE(second);
        CHECK(second->upstream != first.upstream);
    }
}

TEST_CASE("a repeatable request is retried at most as often as its pipeline allows")
{
    PipelineSpec spec = pipeline(true);
    spec.max_attempts = 2;
    RelayFixture fixture;
    fixture.publish(spec);
    fixture.arrive(1, kSecond);
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Failed});
    REQUIRE(fixture.find<SendAttempt>());
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Failed});
    CHECK_FALSE(fixture.find<SendAttempt>());
    CHECK(*fixture.find<Reply>()->error == ErrorKind::UpstreamFailed);
}

TEST_CASE("an unreachable upstream is reported to the leader that chose it")
{
    const auto begin = [](RelayFixture& fixture, Micros deadline) {
        PipelineSpec spec = pipeline(true);
        spec.stages[0].kind = StageKind::Generate;
        fixture.publish(spec);
        fixture.arrive(1, deadline, {}, true);
        fixture.handle(PreparationEnded {1, true, "a", "i2"});
        REQUIRE(fixture.find<SendAttempt>());
        REQUIRE(fixture.find<SendAttempt>()->upstream->identity == "i2");
    };
    RelayFixture fixture;
    begin(fixture, 10 * kSecond);
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    CHECK(fixture.find<ReportUnreachable>());
    // The second upstream was chosen by the router.
    const auto* second = fixture.find<SendAttempt>();
    REQUIRE(second);
    CHECK(second->upstream->identity == "i1");
    fixture.handle(AttemptEnded {second->attempt, AttemptStatus::NotSent});
    CHECK_FALSE(fixture.find<ReportUnreachable>());

    RelayFixture refused;
    begin(refused, 10 * kSecond);
    refused.handle(
        AttemptEnded {refused.find<SendAttempt>()->attempt, AttemptStatus::Overloaded});
    CHECK_FALSE(refused.find<ReportUnreachable>());

    // With too little time left to connect, a failure is no evidence of unreachability.
    RelayFixture late;
    begin(late, 100 * kMillisecond);
    late.handle(AttemptEnded {late.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    CHECK_FALSE(late.find<ReportUnreachable>());

    RelayFixture unresponsive;
    begin(unresponsive, 20 * kSecond);
    unresponsive.now = 10 * kSecond;
    unresponsive.handle(Tick {});
    CHECK(unresponsive.find<ReportUnreachable>());
}

TEST_CASE("only attempts that reached an upstream are charged to the retry budget")
{
    SchedulerOptions options;
    options.retry_ratio = 0;
    options.retry_burst = 0;
    RelayFixture fixture(options);
    fixture.publish(pipeline(true));
    fixture.arrive(1, kSecond);
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    REQUIRE(fixture.find<SendAttempt>());
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Overloaded});
    CHECK_FALSE(fixture.find<SendAttempt>());
    REQUIRE(fixture.find<Reply>());
    CHECK(fixture.find<Reply>()->ran == Ran::NotRun);
}

/// Ejects both upstreams, one after the other, and lets both ejections end.
void
eject_both(RelayFixture& fixture)
{
    fixture.arrive(1, kSecond);
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    fixture.handle(AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Ok});
    fixture.now += 2 * kSecond;
    fixture.arrive(2, fixture.now + kSecond);
    while (const auto* send = fixture.find<SendAttempt>())
        fixture.handle(AttemptEnded {send->attempt, AttemptStatus::NotSent});
    fixture.now += 2 * kSecond;
    fixture.handle(Tick {});
}

TEST_CASE("upstreams that were ejected return to service without repeatable requests")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false));
    eject_both(fixture);
    for (const UpstreamSet& set : fixture.snapshot->sets)
        if (set.spec.name == "set")
            for (const auto& upstream : set.own)
                REQUIRE(upstream->ejections.load() > 0);
    fixture.arrive(3, fixture.now + 3 * kSecond);
    const auto* trial = fixture.find<SendAttempt>();
    REQUIRE(trial);
    const AttemptId attempt = trial->attempt;
    const UpstreamPtr upstream = trial->upstream;
    fixture.handle(AttemptEnded {attempt, AttemptStatus::Ok});
    CHECK(upstream->ejections.load() == 0);
}

TEST_CASE("a request that may run once is no trial while another upstream serves")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false));
    fixture.arrive(1, kSecond);
    const UpstreamPtr ejected = fixture.find<SendAttempt>()->upstream;
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    fixture.handle(AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Ok});
    fixture.now += 2 * kSecond;
    REQUIRE(ejected->ejections.load() > 0);
    for (RequestId id = 2; id < 10; ++id) {
        fixture.arrive(id, fixture.now + kSecond);
        REQUIRE(fixture.find<SendAttempt>());
        CHECK(fixture.find<SendAttempt>()->upstream != ejected);
        fixture.handle(
            AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Ok});
    }
}

TEST_CASE("a failed trial of the last upstream rejects the requests that wait for it")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false));
    eject_both(fixture);
    constexpr int requests = 5;
    constexpr int max_unreached = 7; // attempts of a request that no upstream received
    int sent = 0;
    int answered = 0;
    std::deque<AttemptId> open;
    const auto collect = [&] {
        for (const Action& action : fixture.actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                ++sent;
                open.push_back(send->attempt);
            }
            answered += std::get_if<Reply>(&action) ? 1 : 0;
        }
    };
    for (RequestId id = 3; id < 3 + requests; ++id) {
        fixture.arrive(id, fixture.now + 3 * kSecond);
        collect();
    }
    CHECK(sent == 2); // one trial at each upstream
    while (!open.empty()) {
        fixture.handle(AttemptEnded {open.front(), AttemptStatus::NotSent});
        open.pop_front();
        collect();
        REQUIRE(sent <= requests * max_unreached);
    }
    CHECK(answered == requests);
}

/// Continues a stream at the first upstream, the only one of its software version.  The
/// second one is ejected, so that the first stays in service whatever happens.
void
begin_continuation(RelayFixture& fixture)
{
    PipelineSpec spec = pipeline(true);
    spec.stream = true;
    fixture.publish(spec, {"v1", "v2"});
    for (const UpstreamSet& set : fixture.snapshot->sets)
        for (const auto& upstream : set.own)
            if (upstream->identity == "i2")
                upstream->ejected_until.store(10 * kSecond);
    fixture.arrive(1, 3 * kSecond, {}, false, "v1");
    REQUIRE(fixture.find<SendAttempt>());
    REQUIRE(fixture.find<SendAttempt>()->upstream->identity == "i1");
}

TEST_CASE("a stream waits for the only upstream of its version that refuses connections")
{
    RelayFixture fixture;
    begin_continuation(fixture);
    // The upstream accepts connections again after 0.4 s.
    while (fixture.now < 400 * kMillisecond) {
        while (const auto* send = fixture.find<SendAttempt>())
            fixture.handle(AttemptEnded {send->attempt, AttemptStatus::NotSent});
        REQUIRE_FALSE(fixture.find<Reply>());
        fixture.now += kMillisecond;
        fixture.handle(Tick {});
    }
    while (!fixture.find<SendAttempt>() && fixture.now < kSecond) {
        fixture.now += kMillisecond;
        fixture.handle(Tick {});
    }
    const auto* send = fixture.find<SendAttempt>();
    REQUIRE(send);
    CHECK(send->upstream->identity == "i1");
    fixture.handle(AttemptEnded {send->attempt, AttemptStatus::Ok});
    CHECK_FALSE(fixture.find<Reply>()->error);
}

TEST_CASE("a stream whose version accepts no connection is refused within a second")
{
    RelayFixture fixture;
    begin_continuation(fixture);
    int attempts = 0;
    while (!fixture.find<Reply>() && fixture.now < 2 * kSecond) {
        if (const auto* send = fixture.find<SendAttempt>()) {
            ++attempts;
            fixture.handle(AttemptEnded {send->attempt, AttemptStatus::NotSent});
            continue;
        }
        fixture.now += kMillisecond;
        fixture.handle(Tick {});
    }
    REQUIRE(fixture.find<Reply>());
    CHECK(fixture.find<Reply>()->ran == Ran::NotRun);
    CHECK(attempts > 1);
    CHECK(fixture.now <= kSecond);
}

TEST_CASE("a request that may run at any version does not wait between unreached attempts")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true), {"v1", "v2"});
    fixture.arrive(1, 3 * kSecond);
    while (const auto* send = fixture.find<SendAttempt>())
        fixture.handle(AttemptEnded {send->attempt, AttemptStatus::NotSent});
    CHECK(fixture.find<Reply>());
}

/// Counts events in a sliding window.
class Window {
public:
    void add(int at) { m_times.push_back(at); }
    int count(int now, int length)
    {
        while (!m_times.empty() && m_times.front() <= now - length)
            m_times.pop_front();
        return static_cast<int>(m_times.size());
    }

private:
    std::deque<int> m_times;
};

TEST_CASE(
    "retries of all daemons stay under the limit, also while many daemons are restarted")
{
    constexpr int daemons = 9;
    constexpr int window = 10'000; // ms
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        const auto fresh = [&] {
            return RetryBudget(RetryLimit::kForRetries * limit.ratio,
                               limit.burst(RetryLimit::kForRetries, daemons),
                               limit.initial_tokens(daemons));
        };
        std::vector<RetryBudget> budgets(daemons, fresh());
        Window first;
        Window again;
        const int rate = 1 + static_cast<int>(random() % 40); // ms between requests
        int worst = 0;
        for (int now = 0; now < 60'000; ++now) {
            if (now % rate == 0) {
                RetryBudget& budget = budgets[random() % daemons];
                budget.earn();
                first.add(now);
                // Every attempt fails and is retried as often as the budget allows.
                while (budget.spend())
                    again.add(now);
            }
            if (random() % 2000 == 0)
                for (RetryBudget& budget : budgets)
                    if (random() % 2 == 0)
                        budget = fresh();
            const double allowed = limit.ratio * first.count(now, window) + limit.extra;
            worst = std::max(worst, static_cast<int>(again.count(now, window) - allowed));
        }
        CHECK(worst <= 0);
    }
}

/// A fleet that starts for the first time, and whose attempts all fail.
class StartingSenders {
public:
    StartingSenders(int daemons, int records_per_s, RetryLimit limit)
        : m_records_per_s(records_per_s)
    {
        SchedulerOptions options;
        options.retry_limit = limit;
        options.eject = false;
        for (int i = 0; i < daemons; ++i) {
            m_senders.push_back(std::make_unique<RelayFixture>(options));
            m_senders.back()->publish(pipeline(true));
        }
    }

    /// Applies the records that were written by then at all daemons.
    void read_records(Micros now, bool knows_fleet)
    {
        const auto written = static_cast<int>(now * m_records_per_s / kSecond);
        const int alive = std::min(written, static_cast<int>(m_senders.size()));
        for (auto& sender : m_senders)
            sender->set_daemons(std::max(1, alive), knows_fleet);
    }

    /// Number of retries of a request that arrives at one daemon.
    int send(std::size_t at, Micros now)
    {
        RelayFixture& fixture = *m_senders[at % m_senders.size()];
        fixture.now = now;
        fixture.arrive(++m_requests, now + 10 * kSecond);
        int attempts = 0;
        while (const auto* send = fixture.find<SendAttempt>()) {
            ++attempts;
            fixture.handle(AttemptEnded {send->attempt, AttemptStatus::Failed});
        }
        return attempts - 1;
    }

private:
    const int m_records_per_s;
    std::vector<std::unique_ptr<RelayFixture>> m_senders;
    RequestId m_requests = 0;
};

TEST_CASE("retries stay under the limit while daemons don't know each other yet")
{
    constexpr int window = 10'000; // ms
    constexpr int read_interval = 300; // ms
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    // The directory stores 250 records a second, or answers other calls first.
    const auto check = [&](int daemons, int records_per_s) {
        StartingSenders fleet(daemons, records_per_s, limit);
        std::mt19937 random(1);
        int requests = 0;
        int retries = 0;
        for (int now = 0; now < window; ++now) {
            if (now % read_interval == 0)
                fleet.read_records(now * kMillisecond, false);
            if (now % 3 != 0)
                continue;
            ++requests;
            retries += fleet.send(random(), now * kMillisecond);
        }
        INFO(daemons, " daemons, ", records_per_s, " records a second");
        CHECK(retries <= limit.ratio * requests + limit.extra);
    };
    for (const int daemons : {60, 986, 2000})
        for (const int records_per_s : {250, 8, 0})
            check(daemons, records_per_s);
}

TEST_CASE("retries of pieces stay under the limit while each daemon believes that it leads")
{
    constexpr int daemons = 986;
    constexpr int pieces = 4;
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    std::vector<LeaderRetries> leaders(daemons, LeaderRetries(limit));
    int retries = 0;
    for (LeaderRetries& leader : leaders) {
        leader.earn(pieces);
        retries += leader.spend(pieces, false) ? pieces : 0;
    }
    CHECK(retries <= limit.ratio * pieces * daemons + limit.extra);
    // The leader of a known fleet may retry at once.
    CHECK(leaders.front().spend(pieces, true));
}

TEST_CASE("a daemon that is alone may retry before it has earned it once it knows so")
{
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    StartingSenders fleet(1, 1, limit);
    fleet.read_records(kSecond, false);
    CHECK(fleet.send(0, kSecond) == 0);
    fleet.read_records(2 * kSecond, true);
    CHECK(fleet.send(0, 2 * kSecond) == 1);
}

TEST_CASE("a daemon's share of the retry limit shrinks when daemons are added")
{
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    CHECK(limit.burst(RetryLimit::kForRetries, 1) > 30);
    CHECK(limit.burst(RetryLimit::kForRetries, 9) < 4);
    CHECK(limit.burst(RetryLimit::kForRetries, 700) == 1);
    RetryBudget budget(0.1, 30, 30);
    budget.set_burst(2);
    CHECK(budget.spend());
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
}

} // namespace
} // namespace cypressford
