// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Learned service times per stage, which deadlines are planned from.

#pragma once

#include <memory>
#include <optional>

#include <cypressford/upstream.h>

namespace cypressford {

/// Service times of stages, as histograms that age out.
class LatencyModel {
public:
    /// How long a sample counts: between one and two of these.
    static constexpr Micros kGeneration = 15 * kSecond;
    /// Fewer samples than this are no ground for a quantile.
    static constexpr int kMinSamples = 8;

    LatencyModel();
    ~LatencyModel();
    LatencyModel(LatencyModel&&) noexcept;
    LatencyModel& operator=(LatencyModel&&) noexcept;

    void record(StageId stage, Micros service_time, Micros now);

    /// Quantiles, or nothing while there are too few samples.
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
