// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cstddef>

namespace cypressford {

/// Lets second attempts be only a fixed part of first attempts, so that
/// retries can't multiply the load of an outage.
class RetryBudget {
public:
    /// `saved`: available before anything is earned.
    RetryBudget(double ratio, double burst, double saved)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(std::min(burst, saved))
    {
    }

    /// First attempts, one unless told otherwise, were made.
    void earn(std::size_t attempts = 1)
    {
        m_tokens = std::min(m_burst, m_tokens + m_ratio * static_cast<double>(attempts));
    }

    /// True if second attempts, one unless told otherwise, may be made; they are then
    /// paid for.
    bool spend(std::size_t attempts = 1)
    {
        const auto price = static_cast<double>(attempts);
        if (m_tokens < price)
            return false;
        m_tokens -= price;
        return true;
    }

    /// The share of this daemon has changed.
    void set_burst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

private:
    double m_ratio; ///< earned by each first attempt
    double m_burst; ///< most that can be saved up
    double m_tokens;
};

/// A bound on second attempts over all daemons together: `ratio` of the first
/// attempts and `extra` more in any window.  Each daemon saves up its part of
/// `extra` at most and starts with one attempt or less, so neither many daemons nor
/// daemons that are killed and started again exceed it.
struct RetryLimit {
    double ratio = 0; ///< 0: no bound over all daemons
    double extra = 0;

    /// Parts of the bound.
    static constexpr double kForRetries = 0.6;
    static constexpr double kForHedges = 0.2;
    static constexpr double kForStarts = 0.2;

    bool is_set() const { return ratio > 0; }
    /// What one of `sharers` may spend before it has earned anything.
    double at_start(int sharers) const
    {
        return std::min(1.0, kForStarts * extra / std::max(1, sharers));
    }
    /// Most that one of `sharers` may save up; a whole attempt at least.
    double burst(double part, int sharers) const
    {
        return std::max(1.0, part * extra / std::max(1, sharers));
    }
};

} // namespace cypressford
