// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "caller.h"

namespace cypressford::load {

/// Counters read from the stand-ins.
struct StandinCounts {
    std::map<std::string, double> busy_ms; ///< by upstream set
    std::map<std::string, int> runs_by_key; ///< by key, as upstreams received it
};

/// Counts of violated delivery guarantees; all must be 0.
struct Violations {
    std::size_t lost = 0; ///< answered but never run, or "not run" although it ran
    std::size_t doubled = 0; ///< keys that ran more than once
    std::size_t misdelivered = 0;
    std::size_t cut = 0;

    bool none() const { return lost + doubled + misdelivered + cut == 0; }
};

/// Counts over all requests of one pipeline.
struct PipelineReport {
    std::string name;
    bool urgent = false;
    std::array<std::size_t, kOutcomes> outcomes {};
    std::map<std::string, std::size_t> kinds;
    double p50_ms = 0;
    double p99_ms = 0;
    double first_token_p95_ms = 0;
    std::size_t resumed = 0;

    std::size_t sent() const;
    double attainment() const;
};

struct Report {
    std::vector<PipelineReport> pipelines;
    Violations violations;
    std::map<std::string, double>
        cost_ms; ///< busy time per attained request, by upstream set
    double attainment = 0;
    double urgent_attainment = 0;
    std::size_t refused = 0;
    std::size_t attained = 0;
};

Report make_report(const LoadConfig& config, const std::vector<Record>& records,
                   const StandinCounts& counts);

/// Human-readable lines; the last one is the overall result.
std::string format_text(const Report& report);
std::string format_json(const Report& report);

} // namespace cypressford::load
