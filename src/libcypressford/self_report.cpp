// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/self_report.h>

#include <algorithm>
#include <iterator>

#include <cypressford/mutation.h>

#include "mix.h"

namespace cypressford {

namespace {

/// Largest assumed difference between the clocks of an upstream and of this daemon, as for
/// the clocks of daemons for keys.  A backoff copied in error costs a restarted upstream a
/// few calls.
constexpr std::int64_t kClockErrorMs = 2000;

/// Key of the run's report.
UpstreamRun
key_of(const UpstreamRun& run)
{
    if (mutated(Mutation::ReportOutlivesRun))
        return {run.identity, 0};
    return run;
}

/// True if a connection set up at `connected_ms` may be to the run that started at `born`.
bool
may_belong_to_run(std::int64_t connected_ms, std::int64_t born)
{
    return connected_ms != 0 && connected_ms + kClockErrorMs >= born;
}

} // namespace

void
SelfReport::record_leaving(Micros now, std::int64_t connected_ms)
{
    // Only the first report counts: a draining run repeats it for seconds before it ends,
    // and its time distinguishes it from a report of a run that has just started.
    if (m_leaving.exchange(true, std::memory_order_relaxed))
        return;
    m_leaving_received_at.store(now, std::memory_order_relaxed);
    m_leaving_connected_ms.store(connected_ms, std::memory_order_relaxed);
}

void
SelfReport::record_backoff(Micros until, std::int64_t connected_ms)
{
    m_backoff_connected_ms.store(connected_ms, std::memory_order_relaxed);
    Micros known = backoff_until();
    while (known < until
           && !m_backoff_until.compare_exchange_weak(known, until,
                                                     std::memory_order_relaxed)) { }
}

void
SelfReport::inherit(const SelfReport& before, std::int64_t born)
{
    if (may_belong_to_run(before.m_leaving_connected_ms.load(std::memory_order_relaxed),
                          born))
        m_may_be_leaving_until.store(
            before.m_leaving_received_at.load(std::memory_order_relaxed)
                + kMayBeLeavingTime,
            std::memory_order_relaxed);
    const std::int64_t backoff_connected_ms
        = before.m_backoff_connected_ms.load(std::memory_order_relaxed);
    if (may_belong_to_run(backoff_connected_ms, born))
        record_backoff(before.backoff_until(), backoff_connected_ms);
    m_limit.inherit(before.m_limit, born);
    m_rejections.inherit(before.m_rejections, born);
}

int
SelfReport::own_slots(int slots, std::uint64_t key) const
{
    if (rejections().has_leader())
        return 0;
    return m_sharers ? m_sharers->own_part(slots, key) : slots;
}

Micros
SelfReport::rejection_backoff(RatePart part, Micros now) const
{
    // Half of the announced rejections is left for calls that are rejected while the first
    // rejections are on their way.  Two daemons may take themselves for the leader.
    constexpr double margin = 2;
    constexpr int leaders = 2;
    const double allowed = rejections().per_s();
    if (allowed <= 0)
        return 0;
    const int sharers = m_sharers ? m_sharers->get() : 1;
    const int senders = part == RatePart::Granted ? leaders : sharers;
    const double shortest = margin * senders / allowed * static_cast<double>(kSecond);
    // Daemons that are rejected at the same moment come back at different times.
    const double spread = 1 + uniform_from(m_seed ^ static_cast<std::uint64_t>(now)) / 2;
    return std::min(static_cast<Micros>(spread * shortest), kMaxRejectionBackoff);
}

bool
AnnouncedRate::record(std::optional<double> per_s, Micros sent, Micros now,
                      std::int64_t connected_ms)
{
    const bool is_newer = sent > m_received_at.load(std::memory_order_relaxed);
    const double before = m_rate.per_s();
    if (!per_s || *per_s > kMaxPerS) {
        if (before > 0 && is_newer)
            end(sent);
        return m_rate.per_s() != before;
    }
    const double announced = std::max(*per_s, kMinPerS);
    if (is_newer)
        m_rate.set(announced, now);
    else
        lower(announced, now);
    m_connected_ms.store(connected_ms, std::memory_order_relaxed);
    m_received_at.store(now, std::memory_order_relaxed);
    return m_rate.per_s() != before;
}

/// For answers to concurrent calls the order is unknown, so the lower rate applies.
void
AnnouncedRate::lower(double per_s, Micros now)
{
    if (!m_rate.is_set() || per_s < m_rate.per_s())
        m_rate.set(per_s, now);
}

void
AnnouncedRate::end(Micros sent)
{
    if (mutated(Mutation::LimitStays))
        return;
    m_ended_at.store(sent, std::memory_order_relaxed);
    m_rate.clear();
}

bool
AnnouncedRate::apply(const LimitReport& report, Micros now)
{
    const double before = m_rate.per_s();
    const Micros at = now - report.ago;
    const Micros received_at = m_received_at.load(std::memory_order_relaxed);
    if (report.per_s <= 0) {
        if (before > 0 && at - kReportDelay > received_at)
            end(at - kReportDelay);
    } else if (at > std::max(received_at, m_ended_at.load(std::memory_order_relaxed))) {
        m_rate.set(std::max(report.per_s, kMinPerS), now);
        m_received_at.store(at, std::memory_order_relaxed);
    }
    return m_rate.per_s() != before;
}

std::optional<LimitReport>
AnnouncedRate::report(const UpstreamRun& run, Micros now) const
{
    if (const double per_s = m_rate.per_s(); per_s > 0)
        return LimitReport {run, per_s,
                            now - m_received_at.load(std::memory_order_relaxed)};
    const Micros ended_at = m_ended_at.load(std::memory_order_relaxed);
    if (ended_at != 0 && now - ended_at < kEndReportTime)
        return LimitReport {run, 0, now - ended_at};
    return std::nullopt;
}

void
AnnouncedRate::inherit(const AnnouncedRate& before, std::int64_t born)
{
    const std::int64_t connected_ms = before.m_connected_ms.load(std::memory_order_relaxed);
    if (!may_belong_to_run(connected_ms, born))
        return;
    m_rate.adopt(before.m_rate);
    m_connected_ms.store(connected_ms, std::memory_order_relaxed);
}

std::shared_ptr<SelfReport>
SelfReports::make_unregistered(std::uint64_t seed) const
{
    return std::make_shared<SelfReport>(m_seed ^ seed, m_sharers);
}

std::shared_ptr<SelfReport>
SelfReports::of(const UpstreamRun& run)
{
    const auto it = m_entries.try_emplace(key_of(run)).first;
    Entry& entry = it->second;
    if (!entry.report) {
        entry.report = make_unregistered(UpstreamRunHash {}(run));
        const bool has_previous = it != m_entries.begin()
            && std::prev(it)->first.identity == it->first.identity;
        if (has_previous)
            entry.report->inherit(*std::prev(it)->second.report, run.born);
    }
    entry.is_listed = true;
    return entry.report;
}

void
SelfReports::unlist(const UpstreamRun& run)
{
    const auto it = m_entries.find(key_of(run));
    if (it == m_entries.end())
        return;
    if (mutated(Mutation::ForgetUnlisted)) {
        m_entries.erase(it);
        return;
    }
    it->second.is_listed = false;
    ++it->second.unlisted;
    m_unlisted.push_back(it->first);
    if (m_unlisted.size() > kMaxUnlisted)
        evict_oldest();
}

/// Evicts the oldest unlisted run, unless it has been listed again meanwhile, or listed and
/// unlisted once more.
void
SelfReports::evict_oldest()
{
    const auto it = m_entries.find(m_unlisted.front());
    m_unlisted.pop_front();
    if (it == m_entries.end())
        return;
    const bool is_last = --it->second.unlisted == 0;
    if (is_last && !it->second.is_listed)
        m_entries.erase(it);
}

} // namespace cypressford
