// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/latency.h>

#include <boost/histogram.hpp>

namespace cypressford {

namespace bh = boost::histogram;

namespace {

// 72 logarithmic bins from 50 µs to 200 s, each about 23% wide.
constexpr unsigned kBins = 72;
constexpr double kLowest = 50;
constexpr double kHighest = 200e6;
// Quantiles are recomputed after this many samples, not on every read.
constexpr int kRefreshEvery = 16;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<float>>;

Histogram
make()
{
    return bh::make_histogram_with(bh::dense_storage<float>(),
                                   LogAxis(kBins, kLowest, kHighest));
}

Micros
quantile(const Histogram& histogram, double total, double q)
{
    double seen = 0;
    for (auto&& cell : bh::indexed(histogram, bh::coverage::all)) {
        const double count = *cell;
        if (count > 0 && seen + count >= q * total) {
            const double lower = std::max(cell.bin().lower(), kLowest / 2);
            const double upper = std::min(cell.bin().upper(), kHighest);
            return static_cast<Micros>(lower
                                       + (upper - lower) * (q * total - seen) / count);
        }
        seen += count;
    }
    return static_cast<Micros>(kHighest);
}

} // namespace

struct LatencyModel::Entry {
    Histogram current = make();
    Histogram previous = make();
    Micros started = 0;
    Micros sampled_at = 0; ///< time of the last sample
    int samples = 0; ///< in both generations
    int current_samples = 0;
    int until_refresh = 0;
    double sum = 0; ///< of both generations
    double current_sum = 0;
    Micros p50 = 0;
    Micros p95 = 0;

    void age(Micros now)
    {
        if (now - started < kGeneration)
            return;
        previous = std::move(current);
        current = make();
        samples = current_samples;
        sum = current_sum;
        current_samples = 0;
        current_sum = 0;
        started = now;
    }

    void refresh()
    {
        Histogram both = previous;
        both += current;
        const double total = bh::algorithm::sum(both);
        p50 = quantile(both, total, 0.50);
        p95 = quantile(both, total, 0.95);
        until_refresh = samples < kRefreshEvery ? 1 : kRefreshEvery;
    }
};

LatencyModel::LatencyModel() = default;
LatencyModel::~LatencyModel() = default;
LatencyModel::LatencyModel(LatencyModel&&) noexcept = default;
LatencyModel& LatencyModel::operator=(LatencyModel&&) noexcept = default;

void
LatencyModel::record(StageId stage, Micros service_time, Micros now)
{
    Entry& e = entry(stage);
    e.age(now);
    e.sampled_at = now;
    const auto value = static_cast<double>(service_time);
    e.current(value);
    e.samples += 1;
    e.current_samples += 1;
    e.sum += value;
    e.current_sum += value;
    if (--e.until_refresh <= 0)
        e.refresh();
}

std::optional<Micros>
LatencyModel::p50(StageId stage, Micros now) const
{
    const Entry* e = find(stage, now);
    return e ? std::optional(e->p50) : std::nullopt;
}

std::optional<Micros>
LatencyModel::p95(StageId stage, Micros now) const
{
    const Entry* e = find(stage, now);
    return e ? std::optional(e->p95) : std::nullopt;
}

std::optional<Micros>
LatencyModel::mean(StageId stage, Micros now) const
{
    const Entry* e = find(stage, now);
    return e ? std::optional(static_cast<Micros>(e->sum / e->samples)) : std::nullopt;
}

LatencyModel::Entry&
LatencyModel::entry(StageId stage)
{
    if (stage >= m_entries.size())
        m_entries.resize(stage + 1);
    if (!m_entries[stage])
        m_entries[stage] = std::make_unique<Entry>();
    return *m_entries[stage];
}

const LatencyModel::Entry*
LatencyModel::find(StageId stage, Micros now) const
{
    if (stage >= m_entries.size() || !m_entries[stage])
        return nullptr;
    const Entry& e = *m_entries[stage];
    const bool is_current = now - e.sampled_at < kLifetime;
    return e.samples >= kMinSamples && is_current ? &e : nullptr;
}

} // namespace cypressford
