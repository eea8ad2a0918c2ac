// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Retries of the calls that the leader of an upstream set sends for all daemons.

#pragma once

#include <cstddef>

#include <cypressford/retry_budget.h>

namespace cypressford {

/// The retries of one set at a daemon that leads it, or believes so: a daemon that knows no
/// other believes that it leads all sets.  Until it knows all daemons, retries must be
/// earned by first attempts.
class LeaderRetries {
public:
    explicit LeaderRetries(const RetryLimit& limit)
        : m_withheld(limit.burst(RetryLimit::kForRetries, kLeaders))
        , m_budget(RetryLimit::kForRetries * limit.ratio, m_withheld, 0)
    {
    }
    /// For a limit that is not shared; nothing is withheld.
    LeaderRetries(double ratio, double burst)
        : m_budget(ratio, burst, burst)
    {
    }

    void earn(std::size_t attempts) { m_budget.earn(attempts); }
    /// True if second attempts may be made.
    bool spend(std::size_t attempts, bool knows_all_daemons)
    {
        if (knows_all_daemons) {
            m_budget.save(m_withheld);
            m_withheld = 0;
        }
        return m_budget.spend(attempts);
    }

private:
    /// Half of the limit is left for a second leader, as daemons may temporarily disagree
    /// on the leader.
    static constexpr int kLeaders = 2;

    double m_withheld = 0; ///< saved from the start, for when all daemons are known
    RetryBudget m_budget;
};

} // namespace cypressford
