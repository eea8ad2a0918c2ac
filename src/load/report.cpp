// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <set>

#include "libutil/json_fields.h"

namespace cypressford::load {

namespace {

double
quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(q * last))];
}

std::size_t
count_of(const PipelineReport& report, Outcome outcome)
{
    return report.outcomes.at(static_cast<std::size_t>(outcome));
}

/// Sums the runs of each idempotency key.  Upstreams receive a key prefixed by the
/// name of the client account.
std::map<std::string, int>
sum_runs_by_key(const StandinCounts& counts)
{
    std::map<std::string, int> runs;
    for (const auto& [scoped, count] : counts.runs_by_key)
        runs[scoped.substr(scoped.rfind('/') + 1)] += count;
    return runs;
}

Violations
count_violations(const std::vector<Record>& records, const StandinCounts& counts)
{
    const auto runs = sum_runs_by_key(counts);
    Violations violations;
    violations.doubled = static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
    for (const Record& record : records) {
        violations.misdelivered += record.outcome == Outcome::Misdelivered;
        violations.cut += record.outcome == Outcome::Cut;
        if (record.key.empty())
            continue;
        const bool ran = runs.count(record.key) > 0;
        const bool answered
            = record.outcome == Outcome::Attained || record.outcome == Outcome::Late;
        violations.lost += answered && !ran;
        violations.lost += record.outcome == Outcome::NotRun && ran;
    }
    return violations;
}

PipelineReport
report_pipeline(const PipelineLoad& load, std::size_t index,
                const std::vector<Record>& records)
{
    PipelineReport report;
    report.name = load.name;
    report.urgent = load.urgent;
    std::vector<double> times;
    std::vector<double> first_tokens;
    for (const Record& record : records) {
        if (record.pipeline != index)
            continue;
        ++report.outcomes.at(static_cast<std::size_t>(record.outcome));
        if (!record.kind.empty())
            ++report.kinds[record.kind];
        report.resumed += record.resumed > 0;
        if (record.outcome == Outcome::Attained || record.outcome == Outcome::Late) {
            times.push_back(record.time_ms);
            if (load.stream)
                first_tokens.push_back(record.first_token_ms);
        }
    }
    report.p50_ms = quantile(times, 0.50);
    report.p99_ms = quantile(times, 0.99);
    report.first_token_p95_ms = quantile(first_tokens, 0.95);
    return report;
}

} // namespace

std::size_t
PipelineReport::sent() const
{
    return std::accumulate(outcomes.begin(), outcomes.end(), std::size_t {0});
}

double
PipelineReport::attainment() const
{
    const auto all = static_cast<double>(std::max<std::size_t>(1, sent()));
    return static_cast<double>(count_of(*this, Outcome::Attained)) / all;
}

Report
make_report(const LoadConfig& config, const std::vector<Record>& records,
            const StandinCounts& counts)
{
    Report report;
    std::size_t urgent_sent = 0;
    std::size_t urgent_attained = 0;
    for (std::size_t i = 0; i < config.pipelines.size(); ++i) {
        report.pipelines.push_back(report_pipeline(config.pipelines[i], i, records));
        const PipelineReport& pipeline = report.pipelines.back();
        report.attained += count_of(pipeline, Outcome::Attained);
        report.refused += count_of(pipeline, Outcome::NotRun);
        if (pipeline.urgent) {
            urgent_sent += pipeline.sent();
            urgent_attained += count_of(pipeline, Outcome::Attained);
        }
    }
    const auto share = [](std::size_t part, std::size_t whole) {
        return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    report.attainment = share(report.attained, records.size());
    report.urgent_attainment = share(urgent_attained, urgent_sent);
    for (const auto& [set, busy] : counts.busy_ms)
        report.cost_ms[set]
            = busy / static_cast<double>(std::max<std::size_t>(1, report.attained));
    report.violations = count_violations(records, counts);
    return report;
}

std::string
format_text(const Report& report)
{
    std::string text;
    char line[512];
    for (const PipelineReport& p : report.pipelines) {
        std::snprintf(
            line, sizeof line,
            "pipeline=%s sent=%zu attainment=%.4f late=%zu refused=%zu unknown=%zu "
            "cut=%zu p50_ms=%.1f p99_ms=%.1f first_token_p95_ms=%.1f resumed=%zu",
            p.name.c_str(), p.sent(), p.attainment(), count_of(p, Outcome::Late),
            count_of(p, Outcome::NotRun), count_of(p, Outcome::Unknown),
            count_of(p, Outcome::Cut), p.p50_ms, p.p99_ms, p.first_token_p95_ms, p.resumed);
        text += line;
        for (const auto& [kind, count] : p.kinds)
            text += " " + kind + "=" + std::to_string(count);
        text += '\n';
    }
    for (const auto& [set, cost] : report.cost_ms) {
        std::snprintf(line, sizeof line, "cost upstreams=%s busy_ms_per_attained=%.2f\n",
                      set.c_str(), cost);
        text += line;
    }
    const Violations& v = report.violations;
    std::snprintf(line, sizeof line,
                  "result attainment=%.4f urgent=%.4f refused=%zu lost=%zu doubled=%zu "
                  "misdelivered=%zu cut=%zu\n",
                  report.attainment, report.urgent_attainment, report.refused, v.lost,
                  v.doubled, v.misdelivered, v.cut);
    return text + line;
}

std::string
format_json(const Report& report)
{
    namespace json = boost::json;
    json::array pipelines;
    json::object kinds;
    for (const PipelineReport& p : report.pipelines) {
        for (const auto& [kind, count] : p.kinds)
            kinds[kind] = json_integer<std::size_t>(kinds, kind, 0) + count;
        pipelines.push_back(json::object {{"name", p.name},
                                          {"sent", p.sent()},
                                          {"attainment", p.attainment()},
                                          {"refused", count_of(p, Outcome::NotRun)},
                                          {"p50_ms", p.p50_ms},
                                          {"p99_ms", p.p99_ms}});
    }
    json::object cost;
    for (const auto& [set, ms] : report.cost_ms)
        cost[set] = ms;
    const Violations& v = report.violations;
    return json::serialize(json::object {{"pipelines", std::move(pipelines)},
                                         {"kinds", std::move(kinds)},
                                         {"cost_ms", std::move(cost)},
                                         {"attainment", report.attainment},
                                         {"urgent", report.urgent_attainment},
                                         {"refused", report.refused},
                                         {"attained", report.attained},
                                         {"lost", v.lost},
                                         {"doubled", v.doubled},
                                         {"misdelivered", v.misdelivered},
                                         {"cut", v.cut}});
}

} // namespace cypressford::load
