// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A bundle: the configuration that operators sign and publish.  Parsing checks the
/// whole file and reports every fault, so that an operator can fix all of them at once.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/iterator/indirect_iterator.hpp>

#include <cypressford/error.h>

namespace cypressford {

/// Points in time and durations, in microseconds of a monotonic clock.
using Micros = std::int64_t;
inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

/// The kind of work that a stage requests from an upstream.
enum class StageKind : unsigned char { Encode, Retrieve, Rerank, Generate, Call };

std::string_view to_string(StageKind kind);

/// Maximum number of stages of a pipeline.
inline constexpr std::size_t kMaxStages = 6;
/// Priorities range from 0 (most urgent) to this value.
inline constexpr int kLowestPriority = 9;

/// One step of a pipeline.
struct StageSpec {
    std::string name;
    StageKind kind = StageKind::Call;
    std::string upstream_set; ///< name of the upstream set that serves it
    std::string model; ///< for Generate: name of a model of the bundle
    std::string adapter; ///< for Generate: optional adapter of that model
    bool repeatable = true; ///< false: may run at most once per Idempotency-Key
};

/// A stage of work in pieces that must finish before the stages of a relayed pipeline:
/// each piece is an item of a batched call, and its result stays at the upstream that
/// produced it.
struct PieceStageSpec {
    std::string upstream_set; ///< a set with a BatchSpec
    std::vector<std::size_t> after; ///< indices of the piece stages whose results it needs
    std::int64_t result_bytes = 0; ///< approximate size of one result
};

/// A named sequence of stages that answers one kind of request.
struct PipelineSpec {
    std::string name;
    int priority = kLowestPriority;
    Micros deadline = 4 * kSecond; ///< default and upper bound of a request's deadline
    bool stream = false; ///< the answer is sent as server-sent events
    std::vector<StageSpec> stages;

    /// True if the caller's request and the upstream's answer pass through
    /// unchanged.  Such a pipeline has one stage, is selected by host and path, and
    /// needs no claim: each request is a separate attempt and is sent once.
    bool relayed = false;
    std::string host; ///< relayed: value of the Host header
    std::string path_prefix; ///< relayed: begins and ends with a slash
    double weight = 1; ///< among pipelines of the same host and path prefix
    bool anonymous = false; ///< relayed: needs no credential
    bool resumable = false; ///< relayed stream: may be resumed at another upstream
    int max_attempts = 0; ///< upstreams per request; 0: the scheduler's limit
    Micros target_latency = 0; ///< answers within this time count as prompt; 0: no target
    std::vector<PieceStageSpec> piece_stages;
    /// Regions in which requests may be processed; nothing: all; an empty list: none.
    std::optional<std::vector<std::string>> regions;

    /// True if every stage may be repeated.
    bool repeatable() const;
};

using PipelineSpecPtr = std::shared_ptr<const PipelineSpec>;

/// The pipelines of a bundle, in order.  Bundles share the pipelines that they have in
/// common, so that a new version costs what it changes.
class PipelineList {
public:
    using Items = std::vector<PipelineSpecPtr>;
    using const_iterator = boost::indirect_iterator<Items::const_iterator>;

    PipelineList() = default;
    PipelineList(std::initializer_list<PipelineSpec> specs)
    {
        for (const PipelineSpec& spec : specs)
            push_back(spec);
    }

    void push_back(PipelineSpec spec)
    {
        m_items.push_back(std::make_shared<const PipelineSpec>(std::move(spec)));
    }
    void push_back(PipelineSpecPtr spec) { m_items.push_back(std::move(spec)); }
    void replace(std::size_t at, PipelineSpec spec)
    {
        m_items.at(at) = std::make_shared<const PipelineSpec>(std::move(spec));
    }
    void reserve(std::size_t count) { m_items.reserve(count); }

