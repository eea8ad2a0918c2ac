// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Relayed requests in the scheduler.

#include <algorithm>
#include <doctest/doctest.h>

#include "relay_fixture.h"

namespace cypressford {
namespace {

TEST_CASE("a relayed non-repeatable request needs no key and is sent once")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false));
    fixture.arrive(1, kSecond);
    CHECK_FALSE(fixture.find<BeginClaim>());
    const auto* send = fixture.find<SendAttempt>();
    REQUIRE(send);
    CHECK_FALSE(send->may_repeat);
    fixture.handle(AttemptEnded {send->attempt, AttemptStatus::Lost});
    CHECK_FALSE(fixture.find<SendAttempt>());
    const auto* reply = fixture.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::OutcomeUnknown);
    CHECK(reply->ran == Ran::Unknown);
}

TEST_CASE("a request that is quarantined while in progress is not sent to another upstream")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true));
    fixture.arrive(1, kSecond);
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Quarantined});
    CHECK_FALSE(fixture.find<SendAttempt>());
    REQUIRE(fixture.find<Reply>());
    CHECK(*fixture.find<Reply>()->error == ErrorKind::Quarantined);
    CHECK(fixture.find<Reply>()->ran == Ran::NotRun);

    // The first attempt may have run, so "not run" would be false.
    RelayFixture again;
    again.publish(pipeline(true));
    again.arrive(1, kSecond);
    again.handle(AttemptEnded {again.find<SendAttempt>()->attempt, AttemptStatus::Lost});
    REQUIRE(again.find<SendAttempt>());
    again.handle(
        AttemptEnded {again.find<SendAttempt>()->attempt, AttemptStatus::Quarantined});
    CHECK_FALSE(again.find<SendAttempt>());
    REQUIRE(again.find<Reply>());
    CHECK(*again.find<Reply>()->error == ErrorKind::UpstreamFailed);
    CHECK(again.find<Reply>()->ran == Ran::Unknown);
}

TEST_CASE("the attempt of a disconnected caller is cancelled, repeatable or not")
{
    for (const bool repeatable : {true, false}) {
        RelayFixture fixture;
        fixture.publish(pipeline(repeatable));
        fixture.arrive(1, kSecond);
        const auto send = *fixture.find<SendAttempt>();
        fixture.handle(CallerClosed {1});
        REQUIRE(fixture.find<CancelAttempt>());
        CHECK(fixture.find<CancelAttempt>()->attempt == send.attempt);
        fixture.handle(AttemptEnded {send.attempt, AttemptStatus::Lost});
        CHECK(fixture.find<Forget>());
        CHECK(fixture.scheduler().live() == 0);
    }
}

TEST_CASE("nothing is sent before the pieces are made")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true), true);
    fixture.arrive(1, 4 * kSecond, {2});
    CHECK_FALSE(fixture.find<SendAttempt>());
    REQUIRE(fixture.find<BeginPreparation>());
    fixture.handle(PreparationEnded {1, true, "a", "i2"});
    REQUIRE(fixture.find<SendAttempt>());
    CHECK(fixture.find<SendAttempt>()->upstream->identity == "i2");
}

TEST_CASE("a request that waits takes over the slot that a leader granted to another")
{
    // Guards against requests that wait although granted calls have ended: their leader
    // counts them, so it grants no further slot while they wait.
    SchedulerOptions options;
    options.daemons_in_hall = 80;
    RelayFixture fixture(options);
    fixture.publish(pipeline(true));
    const auto prepare = [&fixture](RequestId id, bool has_slot) {
        fixture.arrive(id, 10 * kSecond, {}, true);
        fixture.handle(PreparationEnded {.request = id,
                                         .made = true,
                                         .hall = "a",
                                         .identity = "i2",
                                         .has_slot = has_slot});
        return fixture.find<SendAttempt>() ? fixture.find<SendAttempt>()->attempt : 0;
    };
    std::vector<AttemptId> granted;
    for (const RequestId id : {1, 2, 3, 4})
        granted.push_back(prepare(id, true));
    CHECK(std::count(granted.begin(), granted.end(), 0) == 0);
    // Two more calls are always allowed to the set.
    RequestId id = 5;
    while (id < 10 && prepare(id, false) != 0)
        ++id;
    REQUIRE(id < 10);
    for (const AttemptId attempt : granted) {
        fixture.handle(AttemptEnded {attempt, AttemptStatus::Ok});
        REQUIRE(fixture.find<SendAttempt>());
        CHECK(fixture.find<SendAttempt>()->request == id);
        REQUIRE(prepare(++id, false) == 0);
    }
}

