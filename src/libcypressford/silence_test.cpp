// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/silence.h>

namespace cypressford {
namespace {

constexpr Micros kSignWait = 200 * kMillisecond; ///< an unanswered sign takes so long

/// Time from a cut at `cut_at` after the watch began until it is noticed.
Micros
time_to_notice(int daemons, Micros cut_at)
{
    UnresponsiveDetector detector(daemons);
    std::optional<Micros> pause = detector.first_interval();
    Micros now = 0;
    while (pause) {
        now += *pause;
        const bool answered = now < cut_at;
        now += answered ? 0 : kSignWait;
        pause = detector.next_interval(answered);
    }
    return now - cut_at;
}

TEST_CASE("a cut is noticed after two unanswered signs without a pause between them")
{
    Micros sum = 0;
    constexpr int plays = 100;
    for (int i = 0; i < plays; ++i)
        sum += time_to_notice(89, kSecond + i * kMillisecond);
    MESSAGE("a cut is noticed after ", sum / plays / kMillisecond,
            " ms in the mean; with a pace of 200 ms and a pause after a miss 700 ms");
    CHECK(sum / plays <= 460 * kMillisecond);
}

TEST_CASE("many daemons ask one leader less often, and one lost sign is forgiven")
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
