// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/self_report.h>

#include <iterator>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// Clocks of an upstream and of this daemon may differ by so much, as those of daemons do
/// for keys.  A rest that is taken over without need costs a started upstream a few calls.
constexpr std::int64_t kClockErrorMs = 2000;

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
SelfReport::note_rest(Micros until, std::int64_t heard_ms)
{
    m_rest_heard_ms.store(heard_ms, std::memory_order_relaxed);
    Micros known = rests_until();
    while (known < until
           && !m_rests_until.compare_exchange_weak(known, until,
                                                   std::memory_order_relaxed)) { }
}

void
SelfReport::inherit_rest(const SelfReport& before, std::int64_t born)
{
    const std::int64_t heard = before.m_rest_heard_ms.load(std::memory_order_relaxed);
    if (heard != 0 && heard + kClockErrorMs >= born)
        note_rest(before.rests_until(), heard);
}

std::shared_ptr<SelfReport>
SelfReports::of(const UpstreamRun& run)
{
    const auto it = m_known.try_emplace(key_of(run)).first;
    Known& known = it->second;
    if (!known.report) {
        known.report = std::make_shared<SelfReport>();
        const bool has_before
            = it != m_known.begin() && std::prev(it)->first.identity == it->first.identity;
        if (has_before)
            known.report->inherit_rest(*std::prev(it)->second.report, run.born);
    }
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