TEST_CASE("pieces that can't be made end the request as not run")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false), true);
    fixture.arrive(1, 4 * kSecond, {2});
    fixture.handle(PreparationEnded {1, false, "", ""});
    REQUIRE(fixture.find<Reply>());
    CHECK(fixture.find<Reply>()->ran == Ran::NotRun);
    CHECK(error_row(*fixture.find<Reply>()->error).http_status == 503);
}

TEST_CASE("a refusal by a leader ends the request as not run, with the leader's time")
{
    // Guards against a refusal that is answered like a failure: without the leader's time
    // all callers would retry after the same second.
    RelayFixture fixture;
    fixture.publish(pipeline(false), true);
    fixture.arrive(1, 4 * kSecond, {2});
    PreparationEnded ended {1, false, "", ""};
    ended.refused = true;
    ended.retry_after = 470 * kMillisecond;
    fixture.handle(ended);
    REQUIRE(fixture.find<Reply>());
    CHECK(*fixture.find<Reply>()->error == ErrorKind::DeadlineUnreachable);
    CHECK(fixture.find<Reply>()->ran == Ran::NotRun);
    CHECK(fixture.find<Reply>()->retry_after == ended.retry_after);
    CHECK_FALSE(fixture.find<CancelPreparation>());
    CHECK_FALSE(fixture.find<SendAttempt>());
    CHECK(fixture.find<Forget>());
}

TEST_CASE("before the daemon exits, waiting requests are answered and running ones are not")
{
    RelayFixture waiting;
    waiting.publish(pipeline(false), true);
    waiting.arrive(1, 20 * kSecond, {2});
    waiting.handle(ShutdownImminent {});
    REQUIRE(waiting.find<Reply>());
    CHECK(waiting.find<Reply>()->error == ErrorKind::Stopping);
    CHECK(waiting.find<Reply>()->ran == Ran::NotRun);
    CHECK(waiting.find<Reply>()->retry_after > 0);
    waiting.handle(PreparationEnded {1, true, "a", ""});
    CHECK_FALSE(waiting.find<SendAttempt>());
    CHECK(waiting.scheduler().live() == 0);

    // An earlier attempt may have run, so the answer must not guarantee that it has not.
    RelayFixture again;
    again.publish(pipeline(true), true);
    again.arrive(1, 20 * kSecond, {2});
    again.handle(PreparationEnded {1, true, "a", ""});
    const AttemptId first = again.find<SendAttempt>()->attempt;
    again.handle(InputsRead {first});
    again.handle(AttemptEnded {first, AttemptStatus::Lost});
    REQUIRE(again.find<BeginPreparation>());
    again.handle(ShutdownImminent {});
    REQUIRE(again.find<Reply>());
    CHECK(again.find<Reply>()->ran != Ran::NotRun);

    RelayFixture running;
    running.publish(pipeline(false));
    running.arrive(1, 20 * kSecond);
    REQUIRE(running.find<SendAttempt>());
    running.handle(ShutdownImminent {});
    CHECK_FALSE(running.find<Reply>());
    CHECK_FALSE(running.find<CancelAttempt>());
}

TEST_CASE("a request whose input result no longer exists is prepared again")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false), true);
    fixture.arrive(1, 4 * kSecond, {2});
    fixture.handle(PreparationEnded {1, true, "a", ""});
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::InputGone});
    CHECK(fixture.find<BeginPreparation>());
    CHECK_FALSE(fixture.find<SendAttempt>());
}

TEST_CASE("results are released when they are read, and made again for a retry")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true), true);
    fixture.arrive(1, 4 * kSecond, {2});
    CHECK_FALSE(fixture.find<BeginPreparation>()->is_retry);
    fixture.handle(PreparationEnded {1, true, "a", ""});
    const AttemptId first = fixture.find<SendAttempt>()->attempt;
    CHECK_FALSE(fixture.find<ReleaseInputs>());
    fixture.handle(InputsRead {first});
    REQUIRE(fixture.find<ReleaseInputs>());
    // A repeated event releases them only once.
    fixture.handle(InputsRead {first});
    CHECK_FALSE(fixture.find<ReleaseInputs>());
    fixture.handle(AttemptEnded {first, AttemptStatus::Lost});
    CHECK_FALSE(fixture.find<SendAttempt>());
    REQUIRE(fixture.find<BeginPreparation>());
    CHECK(fixture.find<BeginPreparation>()->is_retry);
    CHECK(fixture.find<BeginPreparation>()->deadline == 4 * kSecond);
    fixture.handle(PreparationEnded {1, true, "a", ""});
    CHECK(fixture.find<SendAttempt>());
}

