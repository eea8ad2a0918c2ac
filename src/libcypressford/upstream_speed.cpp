// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/upstream_speed.h>

#include <algorithm>
#include <cmath>

namespace cypressford {

namespace {

/// Answers over which the model of a set is fitted.  A set of 90 engines starts several
/// hundred answers a second, so that the model follows the load within seconds.
constexpr double kModelAnswers = 512;
/// Nothing is expected before this many answers: with 24, factors of equal engines differed
/// by more than 15% until the model had settled.
constexpr int kMinModelAnswers = 64;
/// Errors of a time grow with it: the weight of an answer falls with the square of its
/// tokens and this number, which stands for the fixed time.
constexpr double kWeightTokens = 400;
/// A slope is fitted if the tokens of prompts vary by this fraction of their mean;
/// otherwise the time is assumed to be proportional to the tokens.
constexpr double kMinVariation = 0.1;
/// Number of answers over which the factor of an engine is averaged.
constexpr int kFactorAnswers = 10;
/// Before this many answers the factor of an engine counts as 1.
constexpr int kMinFactorAnswers = 4;
/// A factor that differs from 1 by less counts as 1.  The moving average of equal engines,
/// each 2.5 times slower for 15% of the time, has a standard deviation of 8%.
constexpr double kNoFactor = 1.15;
/// Allowance for the delays of connections and messages, on top of the time expected.
constexpr Micros kOverdueAllowance = 20 * kMillisecond;
/// The factor is logged in steps of this size ...
constexpr double kLogStep = 0.25;
/// ... and a step is left when the factor differs by this much, more than half a step, so
/// that a factor between two steps is not logged with every answer.
constexpr double kLeaveStep = 0.175;

double
bounded(double factor)
{
    return std::clamp(factor, kMinSpeedFactor, kMaxSpeedFactor);
}

} // namespace

void
ReportedSpeed::record(double slowdown, Micros now)
{
    m_slowdown.store(bounded(slowdown), std::memory_order_relaxed);
    m_valid_until.store(now + kSpeedReportValid, std::memory_order_relaxed);
}

double
ReportedSpeed::slowdown(Micros now) const
{
    if (now >= m_valid_until.load(std::memory_order_relaxed))
        return 1;
    return m_slowdown.load(std::memory_order_relaxed);
}

void
ReadTimeModel::record(double tokens, double time)
{
    const double weight = 1 / ((tokens + kWeightTokens) * (tokens + kWeightTokens));
    const auto add = [](double& sum, double value) { sum += value - sum / kModelAnswers; };
    add(m_weight, weight);
    add(m_tokens, weight * tokens);
    add(m_time, weight * time);
    add(m_tokens_squared, weight * tokens * tokens);
    add(m_tokens_time, weight * tokens * time);
    m_count = std::min(m_count + 1, kMinModelAnswers);
}

std::optional<double>
ReadTimeModel::time_per_token() const
{
    if (m_count < kMinModelAnswers || m_tokens <= 0)
        return std::nullopt;
    const double mean_tokens = m_tokens / m_weight;
    const double mean_time = m_time / m_weight;
    const double variance = m_tokens_squared / m_weight - mean_tokens * mean_tokens;
    const double covariance = m_tokens_time / m_weight - mean_tokens * mean_time;
    const double proportional = mean_time / mean_tokens;
    const double least_variance = kMinVariation * mean_tokens * kMinVariation * mean_tokens;
    // Neither the time of a token nor the fixed time can be negative.
    return variance < least_variance ? proportional
                                     : std::clamp(covariance / variance, 0.0, proportional);
}

std::optional<double>
ReadTimeModel::expected(double tokens) const
{
    const auto slope = time_per_token();
    if (!slope)
        return std::nullopt;
    const double mean_time = m_time / m_weight;
    const double mean_tokens = m_tokens / m_weight;
    return std::max(1.0, mean_time + *slope * (tokens - mean_tokens));
}

void
SetSpeeds::record(EngineSpeed& engine, double tokens, Micros time)
{
    const double observed = static_cast<double>(std::max<Micros>(1, time));
    if (const auto usual = m_usual.expected(tokens)) {
        const double sample = std::log(bounded(observed / *usual));
        if (engine.answers == 0)
            ++m_engines;
        engine.answers = std::min(engine.answers + 1, kFactorAnswers);
        // Starts from 1 with the weight of one answer.
        const double change = (sample - engine.log_factor) / (engine.answers + 1);
        engine.log_factor += change;
        m_log_sum += change;
    }
    m_usual.record(tokens, observed / relative(engine));
}

double
SetSpeeds::relative(const EngineSpeed& engine) const
{
    if (engine.answers < kMinFactorAnswers)
        return 1;
    return bounded(std::exp(engine.log_factor - m_log_sum / m_engines));
}

double
SetSpeeds::factor(const EngineSpeed& engine) const
{
    const double factor = relative(engine);
    return factor > 1 / kNoFactor && factor < kNoFactor ? 1 : factor;
}

std::optional<Micros>
SetSpeeds::overdue_after(const EngineSpeed& engine, double tokens) const
{
    const auto usual = m_usual.expected(tokens);
    if (!usual)
        return std::nullopt;
    return kOverdueAllowance
        + static_cast<Micros>(kTemporarilySlow * relative(engine) * *usual);
}

std::optional<double>
SetSpeeds::tokens_read_in(const EngineSpeed& engine, Micros time) const
{
    const double per_token = m_usual.time_per_token().value_or(0) * relative(engine);
    if (per_token <= 0)
        return std::nullopt;
    return static_cast<double>(time) / per_token;
}

std::optional<double>
SetSpeeds::take_step(EngineSpeed& engine) const
{
    const double factor = relative(engine);
    if (std::abs(factor - engine.step) < kLeaveStep)
        return std::nullopt;
    engine.step = std::round(factor / kLogStep) * kLogStep;
    return engine.step;
}

void
SetSpeeds::forget(const EngineSpeed& engine)
{
    if (engine.answers == 0)
        return;
    m_log_sum -= engine.log_factor;
    --m_engines;
}

} // namespace cypressford
