// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/pieces.h>

namespace cypressford {
namespace {


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
