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

TEST_CASE("stages are given out once, when all they need is made")
{
    PiecePlan plan({stage({}), stage({0}), stage({0, 1})}, {1, 2, 1});
    CHECK(plan.take_ready() == Stages {0});
    CHECK(plan.take_ready().empty());
    plan.stage_made(0, {"a"});
    CHECK(plan.take_ready() == Stages {1});
    CHECK(plan.inputs_of(1) == Handles {"a"});
    plan.stage_made(1, {"b", "c"});
    CHECK(plan.take_ready() == Stages {2});
    CHECK(plan.inputs_of(2) == Handles {"a", "b", "c"});
    CHECK_FALSE(plan.is_done());
    plan.stage_made(2, {"d"});
    CHECK(plan.is_done());
    CHECK(plan.final_inputs() == Handles {"d"});
}

TEST_CASE("a result that is read at the end is made when the others are")
{
    // Stage 0 is read by the request only, as is stage 3, the end of a chain.
    PiecePlan plan({stage({}), stage({}), stage({1}), stage({2})}, {2, 1, 6, 10});
    const auto ready = plan.take_due({300, 200, 400, 250}, 20);
    CHECK(ready.now == Stages {1});
    REQUIRE(ready.next_in);
    CHECK(*ready.next_in == 550);
    // The chain was faster than expected.
    plan.stage_made(1, {"a"});
    const auto next = plan.take_due({300, 0, 400, 250}, 20);
    CHECK(next.now == Stages {2});
    CHECK(*next.next_in == 350);
    const auto later = plan.take_due({300, 0, 70, 250}, 20);
    CHECK(later.now == Stages {0});
    CHECK_FALSE(later.next_in);
    CHECK(plan.take_due({300, 0, 70, 250}, 20).now.empty());
}

TEST_CASE("what is on the longest path, or near it, starts at once")
{
    PiecePlan one({stage({})}, {3});
    CHECK(one.take_due({300}, 0).now == Stages {0});
    PiecePlan equal({stage({}), stage({}), stage({0, 1})}, {1, 1, 1});
    CHECK(equal.take_due({300, 290, 100}, 20).now == Stages {0, 1});
    // A stage that is left out delays nobody.
    PiecePlan left_out({stage({}), stage({}), stage({1})}, {1, 0, 0});
    CHECK(left_out.take_due({300, 900, 900}, 0).now == Stages {0});
}

TEST_CASE("a stage with no pieces is left out, also as an input")
{
    PiecePlan plan({stage({}), stage({}), stage({0, 1})}, {0, 1, 1});
    CHECK(plan.take_ready() == Stages {1});
    plan.stage_made(1, {"b"});
    CHECK(plan.take_ready() == Stages {2});
    CHECK(plan.inputs_of(2) == Handles {"b"});
    PiecePlan last_left_out({stage({}), stage({0})}, {1, 0});
    last_left_out.take_ready();
    last_left_out.stage_made(0, {"a"});
    CHECK(last_left_out.is_done());
    CHECK(last_left_out.final_inputs() == Handles {"a"});
}

