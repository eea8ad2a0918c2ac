// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/concurrency_limit.h>

#include <algorithm>
#include <cmath>

namespace cypressford {

namespace {

/// Weight of a service time in the usual one.
constexpr float kUsualWeight = 1.0F / 16;
/// The same for a longer time while the upstreams are loaded: what is usual must not become
/// what an overload makes of it, but has to follow upstreams that have become slower.
constexpr float kLoadedUsualWeight = 1.0F / 512;
/// Weight of one answer in the average slowdown: some four answers show a change.
constexpr double kSlowdownWeight = 0.25;
/// Larger slowdowns count as this, so that a single slow answer is no sign of load.
constexpr double kMaxSlowdown = 4;
/// Calls by which an answer raises the limit.  Growth by a tenth in each service time is
/// slow enough for the next answers to show its effect.
constexpr double kGrowthPerAnswer = 0.1;
/// Service time for which that growth holds.  Longer calls raise the limit in proportion,
/// so that it grows equally fast in time, up to kMaxGrowthPerAnswer.
constexpr Micros kGrowthServiceTime = 30 * kMillisecond;
constexpr double kMaxGrowthPerAnswer = 1;
/// Answers raise the limit for this long after calls were last lacking.
constexpr Micros kDemandLifetime = 250 * kMillisecond;
/// The limit is in use while at least this fraction of it is in flight.
constexpr double kUsedFraction = 0.5;
/// Unused calls are kept for this time, which covers the gaps of a random arrival process,
/// and then halved in each kReleaseHalfLife: others may need them.
constexpr Micros kUnusedLifetime = 250 * kMillisecond;
constexpr Micros kReleaseHalfLife = 100 * kMillisecond;
/// Factor by which signs of load reduce the calls beyond the even part, and the shortest
/// time between two such reductions: answers to calls sent before the first would repeat
/// it.
constexpr double kReduction = 0.5;
constexpr Micros kReductionInterval = 100 * kMillisecond;

} // namespace

double
UsualTimes::record(StageId stage, Micros took, bool is_loaded)
{
    if (stage >= m_times.size())
        m_times.resize(stage + 1, 0);
    float& usual = m_times[stage];
    const auto time = static_cast<float>(std::max<Micros>(1, took));
    if (usual == 0)
        usual = time;
    const double result = time / usual;
    const float weight = is_loaded && time > usual ? kLoadedUsualWeight : kUsualWeight;
    usual += weight * (time - usual);
    return result;
}

double
UsualTimes::slowdown(StageId stage, Micros took) const
{
    if (stage >= m_times.size() || m_times[stage] == 0)
        return 1;
    return static_cast<double>(std::max<Micros>(0, took)) / m_times[stage];
}

void
ConcurrencyLimit::set_bounds(double even, double most)
{
    m_even = even;
    m_most = std::max(even, most);
    m_extra = std::min(m_extra, m_most - m_even);
}

double
ConcurrencyLimit::fraction() const
{
    return m_most > 0 ? std::min(1.0, calls() / m_most) : 0;
}

void
ConcurrencyLimit::record_answer(double slowdown, Micros took, int in_flight, Micros now)
{
    m_slowdown += kSlowdownWeight * (std::min(slowdown, kMaxSlowdown) - m_slowdown);
    const bool has_demand = now - m_demand_at <= kDemandLifetime;
    if (has_demand || in_flight >= kUsedFraction * calls())
        m_used_at = now;
    if (is_loaded())
        reduce(now);
    if (is_loaded() || !has_demand)
        return;
    const double growth = std::clamp(kGrowthPerAnswer * static_cast<double>(took)
                                         / static_cast<double>(kGrowthServiceTime),
                                     kGrowthPerAnswer, kMaxGrowthPerAnswer);
    m_extra = std::min(m_extra + growth, m_most - m_even);
}

void
ConcurrencyLimit::record_rejection(Micros now)
{
    reduce(now);
}

void
ConcurrencyLimit::reduce(Micros now)
{
    if (now - m_reduced_at < kReductionInterval)
        return;
    m_reduced_at = now;
    m_extra *= kReduction;
}

void
ConcurrencyLimit::age(Micros now)
{
    const Micros since = std::max(m_aged_at, m_used_at + kUnusedLifetime);
    m_aged_at = now;
    if (now > since)
        m_extra *= std::exp2(-static_cast<double>(now - since)
                             / static_cast<double>(kReleaseHalfLife));
}

} // namespace cypressford
