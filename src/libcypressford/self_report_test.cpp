// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reports of upstreams about themselves in their answers, which bind all senders of a
/// daemon.
///
/// Guards against calls that reach an upstream 3 to 6 s after it reported in an answer that
/// it is leaving, or while it has requested a backoff: the platform's list can't show
/// either while the store is unavailable, so the list must not be the only source.

#include <doctest/doctest.h>

#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>
#include <cypressford/self_report.h>

#include "candidates.h"
#include "test_fleet.h"

namespace cypressford {
namespace {

constexpr Micros kBackoff = 3 * kSecond;

TEST_CASE("of several backoffs that a run requests, the latest end applies")
{
    SelfReport report;
    CHECK_FALSE(report.in_backoff(0));
    report.record_backoff(kBackoff);
    report.record_backoff(kSecond);
    CHECK(report.in_backoff(kBackoff - 1));
    CHECK_FALSE(report.in_backoff(kBackoff));
    CHECK_FALSE(report.is_leaving());
}

TEST_CASE("a self-report outlasts the run's entry and ends with the run")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.upstream_sets.emplace_back();
    bundle.upstream_sets[0].name = "set";
    const auto member = [](std::int64_t born) {
        UpstreamMember result {"i1", "set", "10.0.0.1:1", "a", 0, false};
        result.born = born;
        return result;
    };
    const auto first = table.build(bundle, {member(1)})->sets[0].own[0];
    first->self_report->record_leaving();
    table.build(bundle, {});
    const auto back = table.build(bundle, {member(1)})->sets[0].own[0];
    CHECK(back->is_leaving(0));
    CHECK_FALSE(is_usable(*back, 0));
    // The answer to a call that outlasted the entry applies as well.
    table.build(bundle, {});
    first->self_report->record_backoff(kBackoff);
    CHECK(table.build(bundle, {member(1)})->sets[0].own[0]->self_report->in_backoff(0));
    const auto next = table.build(bundle, {member(2)})->sets[0].own[0];
    CHECK_FALSE(next->is_leaving(0));
    CHECK_FALSE(next->self_report->in_backoff(0));
}

/// Guards against a call to a restarted upstream 1.7 s after it reported that it is
/// leaving.  The report arrived before the entry with the new start time.  Answers don't
/// identify the run, so the report was recorded for the previous run and lost with it,
/// although its connection was set up after the restart.
TEST_CASE("a run that may have reported that it is leaving before its entry gets no call")
{
    constexpr std::int64_t born = 1'000'000;
    constexpr Micros received_at = 7 * kSecond;
    for (const std::int64_t connected : {born + 50, born - 60'000}) {
        SelfReports reports;
        const auto before = reports.of({"i1", born - 90'000});
        before->record_leaving(received_at, connected);
        // Later reports of a draining run change nothing.
        before->record_leaving(received_at + 1, born + 50);
        const auto next = reports.of({"i1", born});
        CHECK(next->may_be_leaving(received_at + 1) == (connected > born));
        // A run that was drained and restarted in place is not excluded permanently.
        CHECK_FALSE(next->may_be_leaving(received_at + SelfReport::kMayBeLeavingTime));
        CHECK_FALSE(next->is_leaving());
        next->record_leaving(received_at, born + 100);
        CHECK(next->may_be_leaving(received_at + SelfReport::kMayBeLeavingTime));
    }
}

/// Guards against calls to a restarted upstream 0.7 s after it requested a backoff of 1 s.
/// It rejected a call before the entry with the new start time arrived, so the backoff was
/// recorded for the previous run.
TEST_CASE("a backoff that the next run may have requested applies to it, too")
{
    constexpr std::int64_t born = 1'000'000;
    for (const std::int64_t connected : {born + 50, born - 1000, born - 60'000}) {
        SelfReports reports;
        reports.of({"i1", born - 90'000})->record_backoff(kBackoff, connected);
        reports.of({"i0", born})->record_backoff(kBackoff, connected);
        CHECK(reports.of({"i1", born})->in_backoff(0) == (connected > born - 2000));
        CHECK_FALSE(reports.of({"i2", born})->in_backoff(0));
    }
}

TEST_CASE("the number of reports of unlisted runs is bounded, and listed runs keep theirs")
{
    SelfReports reports;
    reports.of({"stays", 1})->record_leaving();
    reports.unlist({"stays", 1});
    reports.of({"stays", 1});
    reports.of({"goes", 1})->record_leaving();
    reports.unlist({"goes", 1});
    for (std::size_t i = 0; i < SelfReports::kMaxUnlisted; ++i) {
        const UpstreamRun run {"other", static_cast<std::int64_t>(i)};
        reports.of(run);
        reports.unlist(run);
    }
    CHECK(reports.of({"stays", 1})->is_leaving());
    CHECK_FALSE(reports.of({"goes", 1})->is_leaving());
}

TEST_CASE("an upstream that is leaving or in backoff gets no requests, the other gets all")
{
    for (const bool leaves : {false, true}) {
        Fleet fleet;
        if (leaves)
            fleet.ia->self_report->record_leaving();
        else
            fleet.ia->self_report->record_backoff(kBackoff);
        for (int i = 0; i < 4; ++i)
            CHECK(fleet.arrive() == fleet.ib.get());
        fleet.now = kBackoff;
        fleet.ib->self_report->record_backoff(2 * kBackoff);
        CHECK(fleet.arrive() == (leaves ? nullptr : fleet.ia.get()));
    }
}

TEST_CASE("a call withheld by a later report goes elsewhere and costs no retry budget")
{
    Fleet fleet;
    fleet.ib->self_report->record_backoff(kBackoff);
    REQUIRE(fleet.arrive() == fleet.ia.get());
    const AttemptId attempt = fleet.find<SendAttempt>()->attempt;
    fleet.ia->self_report->record_leaving();
    CHECK_FALSE(begin_call(*fleet.ia, CallCount::Own, fleet.now));
    fleet.now = kBackoff;
    fleet.handle(AttemptEnded {attempt, AttemptStatus::Withheld});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream == fleet.ib);
    // The upstream has not failed, and nothing was retried.
    CHECK(fleet.ia->failures == 0);
    CHECK(fleet.scheduler().stats().retries == 0);
}

TEST_CASE("if all are in backoff, requests wait within their deadline or get a retry time")
{
    Fleet fleet;
    fleet.ia->self_report->record_backoff(kBackoff);
    fleet.ib->self_report->record_backoff(2 * kBackoff);
    // The deadline is 10 s away and there is no other target.
    CHECK(fleet.arrive() == nullptr);
    CHECK_FALSE(fleet.find<Reply>());
    fleet.now = kBackoff - 1;
    fleet.handle(Tick {});
    CHECK_FALSE(fleet.find<SendAttempt>());
    fleet.now = kBackoff;
    fleet.handle(Tick {});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream == fleet.ia);

    fleet.ia->self_report->record_backoff(fleet.now + 13 * kSecond);
    fleet.ib->self_report->record_backoff(fleet.now + 14 * kSecond);
    fleet.now += kSecond;
    CHECK(fleet.arrive() == nullptr);
    const auto* reply = fleet.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::Resting);
    CHECK(reply->ran == Ran::NotRun);
    CHECK(reply->retry_after >= 12 * kSecond);
    CHECK(reply->retry_after <= 24 * kSecond);
}

TEST_CASE("a request waiting for a backoff is refused once it would be served too late")
{
    Fleet fleet;
    fleet.ia->self_report->record_backoff(kBackoff);
    fleet.ib->self_report->record_backoff(kBackoff);
    CHECK(fleet.arrive() == nullptr);
    fleet.now = kSecond;
    fleet.ia->self_report->record_backoff(20 * kSecond);
    fleet.ib->self_report->record_backoff(20 * kSecond);
    fleet.handle(Tick {});
    const auto* reply = fleet.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::Resting);
    CHECK(reply->retry_after >= 19 * kSecond);
}

TEST_CASE("a leader places requests of others at an upstream in backoff for itself only")
{
    Fleet fleet;
    const UpstreamSet& set = fleet.snapshot->sets[0];
    PromptPlacer placer;
    PromptQuery query;
    query.attempt = "1";
    fleet.ia->self_report->record_backoff(kBackoff);
    query.avoid = {"ib"};
    CHECK(placer.place(set, query, 0) == fleet.ia);
    query.avoid = {"ia", "ib"};
    CHECK(placer.place(set, query, 0) == nullptr);
    // An upstream that is leaving is avoided by all.
    query.avoid = {};
    fleet.ib->self_report->record_leaving();
    CHECK(placer.place(set, query, 0) == fleet.ia);
}

TEST_CASE("pieces avoid upstreams that are leaving or in backoff, and the wait shows it")
{
    Fleet fleet;
    UpstreamSet set = fleet.snapshot->sets[0];
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
    PieceQueue queue;
    WaitingPiece piece;
    piece.id = piece.group = 1;
    piece.due = piece.deadline = 10 * kSecond;
    queue.add(piece);
    fleet.ia->self_report->record_backoff(kBackoff);
    fleet.ib->self_report->record_leaving();
    CHECK_FALSE(queue.next_call(set, 0));
    CHECK(queue.expected_wait(set, 0, 0) >= kBackoff);
    const auto call = queue.next_call(set, kBackoff);
    REQUIRE(call);
    CHECK(call->upstream == fleet.ia);
}

} // namespace
} // namespace cypressford