TEST_CASE("a result is released when its last reader is made, and once")
{
    PiecePlan plan({stage({}), stage({0}), stage({0})}, {1, 1, 1});
    plan.take_ready();
    plan.stage_made(0, {"a"});
    plan.take_ready();
    plan.stage_made(1, {"b"});
    CHECK(plan.take_releasable().empty());
    CHECK(plan.unreleased() == Handles {"a", "b"});
    plan.stage_made(2, {"c"});
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
    // A single piece with a large result is made where that is read.
    CHECK(hall_of_least_transfer({{{"a", 8'000}}, 1, 1'500'000, "c"}) == "c");
    CHECK(hall_of_least_transfer({{{"a", 800'000}, {"b", 800'000}}, 1, 0, "b"}) == "b");
    CHECK(hall_of_least_transfer({{}, 1, 1'500'000, "c"}) == "c");
    // Six pieces that read 8 KB each go wherever an upstream is free.
    CHECK(hall_of_least_transfer({{{"a", 8'000}}, 6, 0, ""}).empty());
    CHECK(hall_of_least_transfer({{}, 1, 0, ""}).empty());
    CHECK(main_hall({{"a", 8'000}, {"b", 1'500'000}, {"c", 60'000}}) == "b");
    CHECK(main_hall({}).empty());
}

/// A set of single-slot upstreams, by hall.
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

TEST_CASE("pieces go by priority; within one, prompt ones by due time, then late ones")
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
    const auto rest = queue.next_call(set, 0);
    REQUIRE(rest);
    CHECK(rest->pieces == Ids {2});
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

TEST_CASE("a piece waits for its hall, but not for ever")
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

TEST_CASE("groups stay together while little waits, full calls come first otherwise")
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
    // Four upstreams take 32; more than 16 waiting is much.
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

TEST_CASE("results never take more than the memory that is there")
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
    queue.memory().name(call->pieces[0], "h0");
    queue.memory().give_back("h0");
    CHECK(queue.next_call(set, 0)->pieces.size() == 1);
    // What nobody gives up ends with the time that results are kept.
    CHECK_FALSE(queue.next_call(set, kSecond));
    CHECK(queue.next_call(set, 6 * kSecond)->pieces.size() == 3);
}

TEST_CASE("an upstream that says it has no memory is left alone for a while")
{
    const UpstreamSet set = make_set({"a"}, 8, 10);
    PieceQueue queue;
    WaitingPiece big = piece(1, 1, 0, 10 * kSecond);
    big.result_bytes = 1;
    queue.add(big);
    queue.memory().note_full(*set.own.front(), kSecond);
    CHECK_FALSE(queue.next_call(set, 0));
    CHECK(queue.next_call(set, kSecond));
}

TEST_CASE("refusals leave more memory free, calls that nearly fill it less")
{
    const UpstreamSet set = make_set({"a"}, 8, 1.0); // 1 MB
    const BatchSpec& batch = *set.spec.batch;
    const UpstreamState& upstream = *set.own[0];
    ResultMemory memory;
    // One result may take all of an empty upstream's memory.
    CHECK(memory.free_bytes(upstream, batch, 0) == 1'000'000);
    memory.take(upstream, 1, 100'000, 100 * kSecond);
    const std::int64_t before = memory.free_bytes(upstream, batch, 0);
    CHECK(before < 900'000);
    memory.note_full(upstream, kSecond);
    CHECK(memory.free_bytes(upstream, batch, 0) == 0);
    const std::int64_t after = memory.free_bytes(upstream, batch, 2 * kSecond);
    CHECK(after < before);
    // Calls that left much memory say nothing.
    memory.note_fit(batch, 500'000);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) == after);
    for (int i = 0; i < 1000; ++i)
        memory.note_fit(batch, 20'000);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) == 900'000);
    for (int i = 0; i < 1000; ++i)
        memory.note_full(upstream, kSecond);
    CHECK(memory.free_bytes(upstream, batch, 2 * kSecond) > 700'000);
}

TEST_CASE("an upstream that fails is backed off, longer each time, and probed")
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
    // One group only, since it may be lost time.
    CHECK(queue.next_call(set, 800 * kMillisecond)->pieces.size() == 2);
    queue.record_success(upstream);
    CHECK(queue.next_call(set, 800 * kMillisecond)->pieces.size() == 2);
}

TEST_CASE("overdue pieces are taken out after a call's time, prompt ones never")
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

TEST_CASE("orders, answers and releases survive their encoding")
{
    PieceOrder order;
    order.upstream_set = "s";
    order.priority = 2;
    order.time_left = 900 * kMillisecond;
    order.due_left = -30 * kMillisecond;
    order.near = "hall";
    order.result_bytes = 5;
    order.again = true;
    order.pieces.push_back({"attempt", 1, 2, 0, "key", {"in"}});
    const auto read = decode_piece_order(encode(order));
    REQUIRE(read);
    CHECK(read->due_left == order.due_left);
    CHECK(read->time_left == order.time_left);
    CHECK(read->again);
    REQUIRE(read->pieces.size() == 1);
    CHECK(read->pieces[0].segment == 2);
    CHECK(read->pieces[0].inputs == Handles {"in"});
    PieceAnswer answer;
    answer.pieces = {{PieceOutcome::Made, "h"}, {PieceOutcome::Late, ""}};
    const auto told = decode_piece_answer(encode(answer));
    REQUIRE(told);
    REQUIRE(told->pieces.size() == 2);
    CHECK(told->pieces[1].outcome == PieceOutcome::Late);
    const auto freed = decode_releases(encode(Releases {"s", {"h"}, {"b"}, {"e"}, {"u"}}));
    REQUIRE(freed);
    CHECK(freed->ended == Handles {"e"});
    CHECK(freed->unreached == Handles {"u"});
}

TEST_CASE("mechanisms are found by their names, and each can be switched off")
{
    for (std::size_t at = 0; at < kMechanisms; ++at) {
        const auto mechanism = mechanism_of(kMechanismNames.at(at));
        REQUIRE(mechanism);
        CHECK(static_cast<std::size_t>(*mechanism) == at);
        PolicySwitches switches;
        CHECK(switches.uses(*mechanism));
        switches.switch_off(*mechanism);
        CHECK_FALSE(switches.uses(*mechanism));
    }
    CHECK_FALSE(mechanism_of("hall_wait"));
    // Without waits for halls a piece goes to the first free upstream.
    PolicySwitches no_waits;
    no_waits.switch_off(Mechanism::HallWaits);
    UpstreamSet set = make_set({"a", "b"});
    set.own[0]->in_flight.store(1);
    const WaitingPiece far = piece(1, 1, 0, 10 * kSecond, "a");
    PieceQueue patient;
    patient.add(far);
    CHECK_FALSE(patient.next_call(set, 0));
    PieceQueue hasty(no_waits);
    hasty.add(far);
    CHECK(hasty.next_call(set, 0));
}

// ------------------------------------------------------------------ placing

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

TEST_CASE("a prompt goes where its shared part is kept")
{
    const UpstreamSet set = engines(6);
    PromptPlacer placer;
    const auto engine = placer.place(set, prompt("1", 77), 0);
    placer.note_begun("1");
    for (int i = 2; i < 8; ++i) {
        const std::string attempt = std::to_string(i);
        CHECK(placer.place(set, prompt(attempt, 77), 0) == engine);
        placer.note_begun(attempt);
        placer.note_ended(attempt);
    }
}

TEST_CASE("an engine with too much to read gets help")
{
    const UpstreamSet set = engines(6);
    PromptPlacer placer;
    const auto engine = placer.place(set, prompt("1", 77), 0);
    bool helped = false;
    for (int i = 2; i < 30; ++i)
        helped |= placer.place(set, prompt(std::to_string(i), 77), 0) != engine;
    CHECK(helped);
}

TEST_CASE("two leaders that know nothing choose the same engine")
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

TEST_CASE("what is never reported is forgotten in time")
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
