// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

namespace cypressford::load {

/// A time in which a pipeline's rate is multiplied.
struct Phase {
    double from_s = 0;
    double to_s = 0;
    double factor = 1;
};

/// The requests of one pipeline.
struct PipelineLoad {
    std::string name;
    std::string credential;
    double rate = 1; ///< requests per second
    double deadline_ms = 4000; ///< sent along, and what counts as attained
    bool keyed = false; ///< send an Idempotency-Key
    bool stream = false;
    bool urgent = false; ///< counted apart in the result
    int sessions = 0; ///< number of sessions to spread over; 0 for none
    std::size_t tokens = 0; ///< length of the generated text
    std::vector<std::string> stages; ///< operations in order; "generate" among them
    std::vector<Phase> phases;
};

/// One run.
struct LoadConfig {
    std::vector<std::string> daemons;
    unsigned seed = 1;
    bool retry_lost = false; ///< ask again, at another daemon, when no answer came
    double duration_s = 10;
    std::vector<PipelineLoad> pipelines;
    std::map<std::string, std::vector<std::string>> standins; ///< upstream set to addresses
};

/// Reads the YAML file; throws YAML::Exception for one that is wrong.
LoadConfig read_config(const std::string& path);

} // namespace cypressford::load
