// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/operator/metrics.h"

#include <limits>

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace cypressford {

namespace bh = boost::histogram;

namespace {

// Buckets from 1 ms to 60 s, each about 1.5 times as wide as the one before.
constexpr unsigned kBucketCount = 27;
constexpr double kLowestSeconds = 0.001;
constexpr double kHighestSeconds = 60;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint64_t>>;

Histogram
make_duration_histogram()
{
    return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                   LogAxis(kBucketCount, kLowestSeconds, kHighestSeconds));
}

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily
family(const char* name, const char* help, MetricType type)
{
    MetricFamily result;
    result.name = name;
    result.help = help;
    result.type = type;
    return result;
}

MetricFamily
counter(const char* name, const char* help, std::uint64_t value)
{
    MetricFamily result = family(name, help, MetricType::Counter);
    ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    result.metric.push_back(metric);
    return result;
}

ClientMetric
histogram_metric(const char* label, const std::string& value, const TimeHistogram& times)
{
    ClientMetric metric;
    metric.label.push_back({label, value});
    metric.histogram.sample_count = times.count();
    metric.histogram.sample_sum = times.sum_s();
    for (const TimeHistogram::Bucket& bucket : times.buckets())
        metric.histogram.bucket.push_back({bucket.count, bucket.upper_s});
    return metric;
}

void
add_scheduler(const SchedulerStats& stats, std::vector<MetricFamily>& out)
{
    out.push_back(
        counter("cypressford_admitted_total", "Requests admitted.", stats.admitted));
    out.push_back(counter("cypressford_refused_total", "Requests refused at the door.",
                          stats.refused));
    out.push_back(
        counter("cypressford_attempts_total", "Calls to upstreams.", stats.attempts));
    out.push_back(counter("cypressford_retries_total", "Second attempts.", stats.retries));
    out.push_back(counter("cypressford_hedges_total", "Hedged attempts.", stats.hedges));
    out.push_back(
        counter("cypressford_cancelled_total", "Attempts cancelled.", stats.cancelled));
    out.push_back(
        counter("cypressford_ejections_total", "Upstreams taken out.", stats.ejections));
}

MetricFamily
refusals_by_set(const std::map<std::string, std::uint64_t>& refused)
{
    MetricFamily result
        = family("cypressford_capacity_refused",
                 "Requests refused by the leader of an upstream set, by upstream set.",
                 MetricType::Counter);
    for (const auto& [set, count] : refused) {
        ClientMetric metric;
        metric.label = {{"upstreams", set}};
        metric.counter.value = static_cast<double>(count);
        result.metric.push_back(metric);
    }
    return result;
}

void
add_leader_work(const LeaderWorkBySet& work_by_set, std::vector<MetricFamily>& out)
{
    MetricFamily queries
        = family("cypressford_leader_queries_total",
                 "Queries answered as the leader of an upstream set, by upstream set.",
                 MetricType::Counter);
    MetricFamily seconds = family(
        "cypressford_leader_seconds_total",
        "Processor time of decisions as the leader of an upstream set, by upstream set.",
        MetricType::Counter);
    for (const auto& [set, work] : work_by_set) {
        ClientMetric metric;
        metric.label = {{"upstreams", set}};
        metric.counter.value = static_cast<double>(work.queries);
        queries.metric.push_back(metric);
        metric.counter.value = std::chrono::duration<double>(work.cpu_time).count();
        seconds.metric.push_back(metric);
    }
    out.push_back(std::move(queries));
    out.push_back(std::move(seconds));
}

MetricFamily
failures_of_tasks(const TaskFailures& failures)
{
    MetricFamily result
        = family("cypressford_task_failures", "Tasks that an exception has ended, by task.",
                 MetricType::Counter);
    for (const auto& [task, count] : failures) {
        ClientMetric metric;
        metric.label = {{"task", task}};
        metric.counter.value = static_cast<double>(count);
        result.metric.push_back(metric);
    }
    return result;
}

} // namespace

struct TimeHistogram::Impl {
    Histogram cells = make_duration_histogram();
    double sum = 0;
};

