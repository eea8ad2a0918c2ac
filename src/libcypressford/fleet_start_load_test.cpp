// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// All daemons of a fleet start at the same time, in virtual time: their load on the
/// directory, and the time until all of them serve.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "test_starting_fleet.h"

namespace cypressford {
namespace {

TEST_CASE(
    "daemons that start at the same time get most of the directory from a few readers")
{
    constexpr Micros limit = 20 * kSecond;
    for (const bool after_kill : {false, true}) {
        std::vector<StartResult> results;
        for (const int daemons : {30, 300, 1000, 2000}) {
            results.push_back(StartingFleet(daemons, true, after_kill).run(limit));
            MESSAGE(daemons, " daemons, ",
                    std::string(after_kill ? "after all were killed: " : "first start: "),
                    results.back().calls, " calls, of which ", results.back().vital_calls,
                    " for configuration, upstreams and suspects; all serve after ",
                    results.back().all_serve_at / kMillisecond, " ms");
        }
        for (const StartResult& result : results) {
            REQUIRE(result.all_serve_at >= 0);
            CHECK(result.all_serve_at < 3 * kSecond);
        }
        // Each daemon writes its own record; the number of reads does not grow with the
        // fleet.
        CHECK(results[2].vital_calls <= 2 * results[0].vital_calls + 20);
        CHECK(results[3].vital_calls <= 2 * results[0].vital_calls + 20);
        CHECK(results[2].calls < 2 * 1000);
        CHECK(results[3].calls < 2 * 2000);
    }
}

/// Guards against callers being refused longer after a power loss of nine nodes: half a
/// second longer than if each daemon listed the directory itself.
TEST_CASE("a small fleet serves as soon as it is up after all daemons were killed")
{
    for (const int daemons : {3, 9, 30}) {
        const StartResult result = StartingFleet(daemons, true, true).run(20 * kSecond);
        MESSAGE(daemons, " daemons, all serve ",
                (result.all_serve_at - result.last_start) / kMillisecond,
                " ms after the last has started, each after ",
                result.mean_wait / kMillisecond, " ms in the mean, ", result.calls,
                " calls");
        REQUIRE(result.all_serve_at >= 0);
        CHECK(result.all_serve_at - result.last_start <= 150 * kMillisecond);
        CHECK(result.mean_wait <= 100 * kMillisecond);
        CHECK(result.calls <= 10 * daemons + 20);
    }
}

/// Guards against the records that all daemons write of themselves delaying the readers'
/// listing of the daemons.
TEST_CASE("a fleet of any size serves as soon as it is up after all daemons were killed")
{
    for (const int daemons : {61, 105, 300, 1000, 2000}) {
        const StartResult result = StartingFleet(daemons, true, true).run(20 * kSecond);
        REQUIRE(result.all_serve_at >= 0);
        CHECK(result.all_serve_at - result.last_start <= 150 * kMillisecond);
        CHECK(result.vital_calls <= 40);
    }
}

TEST_CASE("daemons that get no referral list the directory one after the other")
{
    const StartResult result = StartingFleet(300, false, true).run(20 * kSecond);
    REQUIRE(result.all_serve_at >= 0);
    CHECK(result.vital_calls <= 30);
}

} // namespace
} // namespace cypressford
