// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <algorithm>

namespace cypressford {

/// Lets second attempts be only a fixed part of first attempts, so that
/// retries can't multiply the load of an outage.
class RetryBudget {
public:
    RetryBudget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// A first attempt was made.
    void earn() { m_tokens = std::min(m_burst, m_tokens + m_ratio); }

    /// True if a second attempt may be made; it is then paid for.
    bool spend()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_ratio; ///< earned by each first attempt
    double m_burst; ///< most that can be saved up
    double m_tokens;
};

} // namespace cypressford
