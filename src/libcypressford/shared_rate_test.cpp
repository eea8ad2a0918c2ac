// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A rate that all daemons share, and the rate limits that upstreams announce.
///
/// Guards against an upstream that announced a limit of one request a second and got 14 in
/// 4 s, where 11 are allowed, from daemons that had passed on its answers.  The leader of
/// the set continued to place prompts there because no sender applied the limit and no
/// daemon counted calls across all daemons.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <vector>

#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>
#include <cypressford/self_report.h>
#include <cypressford/shared_rate.h>

#include "candidates.h"
#include "test_fleet.h"
#include "test_times.h"

namespace cypressford {
namespace {

/// For a limit of N requests a second the platform allows, in any span of this length, 1.5
/// N times the span plus 5.
constexpr Micros kSpan = 4 * kSecond;

double
allowed(double per_s)
{
    return 1.5 * per_s * (static_cast<double>(kSpan) / kSecond) + 5;
}

/// Daemons that share one rate, each with its own state.
class Sharers {
public:
    Sharers(int daemons, double per_s, bool has_leader)
    {
        m_count->set(daemons, 0);
        for (int daemon = 0; daemon < daemons; ++daemon) {
            m_rates.push_back(std::make_unique<SharedRate>(77 + daemon, m_count));
            m_rates.back()->set_has_leader(has_leader);
            m_rates.back()->set(per_s, 0);
        }
    }
    SharedRate& of(int daemon) { return *m_rates[static_cast<std::size_t>(daemon)]; }
    int size() const { return static_cast<int>(m_rates.size()); }
    SharerCount& count() { return *m_count; }

private:
    std::shared_ptr<SharerCount> m_count = std::make_shared<SharerCount>();
    std::vector<std::unique_ptr<SharedRate>> m_rates;
};

/// Every daemon has calls for the upstream at each step.
std::vector<Micros>
simulate(Sharers& sharers, Micros end, int leaders)
{
    constexpr Micros step = 10 * kMillisecond;
    std::vector<Micros> sent;
    for (Micros now = 0; now < end; now += step)
        for (int daemon = 0; daemon < sharers.size(); ++daemon) {
            SharedRate& rate = sharers.of(daemon);
            while (rate.take(RatePart::Own, now))
                sent.push_back(now);
            while (daemon < leaders && rate.take(RatePart::Granted, now))
                sent.push_back(now);
        }
    return sent;
}

TEST_CASE("all daemons together stay within a limit from the first second on")
{
    constexpr int duration_s = 30;
    for (const int daemons : {1, 3, 9, 30, 100, 300, 710})
        for (const double per_s : {0.2, 1.0, 10.0, 1000.0})
            for (const int leaders : {0, 1, 2}) {
                Sharers sharers(daemons, per_s, leaders > 0);
                const auto sent = simulate(sharers, duration_s * kSecond, leaders);
                const double all = static_cast<double>(sent.size());
                const double used = all / (per_s * duration_s);
                INFO("daemons ", daemons, ", limit ", per_s, ", leaders ", leaders);
                CHECK(static_cast<double>(most_within(sent, kSpan)) <= allowed(per_s));
                CHECK(all <= 1.5 * per_s * duration_s + 5);
                if (per_s >= 10)
                    CHECK(used >= 0.7);
            }
}

TEST_CASE("raised and lowered limits both take effect at once")
{
    Sharers sharers(9, 1, false);
    simulate(sharers, 10 * kSecond, 0);
    SharedRate& rate = sharers.of(3);
    rate.set(900, 10 * kSecond);
    CHECK(rate.next_allowed_at(RatePart::Own) <= 10 * kSecond + 20 * kMillisecond);
    CHECK(rate.take(RatePart::Own, 10 * kSecond + 20 * kMillisecond));
    rate.set(1, 11 * kSecond);
    CHECK_FALSE(rate.take(RatePart::Own, 12 * kSecond));
    rate.clear();
    CHECK(rate.take(RatePart::Own, 12 * kSecond));
    CHECK(rate.next_allowed_at(RatePart::Own) == 0);
}

TEST_CASE("a daemon that is no longer alive is counted for a while")
{
    SharerCount count;
    count.set(8, 0);
    count.set(3, kSecond);
    count.set(3, SharerCount::kRemovalDelay);
    CHECK(count.get() == 8);
    count.set(3, kSecond + SharerCount::kRemovalDelay);
    CHECK(count.get() == 3);
    count.set(4, 2 * kSecond + SharerCount::kRemovalDelay);
    CHECK(count.get() == 4);
}

// --------------------------------------- limits that upstreams announce

TEST_CASE("a limit holds until a call that was sent after it finds none")
{
    SelfReport self_report;
    CHECK(self_report.record_limit(5.0, 1, 100));
    CHECK(self_report.limit().per_s() == 5);
    // The answer to a call that was sent earlier arrives later.
    CHECK_FALSE(self_report.record_limit({}, 99, 200));
    CHECK(self_report.limit().is_set());
    CHECK_FALSE(self_report.record_limit(7.0, 99, 201));
    CHECK(self_report.limit().per_s() == 5);
    CHECK(self_report.record_limit(7.0, 202, 210));
    CHECK(self_report.limit().per_s() == 7);
    CHECK(self_report.record_limit({}, 211, 220));
    CHECK_FALSE(self_report.limit().is_set());
}

TEST_CASE(
    "a limit of zero still allows calls that find its end; an excessive one is ignored")
{
    SelfReport self_report;
    self_report.record_limit(0.0, 1, 2);
    CHECK(self_report.limit().per_s() == AnnouncedRate::kMinPerS);
    self_report.record_limit(1e-300, 3, 4);
    CHECK(self_report.limit().per_s() == AnnouncedRate::kMinPerS);
    self_report.record_limit(1e300, 5, 6);
    CHECK_FALSE(self_report.limit().is_set());
    CHECK(self_report.record_unreadable_limit());
    CHECK_FALSE(self_report.record_unreadable_limit());
}

TEST_CASE("limits that change with each answer let no more through than the highest")
{
    SelfReport self_report;
    std::vector<Micros> sent;
    for (Micros now = 1; now < 20 * kSecond; now += 10 * kMillisecond) {
        self_report.record_limit(now / 10 % 2 == 0 ? 1.0 : 2.0, now - 1, now);
        if (self_report.limit().take(RatePart::Own, now))
            sent.push_back(now);
    }
    CHECK(sent.size() > 10);
    CHECK(static_cast<double>(most_within(sent, kSpan)) <= allowed(1));
}

TEST_CASE("limit reports are passed on, and an older report does not undo a later one")
{
    const UpstreamRun run {"i1", 7};
    SelfReport leader;
    SelfReport daemon;
    daemon.record_limit(3.0, 1, kSecond);
    CHECK(leader.announced_limit().apply(*daemon.announced_limit().report(run, kSecond),
                                         kSecond));
    CHECK(leader.limit().per_s() == 3);
    // Another daemon finds that the limit has ended.
    SelfReport other;
    other.record_limit(3.0, 1, kSecond);
    other.record_limit({}, 2 * kSecond, 2 * kSecond + 1);
    CHECK(leader.announced_limit().apply(*other.announced_limit().report(run, 3 * kSecond),
                                         3 * kSecond));
    CHECK_FALSE(leader.limit().is_set());
    // The first daemon has received nothing since.
    CHECK_FALSE(leader.announced_limit().apply(
        *daemon.announced_limit().report(run, 4 * kSecond), 4 * kSecond));
    CHECK(daemon.announced_limit().apply(*leader.announced_limit().report(run, 4 * kSecond),
                                         4 * kSecond));
    CHECK_FALSE(daemon.limit().is_set());
    CHECK_FALSE(
        leader.announced_limit().report(run, 4 * kSecond + AnnouncedRate::kEndReportTime));
    // The upstream announces a limit again.
    other.record_limit(2.0, 5 * kSecond, 5 * kSecond);
    CHECK(leader.announced_limit().apply(*other.announced_limit().report(run, 5 * kSecond),
                                         5 * kSecond));
    CHECK(leader.limit().per_s() == 2);
}

TEST_CASE("a limit ends with its run, unless the next run may have announced it")
{
    constexpr std::int64_t born = 1'000'000;
    for (const std::int64_t connected : {born + 50, born - 60'000}) {
        SelfReports reports;
        reports.of({"i1", born - 90'000})->record_limit(1.0, 0, 1, connected);
        SharedRate& limit = reports.of({"i1", born})->limit();
        CHECK(limit.is_set() == (connected > born));
        CHECK(limit.take(RatePart::Own, kSecond));
        CHECK(limit.take(RatePart::Own, kSecond) == (connected < born));
    }
}

// ------------------------------------------------------------- senders

TEST_CASE("each call is counted where it is sent, whichever daemon chose the upstream")
{
    Fleet fleet;
    UpstreamState& ia = *fleet.ia;
    ia.self_report->record_limit(1.0, 0, 1);
    const Micros next_allowed = ia.self_report->limit().next_allowed_at(RatePart::Own);
    CHECK_FALSE(begin_call(ia, CallCount::Own, next_allowed - 1));
    CHECK(begin_call(ia, CallCount::Own, next_allowed));
    CHECK_FALSE(begin_call(ia, CallCount::Own, next_allowed));
    // The leader counted the call when it granted it.
    CHECK(begin_call(ia, CallCount::Counted, next_allowed));
    ia.self_report->record_leaving();
    CHECK_FALSE(begin_call(ia, CallCount::Counted, next_allowed));
}

TEST_CASE("requests beyond an upstream's limit go to other upstreams")
{
    Fleet fleet;
    fleet.ia->self_report->record_limit(1.0, 0, 1);
    fleet.now = 1;
    int at_limited = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.now += 100 * kMillisecond;
        const auto* to = fleet.arrive();
        REQUIRE(to);
        if (to == fleet.ia.get())
            at_limited += begin_call(*fleet.ia, CallCount::Own, fleet.now) ? 1 : 0;
        fleet.handle(AttemptEnded {fleet.find<SendAttempt>()->attempt, AttemptStatus::Ok});
    }
    CHECK(at_limited >= 1);
    CHECK(at_limited <= 5);
}

/// Guards against refusing a request in the queue, 1.4 s after it was admitted, because
/// send slots of limited upstreams came later than expected and the next one came shortly
/// after its target latency.  Only a new request is judged by its target latency; a
/// queued one keeps its send slot.
TEST_CASE("a queued request keeps its send slot though the slot comes later than expected")
{
    FleetSpec spec;
    spec.target_latency = 2 * kSecond;
    Fleet fleet(spec);
    fleet.ib->self_report->record_leaving();
    fleet.ia->self_report->record_limit(10.0, 0, 1);
    fleet.now = 2;
    REQUIRE(fleet.arrive() == nullptr);
    REQUIRE_FALSE(fleet.find<Reply>());
    // Its send slot comes later than expected.
    fleet.ia->self_report->record_limit(0.2, 3, 4);
    const Micros next_allowed
        = fleet.ia->self_report->limit().next_allowed_at(RatePart::Own);
    REQUIRE(next_allowed > spec.target_latency);
    fleet.now = next_allowed - 100 * kMillisecond;
    fleet.handle(Tick {});
    CHECK_FALSE(fleet.find<Reply>());
    // A new request is refused at once.
    CHECK(fleet.arrive() == nullptr);
    CHECK(fleet.find<Reply>());
    for (; fleet.now < 10 * kSecond && !fleet.find<SendAttempt>();
         fleet.now += kSecond / 10)
        fleet.handle(Tick {});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream == fleet.ia);
}

TEST_CASE("a prompt goes to a limited engine when the leader grants it")
{
    Fleet fleet;
    const UpstreamSet& set = fleet.snapshot->sets[0];
    fleet.ia->self_report->record_limit(2.0, 0, 1);
    fleet.ib->self_report->record_leaving();
    PromptPlacer placer;
    std::vector<Micros> placed;
    for (Micros now = 1; now < 20 * kSecond; now += 50 * kMillisecond) {
        PromptQuery query;
        query.attempt = std::to_string(now);
        query.reserve = true;
        if (placer.place(set, query, now))
            placed.push_back(now);
        placer.record_ended(query.attempt);
    }
    // Half of the limit.
    CHECK(placed.size() >= 14);
    CHECK(placed.size() <= 23);
}

TEST_CASE("pieces stay within a limit, and the expected wait reflects it")
{
    Fleet fleet;
    UpstreamSet set = fleet.snapshot->sets[0];
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
    fleet.ia->self_report->record_limit(1.0, 0, 1);
    fleet.ib->self_report->record_leaving();
    PieceQueue queue;
    for (PieceId id = 1; id <= 80; ++id) {
        WaitingPiece piece;
        piece.id = piece.group = id;
        piece.due = piece.deadline = 100 * kSecond;
        queue.add(piece);
    }
    // Ten calls, one in two seconds.
    CHECK(queue.expected_wait(set, 0, 1) >= 15 * kSecond);
    std::vector<Micros> calls;
    for (Micros now = 1; now < 30 * kSecond; now += 10 * kMillisecond)
        if (const auto call = queue.next_call(set, now)) {
            CHECK(begin_call(*call->upstream, CallCount::Granted, now));
            calls.push_back(now);
        }
    CHECK(calls.size() == 10);
    CHECK(static_cast<double>(most_within(calls, kSpan)) <= allowed(1));
}

} // namespace
} // namespace cypressford
