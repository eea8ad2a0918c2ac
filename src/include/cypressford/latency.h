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
    /// Minimum number of samples for quantiles and mean.
    static constexpr int kMinSamples = 8;

    LatencyModel();
    ~LatencyModel();
    LatencyModel(LatencyModel&&) noexcept;
    LatencyModel& operator=(LatencyModel&&) noexcept;

    void record(StageId stage, Micros service_time, Micros now);

    /// Nothing while there are fewer than kMinSamples.
    std::optional<Micros> p50(StageId stage) const;
    std::optional<Micros> p95(StageId stage) const;
    std::optional<Micros> mean(StageId stage) const;

private:
    struct Entry;
    Entry& entry(StageId stage);
    const Entry* find(StageId stage) const;

    std::vector<std::unique_ptr<Entry>> m_entries;
};

} // namespace cypressford
