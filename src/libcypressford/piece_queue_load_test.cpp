// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/pieces.h>

namespace cypressford {
namespace {

constexpr std::int64_t kResultBytes = 100'000;

/// Four upstreams with calls of 8 pieces and memory for 20 results, in two halls.
UpstreamSet
make_set()
{
    UpstreamSet set;
    set.spec.slots = 1;
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, kMillisecond, 2.0, 100 * kSecond};
    for (int i = 0; i < 4; ++i)
        set.own.push_back(
            std::make_shared<UpstreamState>("10.0.0." + std::to_string(i) + ":80",
                                            i < 2 ? "a" : "b", "i-" + std::to_string(i)));
    return set;
}

/// Pieces in groups of that size, alternately for the halls a and b.
void
add_pieces(PieceQueue& queue, PieceId count, PieceId group_size = 1,
           const HallLimit& halls = {})
{
    for (PieceId id = 1; id <= count; ++id) {
        WaitingPiece piece;
        piece.id = id;
        piece.group = (id - 1) / group_size * group_size + 1;
        piece.due = 10 * kSecond;
        piece.result_bytes = kResultBytes;
        piece.near = piece.group / group_size % 2 == 1 ? "a" : "b";
        piece.halls = halls;
        queue.add(piece);
    }
}

struct Load {
    PieceId group_size = 1;
    HallLimit halls;
    bool failed = false; ///< the last call to each upstream
    std::int64_t reserved = 0; ///< results for which each upstream has reserved memory
};

/// Pieces visited by one dispatch with that number of waiting pieces.
std::uint64_t
count_visits(const UpstreamSet& set, PieceId waiting, const Load& load)
{
    PieceQueue queue;
    add_pieces(queue, waiting, load.group_size, load.halls);
    PieceId other = waiting;
    for (const auto& upstream : set.own) {
        queue.memory().reserve(*upstream, ++other, load.reserved * kResultBytes,
                               100 * kSecond);
        if (load.failed)
            queue.record_failure(*upstream, -kSecond);
    }
    CHECK(queue.take_overdue(set, 0).empty());
    queue.next_call(set, 0);
    return queue.visits();
}

// Guards against a leader that stops responding in a burst, since it iterates over all
// waiting pieces after each order, release and ended call.
TEST_CASE("an examination visits as many pieces in a long queue as in a short one")
{
    const UpstreamSet set = make_set();
    const auto check_same
        = [&set](const Load& load, std::uint64_t at_most, PieceId few = 300) {
              const std::uint64_t visits = count_visits(set, few, load);
              CHECK(visits <= at_most);
              CHECK(count_visits(set, 30'000, load) == visits);
          };
    check_same({}, 17); // a full call, whose hall fits every other piece
    check_same({1, HallLimit(std::vector<std::string> {})}, 64); // no hall is allowed
    check_same({1, {}, true}, 2); // a probe
    check_same({1, {}, false, 20}, 64); // no memory
    // Memory for one result: both passes visit all pieces that they may pass over.
    check_same({1, {}, false, 18}, 1 + 1 + 2 * 256 + 64);
    check_same({4, {}, false, 18}, 1 + 1 + 2 * 256 + 64, 3'000); // no whole group fits
    for (const auto& upstream : set.own)
        upstream->in_flight = 1;
    check_same({}, 0);
}

// Guards against wrong counts and indexes when pieces become late, overdue or are removed.
TEST_CASE("late and overdue pieces are found once in a long queue")
{
    const UpstreamSet set = make_set();
    PieceQueue queue;
    add_pieces(queue, 3'000);
    for (const auto& upstream : set.own)
        upstream->in_flight = 1;
    const Micros before = queue.expected_wait(set, 0, 0);
    CHECK_FALSE(queue.next_call(set, 10 * kSecond + 1));
    CHECK(queue.visits() == 3'000);
    CHECK(queue.expected_wait(set, 0, 0) < before / 100);
    CHECK(queue.expected_wait(set, 1, 0) == before);
    CHECK(queue.remove(7));
    CHECK(queue.take_overdue(set, 11 * kSecond).size() == 2'999);
    CHECK(queue.size() == 0);
    CHECK(queue.visits() == 5'999);
}

// Guards against small calls to an upstream with little memory while another one is free.
TEST_CASE("a call limited by memory goes to the roomiest upstream that the piece may use")
{
    const UpstreamSet set = make_set();
    PolicySwitches switches;
    switches.switch_on(Mechanism::RoomiestUpstream);
    const auto sizes = [&set](PolicySwitches used, const HallLimit& halls) {
        PieceQueue queue(used);
        add_pieces(queue, 300, 1, halls);
        for (PieceId i = 0; i < 4; ++i) // memory for 2, 4, 6 and 8 results is left
            queue.memory().reserve(*set.own[i], 1'000 + i,
                                   (17 - 2 * static_cast<int>(i)) * kResultBytes, kSecond);
        queue.record_failure(*set.own[3], -kSecond); // empty, since it makes no results
        const auto call = queue.next_call(set, 0);
        return call ? std::pair(call->upstream->identity, call->pieces.size())
                    : std::pair(std::string(), std::size_t {0});
    };
    CHECK(sizes(switches, {}) == std::pair(std::string("i-2"), std::size_t {6}));
    CHECK(sizes(switches, HallLimit({"a"})).first == "i-1");
    CHECK(sizes({}, {}) == std::pair(std::string("i-1"), std::size_t {4}));
}

// Guards against undefined behaviour at the release of a second result of unknown size.
TEST_CASE("results without a known size are released one by one")
{
    const UpstreamSet set = make_set();
    ResultMemory memory;
    for (const PieceId id : {1, 2, 3})
        memory.reserve(*set.own[0], id, 0, kSecond);
    for (const PieceId id : {1, 2, 3})
        memory.release(id);
    CHECK(memory.free_bytes(*set.own[0], *set.spec.batch, 0) == 2'000'000);
}

} // namespace
} // namespace cypressford
