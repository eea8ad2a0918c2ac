// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/upstream_says.h"

#include <algorithm>

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

namespace {

/// True if the calls per second that the upstream may reject have changed.
bool
record_rejections(SelfReport& self_report, const UpstreamAnswer& answer,
                  const AnswerOrigin& origin, Micros now, std::int64_t connected_ms)
{
    const bool is_readable = answer.rejections_per_s || !answer.rejections_unreadable;
    const bool changed = is_readable
        && self_report.record_rejection_limit(answer.rejections_per_s, origin.sent, now,
                                              connected_ms);
    const bool is_rejection
        = answer.not_run && !answer.identity_mismatch && !answer.input_gone;
    const Micros backoff
        = is_rejection ? self_report.rejection_backoff(origin.part, now) : 0;
    if (backoff > 0)
        self_report.record_backoff(now + backoff, connected_ms);
    return changed;
}

} // namespace

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
    const bool rejections_changed
        = record_rejections(self_report, answer, origin, now, connected_ms);
    if (!answer.is_leaving && answer.backoff == 0 && !answer.backoff_unreadable
        && !limit_changed && !is_new_fault && !rejections_changed)
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
        .kv("rejections_per_s", self_report.rejections().per_s())
        .kv("call", origin.call);
}

namespace {

/// Of several turns of reports that don't fit one message.
constexpr Micros kReportTurn = 100 * kMillisecond;

AnnouncedRate&
announced(SelfReport& report, AnnouncedKind kind)
{
    return kind == AnnouncedKind::Limit ? report.announced_limit()
                                        : report.announced_rejections();
}

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
reports_of(const UpstreamSet& set, AnnouncedKind kind, Micros now)
{
    LimitReports reports;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        const auto report
            = announced(*upstream.self_report, kind).report(upstream.run(), now);
        if (report)
            reports.push_back(*report);
    });
    if (reports.size() > kMaxLimitReports) {
        // The other reports have their turn later.
        const auto turn = static_cast<std::size_t>(now / kReportTurn) * kMaxLimitReports;
        std::rotate(reports.begin(),
                    reports.begin() + static_cast<std::ptrdiff_t>(turn % reports.size()),
                    reports.end());
        reports.resize(kMaxLimitReports);
    }
    return reports;
}

void
receive_reports(const UpstreamSet& set, AnnouncedKind kind, const LimitReports& reports,
                Micros now)
{
    if (reports.empty())
        return;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        for (const LimitReport& report : reports) {
            if (report.run != upstream.run()
                || !announced(*upstream.self_report, kind).apply(report, now))
                continue;
            LogEvent("limit_told")
                .kv("upstream", upstream.address)
                .kv("identity", upstream.identity)
                .kv("born", upstream.born)
                .kv("of", kind == AnnouncedKind::Limit ? "calls" : "rejections")
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
    for (const LimitReport& own : reports_of(set, AnnouncedKind::Limit, now))
        for (const LimitReport& report : reports)
            if (own.run == report.run && own.per_s != report.per_s)
                later.push_back(own);
    return later;
}

} // namespace cypressford
