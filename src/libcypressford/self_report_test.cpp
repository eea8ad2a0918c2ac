// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What upstreams say of themselves in their answers, and that each sender of a daemon goes
/// by it.
///
/// What users saw: calls came to a replica 3 to 6 s after it had said in an answer that it
/// leaves, and to replicas that had asked for rest.  Order: an answer said so; the
/// platform's list could not tell it yet, as the store was away; the next call went there.
/// Cause: only the list was asked.  Evidence: calls of one daemon to the replica before and
/// after its first such answer were as many.

#include <doctest/doctest.h>

#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>
#include <cypressford/self_report.h>

#include "candidates.h"
#include "test_fleet.h"

namespace cypressford {
namespace {

constexpr Micros kRest = 3 * kSecond;

TEST_CASE("of several rests that a run asks for, the latest end counts")
{
    SelfReport report;
    CHECK_FALSE(report.rests(0));
    report.note_rest(kRest);
    report.note_rest(kSecond);
    CHECK(report.rests(kRest - 1));
    CHECK_FALSE(report.rests(kRest));
    CHECK_FALSE(report.leaves());
}

TEST_CASE("what a run said outlasts its entry, and ends with the run")
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
    first->said->record_leaving();
    table.build(bundle, {});
    const auto back = table.build(bundle, {member(1)})->sets[0].own[0];
    CHECK(back->is_leaving(0));
    CHECK_FALSE(is_usable(*back, 0));
    // An answer of a call that outlasted the entry counts as well.
    table.build(bundle, {});
    first->said->note_rest(kRest);
    CHECK(table.build(bundle, {member(1)})->sets[0].own[0]->said->rests(0));
    const auto next = table.build(bundle, {member(2)})->sets[0].own[0];
    CHECK_FALSE(next->is_leaving(0));
    CHECK_FALSE(next->said->rests(0));
}

/// What was seen: one call came to a replica 1.7 s after it had told the daemon that it
/// leaves.  Order: it was started again, and told the daemon in an answer that it leaves
/// before its entry told of the start; the word was noted for the run before; the entry
/// came, and the next call went there.  Cause: answers name no run, and what the run before
/// had said ended with it.  Evidence: the word stands in the log with the earlier start,
/// its connection came up after the later one.
TEST_CASE("a run that may have said that it leaves before its entry came gets no call")
{
    constexpr std::int64_t born = 1'000'000;
    constexpr Micros heard = 7 * kSecond;
    for (const std::int64_t connected : {born + 50, born - 60'000}) {
        SelfReports reports;
        const auto before = reports.of({"i1", born - 90'000});
        before->record_leaving(heard, connected);
        // Later words of a run that is drained say no more.
        before->record_leaving(heard + 1, born + 50);
        const auto next = reports.of({"i1", born});
        CHECK(next->may_be_leaving(heard + 1) == (connected > born));
        // One that was drained and started again in place is not out for good.
        CHECK_FALSE(next->may_be_leaving(heard + SelfReport::kMayBeLeavingTime));
        CHECK_FALSE(next->leaves());
        next->record_leaving(heard, born + 100);
        CHECK(next->may_be_leaving(heard + SelfReport::kMayBeLeavingTime));
    }
}

/// What was seen: a soak's replica got calls 0.7 s after it had asked for 1 s of rest.  It
/// had started again under its identity and turned a call away before its entry told of
/// that, so the rest was noted for the run before.  Evidence: the rest stands in the log
/// with the earlier start, the calls went to the later one.
TEST_CASE("a rest that the next run may have asked for holds for it, too")
{
    constexpr std::int64_t born = 1'000'000;
    for (const std::int64_t heard : {born + 50, born - 1000, born - 60'000}) {
        SelfReports reports;
        reports.of({"i1", born - 90'000})->note_rest(kRest, heard);
        reports.of({"i0", born})->note_rest(kRest, heard);
        CHECK(reports.of({"i1", born})->rests(0) == (heard > born - 2000));
        CHECK_FALSE(reports.of({"i2", born})->rests(0));
    }
}

TEST_CASE("reports of runs that are gone are bounded, those of listed ones stay")
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
    CHECK(reports.of({"stays", 1})->leaves());
    CHECK_FALSE(reports.of({"goes", 1})->leaves());
}

TEST_CASE("one that leaves or rests gets no request, the other gets all")
{
    for (const bool leaves : {false, true}) {
        Fleet fleet;
        if (leaves)
            fleet.ia->said->record_leaving();
        else
            fleet.ia->said->note_rest(kRest);
        for (int i = 0; i < 4; ++i)
            CHECK(fleet.arrive() == fleet.ib.get());
        fleet.now = kRest;
        fleet.ib->said->note_rest(2 * kRest);
        CHECK(fleet.arrive() == (leaves ? nullptr : fleet.ia.get()));
    }
}

TEST_CASE("a call that was chosen before the upstream spoke goes elsewhere, unpaid")
{
    Fleet fleet;
    fleet.ib->said->note_rest(kRest);
    REQUIRE(fleet.arrive() == fleet.ia.get());
    const AttemptId attempt = fleet.find<SendAttempt>()->attempt;
    fleet.ia->said->record_leaving();
    CHECK_FALSE(begin_call(*fleet.ia, CallCount::Own, fleet.now));
    fleet.now = kRest;
    fleet.handle(AttemptEnded {attempt, AttemptStatus::Withheld});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream == fleet.ib);
    // It did nothing wrong, and nothing was repeated.
    CHECK(fleet.ia->failures == 0);
    CHECK(fleet.scheduler().stats().retries == 0);
}

TEST_CASE("where all rest, who can wait for it waits, others are told when to come back")
{
    Fleet fleet;
    fleet.ia->said->note_rest(kRest);
    fleet.ib->said->note_rest(2 * kRest);
    // Its deadline is 10 s away and it has no other aim.
    CHECK(fleet.arrive() == nullptr);
    CHECK_FALSE(fleet.find<Reply>());
    fleet.now = kRest - 1;
    fleet.handle(Tick {});
    CHECK_FALSE(fleet.find<SendAttempt>());
    fleet.now = kRest;
    fleet.handle(Tick {});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream == fleet.ia);

    fleet.ia->said->note_rest(fleet.now + 13 * kSecond);
    fleet.ib->said->note_rest(fleet.now + 14 * kSecond);
    fleet.now += kSecond;
    CHECK(fleet.arrive() == nullptr);
    const auto* reply = fleet.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::Resting);
    CHECK(reply->ran == Ran::NotRun);
    CHECK(reply->retry_after >= 12 * kSecond);
    CHECK(reply->retry_after <= 24 * kSecond);
}

TEST_CASE("a request that waits for a rest is refused once it would be served too late")
{
    Fleet fleet;
    fleet.ia->said->note_rest(kRest);
    fleet.ib->said->note_rest(kRest);
    CHECK(fleet.arrive() == nullptr);
    fleet.now = kSecond;
    fleet.ia->said->note_rest(20 * kSecond);
    fleet.ib->said->note_rest(20 * kSecond);
    fleet.handle(Tick {});
    const auto* reply = fleet.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::Resting);
    CHECK(reply->retry_after >= 19 * kSecond);
}

TEST_CASE("a leader places for others at an upstream that rests for itself")
{
    Fleet fleet;
    const UpstreamSet& set = fleet.snapshot->sets[0];
    PromptPlacer placer;
    PromptQuery query;
    query.attempt = "1";
    fleet.ia->said->note_rest(kRest);
    query.avoid = {"ib"};
    CHECK(placer.place(set, query, 0) == fleet.ia);
    query.avoid = {"ia", "ib"};
    CHECK(placer.place(set, query, 0) == nullptr);
    // One that leaves is left by all.
    query.avoid = {};
    fleet.ib->said->record_leaving();
    CHECK(placer.place(set, query, 0) == fleet.ia);
}

TEST_CASE("pieces go to no upstream that leaves or rests, and the wait tells of it")
{
    Fleet fleet;
    UpstreamSet set = fleet.snapshot->sets[0];
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
    PieceQueue queue;
    WaitingPiece piece;
    piece.id = piece.group = 1;
    piece.due = piece.deadline = 10 * kSecond;
    queue.add(piece);
    fleet.ia->said->note_rest(kRest);
    fleet.ib->said->record_leaving();
    CHECK_FALSE(queue.next_call(set, 0));
    CHECK(queue.expected_wait(set, 0, 0) >= kRest);
    const auto call = queue.next_call(set, kRest);
    REQUIRE(call);
    CHECK(call->upstream == fleet.ia);
}

} // namespace
} // namespace cypressford
