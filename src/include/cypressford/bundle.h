// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A bundle: what operators sign and publish.  Parsing checks everything at
/// once and reports every fault, so that an operator mends a file in one go.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/error.h>

namespace cypressford {

/// Points and spans of time, in microseconds of a monotonic clock.
using Micros = std::int64_t;
inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

/// What a stage asks of an upstream.
enum class StageKind : unsigned char { Encode, Retrieve, Rerank, Generate, Call };

std::string_view to_string(StageKind kind);

/// Stages a pipeline may have at most.
inline constexpr std::size_t kMaxStages = 6;
/// Priorities run from 0 (most urgent) to this.
inline constexpr int kLowestPriority = 9;

/// One step of a pipeline.
struct StageSpec {
    std::string name;
    StageKind kind = StageKind::Call;
    std::string upstream_set; ///< name of the upstream set that serves it
    std::string model; ///< for Generate: name of a model of the bundle
    std::string adapter; ///< for Generate: optional adapter of that model
    bool repeatable = true; ///< false: may run at most once per key
};

/// A named sequence of stages that answers one kind of request.
struct PipelineSpec {
    std::string name;
    int priority = kLowestPriority;
    Micros deadline = 4 * kSecond; ///< default and upper bound for a request
    bool stream = false; ///< answer as server-sent events
    std::vector<StageSpec> stages;

    /// True if every stage may be repeated.
    bool repeatable() const;
};

/// Upstreams of one kind, by hall.
struct UpstreamSetSpec {
    std::string name;
    std::string kind; ///< name of an upstream-kind plug-in
    int slots = 1; ///< calls that one upstream runs at a time
    bool checks_fence = false; ///< refuses orders with an older fencing token
    bool deduplicates = false; ///< runs a key at most once, refuses it with another body
    std::map<std::string, std::vector<std::string>> halls; ///< hall to "ip:port"
};

/// A client account and its share.
struct AccountSpec {
    std::string name;
    std::string credential_sha256; ///< hex digest of the bearer credential
    double rate = 100; ///< requests per second over all daemons
    double burst = 100; ///< requests that may come at once
};

/// A model and the adapters that may be loaded beside it.
struct ModelSpec {
    std::string name;
    std::vector<std::string> adapters;
};

/// The unit that operators publish.
struct Bundle {
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t builds_on = 0; ///< version this one replaces; 0 for the first
    std::vector<ModelSpec> models;
    std::vector<UpstreamSetSpec> upstream_sets;
    std::vector<PipelineSpec> pipelines;
    std::vector<AccountSpec> accounts;
};

/// Parses and checks the YAML form.  All faults are reported, not the first.
tl::expected<Bundle, std::vector<Fault>> parse_bundle_yaml(std::string_view text);

/// Parses the canonical form that travels in the log.
Result<Bundle> parse_bundle_json(std::string_view text);

/// The canonical form: JSON, fixed order of members, no white space.  Equal
/// bundles give equal bytes, which is what the signature covers.
std::string canonical_json(const Bundle& bundle);

/// Checks what the parts of a bundle say about each other.
std::vector<Fault> check_bundle(const Bundle& bundle);

} // namespace cypressford
