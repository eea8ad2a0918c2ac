// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Limits of pipelines and client accounts to regions.

#include <doctest/doctest.h>

#include <cypressford/hall_limit.h>
#include <cypressford/piece_order.h>
#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>

#include "test_fleet.h"

namespace cypressford {
namespace {

TEST_CASE("a limit allows only the halls that it lists, and all halls if it is not set")
{
    const HallLimit all;
    const HallLimit some({"b", "a"});
    const HallLimit none(std::vector<std::string> {});
    CHECK(all.allows("x"));
    CHECK(some.allows("a"));
    CHECK_FALSE(some.allows("x"));
    CHECK_FALSE(none.allows("a"));
    CHECK((all & some).halls() == some.halls());
    CHECK((some & HallLimit({"b", "c"})).halls() == std::vector<std::string> {"b"});
    CHECK((some & HallLimit({"c"})).is_set());
    CHECK_FALSE((some & HallLimit({"c"})).allows("c"));
    CHECK_FALSE((all & all).is_set());
}

TEST_CASE("limits, also empty ones, survive encoding in piece orders and placement queries")
{
    PieceOrder order;
    order.upstream_set = "set";
    CHECK_FALSE(decode_piece_order(encode(order))->halls.is_set());
    order.halls = HallLimit({"a"});
    CHECK(decode_piece_order(encode(order))->halls.halls() == order.halls.halls());
    PlaceQuery query;
    query.prompt.halls = HallLimit(std::vector<std::string> {});
    const auto again = decode_place_query(encode(query));
    CHECK(again->prompt.halls.is_set());
    CHECK_FALSE(again->prompt.halls.allows("a"));
}

TEST_CASE("a request and its retries are sent to allowed regions only")
{
    Fleet fleet({{}, {"south"}, {}});
    fleet.arrive();
    const auto* send = fleet.find<SendAttempt>();
    REQUIRE(send);
    CHECK(send->upstream->identity == "ib");
    fleet.handle(AttemptEnded {send->attempt, AttemptStatus::Failed});
    const auto* again = fleet.find<SendAttempt>();
    REQUIRE(again);
    CHECK(again->upstream->identity == "ib");
}

TEST_CASE(
    "limits of pipeline and account intersect; with no hall left a request is refused")
{
    Fleet of_account({{}, {}, {"north"}});
    of_account.arrive();
    REQUIRE(of_account.find<SendAttempt>());
    CHECK(of_account.find<SendAttempt>()->upstream->identity == "ia");

    Fleet apart({{}, {"south"}, {"north"}});
    apart.arrive();
    CHECK_FALSE(apart.find<SendAttempt>());
    REQUIRE(apart.find<Reply>());
    CHECK(apart.find<Reply>()->error == ErrorKind::NoAllowedHall);
    CHECK(apart.find<Reply>()->ran == Ran::NotRun);

    Fleet unknown({{}, {"west"}, {}});
    unknown.arrive();
    REQUIRE(unknown.find<Reply>());
    CHECK(unknown.find<Reply>()->error == ErrorKind::NoAllowedHall);
}

TEST_CASE("a request limited to a region whose halls are evacuated is refused")
{
    Fleet fleet({{}, {"south"}, {}});
    fleet.table.set_evacuated({"b"}, 0);
    fleet.arrive();
    CHECK_FALSE(fleet.find<SendAttempt>());
    REQUIRE(fleet.find<Reply>());
    CHECK(fleet.find<Reply>()->error == ErrorKind::NoAllowedHall);
}

TEST_CASE("pieces are made and prompts are placed in allowed halls only")
{
    auto a = std::make_shared<UpstreamState>("10.0.0.1:1", "a", "ia");
    auto b = std::make_shared<UpstreamState>("10.0.0.2:1", "b", "ib");
    UpstreamSet set;
    set.spec.name = "set";
    set.spec.slots = 100;
    set.spec.memory_tokens = 100'000;
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, kMillisecond, 0, 0};
    set.own = {a, b};
    PieceQueue queue;
    PromptPlacer placer;
    for (PieceId id = 1; id <= 10; ++id) {
        const std::string allowed = id % 2 == 0 ? "a" : "b";
        WaitingPiece piece;
        piece.id = id;
        piece.group = id;
        piece.due = kSecond;
        piece.deadline = 2 * kSecond;
        piece.halls = HallLimit({allowed});
        queue.add(piece);
        PromptQuery query;
        query.attempt = std::to_string(id);
        query.tokens = 100;
        query.affinity = id;
        query.halls = piece.halls;
        query.reserve = true;
        CHECK(placer.place(set, query, 0)->hall == allowed);
    }
    int made = 0;
    while (const auto call = queue.next_call(set, 0))
        for (const PieceId id : call->pieces) {
            CHECK(call->upstream->hall == (id % 2 == 0 ? "a" : "b"));
            ++made;
        }
    CHECK(made == 10);
    PromptQuery nowhere;
    nowhere.halls = HallLimit({"c"});
    CHECK_FALSE(placer.place(set, nowhere, 0));
}

} // namespace
} // namespace cypressford
