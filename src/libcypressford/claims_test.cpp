// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/claims.h>

#include <algorithm>

#include <doctest/doctest.h>

#include <cypressford/codec.h>

using namespace cypressford;

namespace {

constexpr WallMs kWall = 1'800'000'000'000;
constexpr Micros kDeadline = 4 * kSecond;

/// A claims log with two daemons, driven step by step.
struct Bench {
    struct Maker {
        explicit Maker(std::uint64_t id)
            : claimer(id, ClaimOptions {})
        {
        }
        Claimer claimer;
        std::vector<ClaimBatch> appends; ///< started, not ended
        std::vector<DecideClaim> decisions;
    };

    Maker a {1};
    Maker b {2};
    std::vector<ClaimBatch> log;
    Offset first = 0;
    Micros now = 0;

    void feed(Maker& maker, const ClaimEvent& event)
    {
        ClaimActions actions;
        maker.claimer.handle(event, {now, kWall + now / kMillisecond}, actions);
        for (ClaimAction& action : actions) {
            if (auto* start = std::get_if<StartAppend>(&action))
                maker.appends.push_back(start->batch);
            else
                maker.decisions.push_back(std::get<DecideClaim>(action));
        }
    }
    void request_claim(Maker& maker, RequestId request, const std::string& key,
                       std::uint64_t fingerprint = 7, WallMs key_time = kWall)
    {
        feed(maker, ClaimRequested {request, key, fingerprint, key_time, now + kDeadline});
    }
    /// Ends the oldest append: whether it takes effect, and whether it is acknowledged.
    void end_append(Maker& maker, bool takes_effect, bool acknowledged)
    {
        REQUIRE_FALSE(maker.appends.empty());
        const ClaimBatch batch = maker.appends.front();
        maker.appends.erase(maker.appends.begin());
        if (takes_effect)
            log.push_back(*decode_claims(encode(batch)));
        feed(maker, AppendEnded {acknowledged});
    }
    void read(Maker& maker)
    {
        feed(maker, FirstRetained {first});
        for (Offset at = std::max(first, maker.claimer.ledger().next());
             at < Offset(log.size()); ++at)
            feed(maker, ClaimRecordRead {at, log[std::size_t(at)]});
    }
    void pass(Micros span)
    {
        now += span;
        feed(a, ClaimTick {});
        feed(b, ClaimTick {});
    }
    void claim(Maker& maker, RequestId request, const std::string& key)
    {
        request_claim(maker, request, key);
        end_append(maker, true, true);
        read(maker);
    }
};

ClaimResult
last(const Bench::Maker& maker)
{
    REQUIRE_FALSE(maker.decisions.empty());
    return maker.decisions.back().result;
}

} // namespace

TEST_CASE("the first claim in the log wins, whichever daemon reads first")
{
    Bench bench;
    bench.request_claim(bench.a, 1, "k");
    bench.request_claim(bench.b, 2, "k");
    bench.end_append(bench.b, true, true);
    bench.end_append(bench.a, true, true);
    bench.read(bench.a);
    bench.read(bench.b);
    CHECK(bench.a.decisions.empty());
    CHECK(last(bench.b) == ClaimResult::Won);
    // The losing daemon receives the winner's outcome.
    bench.feed(bench.b,
               ClaimRequestEnded {2, ClaimOutcome::Done, RecordedAnswer {"t", "printed"}});
    bench.pass(kSecond);
    bench.end_append(bench.b, true, true);
    bench.read(bench.a);
    CHECK(last(bench.a) == ClaimResult::Replayed);
    CHECK(bench.a.decisions.back().answer->body == "printed");
}

TEST_CASE("a claim whose append was not acknowledged is found in the log")
{
    Bench bench;
    bench.request_claim(bench.a, 1, "k");
    bench.end_append(bench.a, true, false);
    bench.read(bench.a);
    CHECK(last(bench.a) == ClaimResult::Won);
}

TEST_CASE("an abandoned claim can't win later, although its append takes effect late")
{
    Bench bench;
    bench.request_claim(bench.a, 1, "k");
    const ClaimBatch late_append = bench.a.appends.front();
    bench.end_append(bench.a, false, false);
    bench.pass(kDeadline);
    CHECK(last(bench.a) == ClaimResult::Unavailable);
    bench.end_append(bench.a, true, true); // the release
    bench.log.push_back(late_append);
    bench.read(bench.b);
    bench.claim(bench.b, 2, "k");
    CHECK(last(bench.b) == ClaimResult::Won);
}

