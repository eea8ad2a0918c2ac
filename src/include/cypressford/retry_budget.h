// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>
#include <cstddef>

namespace cypressford {

/// Limits second attempts to a fixed ratio of first attempts, so that retries can't
/// multiply the load during an outage.
class RetryBudget {
public:
    /// `saved`: initial budget, in attempts.
    RetryBudget(double ratio, double burst, double saved)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(std::min(burst, saved))
    {
    }

    /// Adds the share earned by first attempts.
    void earn(std::size_t attempts = 1)
    {
        m_tokens = std::min(m_burst, m_tokens + m_ratio * static_cast<double>(attempts));
    }

    /// True if second attempts may be made; they are then charged to the budget.
    bool spend(std::size_t attempts = 1)
    {
        const auto price = static_cast<double>(attempts);
        if (m_tokens < price)
            return false;
        m_tokens -= price;
        return true;
    }

    /// Adds attempts that need not be earned.
    void save(double attempts) { m_tokens = std::min(m_burst, m_tokens + attempts); }

    /// Adjusts the bound on saved attempts after a change of this daemon's share.
    void set_burst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

private:
    double m_ratio; ///< earned by each first attempt
    double m_burst; ///< most attempts that can be saved up
    double m_tokens;
};

/// A limit on second attempts over all daemons together: `ratio` of the first attempts plus
/// `extra` in any window.  Each daemon saves up at most its share of `extra` and starts
/// with at most one attempt, so that the limit holds with many daemons and with daemons
/// that are killed and restarted.
struct RetryLimit {
    double ratio = 0; ///< 0: no limit over all daemons
    double extra = 0;

    /// Fractions of the limit.
    static constexpr double kForRetries = 0.6;
    static constexpr double kForHedges = 0.2;
    static constexpr double kForStarts = 0.2;

    bool is_set() const { return ratio > 0; }
    /// Attempts that one of `sharers` may make before it has earned any.
    double initial_tokens(int sharers) const
    {
        return std::min(1.0, kForStarts * extra / std::max(1, sharers));
    }
    /// Most attempts that one of `sharers` may save up; at least one.
    double burst(double part, int sharers) const
    {
        return std::max(1.0, part * extra / std::max(1, sharers));
    }
};

} // namespace cypressford
