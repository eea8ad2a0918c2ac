// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/concurrency_limit.h>

#include <doctest/doctest.h>

namespace cypressford {
namespace {

constexpr Micros kServiceTime = 20 * kMillisecond;
constexpr double kEven = 0.5;
constexpr double kMost = 24;

/// A limit with demand and with as many answers per service time as it allows calls.
struct Demand {
    Demand() { limit.set_bounds(kEven, kMost); }

    void run(Micros span, double slowdown)
    {
        for (const Micros until = now + span; now < until; now += kServiceTime) {
            limit.age(now);
            limit.record_demand(now);
            for (int call = 0; call < limit.calls(); ++call)
                limit.record_answer(slowdown, kServiceTime, 1, now);
        }
    }

    ConcurrencyLimit limit;
    Micros now = 0;
};

} // namespace

TEST_CASE("a limit on calls grows to the whole set within a second of demand")
{
    Demand demand;
    demand.run(kSecond, 1);
    CHECK(demand.limit.calls() == doctest::Approx(kMost));
    CHECK(demand.limit.fraction() == doctest::Approx(1));
}

TEST_CASE("a limit on calls stays at the even part without demand")
{
    ConcurrencyLimit limit;
    limit.set_bounds(kEven, kMost);
    for (Micros now = kSecond; now < 3 * kSecond; now += kServiceTime)
        limit.record_answer(1, kServiceTime, 0, now);
    CHECK(limit.calls() == doctest::Approx(kEven));
}

TEST_CASE("a limit on calls returns to the even part within a second after the demand")
{
    Demand demand;
    demand.run(kSecond, 1);
    demand.limit.age(demand.now + kSecond);
    CHECK(demand.limit.calls() < kEven + 0.01 * kMost);
}

TEST_CASE("slow answers and rejections reduce a limit on calls to the even part")
{
    Demand demand;
    demand.run(kSecond, 1);
    SUBCASE("slow answers")
    {
        demand.run(kSecond, 3);
    }
    SUBCASE("rejections")
    {
        for (int i = 0; i < 10; ++i, demand.now += 100 * kMillisecond)
            demand.limit.record_rejection(demand.now);
    }
    CHECK(demand.limit.calls() < kEven + 0.01 * kMost);
}

TEST_CASE("a single slow answer does not reduce a limit on calls")
{
    Demand demand;
    demand.run(kSecond, 1);
    demand.limit.record_answer(100, kServiceTime, 1, demand.now);
    CHECK(demand.limit.calls() == doctest::Approx(kMost));
}

TEST_CASE("rejections of one burst reduce a limit on calls once")
{
    Demand demand;
    demand.run(kSecond, 1);
    for (int i = 0; i < 10; ++i)
        demand.limit.record_rejection(demand.now);
    CHECK(demand.limit.calls() > kMost / 2);
}

TEST_CASE("the usual time hardly follows an overload")
{
    UsualTimes times;
    for (int i = 0; i < 100; ++i)
        CHECK(times.record(0, kServiceTime, false) == doctest::Approx(1));
    for (int i = 0; i < 100; ++i)
        times.record(0, 4 * kServiceTime, true);
    CHECK(times.slowdown(0, 4 * kServiceTime) > 2);
    CHECK(times.slowdown(1, kServiceTime) == 1);
}

} // namespace cypressford
