// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The log of a whole fleet comes back from an older copy, in virtual time: what the
/// daemons ask of it, and how long until all of them know what was written next.

#include <vector>

#include <doctest/doctest.h>

#include "test_starting_fleet.h"

namespace cypressford {
namespace {

TEST_CASE("a fleet whose log was restored learns what is written next, told by its readers")
{
    constexpr Micros limit = 5 * kSecond;
    constexpr int lost = 3;
    std::vector<RestorePlay> plays;
    for (const int daemons : {3, 9, 30, 300, 1000, 2000}) {
        StartingFleet fleet(daemons, true, true);
        REQUIRE(fleet.run(20 * kSecond).all_serve_at >= 0);
        plays.push_back(fleet.restore(lost, limit));
        const RestorePlay& play = plays.back();
        MESSAGE(daemons, " daemons know after ", play.known_after / kMillisecond, " ms, ",
                play.calls, " calls in 5 s, of which ", play.calls_for_vital,
                " for configuration, upstreams and suspects");
        REQUIRE(play.known_after >= 0);
        CHECK(play.known_after < 2 * kSecond);
    }
    // What is read of a large fleet does not grow with it.
    CHECK(plays[5].calls_for_vital <= 2 * plays[3].calls_for_vital);
}

} // namespace
} // namespace cypressford
