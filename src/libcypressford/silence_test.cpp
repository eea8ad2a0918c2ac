// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/silence.h>

namespace cypressford {
namespace {

constexpr Micros kKeepaliveTimeout = 200 * kMillisecond; ///< of an unanswered request

/// Time until a cut is detected that occurs `cut_at` after the start of the watch.
Micros
time_to_detect(int daemons, Micros cut_at)
{
    UnresponsiveDetector detector(daemons);
    std::optional<Micros> pause = detector.first_interval();
    Micros now = 0;
    while (pause) {
        now += *pause;
        const bool answered = now < cut_at;
        now += answered ? 0 : kKeepaliveTimeout;
        pause = detector.next_interval(answered);
    }
    return now - cut_at;
}

TEST_CASE("a cut is detected after two unanswered keepalives without a delay between them")
{
    Micros sum = 0;
    constexpr int runs = 100;
    for (int i = 0; i < runs; ++i)
        sum += time_to_detect(89, kSecond + i * kMillisecond);
    MESSAGE("a cut is detected after ", sum / runs / kMillisecond,
            " ms on average; with an interval of 200 ms and a delay after a miss 700 ms");
    CHECK(sum / runs <= 460 * kMillisecond);
}

TEST_CASE("many daemons poll one leader less often, and one lost keepalive is tolerated")
{
    CHECK(UnresponsiveDetector(9).first_interval() == 100 * kMillisecond);
    CHECK(UnresponsiveDetector(700).first_interval() == 200 * kMillisecond);
    UnresponsiveDetector detector(9);
    CHECK(detector.next_interval(false) == 0);
    CHECK(detector.next_interval(true) == 100 * kMillisecond);
    CHECK(detector.next_interval(false) == 0);
    CHECK_FALSE(detector.next_interval(false));
}

} // namespace
} // namespace cypressford
