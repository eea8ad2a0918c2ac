// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/upstream_says.h"

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

void
record_upstream_load(UpstreamState& upstream, const UpstreamAnswer& answer,
                     std::string_view call)
{
    if (answer.load && answer.load->slowdown)
        upstream.speed.record(*answer.load->slowdown, monotonic_us());
    if (answer.load_unreadable && upstream.speed.record_unreadable())
        LogEvent("load_unreadable", LogLevel::Warn)
            .kv("upstream", upstream.address)
            .kv("identity", upstream.identity)
            .kv("call", call);
}

void
record_upstream_report(UpstreamState& upstream, const UpstreamAnswer& answer,
                       const AnswerOrigin& origin)
{
    const Micros now = monotonic_us();
    const std::int64_t connected_ms = wall_ms() - (now - origin.connected) / kMillisecond;
    SelfReport& self_report = *upstream.self_report;
    const double limit_before = self_report.limit().per_s();
    record_upstream_load(upstream, answer, origin.call);
    if (answer.cold_left > 0)
        upstream.cold.mark_cold_until(now + answer.cold_left);
    if (answer.is_leaving)
        self_report.record_leaving(now, connected_ms);
    if (answer.backoff > 0)
        self_report.record_backoff(now + answer.backoff, connected_ms);
    // An unreadable limit shows neither that there is a limit nor that there is none.
    const bool is_readable = answer.limit_per_s || !answer.limit_unreadable;
    const bool limit_changed = is_readable
        && self_report.record_limit(answer.limit_per_s, origin.sent, now, connected_ms);
    const bool is_new_fault
        = answer.limit_unreadable && self_report.record_unreadable_limit();
    if (!answer.is_leaving && answer.backoff == 0 && !answer.backoff_unreadable
        && !limit_changed && !is_new_fault)
        return;
    LogEvent("upstream_says")
        .kv("upstream", upstream.address)
        .kv("identity", upstream.identity)
        .kv("born", upstream.born)
        .kv("leaves", answer.is_leaving)
        .kv("rest_us", answer.backoff)
        .kv("rest_unread", answer.backoff_unreadable)
        .kv("limit_per_s", self_report.limit().per_s())
        .kv("limit_before", limit_before)
        .kv("limit_unread", answer.limit_unreadable)
        .kv("call", origin.call);
}

namespace {

template <class Visit>
void
for_each_upstream(const UpstreamSet& set, Visit&& visit)
{
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            visit(*upstream);
}

} // namespace

LimitReports
limit_reports(const UpstreamSet& set, Micros now)
{
    LimitReports reports;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        const auto report = upstream.self_report->limit_report(upstream.run(), now);
        if (report && reports.size() < kMaxLimitReports)
            reports.push_back(*report);
    });
    return reports;
}

void
receive_limit_reports(const UpstreamSet& set, const LimitReports& reports, Micros now)
{
    if (reports.empty())
        return;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        for (const LimitReport& report : reports) {
            if (report.run != upstream.run()
                || !upstream.self_report->apply_limit_report(report, now))
                continue;
            LogEvent("limit_told")
                .kv("upstream", upstream.address)
                .kv("identity", upstream.identity)
                .kv("born", upstream.born)
                .kv("limit_per_s", report.per_s)
                .kv("ago_us", report.ago);
        }
    });
}

LimitReports
newer_limit_reports(const UpstreamSet& set, const LimitReports& reports, Micros now)
{
    LimitReports later;
    if (reports.empty())
        return later;
    for (const LimitReport& own : limit_reports(set, now))
        for (const LimitReport& report : reports)
            if (own.run == report.run && own.per_s != report.per_s)
                later.push_back(own);
    return later;
}

} // namespace cypressford