TEST_CASE("a claimed key without an outcome is answered at the deadline, never run again")
{
    Bench bench;
    bench.claim(bench.a, 1, "k");
    bench.read(bench.b);
    bench.request_claim(bench.b, 2, "k");
    CHECK(bench.b.appends.empty());
    bench.pass(kDeadline);
    CHECK(last(bench.b) == ClaimResult::InProgress);
    bench.request_claim(bench.b, 3, "k", 8);
    CHECK(last(bench.b) == ClaimResult::Mismatch);
    bench.feed(bench.a, ClaimRequestEnded {1, ClaimOutcome::Unknown, std::nullopt});
    bench.end_append(bench.a, true, true);
    bench.read(bench.b);
    bench.request_claim(bench.b, 4, "k");
    CHECK(last(bench.b) == ClaimResult::Unknown);
}

TEST_CASE(
    "claims fail at once while the log is unavailable, and succeed after its recovery")
{
    Bench bench;
    bench.request_claim(bench.a, 1, "k");
    bench.end_append(bench.a, false, false);
    for (int i = 0; i < 8; ++i) {
        bench.pass(200 * kMillisecond);
        if (!bench.a.appends.empty())
            bench.end_append(bench.a, false, false);
    }
    CHECK(last(bench.a) == ClaimResult::Unavailable);
    const std::size_t before = bench.a.decisions.size();
    bench.request_claim(bench.a, 2, "l");
    CHECK(bench.a.decisions.size() == before + 1);
    CHECK(last(bench.a) == ClaimResult::Unavailable);
    bench.pass(kSecond);
    bench.end_append(bench.a, true, true);
    bench.claim(bench.a, 3, "m");
    CHECK(last(bench.a) == ClaimResult::Won);
}

TEST_CASE("keys older than the readable log are refused, newer ones are not")
{
    Bench bench;
    bench.claim(bench.a, 1, "k");
    bench.feed(bench.a, ClaimRequestEnded {1, ClaimOutcome::Done, std::nullopt});
    bench.pass(kSecond);
    bench.end_append(bench.a, true, true);
    // The log drops all records; a fresh daemon can't determine whether "k" ran.
    bench.first = Offset(bench.log.size());
    bench.read(bench.b);
    bench.request_claim(bench.b, 2, "k");
    CHECK(last(bench.b) == ClaimResult::Expired);
    // Keys created well after that can't be among the dropped ones.
    bench.now += 60 * kSecond;
    bench.request_claim(bench.b, 3, "l", 7, kWall + 60'000);
    bench.end_append(bench.b, true, true);
    bench.read(bench.b);
    CHECK(last(bench.b) == ClaimResult::Won);
    bench.request_claim(bench.b, 4, "k2");
    CHECK(last(bench.b) == ClaimResult::Expired);
}

TEST_CASE("a claimer becomes idle although the log dropped its last record unread")
{
    // The record of an outcome was appended, then dropped by the log before the
    // daemon that made it had read it.
    Bench bench;
    bench.claim(bench.a, 1, "k");
    bench.feed(bench.a, ClaimRequestEnded {1, ClaimOutcome::Done, std::nullopt});
    bench.end_append(bench.a, true, true);
    bench.first = Offset(bench.log.size());
    bench.read(bench.a);
    bench.pass(kSecond);
    CHECK(bench.a.claimer.idle());
}

TEST_CASE(
    "claims are decided while append acknowledgements are lost but records are readable")
{
    Bench bench;
    for (RequestId request = 1; request <= 20; ++request) {
        bench.pass(200 * kMillisecond);
        bench.request_claim(bench.a, request, "k" + std::to_string(request));
        bench.pass(0);
        if (!bench.a.appends.empty())
            bench.end_append(bench.a, true, false);
        bench.read(bench.a);
    }
    bench.pass(200 * kMillisecond);
    const auto won = std::count_if(
        bench.a.decisions.begin(), bench.a.decisions.end(),
        [](const DecideClaim& decision) { return decision.result == ClaimResult::Won; });
    CHECK(won >= 19);
}
