// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

namespace cypressford::load {

/// Interval in which a pipeline's request rate is multiplied.
struct Phase {
    double from_s = 0;
    double to_s = 0;
    double factor = 1;
};

/// Load of one pipeline.
struct PipelineLoad {
    std::string name;
    std::string credential;
    double rate = 1; ///< requests per second
    double deadline_ms = 4000; ///< sent with the request; later answers are not attained
    bool keyed = false; ///< send an Idempotency-Key
    bool stream = false;
    bool urgent = false; ///< also counted in the attainment of urgent requests
    int sessions = 0; ///< number of sessions that requests rotate through; 0 for none
    std::size_t tokens = 0; ///< length of the generated text
    std::vector<std::string> stages; ///< operations in order; may include "generate"
    std::vector<Phase> phases;
};

/// Configuration of one run.
struct LoadConfig {
    std::vector<std::string> daemons;
    unsigned seed = 1;
    bool retry_lost = false; ///< resend an unanswered request, to another daemon
    double duration_s = 10;
    std::vector<PipelineLoad> pipelines;
    std::map<std::string, std::vector<std::string>> standins; ///< upstream set to addresses
};

/// Reads the YAML file; throws YAML::Exception if it is invalid.
LoadConfig read_config(const std::string& path);

} // namespace cypressford::load
