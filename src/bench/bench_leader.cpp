// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cost of one decision in a daemon that leads an upstream set.

#include <benchmark/benchmark.h>

#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>

namespace cypressford {

namespace {

/// Number of halls, which have equal numbers of upstreams.
constexpr int kHalls = 5;

UpstreamSet
make_set(int upstreams)
{
    UpstreamSet set;
    set.spec.name = "set";
    for (int i = 0; i < upstreams; ++i)
        set.remote.push_back(std::make_shared<UpstreamState>(
            "10.0.0." + std::to_string(i) + ":80", "hall-" + std::to_string(i % kHalls),
            "i-" + std::to_string(i)));
    return set;
}

} // namespace

/// Searches for the next call while all pieces wait for their own hall and other halls have
/// free slots: the most frequent result of an order, a release or the end of a call under
/// load.  A search over 41 upstreams and 320 pieces at 2.1 GHz takes 4.5 us, since it reads
/// free slots once for each upstream and halls once for each group; otherwise it takes 33
/// us.
static void
BM_LookAtWaitingPieces(benchmark::State& state)
{
    const auto upstreams = static_cast<int>(state.range(0));
    const auto pieces = static_cast<PieceId>(state.range(1));
    constexpr PieceId group_size = 8;
    UpstreamSet set = make_set(upstreams);
    set.spec.slots = 1;
    set.spec.batch = BatchSpec {static_cast<int>(pieces) + 1,
                                2,
                                150 * kMillisecond,
                                16 * kMillisecond,
                                42,
                                4 * kSecond};
    for (const auto& upstream : set.remote)
        if (upstream->hall == "hall-0")
            upstream->in_flight.store(1);
    PieceQueue queue;
    for (PieceId id = 1; id <= pieces; ++id) {
        WaitingPiece piece;
        piece.id = id;
        piece.group = (id - 1) / group_size * group_size + 1;
        piece.due = static_cast<Micros>(piece.group) * kMillisecond + 100 * kSecond;
        piece.deadline = piece.due + 100 * kSecond;
        piece.result_bytes = 500'000;
        piece.near = "hall-0";
        queue.add(piece);
    }
    for (auto _ : state) {
        auto call = queue.next_call(set, 0);
        if (call)
            state.SkipWithError("a piece did not wait for its hall");
        benchmark::DoNotOptimize(call);
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_LookAtWaitingPieces)->Args({5, 40})->Args({41, 320})->Args({300, 2000});

/// One dispatch, as after each order, release and ended call, with a given number of
/// waiting pieces: drops overdue pieces, searches for the next call, and estimates the wait
/// for an answer.  The second argument selects the state of the upstreams: all busy (0),
/// one free (1), whose call is then undone by adding its pieces again, or one free without
/// memory for a result (2).
static void
BM_Dispatch(benchmark::State& state)
{
    const auto pieces = static_cast<PieceId>(state.range(0));
    const bool one_free = state.range(1) == 1;
    constexpr int upstreams = 15;
    constexpr int call_items = 50;
    constexpr PieceId group_size = 8;
    UpstreamSet set = make_set(upstreams);
    set.spec.slots = 1;
    set.spec.batch = BatchSpec {call_items, 2, 150 * kMillisecond, 2'600, 8.9, 4 * kSecond};
    for (const auto& upstream : set.remote)
        upstream->in_flight.store(1);
    if (state.range(1) != 0)
        set.remote.front()->in_flight.store(0);
    PieceQueue queue;
    if (state.range(1) == 2)
        queue.memory().record_full(*set.remote.front(), 100 * kSecond);
    const auto add = [&queue](PieceId id) {
        WaitingPiece piece;
        piece.id = id;
        piece.group = (id - 1) / group_size * group_size + 1;
        piece.due = static_cast<Micros>(piece.group) * kMillisecond + 100 * kSecond;
        piece.deadline = piece.due + 100 * kSecond;
        piece.result_bytes = 60'000;
        piece.near = "hall-" + std::to_string(piece.group / group_size % kHalls);
        queue.add(piece);
    };
    for (PieceId id = 1; id <= pieces; ++id)
        add(id);
    const Micros now = kSecond; // no piece waits for its hall any longer
    for (auto _ : state) {
        benchmark::DoNotOptimize(queue.take_overdue(set, now));
        auto call = queue.next_call(set, now);
        if (call.has_value() != one_free)
            state.SkipWithError("unexpected result of the search for a call");
        benchmark::DoNotOptimize(queue.expected_wait(set, kLowestPriority, now));
        if (!call)
            continue;
        for (const PieceId id : call->pieces) {
            queue.memory().release(id);
            add(id);
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_Dispatch)
    ->ArgNames({"waiting", "free"})
    ->ArgsProduct({{300, 3'000, 30'000}, {0, 1, 2}});

/// Chooses and reserves an engine for a prompt with two shared parts, and ends the
/// reservation.
static void
BM_PlacePrompt(benchmark::State& state)
{
    UpstreamSet set = make_set(static_cast<int>(state.range(0)));
    set.spec.slots = 64;
    set.spec.memory_tokens = 600'000;
    PromptPlacer placer;
    std::uint64_t number = 0;
    constexpr std::uint64_t subjects = 100;
    for (auto _ : state) {
        ++number;
        PromptQuery query;
        query.attempt = std::to_string(number);
        query.affinity = number % subjects + 1;
        query.parts = {{query.affinity, 13'000}, {subjects + number, 3'700}};
        query.tokens = 16'700;
        for (int hall = 0; hall < kHalls; ++hall)
            query.hall_parts["hall-" + std::to_string(hall)] = 1.0 / kHalls;
        query.reserve = true;
        benchmark::DoNotOptimize(placer.place(set, query, 0));
        placer.on_answer_started(query.attempt);
        placer.record_ended(query.attempt);
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_PlacePrompt)->Arg(18)->Arg(160)->Arg(1000);

} // namespace cypressford
