// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A bundle: what operators sign and publish.  Parsing checks everything at
/// once and reports every fault, so that an operator mends a file in one go.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

/// Work in pieces that must be done before the stages of a relayed pipeline:
/// each piece is an item of a batched call, and its result stays at its maker.
struct PieceStageSpec {
    std::string upstream_set; ///< a set with a BatchSpec
    std::vector<std::size_t> after; ///< piece stages whose results it needs
    std::int64_t result_bytes = 0; ///< size of one result, about
};

/// A named sequence of stages that answers one kind of request.
struct PipelineSpec {
    std::string name;
    int priority = kLowestPriority;
    Micros deadline = 4 * kSecond; ///< default and upper bound for a request
    bool stream = false; ///< answer as server-sent events
    std::vector<StageSpec> stages;

    /// True if the caller's request and the upstream's answer pass through
    /// unchanged.  Such a pipeline has one stage, is found by host and path, and
    /// needs no claim: each request is an attempt of its own and is sent once.
    bool relayed = false;
    std::string host; ///< relayed: value of the Host header
    std::string path_prefix; ///< relayed: begins and ends with a slash
    double weight = 1; ///< among pipelines of the same host and path prefix
    bool anonymous = false; ///< relayed: needs no credential
    bool resumable = false; ///< relayed stream: may go on at another upstream
    int max_attempts = 0; ///< upstreams one request may be sent to; 0: the scheduler's
    Micros target_latency = 0; ///< time of an answer that counts as prompt; 0: none
    std::vector<PieceStageSpec> piece_stages;
    /// Requests are worked on in these regions only; empty: in all.
    std::vector<std::string> regions;

    /// True if every stage may be repeated.
    bool repeatable() const;
};

/// How an upstream set takes pieces of several requests in one call.
struct BatchSpec {
    int items = 1; ///< pieces of one call at most
    int queue = 0; ///< calls that may wait at one upstream
    Micros call_time = 0; ///< of a call, whatever it holds
    Micros item_time = 0; ///< and of each piece, about
    double memory_mb = 0; ///< for results at one upstream; 0: no bound known
    Micros keep_time = 0; ///< a result that is not released lies there so long

    bool operator==(const BatchSpec&) const = default;
};

/// What an upstream of a set bears just after its start.
struct ColdSpec {
    Micros time = 0; ///< it is cold so long from its start; 0: never
    double per_s = 0; ///< requests a second that it bears then; 0: no bound known

    bool operator==(const ColdSpec&) const = default;
};

/// Upstreams of one kind, by hall.
struct UpstreamSetSpec {
    std::string name;
    std::string kind; ///< name of an upstream-kind plug-in
    int slots = 1; ///< calls that one upstream runs at a time
    bool checks_fence = false; ///< refuses orders with an older fencing token
    bool deduplicates = false; ///< runs a key at most once, refuses it with another body
    int max_connections = 0; ///< one upstream takes from all daemons; 0: no bound known
    std::int64_t memory_tokens = 0; ///< of prompts and answers, for sets of engines
    std::optional<BatchSpec> batch; ///< for sets that make pieces
    ColdSpec cold;
    std::map<std::string, std::vector<std::string>> halls; ///< hall to "ip:port"

    /// True if one daemon makes its pieces or places its prompts for all.
    bool has_leader() const { return batch || memory_tokens > 0; }

    bool operator==(const UpstreamSetSpec&) const = default;
};

/// A client account and its share.
struct AccountSpec {
    std::string name;
    std::string credential_sha256; ///< hex digest of the bearer credential
    double rate = 100; ///< requests per second over all daemons
    double burst = 100; ///< requests that may come at once
    std::vector<std::string> more_credentials {}; ///< further digests like the first
    int priority = 0; ///< stands before that of the pipeline
    /// Requests are worked on in these regions only; empty: in all.  A pipeline's regions
    /// hold besides.
    std::vector<std::string> regions {};
};

/// A model and the adapters that may be loaded beside it.
struct ModelSpec {
    std::string name;
    std::vector<std::string> adapters;
};

/// Bounds on what one caller may send, as operators set them; 0: the settings'.
struct CallerLimits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    Micros header_time = 0;
    Micros idle_time = 0;
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
    CallerLimits limits;
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
