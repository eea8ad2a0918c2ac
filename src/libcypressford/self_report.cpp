// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/self_report.h>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// What a report belongs to.
UpstreamRun
key_of(const UpstreamRun& run)
{
    if (mutated(Mutation::ReportOutlivesRun))
        return {run.identity, 0};
    return run;
}

} // namespace

void
SelfReport::note_rest(Micros until)
{
    Micros known = rests_until();
    while (known < until
           && !m_rests_until.compare_exchange_weak(known, until,
                                                   std::memory_order_relaxed)) { }
}

std::shared_ptr<SelfReport>
SelfReports::of(const UpstreamRun& run)
{
    Known& known = m_known[key_of(run)];
    if (!known.report)
        known.report = std::make_shared<SelfReport>();
    known.is_listed = true;
    return known.report;
}

void
SelfReports::unlist(const UpstreamRun& run)
{
    const auto it = m_known.find(key_of(run));
    if (it == m_known.end())
        return;
    if (mutated(Mutation::ForgetUnlisted)) {
        m_known.erase(it);
        return;
    }
    it->second.is_listed = false;
    ++it->second.unlisted;
    m_unlisted.push_back(it->first);
    if (m_unlisted.size() > kUnlisted)
        forget_oldest();
}

/// One that was listed again meanwhile stays, and so does one that was unlisted once more
/// since.
void
SelfReports::forget_oldest()
{
    const auto it = m_known.find(m_unlisted.front());
    m_unlisted.pop_front();
    if (it == m_known.end())
        return;
    const bool is_last = --it->second.unlisted == 0;
    if (is_last && !it->second.is_listed)
        m_known.erase(it);
}

} // namespace cypressford
