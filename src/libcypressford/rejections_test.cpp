// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/piece_order.h>
#include <cypressford/prompt_placer.h>
#include <cypressford/self_report.h>
#include <cypressford/upstream_use.h>

#include "test_fleet.h"

using namespace cypressford;

namespace {

constexpr Micros kNow = 100 * kSecond;

/// One daemon's report on an upstream, as the `index`-th of `daemons`.
struct Daemon {
    Daemon(int index, int daemons)
        : sharers(std::make_shared<SharerCount>())
    {
        sharers->set(daemons, 0);
        sharers->set_own_index(index);
        upstream = std::make_shared<UpstreamState>(
            "10.0.0.1:1", "a", "i1", 0, 0,
            std::make_shared<SelfReport>(static_cast<std::uint64_t>(index) * 7919,
                                         sharers));
    }

    std::shared_ptr<SharerCount> sharers;
    std::shared_ptr<UpstreamState> upstream;
};

} // namespace

TEST_CASE("the parts of all daemons add up to the slots of an upstream")
{
    for (const int daemons : {1, 3, 8, 90, 710})
        for (const int slots : {1, 6, 64})
            for (const std::uint64_t key : {0ULL, 5ULL, 0xffffffffffffffffULL}) {
                int sum = 0;
                for (int index = 0; index < daemons; ++index) {
                    SharerCount sharers;
                    sharers.set(daemons, 0);
                    sharers.set_own_index(index);
                    sum += sharers.own_part(slots, key);
                }
                CHECK(sum == slots);
            }
}

TEST_CASE("daemons together have no more calls in flight than an upstream serves at a time")
{
    constexpr int daemons = 8;
    constexpr int slots = 6;
    constexpr double allowed = 5;
    int sent = 0;
    for (int index = 0; index < daemons; ++index) {
        Daemon daemon(index, daemons);
        UpstreamState& upstream = *daemon.upstream;
        upstream.slots = slots;
        upstream.self_report->record_rejection_limit(allowed, 1, kNow);
        for (int call = 0; call < 20; ++call) {
            upstream.in_flight.fetch_add(1);
            if (begin_call(upstream, CallCount::Own, kNow + kSecond))
                ++sent;
            else
                upstream.in_flight.fetch_sub(1);
        }
    }
    CHECK(sent >= slots);
    CHECK(sent <= slots + allowed);
}

TEST_CASE("rejected calls of all daemons stay within the announced rate")
{
    constexpr int daemons = 8;
    constexpr double allowed = 10;
    std::vector<Micros> rejected;
    for (int index = 0; index < daemons; ++index) {
        Daemon daemon(index, daemons);
        SelfReport& report = *daemon.upstream->self_report;
        report.record_rejection_limit(allowed, 1, kNow);
        Micros now = kNow;
        while (now < kNow + 10 * kSecond) {
            if (!report.in_backoff(now)) {
                rejected.push_back(now);
                report.record_backoff(now + report.rejection_backoff(RatePart::Own, now));
            }
            now += kMillisecond;
        }
    }
    std::sort(rejected.begin(), rejected.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < rejected.size(); ++last) {
        while (rejected[last] - rejected[first] >= kSecond)
            ++first;
        // The first rejection of each daemon is the one that tells it.
        if (rejected[first] > kNow + kSecond)
            most = std::max(most, last - first + 1);
    }
    CHECK(most <= allowed);
    CHECK(rejected.size() > 2 * daemons);
}

TEST_CASE("the leader of a set places no prompt at an engine whose slots are taken")
{
    Fleet fleet;
    PromptPlacer placer;
    for (auto* engine : {fleet.ia.get(), fleet.ib.get()}) {
        engine->slots = 2;
        engine->self_report->record_rejection_limit(5.0, 1, kNow);
    }
    PromptQuery query;
    query.tokens = 100;
    query.reserve = true;
    for (int i = 0; i < 4; ++i) {
        query.attempt = std::to_string(i);
        CHECK(placer.place(fleet.snapshot->sets[0], query, kNow));
    }
    query.attempt = "5";
    CHECK_FALSE(placer.place(fleet.snapshot->sets[0], query, kNow));
    CHECK(placer.last_was_full());
    placer.record_ended("1");
    CHECK(placer.place(fleet.snapshot->sets[0], query, kNow));
    CHECK_FALSE(placer.last_was_full());
}

TEST_CASE("what daemons tell each other of rejections survives encoding")
{
    PlaceQuery query;
    query.prompt.limits = {{{"i1", 5}, 2.0, 7}};
    query.prompt.rejections = {{{"i2", 6}, 3.0, 8}};
    const auto again = decode_place_query(encode(query));
    CHECK(again->prompt.limits == query.prompt.limits);
    CHECK(again->prompt.rejections == query.prompt.rejections);
    PlaceAnswer answer;
    CHECK_FALSE(decode_place_answer(encode(answer))->is_full);
    answer.is_full = true;
    CHECK(decode_place_answer(encode(answer))->is_full);
}

TEST_CASE("a call to the upstream that the leader of the set chose is not withheld")
{
    Daemon daemon(0, 100);
    UpstreamState& upstream = *daemon.upstream;
    upstream.slots = 1;
    upstream.self_report->rejections().set_has_leader(true);
    upstream.self_report->record_rejection_limit(1.0, 1, kNow);
    upstream.in_flight = 5;
    CHECK(begin_call(upstream, CallCount::Placed, kNow));
    CHECK_FALSE(begin_call(upstream, CallCount::Own, kNow));
}

TEST_CASE("without announced rejections calls are not bounded by slots")
{
    Daemon daemon(0, 100);
    daemon.upstream->slots = 1;
    daemon.upstream->in_flight = 5;
    CHECK(begin_call(*daemon.upstream, CallCount::Own, kNow));
    CHECK(daemon.upstream->self_report->rejection_backoff(RatePart::Own, kNow) == 0);
}

TEST_CASE("announced rejections end with the answer to a later call that names none")
{
    SelfReport report;
    report.record_rejection_limit(5.0, 1, 100);
    CHECK(report.rejections().is_set());
    CHECK_FALSE(report.record_rejection_limit({}, 99, 200));
    CHECK(report.record_rejection_limit({}, 101, 300));
    CHECK_FALSE(report.rejections().is_set());
}

TEST_CASE("no announced value of rejections blocks an upstream for good")
{
    for (const double per_s : {0.0, 1e-300, 0.01, 1e300}) {
        Daemon daemon(0, 710);
        SelfReport& report = *daemon.upstream->self_report;
        report.record_rejection_limit(per_s, 1, kNow);
        CHECK(report.rejection_backoff(RatePart::Own, kNow)
              <= SelfReport::kMaxRejectionBackoff);
    }
}