    std::size_t size() const { return m_items.size(); }
    bool empty() const { return m_items.empty(); }
    const PipelineSpec& operator[](std::size_t at) const { return *m_items[at]; }
    const PipelineSpec& back() const { return *m_items.back(); }
    const_iterator begin() const { return m_items.begin(); }
    const_iterator end() const { return m_items.end(); }
    const Items& items() const { return m_items; }

private:
    Items m_items;
};

/// Text from which consecutive pipelines of a bundle were decoded.
struct PipelineSource {
    std::uint64_t hash = 0; ///< of the text
    std::uint32_t bytes = 0; ///< length of the text
    std::uint32_t pipelines = 0; ///< number of pipelines
};

/// How the upstreams of a set batch pieces of several requests into one call.
struct BatchSpec {
    int items = 1; ///< maximum number of pieces in one call
    int queue = 0; ///< maximum number of calls that wait at one upstream
    Micros call_time = 0; ///< fixed part of a call's duration
    Micros item_time = 0; ///< approximate duration that each piece adds
    double memory_mb = 0; ///< for results at one upstream; 0: limit unknown
    Micros retention_time = 0; ///< a result that is not released is kept for this time

    bool operator==(const BatchSpec&) const = default;
};

/// Reduced capacity of an upstream just after its start.
struct ColdSpec {
    Micros time = 0; ///< an upstream is cold for this time after its start; 0: never
    double per_s = 0; ///< requests a second that a cold upstream can take; 0: unknown

    bool operator==(const ColdSpec&) const = default;
};

/// Upstreams of one kind, grouped by hall.
struct UpstreamSetSpec {
    std::string name;
    std::string kind; ///< name of an upstream-kind plug-in
    int slots = 1; ///< calls that one upstream runs concurrently
    bool checks_fence = false; ///< upstreams refuse orders with an older fencing token
    bool deduplicates = false; ///< runs a key at most once; refuses it with another body
    int max_connections = 0; ///< to one upstream from all daemons; 0: limit unknown
    std::int64_t memory_tokens = 0; ///< for prompts and answers; for sets of engines
    std::optional<BatchSpec> batch; ///< for sets that produce pieces
    ColdSpec cold;
    std::map<std::string, std::vector<std::string>> halls; ///< hall to "ip:port"

    /// True if one daemon requests the pieces or places the prompts for all daemons.
    bool has_leader() const { return batch || memory_tokens > 0; }

    bool operator==(const UpstreamSetSpec&) const = default;
};

/// A client account and its limits.
struct AccountSpec {
    std::string name;
    std::string credential_sha256; ///< hex digest of the bearer credential
    double rate = 100; ///< requests per second over all daemons
    double burst = 100; ///< requests that may arrive at once
    std::vector<std::string> additional_credentials {}; ///< hex digests, also accepted
    int priority = 0; ///< takes precedence over the pipeline's priority
    /// Regions in which requests may be processed; nothing: all; an empty list: none.  The
    /// pipeline's regions apply as well.
    std::optional<std::vector<std::string>> regions {};
};

/// A model and the adapters that may be loaded with it.
struct ModelSpec {
    std::string name;
    std::vector<std::string> adapters;

    bool operator==(const ModelSpec&) const = default;
};

/// Limits on a caller's requests, as operators set them; 0: the value in the settings.
struct CallerLimits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    Micros header_time = 0;
    Micros idle_time = 0;
};

/// The unit of configuration that operators publish.
struct Bundle {
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t builds_on = 0; ///< version that this one replaces; 0 for the first
    std::vector<ModelSpec> models;
    std::vector<UpstreamSetSpec> upstream_sets;
    PipelineList pipelines;
    /// Sources of all pipelines, in order; empty if they were not decoded one by one.
    std::vector<PipelineSource> sources;
    std::vector<AccountSpec> accounts;
    /// Relayed requests need the credential of an account, also where no account has one;
    /// pipelines for anonymous callers don't.
    bool requires_credential = false;
    CallerLimits limits;
};

/// Parses and checks the YAML form.  Reports all faults, not only the first.
tl::expected<Bundle, std::vector<Fault>> parse_bundle_yaml(std::string_view text);

/// Parses the canonical form, which is stored in the log.
Result<Bundle> parse_bundle_json(std::string_view text);

/// The canonical form: JSON with a fixed order of members and no white space.  Equal
/// bundles give equal bytes; the signature covers these.
std::string canonical_json(const Bundle& bundle);

/// Checks that the parts of a bundle are consistent with each other.  `checked`: a bundle
/// without faults, whose pipelines are not checked again; null: none.
std::vector<Fault> check_bundle(const Bundle& bundle, const Bundle* checked = nullptr);

/// Positions of the pipelines in `now` that are not shared with `before`, in order.
std::vector<std::size_t> positions_of_new(const PipelineList& now,
                                          const PipelineList& before);

} // namespace cypressford
