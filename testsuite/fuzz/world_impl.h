// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Definitions that the source files of World share.

#pragma once

#include "world.h"

#include <algorithm>

#include <cypressford/codec.h>
#include <cypressford/mutation.h>
#include <cypressford/registry.h>

namespace cypressford::fuzz {

inline constexpr Micros kTickInterval = 10 * kMillisecond;
inline constexpr Micros kListDelay = 2 * kSecond;
inline constexpr Micros kMaxLeavingDelay = 3 * kSecond;
inline constexpr Micros kLogTimeout = 2 * kSecond;
inline constexpr WallMs kEpoch = 1'800'000'000'000;
inline constexpr int kMaxSkewMs = 1500;
inline constexpr int kWarmUpCalls = 12;

/// The output of a stage for an input.
std::string output_of(const std::string& stage, const std::string& input);
/// Names of a pipeline's stages.
const std::vector<std::string>& stages_of(std::size_t pipeline);
/// The answer to a request with this body when each stage runs once.
std::string expected(std::size_t pipeline, const std::string& body);
std::string hall_of(std::size_t daemon);

struct World::RequestData {
    std::string input;
    std::optional<RecordedAnswer> recorded;
};

struct World::Daemon {
    std::size_t index = 0;
    std::string hall;
    std::uint64_t incarnation = 0;
    bool alive = true;
    bool paused = false;
    bool stopping = false;
    int skew_ms = 0;
    std::deque<std::function<void(Daemon&)>> inbox; ///< events that came during a pause
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<UpstreamTable> table;
    std::unique_ptr<Scheduler> scheduler;
    std::unique_ptr<Claimer> claimer;
    std::unique_ptr<BundleFold> bundles;
    SnapshotPtr snapshot;
    std::map<RequestId, RequestData> requests;
    std::map<AttemptId, std::pair<RequestId, bool>> attempts; ///< request, and if cancelled
    std::set<std::string> known_leaving;
    /// Start of the uninterrupted reads of the node list; -1: they are interrupted.
    Micros node_list_current_since = -1;
    std::deque<std::pair<AttemptId, AttemptStatus>> last_results;
};

} // namespace cypressford::fuzz
