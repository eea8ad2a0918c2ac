// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Metrics counted by one worker.  Each worker writes its own without a lock; a scrape
/// collects copies by posting to the workers' threads.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cypressford/scheduler.h>

#include "libserve/pieces/leader_work.h"
#include "libutil/task.h"

namespace cypressford {

/// A histogram of durations, implemented with Boost.Histogram.
class TimeHistogram {
public:
    TimeHistogram();
    ~TimeHistogram();
    TimeHistogram(const TimeHistogram& other);
    TimeHistogram& operator=(const TimeHistogram& other);

    void record(Micros time);
    void merge(const TimeHistogram& other);

    /// One bucket; its count is cumulative, as Prometheus requires.
    struct Bucket {
        double upper_s = 0;
        std::uint64_t count = 0;
    };
    std::vector<Bucket> buckets() const;
    double sum_s() const;
    std::uint64_t count() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Counters of one worker, or the merged counters of several workers.
struct MetricsSnapshot {
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        requests; ///< pipeline, outcome
    std::map<std::string, TimeHistogram> request_time; ///< by pipeline, answered requests
    std::map<std::string, TimeHistogram> attempt_time; ///< by upstream set
    /// Requests that the leader of the set refused, by upstream set.
    std::map<std::string, std::uint64_t> capacity_refused;
    SchedulerStats scheduler;
    std::uint64_t connections = 0;
    std::uint64_t in_progress = 0;
    TaskFailures task_failures; ///< of the process, not of one thread
    LeaderWorkBySet leader_work; ///< of the process

    void merge(const MetricsSnapshot& other);
};

/// A value as of the time of the scrape.
struct Gauge {
    std::string name;
    std::string help;
    double value = 0;
};

/// Prometheus text format.
std::string render_metrics(const MetricsSnapshot& snapshot,
                           const std::vector<Gauge>& gauges);

} // namespace cypressford