TimeHistogram::TimeHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

TimeHistogram::~TimeHistogram() = default;

TimeHistogram::TimeHistogram(const TimeHistogram& other)
    : m_impl(std::make_unique<Impl>(*other.m_impl))
{
}

TimeHistogram&
TimeHistogram::operator=(const TimeHistogram& other)
{
    *m_impl = *other.m_impl;
    return *this;
}

void
TimeHistogram::record(Micros time)
{
    const double seconds = static_cast<double>(time) / kSecond;
    m_impl->cells(seconds);
    m_impl->sum += seconds;
}

void
TimeHistogram::merge(const TimeHistogram& other)
{
    m_impl->cells += other.m_impl->cells;
    m_impl->sum += other.m_impl->sum;
}

std::vector<TimeHistogram::Bucket>
TimeHistogram::buckets() const
{
    std::vector<Bucket> result;
    std::uint64_t total = 0;
    for (auto&& cell : bh::indexed(m_impl->cells, bh::coverage::all)) {
        total += *cell;
        result.push_back({cell.bin().upper(), total});
    }
    result.back().upper_s = std::numeric_limits<double>::infinity();
    return result;
}

double
TimeHistogram::sum_s() const
{
    return m_impl->sum;
}

std::uint64_t
TimeHistogram::count() const
{
    return bh::algorithm::sum(m_impl->cells, bh::coverage::all);
}

void
MetricsSnapshot::merge(const MetricsSnapshot& other)
{
    for (const auto& [key, count] : other.requests)
        requests[key] += count;
    for (const auto& [pipeline, times] : other.request_time)
        request_time[pipeline].merge(times);
    for (const auto& [set, times] : other.attempt_time)
        attempt_time[set].merge(times);
    for (const auto& [set, count] : other.capacity_refused)
        capacity_refused[set] += count;
    scheduler.admitted += other.scheduler.admitted;
    scheduler.refused += other.scheduler.refused;
    scheduler.attempts += other.scheduler.attempts;
    scheduler.retries += other.scheduler.retries;
    scheduler.hedges += other.scheduler.hedges;
    scheduler.cancelled += other.scheduler.cancelled;
    scheduler.ejections += other.scheduler.ejections;
    connections += other.connections;
    in_progress += other.in_progress;
}

std::string
render_metrics(const MetricsSnapshot& snapshot, const std::vector<Gauge>& gauges)
{
    std::vector<MetricFamily> families;
    MetricFamily requests
        = family("cypressford_requests_total", "Requests by pipeline and outcome.",
                 MetricType::Counter);
    for (const auto& [key, count] : snapshot.requests) {
        ClientMetric metric;
        metric.label = {{"pipeline", key.first}, {"outcome", key.second}};
        metric.counter.value = static_cast<double>(count);
        requests.metric.push_back(metric);
    }
    families.push_back(std::move(requests));
    MetricFamily times
        = family("cypressford_request_seconds", "Time from request to whole answer.",
                 MetricType::Histogram);
    for (const auto& [pipeline, histogram] : snapshot.request_time)
        times.metric.push_back(histogram_metric("pipeline", pipeline, histogram));
    families.push_back(std::move(times));
    MetricFamily attempts = family(
        "cypressford_attempt_seconds",
        "Upstream time used, by upstream set: the cost by stage.", MetricType::Histogram);
    for (const auto& [set, histogram] : snapshot.attempt_time)
        attempts.metric.push_back(histogram_metric("upstreams", set, histogram));
    families.push_back(std::move(attempts));
    add_scheduler(snapshot.scheduler, families);
    families.push_back(refusals_by_set(snapshot.capacity_refused));
    families.push_back(failures_of_tasks(snapshot.task_failures));
    add_leader_work(snapshot.leader_work, families);
    for (const Gauge& gauge : gauges) {
        MetricFamily result
            = family(gauge.name.c_str(), gauge.help.c_str(), MetricType::Gauge);
        ClientMetric metric;
        metric.gauge.value = gauge.value;
        result.metric.push_back(metric);
        families.push_back(std::move(result));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace cypressford
