// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reports, from the logs of all daemons, which requests were not answered in time and
/// which resources were scarce meanwhile.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "log_reader.h"

namespace cypressford {

/// Number of requests by outcome.
struct RequestCounts {
    int asked = 0;
    int in_time = 0; ///< answered completely, started within the pipeline's target latency
    int late = 0; ///< answered completely, but started after the target latency
    int refused = 0; ///< not run
    int failed = 0; ///< may have run
    int left = 0; ///< the caller closed its connection
    std::map<std::string, int> reasons; ///< number of late, refused and failed, by reason
};

/// Calls for pieces to the upstreams of one set.
struct SetLosses {
    std::set<std::string> upstreams;
    std::int64_t busy_us = 0; ///< total duration of all calls
    std::int64_t calls = 0;
    std::int64_t bound = 0; ///< largest limit on the pieces of one call
    std::int64_t pieces = 0; ///< of all calls
    std::int64_t calls_with_waiting = 0; ///< calls that left other pieces in the queue
    std::int64_t pieces_with_waiting = 0; ///< pieces of the calls_with_waiting
    std::int64_t broken_calls = 0; ///< calls without an answer for each piece
    std::int64_t input_gone = 0; ///< pieces that failed because an input was missing
    std::int64_t no_memory = 0; ///< pieces that failed for lack of memory
    std::int64_t made = 0; ///< pieces, as reported by their requests
    std::int64_t unused = 0; ///< part of `made` whose requests were not answered
    std::vector<std::int64_t> memory_kb; ///< free memory at the end of each call
    std::vector<std::int64_t> took_us; ///< duration of each request's pieces, with queueing
};

/// Prompts sent to one set of engines.
struct EngineLosses {
    std::int64_t prompts = 0;
    std::int64_t tokens = 0;
    std::int64_t tokens_read = 0; ///< assumed not to be in the engine's memory
    std::int64_t tokens_again = 0; ///< part of `tokens_read` that another engine has
    std::vector<std::int64_t> first_event_us; ///< time from sending to the first event
};

struct Losses {
    std::int64_t first_ms = 0; ///< time of the first event, in ms since 1970
    std::int64_t last_ms = 0;
    std::size_t events = 0;
    LogFaults faults;
    std::set<std::string> nodes;
    std::set<std::string> missing; ///< addresses of leaders whose logs were not read
    std::map<std::string, RequestCounts> by_pipeline;
    std::map<std::int64_t, RequestCounts> by_second; ///< second of the end, from first_ms
    std::map<std::string, SetLosses> sets;
    std::map<std::string, EngineLosses> engines;
};

/// `events` must be sorted by their clock (see sort_events()).
Losses find_losses(const std::vector<LoggedEvent>& events, const LogFaults& faults);

std::string losses_as_text(const Losses& losses);
std::string losses_as_json(const Losses& losses);

} // namespace cypressford
