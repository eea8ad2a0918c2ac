// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/latency.h>

#include <doctest/doctest.h>

namespace cypressford {
namespace {

TEST_CASE("estimates of slow calls expire although no later call is admitted")
{
    LatencyModel model;
    const Micros last = 10 * kSecond;
    for (int i = 0; i <= LatencyModel::kMinSamples; ++i)
        model.record(3, 4 * kSecond, last);
    CHECK(model.p95(3, last).value_or(0) > 3 * kSecond);
    CHECK(model.p50(3, last + LatencyModel::kLifetime - 1));
    CHECK_FALSE(model.p50(3, last + LatencyModel::kLifetime));
    CHECK_FALSE(model.p95(3, last + LatencyModel::kLifetime));
    CHECK_FALSE(model.mean(3, last + LatencyModel::kLifetime));
    CHECK_FALSE(model.mean(2, last));
}

} // namespace
} // namespace cypressford
