// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Queries for the capacity ledger, and their messages.

#include <doctest/doctest.h>

#include <cypressford/piece_order.h>
#include <cypressford/set_capacity.h>

namespace cypressford {
namespace {

constexpr Micros kCallTime = 100 * kMillisecond;

/// Two sets, of which the first makes the pieces of two stages.
SnapshotPtr
make_snapshot(UpstreamTable& table)
{
    Bundle bundle;
    bundle.name = "b";
    bundle.version = 1;
    for (const char* name : {"one", "two"}) {
        UpstreamSetSpec set;
        set.name = name;
        set.batch = BatchSpec {10, 2, kCallTime, 10 * kMillisecond, 0, 0};
        bundle.upstream_sets.push_back(set);
    }
    PipelineSpec pipeline;
    pipeline.name = "p";
    pipeline.relayed = true;
    pipeline.stages.emplace_back();
    pipeline.stages[0].upstream_set = "one";
    pipeline.piece_stages = {{"one", {}, 1}, {"two", {0}, 1}, {"one", {0, 1}, 1}};
    bundle.pipelines.push_back(pipeline);
    return table.build(bundle,
                       {{"o1", "one", "10.0.0.1:1", "a", 0, false},
                        {"o2", "one", "10.0.0.2:1", "a", 0, false},
                        {"t1", "two", "10.0.0.3:1", "a", 0, false}});
}

TEST_CASE("the rate of a set is that of full calls at its usable upstreams")
{
    // Guards against promises of capacity at upstreams that receive no calls.
    UpstreamTable table("a");
    const SnapshotPtr snapshot = make_snapshot(table);
    CHECK(full_call_rate(snapshot->sets[0], 0) == doctest::Approx(100));
    snapshot->sets[0].own.front()->mark_leaving();
    CHECK(full_call_rate(snapshot->sets[0], 0) == doctest::Approx(50));
}

TEST_CASE("a request has one query for each set that it needs")
{
    // Guards against two entries of one request in the ledger of a set, of which the second
    // would replace the first.
    UpstreamTable table("a");
    const SnapshotPtr snapshot = make_snapshot(table);
    const ResolvedPipeline& pipeline = snapshot->bundle->pipelines[0];
    CapacityQuery request;
    request.attempt = "r";
    const Micros target = kSecond;
    const SetQueries queries
        = capacity_queries(*snapshot, pipeline, {1, 2, 3}, request, target);
    REQUIRE(queries.size() == 2);
    CHECK(queries[0].upstream_set == "one");
    CHECK(queries[0].need.pieces == 4);
    CHECK(queries[0].need.starts_in == 0);
    // Three full calls of 200 ms follow.
    CHECK(queries[0].need.due_in == target - 600 * kMillisecond);
    CHECK(queries[1].need.attempt == "r");
    CHECK(queries[1].need.pieces == 2);
    CHECK(queries[1].need.starts_in == 110 * kMillisecond);
    CHECK(queries[1].need.due_in == target - 400 * kMillisecond);
    const SetQueries part
        = capacity_queries(*snapshot, pipeline, {0, 2, 0}, request, target);
    REQUIRE(part.size() == 1);
    CHECK(part[0].upstream_set == "two");
    CHECK(part[0].need.starts_in == 0);
}

TEST_CASE("a refusal of pieces that would start in time is for the account's share")
{
    CapacityQuery query;
    query.starts_in = kCallTime;
    query.due_in = 3 * kCallTime;
    CHECK(is_over_share(query, {false, 2 * kCallTime, kSecond}));
    CHECK_FALSE(is_over_share(query, {false, 3 * kCallTime, kSecond}));
    CHECK_FALSE(is_over_share(query, {true, 0, 0}));
}

TEST_CASE("capacity queries and verdicts are decoded as they were encoded")
{
    CapacityQuery need {"r", "acc", 3, 8, kCallTime, -2 * kCallTime, kSecond};
    const auto queries = decode_capacity_queries(encode(SetQueries {{"s", need}}));
    REQUIRE(queries);
    REQUIRE(queries->size() == 1);
    const CapacityQuery& read = queries->front().need;
    CHECK(queries->front().upstream_set == "s");
    CHECK(read.attempt == need.attempt);
    CHECK(read.account == need.account);
    CHECK(read.priority == need.priority);
    CHECK(read.pieces == need.pieces);
    CHECK(read.starts_in == need.starts_in);
    CHECK(read.due_in == need.due_in);
    CHECK(read.expires_in == need.expires_in);
    const auto verdicts = decode_capacity_verdicts(
        encode(CapacityVerdicts {{true, kCallTime, 0}, {false, kSecond, kCallTime}}));
    REQUIRE(verdicts);
    REQUIRE(verdicts->size() == 2);
    CHECK(verdicts->front().admitted);
    CHECK(verdicts->front().expected_wait == kCallTime);
    CHECK_FALSE(verdicts->back().admitted);
    CHECK(verdicts->back().retry_after == kCallTime);
}

TEST_CASE("queries with invalid values are limited, and malformed ones refused")
{
    // Tables are indexed by priority, so one outside the range must not be passed on.
    CapacityQuery need;
    need.priority = kLowestPriority + 5;
    need.expires_in = -kSecond;
    const auto queries = decode_capacity_queries(encode(SetQueries {{"s", need}}));
    REQUIRE(queries);
    CHECK(queries->front().need.priority == kLowestPriority);
    CHECK(queries->front().need.expires_in == 0);
    CHECK_FALSE(decode_capacity_queries("\x0a\xff"));
    CHECK_FALSE(decode_capacity_verdicts("\x0a\xff"));
}

} // namespace
} // namespace cypressford
