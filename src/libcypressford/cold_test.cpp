// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cold upstreams: the calls that all daemons together send to them.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <vector>

#include <cypressford/directory.h>
#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>

#include "test_fleet.h"
#include "test_times.h"

namespace cypressford {
namespace {

constexpr double kRate = 9;
constexpr Micros kColdTime = 3 * kSecond;
constexpr ColdSpec kCold {kColdTime, kRate};
/// Calls that a cold upstream withstands in any one second before it fails.
constexpr std::size_t kBound = 18;

/// Each daemon has a request for the upstream every 50 ms, one daemon after the other.
std::vector<Micros>
simulate(int daemons, Micros end, const std::function<bool(int, Micros)>& may)
{
    constexpr Micros pace = 50 * kMillisecond;
    std::vector<Micros> sent;
    for (Micros round = 0; round < end; round += pace)
        for (int daemon = 0; daemon < daemons; ++daemon) {
            const Micros now = round + pace * daemon / daemons;
            if (may(daemon, now))
                sent.push_back(now);
        }
    return sent;
}

std::vector<std::unique_ptr<ColdState>>
cold_states(int daemons)
{
    std::vector<std::unique_ptr<ColdState>> states;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        states.push_back(std::make_unique<ColdState>(1000 + daemon));
        states.back()->set_spec(kCold);
        states.back()->mark_cold_until(kColdTime);
    }
    return states;
}

TEST_CASE("one leader grants half of the rate, and two leaders stay within the rate")
{
    for (const int leaders : {1, 2}) {
        const auto states = cold_states(leaders);
        const auto sent = simulate(295, kColdTime, [&](int daemon, Micros now) {
            return states[static_cast<std::size_t>(daemon % leaders)]->take_grant(now);
        });
        CHECK(sent.size() >= 12 * static_cast<std::size_t>(leaders));
        CHECK(most_within(sent, kSecond) <= kBound);
    }
}

TEST_CASE("295 daemons without a leader neither starve a cold upstream nor "
          "exceed its bound")
{
    constexpr int daemons = 295;
    const auto states = cold_states(daemons);
    const auto parts = simulate(daemons, kColdTime, [&](int daemon, Micros now) {
        return states[static_cast<std::size_t>(daemon)]->take_send(daemons, now);
    });
    // The same, but every daemon may start at once.
    std::vector<CallPacer> at_once(daemons);
    const auto bursts = simulate(daemons, kColdTime, [&](int daemon, Micros now) {
        const auto interval = static_cast<Micros>(daemons * kSecond / (0.25 * kRate));
        return at_once[static_cast<std::size_t>(daemon)].take(0, interval, now);
    });
    // Two daemons selected by hashing have the whole rate; five more are cut off, and each
    // of them assumes that it is one of the two.
    std::vector<CallPacer> few(daemons);
    const auto chosen = simulate(daemons, kColdTime, [&](int daemon, Micros now) {
        const auto interval = static_cast<Micros>(2 * kSecond / kRate);
        return daemon < 7 && few[static_cast<std::size_t>(daemon)].take(0, interval, now);
    });
    MESSAGE(
        "calls in 3 s to a cold upstream of 9 requests/s, maximum per second: own parts ",
        parts.size(), ", ", most_within(parts, kSecond), "; all start at once ",
        bursts.size(), ", ", most_within(bursts, kSecond),
        "; two selected daemons and five "
        "cut off ",
        chosen.size(), ", ", most_within(chosen, kSecond));
    CHECK(parts.size() >= 3);
    CHECK(most_within(parts, kSecond) <= kBound / 2);
    CHECK(most_within(bursts, kSecond) > kBound);
    CHECK(most_within(chosen, kSecond) > kBound);
}

TEST_CASE("without a rate, or after its cold period, an upstream is not cold")
{
    ColdState state(7);
    state.mark_cold_until(kSecond);
    CHECK_FALSE(state.is_cold(0));
    state.set_spec(kCold);
    CHECK(state.is_cold(0));
    CHECK_FALSE(state.is_cold(kSecond));
    state.assume_cold(2 * kSecond);
    CHECK(state.is_cold(4 * kSecond));
    // An earlier end does not shorten the cold period.
    state.mark_cold_until(3 * kSecond);
    CHECK(state.is_cold(4 * kSecond));
}

UpstreamSet
set_of(std::vector<std::shared_ptr<UpstreamState>> own)
{
    UpstreamSet set;
    set.spec.name = "set";
    set.spec.slots = 4;
    set.spec.cold = kCold;
    set.spec.memory_tokens = 100'000;
    set.own = std::move(own);
    for (const auto& upstream : set.own)
        upstream->cold.set_spec(kCold);
    return set;
}

TEST_CASE("the leader places prompts at a cold engine within its cold rate")
{
    auto warm = std::make_shared<UpstreamState>("10.0.0.1:1", "a", "warm");
    auto cold = std::make_shared<UpstreamState>("10.0.0.2:1", "a", "cold");
    const UpstreamSet set = set_of({warm, cold});
    cold->cold.mark_cold_until(kColdTime);
    PromptPlacer placer;
    std::vector<Micros> at_cold;
    int at_warm = 0;
    for (int i = 0; i < 300; ++i) {
        const Micros now = i * 10 * kMillisecond;
        PromptQuery query;
        query.attempt = std::to_string(i);
        query.parts = {{static_cast<std::uint64_t>(i), 500}, {1000ULL + i, 100}};
        query.tokens = 600;
        query.affinity = static_cast<std::uint64_t>(i) * 7919;
        query.reserve = true;
        const auto chosen = placer.place(set, query, now);
        REQUIRE(chosen);
        if (chosen == cold)
            at_cold.push_back(now);
        else
            ++at_warm;
        placer.on_answer_started(query.attempt);
        placer.record_ended(query.attempt);
    }
    CHECK(at_warm > 0);
    CHECK(at_cold.size() >= 10);
    CHECK(most_within(at_cold, kSecond) <= kBound / 2);
}

TEST_CASE("pieces go to warm upstreams first, and to cold upstreams within their rate")
{
    auto warm = std::make_shared<UpstreamState>("10.0.0.1:1", "a", "warm");
    auto cold = std::make_shared<UpstreamState>("10.0.0.2:1", "a", "cold");
    UpstreamSet set = set_of({cold, warm});
    set.spec.slots = 100;
    set.spec.batch = BatchSpec {1, 2, 150 * kMillisecond, kMillisecond, 0, 0};
    cold->cold.mark_cold_until(kColdTime);
    PieceQueue queue;
    const auto add = [&](PieceId id) {
        WaitingPiece piece;
        piece.id = id;
        piece.group = id;
        piece.due = 10 * kSecond;
        piece.deadline = 20 * kSecond;
        queue.add(piece);
    };
    for (PieceId id = 1; id <= 20; ++id) {
        add(id);
        const auto call = queue.next_call(set, 0);
        REQUIRE(call);
        CHECK(call->upstream == warm);
    }
    warm->leaving = true;
    std::vector<Micros> at_cold;
    for (PieceId id = 100; id < 400; ++id) {
        const Micros now = static_cast<Micros>(id - 100) * 10 * kMillisecond;
        add(id);
        if (queue.next_call(set, now))
            at_cold.push_back(now);
    }
    CHECK(at_cold.size() >= 10);
    CHECK(most_within(at_cold, kSecond) <= kBound / 2);
}

UpstreamRecord
record(std::uint64_t sequence, Micros remaining_cold_time)
{
    UpstreamRecord result;
    result.member = {"a", "set", "10.0.0.1:80", "hall", 1, false};
    result.sequence = sequence;
    result.remaining_cold_time = remaining_cold_time;
    return result;
}

TEST_CASE("records report a cold upstream, and count as a change when it turns cold again")
{
    DirectoryFold fold(0);
    CHECK(fold.apply(record(1, 3 * kSecond), 0));
    CHECK(fold.members().front().cold_until == 3 * kSecond);
    // The same start, reported again and read a little later.
    CHECK_FALSE(fold.apply(record(2, 1800 * kMillisecond), 1900 * kMillisecond));
    CHECK_FALSE(fold.apply(record(3, 0), 3 * kSecond));
    CHECK(fold.members().front().cold_until == 3 * kSecond);
    CHECK(fold.apply(record(4, 3 * kSecond), 20 * kSecond));
    CHECK(fold.members().front().cold_until == 23 * kSecond);
}

TEST_CASE("requests go to warm upstreams of other halls while the local hall is cold")
{
    Fleet fleet({kCold, {}, {}, 2});
    fleet.ia->cold.mark_cold_until(kColdTime);
    for (int i = 0; i < 2; ++i)
        CHECK(fleet.arrive() == fleet.ib.get());
    fleet.now = kColdTime;
    CHECK(fleet.arrive() == fleet.ia.get());
}

TEST_CASE("with cold upstreams only, a daemon sends no more than its part")
{
    Fleet fleet({kCold, {}, {}, 1});
    fleet.ia->cold.mark_cold_until(kColdTime);
    fleet.ib->evacuated = true;
    int sent = 0;
    for (int i = 0; i < 20; ++i)
        sent += fleet.arrive() ? 1 : 0;
    CHECK(sent <= 1);
}

TEST_CASE("upstreams of a hall are cold after its evacuation ends")
{
    Fleet fleet({kCold, {}, {}, 2});
    fleet.table.set_evacuated({"a"}, 0);
    CHECK_FALSE(fleet.ia->cold.is_cold(0));
    fleet.now = kSecond;
    fleet.table.set_evacuated({}, fleet.now);
    CHECK(fleet.ia->cold.is_cold(fleet.now));
    CHECK_FALSE(fleet.ib->cold.is_cold(fleet.now));
    CHECK(fleet.arrive() == fleet.ib.get());
}

TEST_CASE("a daemon whose own hall has no upstream in service sends more than one call")
{
    Fleet fleet({kCold, {}, {}, 1});
    fleet.table.set_evacuated({"a"}, 0);
    for (int i = 0; i < 4; ++i)
        CHECK(fleet.arrive() == fleet.ib.get());
}

} // namespace
} // namespace cypressford
