// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/piece_order.h>
#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>

namespace cypressford {
namespace {

PieceStageSpec
stage(std::vector<std::size_t> after)
{
    PieceStageSpec spec;
    spec.upstream_set = "set";
    spec.after = std::move(after);
    return spec;
}

using Stages = std::vector<std::size_t>;
using Handles = std::vector<std::string>;

TEST_CASE("a stage is handed out once, when all its inputs are made")
{
    PiecePlan plan({stage({}), stage({0}), stage({0, 1})}, {1, 2, 1});
    CHECK(plan.take_ready() == Stages {0});
    CHECK(plan.take_ready().empty());
    plan.set_stage_results(0, {"a"});
    CHECK(plan.take_ready() == Stages {1});
    CHECK(plan.inputs_of(1) == Handles {"a"});
    plan.set_stage_results(1, {"b", "c"});
    CHECK(plan.take_ready() == Stages {2});
    CHECK(plan.inputs_of(2) == Handles {"a", "b", "c"});
    CHECK_FALSE(plan.is_done());
    plan.set_stage_results(2, {"d"});
    CHECK(plan.is_done());
    CHECK(plan.final_inputs() == Handles {"d"});
}

TEST_CASE("a result that is read at the end is made at the same time as the others")
{
    // Stages 0 and 3 (the end of a chain) are read by the request only.
    PiecePlan plan({stage({}), stage({}), stage({1}), stage({2})}, {2, 1, 6, 10});
    const auto ready = plan.take_due({300, 200, 400, 250}, 20);
    CHECK(ready.now == Stages {1});
    REQUIRE(ready.next_in);
    CHECK(*ready.next_in == 550);
    // The chain was faster than expected.
    plan.set_stage_results(1, {"a"});
    const auto next = plan.take_due({300, 0, 400, 250}, 20);
    CHECK(next.now == Stages {2});
    CHECK(*next.next_in == 350);
    const auto later = plan.take_due({300, 0, 70, 250}, 20);
    CHECK(later.now == Stages {0});
    CHECK_FALSE(later.next_in);
    CHECK(plan.take_due({300, 0, 70, 250}, 20).now.empty());
}

TEST_CASE("stages on the longest path, or near it, start at once")
{
    PiecePlan one({stage({})}, {3});
    CHECK(one.take_due({300}, 0).now == Stages {0});
    PiecePlan equal({stage({}), stage({}), stage({0, 1})}, {1, 1, 1});
    CHECK(equal.take_due({300, 290, 100}, 20).now == Stages {0, 1});
    // A stage without pieces delays no other.
    PiecePlan left_out({stage({}), stage({}), stage({1})}, {1, 0, 0});
    CHECK(left_out.take_due({300, 900, 900}, 0).now == Stages {0});
}

TEST_CASE("a stage without pieces is left out, also as an input")
{
    PiecePlan plan({stage({}), stage({}), stage({0, 1})}, {0, 1, 1});
    CHECK(plan.take_ready() == Stages {1});
    plan.set_stage_results(1, {"b"});
    CHECK(plan.take_ready() == Stages {2});
    CHECK(plan.inputs_of(2) == Handles {"b"});
    PiecePlan last_left_out({stage({}), stage({0})}, {1, 0});
    last_left_out.take_ready();
    last_left_out.set_stage_results(0, {"a"});
    CHECK(last_left_out.is_done());
    CHECK(last_left_out.final_inputs() == Handles {"a"});
}

TEST_CASE("a result is released once, when its last reader is made")
{
    PiecePlan plan({stage({}), stage({0}), stage({0})}, {1, 1, 1});
    plan.take_ready();
    plan.set_stage_results(0, {"a"});
    plan.take_ready();
    plan.set_stage_results(1, {"b"});
    CHECK(plan.take_releasable().empty());
    CHECK(plan.unreleased() == Handles {"a", "b"});
    plan.set_stage_results(2, {"c"});
    CHECK(plan.take_releasable() == Handles {"a"});
    CHECK(plan.take_releasable().empty());
    CHECK(plan.unreleased() == Handles {"b", "c"});
    CHECK(plan.stage_of("c") == 2);
}

TEST_CASE("a stage is made where the fewest bytes move between halls")
{
    // Each of ten pieces fetches all inputs: they outweigh results for another hall.
    CHECK(hall_of_least_transfer({{{"a", 120'000}, {"b", 240'000}}, 10, 60'000, "c"})
          == "b");
    // A single piece with a large result is made in the hall of its reader.
    CHECK(hall_of_least_transfer({{{"a", 8'000}}, 1, 1'500'000, "c"}) == "c");
    CHECK(hall_of_least_transfer({{{"a", 800'000}, {"b", 800'000}}, 1, 0, "b"}) == "b");
    CHECK(hall_of_least_transfer({{}, 1, 1'500'000, "c"}) == "c");
    // Six pieces that read 8 KB each go wherever an upstream is free.
    CHECK(hall_of_least_transfer({{{"a", 8'000}}, 6, 0, ""}).empty());
    CHECK(hall_of_least_transfer({{}, 1, 0, ""}).empty());
    CHECK(hall_with_most_bytes({{"a", 8'000}, {"b", 1'500'000}, {"c", 60'000}}) == "b");
    CHECK(hall_with_most_bytes({}).empty());
}

/// A set with one single-slot upstream in each of `halls`.
UpstreamSet
make_set(const std::vector<std::string>& halls, int items = 8, double memory_mb = 0)
{
    UpstreamSet set;
    set.spec.name = "set";
    set.spec.slots = 1;
    set.spec.batch = BatchSpec {
        items, 2, 150 * kMillisecond, 16 * kMillisecond, memory_mb, 4 * kSecond};
    for (std::size_t i = 0; i < halls.size(); ++i)
        set.own.push_back(std::make_shared<UpstreamState>(
            "10.0.0." + std::to_string(i) + ":80", halls[i], "i" + std::to_string(i)));
    return set;
}

WaitingPiece
piece(PieceId id, PieceId group, int priority, Micros due, std::string near = {})
{
    WaitingPiece result;
    result.id = id;
    result.group = group;
    result.priority = priority;
    result.due = due;
    result.deadline = due + 10 * kSecond;
    result.near = std::move(near);
    return result;
}

using Ids = std::vector<PieceId>;

TEST_CASE("pieces are ordered by priority, then prompt ones by due time before late ones")
{
    const UpstreamSet set = make_set({"a"}, 3);
    PieceQueue queue;
    queue.add(piece(1, 1, 0, -1));
    queue.add(piece(2, 2, 1, 500 * kMillisecond));
    queue.add(piece(3, 3, 0, 900 * kMillisecond));
    queue.add(piece(4, 4, 0, 800 * kMillisecond));
    const auto call = queue.next_call(set, 0);
    REQUIRE(call);
    CHECK(call->pieces == Ids {4, 3, 1});
    const auto second = queue.next_call(set, 0);
    REQUIRE(second);
    CHECK(second->pieces == Ids {2});
    CHECK_FALSE(queue.next_call(set, 0));
}

TEST_CASE("no call without a free slot")
{
    const UpstreamSet set = make_set({"a"});
    PieceQueue queue;
    queue.add(piece(1, 1, 0, kSecond));
    set.own.front()->in_flight = 1;
    CHECK_FALSE(queue.next_call(set, 0));
    CHECK(queue.expected_wait(set, 0, 0) > 0);
    set.own.front()->in_flight = 0;
    CHECK(queue.next_call(set, 0));
    CHECK(queue.expected_wait(set, 0, 0) == 0);
}

TEST_CASE("a piece waits for its hall for a limited time")
{
    const UpstreamSet set = make_set({"a", "b"});
    set.own[1]->in_flight = 1;
    PieceQueue queue;
    queue.add(piece(1, 1, 0, kSecond, "b"));
    CHECK_FALSE(queue.next_call(set, 0));
    const Micros limit = PieceQueue::hall_wait_limit(set, piece(1, 1, 0, kSecond, "b"));
    CHECK(limit > 0);
    CHECK(limit < kSecond);
    const auto call = queue.next_call(set, limit);
    REQUIRE(call);
    CHECK(call->upstream->hall == "a");
}

TEST_CASE("a hall without upstreams is not waited for")
{
    const UpstreamSet set = make_set({"a"});
    PieceQueue queue;
    queue.add(piece(1, 1, 0, kSecond, "elsewhere"));
    CHECK(queue.next_call(set, 0));
}

TEST_CASE("groups stay together in a short queue, full calls take precedence in a long one")
{
    const UpstreamSet set = make_set({"a", "a", "a", "a"}, 8);
    PieceQueue queue;
    for (PieceId id = 1; id <= 5; ++id)
        queue.add(piece(id, 1, 0, kSecond));
    for (PieceId id = 6; id <= 10; ++id)
        queue.add(piece(id, 6, 0, 2 * kSecond));
    const auto call = queue.next_call(set, 0);
    REQUIRE(call);
    CHECK(call->pieces.size() == 5);
    // Four upstreams take 32 pieces; the queue is long with more than 16.
    for (PieceId id = 11; id <= 30; ++id)
        queue.add(piece(id, 11, 0, 3 * kSecond));
    const auto full = queue.next_call(set, 0);
    REQUIRE(full);
    CHECK(full->pieces.size() == 8);
}

TEST_CASE("a group larger than a call is split")
{
    const UpstreamSet set = make_set({"a", "a", "a", "a"}, 2);
    PieceQueue queue;
    for (PieceId id = 1; id <= 3; ++id)
        queue.add(piece(id, 1, 0, kSecond));
    CHECK(queue.next_call(set, 0)->pieces == Ids {1, 2});
    CHECK(queue.next_call(set, 0)->pieces == Ids {3});
}

TEST_CASE("results never take more memory than the upstream has")
{
    const UpstreamSet set = make_set({"a"}, 8, 10);
    PieceQueue queue;
    for (PieceId id = 1; id <= 8; ++id) {
        WaitingPiece big = piece(id, id, 0, kSecond);
        big.result_bytes = 3'000'000;
        queue.add(big);
    }
    const auto call = queue.next_call(set, 0);
    REQUIRE(call);
    CHECK(call->pieces.size() == 3);
    CHECK_FALSE(queue.next_call(set, 0));
    queue.memory().set_handle(call->pieces[0], "h0");
    queue.memory().release("h0");
    CHECK(queue.next_call(set, 0)->pieces.size() == 1);
    // A result that is not released counts until its retention period ends.
    CHECK_FALSE(queue.next_call(set, kSecond));
    CHECK(queue.next_call(set, 6 * kSecond)->pieces.size() == 3);
}

TEST_CASE("an upstream that reports no memory gets no calls for a while")
{
    const UpstreamSet set = make_set({"a"}, 8, 10);
    PieceQueue queue;
    WaitingPiece big = piece(1, 1, 0, 10 * kSecond);
    big.result_bytes = 1;
    queue.add(big);
    queue.memory().record_full(*set.own.front(), kSecond);
    CHECK_FALSE(queue.next_call(set, 0));
    CHECK(queue.next_call(set, kSecond));
}

TEST_CASE("refusals raise the memory margin, calls that nearly fill the memory lower it")
{
    const UpstreamSet set = make_set({"a"}, 8, 1.0); // 1 MB
    const BatchSpec& batch = *set.spec.batch;
    const UpstreamState& upstream = *set.own[0];
    ResultMemory memory;
    // One result may take all of an empty upstream's memory.
    CHECK(memory.free_bytes(upstream, batch, 0) == 1'000'000);
    memory.reserve(upstream, 1, 100'000, 100 * kSecond);
    const std::int64_t before = memory.free_bytes(upstream, batch, 0);
    CHECK(before < 900'000);
    memory.record_full(upstream, kSecond);
    CHECK(memory.free_bytes(upstream, batch, 0) == 0);
    const std::int64_t after = memory.free_bytes(upstream, batch, 2 * kSecond);
    CHECK(after < before);
    // Calls that left much memory free do not change the margin.
    memory.record_fit(batch, 500'000);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) == after);
    for (int i = 0; i < 1000; ++i)
        memory.record_fit(batch, 20'000);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) == 900'000);
    for (int i = 0; i < 1000; ++i)
        memory.record_full(upstream, kSecond);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) > 700'000);
}

TEST_CASE("an upstream that fails is backed off for doubling periods, and probed")
{
    const UpstreamSet set = make_set({"a"}, 8);
    PieceQueue queue;
    for (PieceId id = 1; id <= 4; ++id)
        queue.add(piece(id, id < 3 ? 1 : 3, 0, 100 * kSecond));
    const UpstreamState& upstream = *set.own.front();
    queue.record_failure(upstream, 0);
    CHECK_FALSE(queue.next_call(set, 399 * kMillisecond));
    queue.record_failure(upstream, 0);
    CHECK_FALSE(queue.next_call(set, 799 * kMillisecond));
    // The probe takes one group only.
    CHECK(queue.next_call(set, 800 * kMillisecond)->pieces.size() == 2);
    queue.record_success(upstream);
    CHECK(queue.next_call(set, 800 * kMillisecond)->pieces.size() == 2);
}

TEST_CASE("overdue pieces are removed after a call's time, prompt ones never")
{
    const UpstreamSet set = make_set({"a"}, 8);
    set.own.front()->in_flight = 1;
    PieceQueue queue;
    queue.add(piece(1, 1, 0, 0));
    queue.add(piece(2, 2, 0, 100 * kSecond));
    CHECK(queue.take_overdue(set, 278 * kMillisecond).empty());
    CHECK(queue.take_overdue(set, 279 * kMillisecond) == Ids {1});
    CHECK(queue.size() == 1);
}

TEST_CASE("less urgent pieces do not lengthen the wait of urgent ones")
{
    const UpstreamSet set = make_set({"a"}, 8);
    set.own.front()->in_flight = 1;
    PieceQueue queue;
    for (PieceId id = 1; id <= 40; ++id)
        queue.add(piece(id, id, 5, 100 * kSecond));
    CHECK(queue.expected_wait(set, 0, 0) < queue.expected_wait(set, 5, 0));
}

TEST_CASE("orders, answers and releases are decoded as they were encoded")
{
    PieceOrder order;
    order.upstream_set = "s";
    order.priority = 2;
    order.time_left = 900 * kMillisecond;
    order.due_left = -30 * kMillisecond;
    order.near = "hall";
    order.result_bytes = 5;
    order.is_retry = true;
    order.pieces.push_back({"attempt", 1, 2, 0, "key", {"in"}});
    const auto decoded_order = decode_piece_order(encode(order));
    REQUIRE(decoded_order);
    CHECK(decoded_order->due_left == order.due_left);
    CHECK(decoded_order->time_left == order.time_left);
    CHECK(decoded_order->is_retry);
    REQUIRE(decoded_order->pieces.size() == 1);
    CHECK(decoded_order->pieces[0].segment == 2);
    CHECK(decoded_order->pieces[0].inputs == Handles {"in"});
    PieceAnswer answer;
    answer.pieces = {{PieceOutcome::Made, "h"}, {PieceOutcome::Late, ""}};
    const auto decoded_answer = decode_piece_answer(encode(answer));
    REQUIRE(decoded_answer);
    REQUIRE(decoded_answer->pieces.size() == 2);
    CHECK(decoded_answer->pieces[1].outcome == PieceOutcome::Late);
    const auto decoded_releases
        = decode_releases(encode(Releases {"s", {"h"}, {"b"}, {"e"}, {"u"}, {"w"}}));
    REQUIRE(decoded_releases);
    CHECK(decoded_releases->ended == Handles {"e"});
    CHECK(decoded_releases->unreachable == Handles {"u"});
    CHECK(decoded_releases->withdrawn == Handles {"w"});
}

TEST_CASE("mechanisms are found by their names, have a default, and can be switched")
{
    for (std::size_t at = 0; at < kMechanisms; ++at) {
        const auto mechanism = mechanism_of(kMechanismNames.at(at));
        REQUIRE(mechanism);
        CHECK(static_cast<std::size_t>(*mechanism) == at);
        PolicySwitches switches;
        CHECK(switches.uses(*mechanism) == (*mechanism < kFirstOptIn));
        switches.switch_off(*mechanism);
        CHECK_FALSE(switches.uses(*mechanism));
        switches.switch_on(*mechanism);
        CHECK(switches.uses(*mechanism));
    }
    CHECK_FALSE(mechanism_of("hall_wait"));
    // Without waits for halls, a piece goes to the first free upstream.
    PolicySwitches no_waits;
    no_waits.switch_off(Mechanism::HallWaits);
    UpstreamSet set = make_set({"a", "b"});
    set.own[0]->in_flight.store(1);
    const WaitingPiece far = piece(1, 1, 0, 10 * kSecond, "a");
    PieceQueue waiting_queue;
    waiting_queue.add(far);
    CHECK_FALSE(waiting_queue.next_call(set, 0));
    PieceQueue direct_queue(no_waits);
    direct_queue.add(far);
    CHECK(direct_queue.next_call(set, 0));
}

// ------------------------------------------------------------------ placement

UpstreamSet
engines(int count)
{
    UpstreamSet set = make_set(std::vector<std::string>(count, "a"));
    set.spec.batch.reset();
    set.spec.slots = 64;
    set.spec.memory_tokens = 100'000;
    return set;
}

PromptQuery
prompt(const std::string& attempt, std::uint64_t subject, bool reserve = true)
{
    PromptQuery query;
    query.attempt = attempt;
    query.parts = {{subject, 10'000}, {std::hash<std::string> {}(attempt), 1'000}};
    query.tokens = 11'000;
    query.affinity = subject;
    query.reserve = reserve;
    return query;
}

TEST_CASE("a prompt goes to the engine that has cached its shared part")
{
    const UpstreamSet set = engines(6);
    PromptPlacer placer;
    const auto engine = placer.place(set, prompt("1", 77), 0);
    placer.on_answer_started("1");
    for (int i = 2; i < 8; ++i) {
        const std::string attempt = std::to_string(i);
        CHECK(placer.place(set, prompt(attempt, 77), 0) == engine);
        placer.on_answer_started(attempt);
        placer.record_ended(attempt);
    }
}

TEST_CASE("prompts overflow to other engines when theirs has too much to read")
{
    const UpstreamSet set = engines(6);
    PromptPlacer placer;
    const auto engine = placer.place(set, prompt("1", 77), 0);
    bool overflowed = false;
    for (int i = 2; i < 30; ++i)
        overflowed |= placer.place(set, prompt(std::to_string(i), 77), 0) != engine;
    CHECK(overflowed);
}

TEST_CASE("two leaders without any records choose the same engine")
{
    const UpstreamSet set = engines(6);
    for (std::uint64_t subject = 1; subject < 40; ++subject) {
        PromptPlacer one;
        PromptPlacer two;
        CHECK(one.place(set, prompt("1", subject), 0)
              == two.place(set, prompt("2", subject), 0));
    }
}

TEST_CASE("upstreams that are leaving or avoided are not chosen")
{
    const UpstreamSet set = engines(2);
    PromptPlacer placer;
    set.own[0]->mark_leaving();
    CHECK(placer.place(set, prompt("1", 5), 0) == set.own[1]);
    PromptQuery query = prompt("2", 5);
    query.avoid = {set.own[1]->identity};
    CHECK(placer.place(set, query, 0) == nullptr);
}

TEST_CASE("placements without a further report expire")
{
    const UpstreamSet set = engines(2);
    PromptPlacer placer;
    const auto engine = placer.place(set, prompt("0", 5), 0);
    for (int i = 1; i < 20; ++i)
        placer.place(set, prompt(std::to_string(i), 5), 0);
    CHECK(placer.place(set, prompt("x", 5, false), 20 * kSecond) == engine);
}

} // namespace
} // namespace cypressford