TEST_CASE("a retry uses results that have not been read")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true), true);
    fixture.arrive(1, 4 * kSecond, {2});
    fixture.handle(PreparationEnded {1, true, "a", ""});
    fixture.handle(
        AttemptEnded {fixture.find<SendAttempt>()->attempt, AttemptStatus::Lost});
    CHECK_FALSE(fixture.find<BeginPreparation>());
    CHECK(fixture.find<SendAttempt>());
}

TEST_CASE("a request that ends while it is being prepared cancels its preparation")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true), true);
    fixture.arrive(1, 4 * kSecond, {2});
    fixture.handle(CallerClosed {1});
    CHECK(fixture.find<CancelPreparation>());
    CHECK(fixture.scheduler().live() == 0);
    fixture.handle(PreparationEnded {1, true, "a", ""});
    CHECK(fixture.actions.empty());
}

TEST_CASE("an unresponsive upstream gets no more calls, and repeatable ones are retried "
          "elsewhere")
{
    for (const bool repeatable : {true, false}) {
        RelayFixture fixture;
        fixture.publish(pipeline(repeatable));
        fixture.arrive(1, 8 * kSecond);
        const auto send = *fixture.find<SendAttempt>();
        fixture.now = kSecond - 1;
        fixture.handle(Tick {});
        CHECK(fixture.actions.empty());
        fixture.now = kSecond;
        fixture.handle(Tick {});
        CHECK((fixture.find<CancelAttempt>() != nullptr) == repeatable);
        CHECK(send.upstream->ejected_until > fixture.now);
        fixture.arrive(2, 8 * kSecond);
        CHECK(fixture.find<SendAttempt>()->upstream != send.upstream);
        fixture.handle(AttemptEnded {send.attempt, AttemptStatus::Lost});
        CHECK((fixture.find<SendAttempt>() != nullptr) == repeatable);
    }
}

TEST_CASE("an upstream that answers other calls meanwhile is not unresponsive")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true));
    fixture.arrive(1, 8 * kSecond);
    const auto first = *fixture.find<SendAttempt>();
    fixture.now = 500 * kMillisecond;
    RequestId id = 2;
    for (;; ++id) {
        fixture.arrive(id, 8 * kSecond);
        const auto other = *fixture.find<SendAttempt>();
        fixture.handle(ResponseStarted {other.attempt});
        if (other.upstream == first.upstream)
            break;
        REQUIRE(id < 9);
    }
    fixture.now = kSecond;
    fixture.handle(Tick {});
    CHECK_FALSE(fixture.find<CancelAttempt>());
    CHECK(first.upstream->ejected_until <= fixture.now);
}

TEST_CASE("an upstream that has started to answer is not unresponsive")
{
    RelayFixture fixture;
    fixture.publish(pipeline(true));
    fixture.arrive(1, 8 * kSecond);
    const auto send = *fixture.find<SendAttempt>();
    fixture.handle(ResponseStarted {send.attempt});
    fixture.now = 2 * kSecond;
    fixture.handle(Tick {});
    CHECK(fixture.actions.empty());
    CHECK(send.upstream->ejected_until <= fixture.now);
}

TEST_CASE("a request is answered at its deadline, whether it has run or not")
{
    RelayFixture fixture;
    fixture.publish(pipeline(false));
    fixture.arrive(1, kSecond);
    fixture.now = kSecond;
    fixture.handle(Tick {});
    REQUIRE(fixture.find<Reply>());
    CHECK(fixture.find<Reply>()->ran == Ran::Unknown);
    CHECK(error_row(*fixture.find<Reply>()->error).http_status == 504);
    CHECK(fixture.find<CancelAttempt>());
}

