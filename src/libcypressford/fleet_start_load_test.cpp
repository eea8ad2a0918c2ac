// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// All daemons of a fleet start at once, in virtual time: what they ask of the directory,
/// and how long until all of them serve.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "test_starting_fleet.h"

namespace cypressford {
namespace {

TEST_CASE("daemons that start at once ask the directory for what a few of them hand on")
{
    constexpr Micros limit = 20 * kSecond;
    for (const bool after_kill : {false, true}) {
        std::vector<Play> plays;
        for (const int daemons : {30, 300, 1000, 2000}) {
            plays.push_back(StartingFleet(daemons, true, after_kill).run(limit));
            MESSAGE(daemons, " daemons, ",
                    std::string(after_kill ? "after all were killed: " : "first start: "),
                    plays.back().calls, " calls, of which ", plays.back().calls_for_vital,
                    " for configuration, upstreams and suspects; all serve after ",
                    plays.back().all_serve_at / kMillisecond, " ms");
        }
        for (const Play& play : plays) {
            REQUIRE(play.all_serve_at >= 0);
            CHECK(play.all_serve_at < 3 * kSecond);
        }
        // Each writes its own record; what is read does not grow with the fleet.
        CHECK(plays[2].calls_for_vital <= 2 * plays[0].calls_for_vital + 20);
        CHECK(plays[3].calls_for_vital <= 2 * plays[0].calls_for_vital + 20);
        CHECK(plays[2].calls < 2 * 1000);
        CHECK(plays[3].calls < 2 * 2000);
    }
}

/// Callers of nine nodes that had all lost power were refused for half a second more than
/// when each daemon had listed the directory by itself.
TEST_CASE("a small fleet serves as soon as it is up after all were killed")
{
    for (const int daemons : {3, 9, 30}) {
        const Play play = StartingFleet(daemons, true, true).run(20 * kSecond);
        MESSAGE(daemons, " daemons, all serve ",
                (play.all_serve_at - play.last_start) / kMillisecond,
                " ms after the last has started, each after ",
                play.mean_wait / kMillisecond, " ms in the mean, ", play.calls, " calls");
        REQUIRE(play.all_serve_at >= 0);
        CHECK(play.all_serve_at - play.last_start <= 150 * kMillisecond);
        CHECK(play.mean_wait <= 100 * kMillisecond);
        CHECK(play.calls <= 10 * daemons + 20);
    }
}

/// Records that all daemons wrote of themselves kept the readers from listing who there
/// was.
TEST_CASE("any fleet serves as soon as it is up after all were killed")
{
    for (const int daemons : {61, 105, 300, 1000, 2000}) {
        const Play play = StartingFleet(daemons, true, true).run(20 * kSecond);
        REQUIRE(play.all_serve_at >= 0);
        CHECK(play.all_serve_at - play.last_start <= 150 * kMillisecond);
        CHECK(play.calls_for_vital <= 40);
    }
}

TEST_CASE("daemons that nobody refers ask the directory one after the other")
{
    const Play play = StartingFleet(300, false, true).run(20 * kSecond);
    REQUIRE(play.all_serve_at >= 0);
    CHECK(play.calls_for_vital <= 30);
}

} // namespace
} // namespace cypressford
