// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the logs of all daemons say of requests that were not answered in time, and
/// of what was scarce meanwhile.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "log_reader.h"

namespace cypressford {

/// Requests by how they ended.
struct RequestCounts {
    int asked = 0;
    int in_time = 0; ///< whole, and begun within the pipeline's target latency
    int late = 0; ///< whole, but later
    int refused = 0; ///< not run
    int failed = 0; ///< may have run
    int left = 0; ///< the caller went away
    std::map<std::string, int> reasons; ///< of those that were late, refused or failed
};

/// The calls for pieces of one upstream set.
struct SetLosses {
    std::set<std::string> upstreams;
    std::int64_t busy_us = 0; ///< of all calls
    std::int64_t calls = 0;
    std::int64_t bound = 0; ///< pieces of a call at most
    std::int64_t pieces = 0; ///< of all calls
    std::int64_t calls_with_waiting = 0; ///< while other pieces stayed behind
    std::int64_t pieces_with_waiting = 0; ///< of these calls
    std::int64_t broken_calls = 0; ///< without an answer to each piece
    std::int64_t input_gone = 0; ///< pieces
    std::int64_t no_memory = 0; ///< pieces
    std::int64_t made = 0; ///< pieces, as their requests saw it
    std::int64_t unused = 0; ///< of these, of requests that were not answered
    std::vector<std::int64_t> memory_kb; ///< left behind each call
    std::vector<std::int64_t> took_us; ///< of a request's pieces, queue included
};

/// The prompts of one set of engines.
struct EngineLosses {
    std::int64_t prompts = 0;
    std::int64_t tokens = 0;
    std::int64_t tokens_read = 0; ///< not found in the engine's memory, as believed
    std::int64_t tokens_again = 0; ///< of these, known to another engine
    std::vector<std::int64_t> first_event_us; ///< from sending
};

struct Losses {
    std::int64_t first_ms = 0; ///< time of the first event
    std::int64_t last_ms = 0;
    std::size_t events = 0;
    LogFaults faults;
    std::set<std::string> nodes;
    std::set<std::string> missing; ///< addresses of daemons whose log is not there
    std::map<std::string, RequestCounts> by_pipeline;
    std::map<std::int64_t, RequestCounts> by_second; ///< of their end, from the first
    std::map<std::string, SetLosses> sets;
    std::map<std::string, EngineLosses> engines;
};

/// `events` in the order of their clock.
Losses find_losses(const std::vector<LoggedEvent>& events, const LogFaults& faults);

std::string losses_as_text(const Losses& losses);
std::string losses_as_json(const Losses& losses);

} // namespace cypressford