/// Guards against a refusal of resumed streams, which need only the rest of a stream, for
/// which there is time in general, because one in ten whole streams takes longer.
TEST_CASE("a resumed stream is admitted if half of all whole streams end in its time left")
{
    RelayFixture fixture;
    PipelineSpec spec = pipeline(true);
    spec.stream = true;
    fixture.publish(spec, {"v1", "v1"});
    RequestId id = 0;
    for (int i = 1; i <= 20; ++i) {
        fixture.arrive(++id, fixture.now + 20 * kSecond);
        REQUIRE(fixture.find<SendAttempt>());
        const AttemptId attempt = fixture.find<SendAttempt>()->attempt;
        fixture.handle(ResponseStarted {attempt});
        fixture.handle(StreamBegan {attempt});
        fixture.now += i % 10 == 0 ? 5 * kSecond : kSecond;
        fixture.handle(AttemptEnded {attempt, AttemptStatus::Ok});
    }
    const auto refusal = [&](Micros left, std::optional<std::string> version) {
        fixture.arrive(++id, fixture.now + left, {}, false, std::move(version));
        const auto* reply = fixture.find<Reply>();
        return reply ? reply->error : std::nullopt;
    };
    CHECK(refusal(2 * kSecond, std::nullopt) == ErrorKind::DeadlineUnreachable);
    CHECK_FALSE(refusal(2 * kSecond, "v1"));
    CHECK(refusal(kSecond / 2, "v1") == ErrorKind::DeadlineUnreachable);
}

TEST_CASE("an upstream removed from the list gets no calls, also under older snapshots")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.name = "b";
    bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "set";
    bundle.upstream_sets.push_back(set);
    const auto old = table.build(bundle,
                                 {{"i1", "set", "10.0.0.1:1", "a", 0, false},
                                  {"i2", "set", "10.0.0.2:1", "a", 0, false}});
    const auto fresh = table.build(bundle,
                                   {{"i2", "set", "10.0.0.2:1", "a", 0, false},
                                    {"i9", "set", "10.0.0.1:1", "a", 0, false}});
    CHECK(old->sets[0].own[0]->leaving);
    CHECK_FALSE(old->sets[0].own[1]->leaving);
    // The address now belongs to another upstream.
    REQUIRE(fresh->sets[0].own.size() == 2);
    CHECK(fresh->sets[0].own[1]->identity == "i9");
    CHECK_FALSE(fresh->sets[0].own[1]->leaving);
}

TEST_CASE("the longest matching path prefix of a host is selected, split by weights")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.name = "b";
    bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "set";
    bundle.upstream_sets.push_back(set);
    const auto add = [&](const char* name, const char* prefix, double weight) {
        PipelineSpec spec = pipeline(true);
        spec.name = name;
        spec.relayed = true;
        spec.host = "h";
        spec.path_prefix = prefix;
        spec.weight = weight;
        spec.stages[0].upstream_set = "set";
        bundle.pipelines.push_back(spec);
    };
    add("short", "/a/", 1);
    add("long", "/a/b/", 1);
    add("many", "/c/", 90);
    add("few", "/c/", 10);
    const auto snapshot = table.build(bundle);
    const auto name = [&](const char* path, std::uint64_t pick) {
        return snapshot->bundle->pipelines[*snapshot->bundle->match("h", path, pick)]
            .spec.name;
    };
    CHECK(name("/a/x", 0) == "short");
    CHECK(name("/a/b/x", 0) == "long");
    CHECK_FALSE(snapshot->bundle->match("h", "/b/", 0));
    CHECK_FALSE(snapshot->bundle->match("other", "/a/", 0));
    CHECK(name("/c/", 0) == "many");
    CHECK(name("/c/", ~std::uint64_t {0}) == "few");
    CHECK(name("/c/", 1ULL << 63) == "many");
}

TEST_CASE("a hanging call does not block the next one where a share is less than a slot")
{
    SchedulerOptions options;
    options.daemons_in_hall = 60;
    RelayFixture fixture(options);
    fixture.publish(pipeline(false));
    fixture.arrive(1, 10 * kSecond);
    REQUIRE(fixture.find<SendAttempt>());
    // The first request is not answered, and the second is still sent.
    fixture.now = 100 * kMillisecond;
    fixture.arrive(2, fixture.now + kSecond);
    const auto* second = fixture.find<SendAttempt>();
    REQUIRE(second);
    // Of 8 slots, each of 60 daemons has a share of 0.13; more than two calls would be too
    // many.
    fixture.arrive(3, fixture.now + kSecond);
    CHECK_FALSE(fixture.find<SendAttempt>());
    fixture.handle(AttemptEnded {second->attempt, AttemptStatus::Ok});
    CHECK(fixture.find<SendAttempt>());
}

} // namespace
} // namespace cypressford
