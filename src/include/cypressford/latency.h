// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Learned service times per stage, used to plan for deadlines.

#pragma once

#include <memory>
#include <optional>

#include <cypressford/upstream.h>

namespace cypressford {

/// Histograms of the service times of stages; old samples expire.
class LatencyModel {
public:
    /// A sample counts for between one and two generations.
    static constexpr Micros kGeneration = 15 * kSecond;
    /// Without a new sample for this time nothing is known: estimates of a time at which
    /// calls were slow would refuse all requests of a pipeline, and thereby all new
    /// samples.
    static constexpr Micros kLifetime = kGeneration;
    /// Minimum number of samples for quantiles and mean.
    static constexpr int kMinSamples = 8;

    LatencyModel();
    ~LatencyModel();
    LatencyModel(LatencyModel&&) noexcept;
    LatencyModel& operator=(LatencyModel&&) noexcept;

    void record(StageId stage, Micros service_time, Micros now);

    /// Nothing while there are fewer than kMinSamples, or after kLifetime.
    std::optional<Micros> p50(StageId stage, Micros now) const;
    std::optional<Micros> p95(StageId stage, Micros now) const;
    std::optional<Micros> mean(StageId stage, Micros now) const;

private:
    struct Entry;
    Entry& entry(StageId stage);
    const Entry* find(StageId stage, Micros now) const;

    std::vector<std::unique_ptr<Entry>> m_entries;
};

} // namespace cypressford
