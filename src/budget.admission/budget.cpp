// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Treats the deadline as one time budget over all stages: a request is admitted only if
/// its stages, including waits, are expected to fit into the remaining time.

#include <cypressford/admission.h>
#include <cypressford/registry.h>

#include <algorithm>

namespace cypressford {

namespace {

// Fraction of the slack that waits may use up before accounts are limited to their fair
// share of the requests in progress.
constexpr double kPressure = 0.8;
// Multiple of its fair share that an account may have in progress under pressure.
constexpr double kShareSlack = 1.5;
constexpr Micros kShortestRetry = 200 * kMillisecond;

} // namespace

class BudgetAdmission final : public Admission {
public:
    AdmissionVerdict admit(const AdmissionQuery& query) const override
    {
        const Micros budget = query.deadline - query.now;
        Micros finish = 0;
        Micros service = 0;
        Micros tail = 0;
        for (const StageEstimate& stage : query.stages) {
            if (stage.usable == 0)
                return {false, ErrorKind::NoUpstream, kSecond, 0};
            // Backlogs of later stages drain while earlier ones run.
            finish = std::max(finish, stage.backlog) + stage.typical;
            service += stage.typical;
            tail = std::max(tail, stage.tail - stage.typical);
        }
        const Micros late = finish + tail - budget;
        if (late > 0)
            return {false, ErrorKind::DeadlineUnreachable, std::max(late, kShortestRetry),
                    finish};
        // A request that would miss its target latency is refused while its caller can
        // still retry in time.  Without a wait ahead, a later retry would gain nothing.
        const Micros wait = finish - service;
        if (query.target_by > 0 && wait > 0 && query.now + finish > query.target_by)
            return {false, ErrorKind::DeadlineUnreachable,
                    std::max(query.now + finish - query.target_by, kShortestRetry), finish};
        const auto slack = static_cast<double>(budget - service);
        if (static_cast<double>(wait) > kPressure * slack && over_share(query))
            return {false, ErrorKind::AccountLimit, std::max(wait, kShortestRetry), finish};
        return {true, ErrorKind::DeadlineUnreachable, 0, finish};
    }
    bool queues_in_daemon() const override { return true; }
    bool drops_late() const override { return true; }

private:
    static bool over_share(const AdmissionQuery& query)
    {
        if (query.active_accounts < 2)
            return false;
        const double fair = static_cast<double>(query.in_progress) / query.active_accounts;
        return query.account_in_progress > kShareSlack * fair + 1;
    }
};

static const Registration<Admission, BudgetAdmission> s_registration("budget");

} // namespace cypressford
