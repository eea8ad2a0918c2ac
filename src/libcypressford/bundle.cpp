// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/bundle.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <optional>
#include <set>
#include <unordered_set>

#include <boost/json.hpp>

#include "libutil/crypto.h"
#include "libutil/turn_giver.h"
#include "libutil/yaml_reader.h"

namespace cypressford {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> kStageKindNames {"encode", "retrieve", "rerank",
                                                           "generate", "call"};
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr int kMaxSlots = 4096;

std::optional<StageKind>
stage_kind(std::string_view name)
{
    const auto* it = std::find(kStageKindNames.begin(), kStageKindNames.end(), name);
    if (it == kStageKindNames.end())
        return std::nullopt;
    return static_cast<StageKind>(it - kStageKindNames.begin());
}

StageSpec
read_stage(const YAML::Node& node, std::vector<Fault>& faults)
{
    StageSpec stage;
    YamlMapReader reader(node, "stage", faults);
    std::string kind;
    reader.read("name", stage.name, true);
    reader.read("kind", kind, true);
    reader.read("upstreams", stage.upstream_set, true);
    reader.read("model", stage.model);
    reader.read("adapter", stage.adapter);
    reader.read("repeatable", stage.repeatable);
    reader.refuse_unknown_keys();
    if (auto parsed = stage_kind(kind))
        stage.kind = *parsed;
    else if (!kind.empty())
        reader.add(node, "stage: unknown kind '" + kind + "'");
    return stage;
}

PipelineSpec
read_pipeline(const YAML::Node& node, std::vector<Fault>& faults)
{
    PipelineSpec pipeline;
    YamlMapReader reader(node, "pipeline", faults);
    std::uint64_t deadline_ms = pipeline.deadline / kMillisecond;
    reader.read("name", pipeline.name, true);
    reader.read("priority", pipeline.priority, true);
    reader.read("deadline_ms", deadline_ms, true);
    reader.read("stream", pipeline.stream);
    reader.read("regions", pipeline.regions);
    reader.each("stages", [&](const YAML::Node& item) {
        pipeline.stages.push_back(read_stage(item, faults));
    });
    reader.refuse_unknown_keys();
    if (deadline_ms == 0 || deadline_ms > kMaxDeadlineMs)
        reader.add(node, "pipeline: deadline_ms must be 1 to 600000");
    pipeline.deadline = static_cast<Micros>(deadline_ms) * kMillisecond;
    return pipeline;
}

UpstreamSetSpec
read_upstream_set(const YAML::Node& node, std::vector<Fault>& faults)
{
    UpstreamSetSpec set;
    YamlMapReader reader(node, "upstream set", faults);
    reader.read("name", set.name, true);
    reader.read("kind", set.kind, true);
    reader.read("slots", set.slots, true);
    reader.read("checks_fence", set.checks_fence);
    reader.read("deduplicates", set.deduplicates);
    reader.read("halls", set.halls, true);
    std::uint64_t cold_ms = 0;
    reader.read("cold_ms", cold_ms);
    reader.read("cold_rate", set.cold.per_s);
    reader.refuse_unknown_keys();
    if (cold_ms > kMaxDeadlineMs)
        reader.add(node, "upstream set: cold_ms must be 0 to 600000");
    set.cold.time = static_cast<Micros>(cold_ms) * kMillisecond;
    return set;
}

AccountSpec
read_account(const YAML::Node& node, std::vector<Fault>& faults)
{
    AccountSpec account;
    YamlMapReader reader(node, "account", faults);
    reader.read("name", account.name, true);
    reader.read("credential_sha256", account.credential_sha256, true);
    reader.read("rate", account.rate, true);
    reader.read("burst", account.burst, true);
    reader.read("regions", account.regions);
    reader.refuse_unknown_keys();
    return account;
}

ModelSpec
read_model(const YAML::Node& node, std::vector<Fault>& faults)
{
    ModelSpec model;
    YamlMapReader reader(node, "model", faults);
    reader.read("name", model.name, true);
    reader.read("adapters", model.adapters);
    reader.refuse_unknown_keys();
    return model;
}

Bundle
read_bundle(const YAML::Node& root, std::vector<Fault>& faults)
{
    Bundle bundle;
    YamlMapReader reader(root, "bundle", faults);
    reader.read("name", bundle.name, true);
    reader.read("version", bundle.version, true);
    reader.read("builds_on", bundle.builds_on);
    reader.each("models", [&](const YAML::Node& item) {
        bundle.models.push_back(read_model(item, faults));
    });
    reader.each("upstreams", [&](const YAML::Node& item) {
        bundle.upstream_sets.push_back(read_upstream_set(item, faults));
    });
    reader.each("pipelines", [&](const YAML::Node& item) {
        bundle.pipelines.push_back(read_pipeline(item, faults));
    });
    reader.each("accounts", [&](const YAML::Node& item) {
        bundle.accounts.push_back(read_account(item, faults));
    });
    reader.refuse_unknown_keys();
    return bundle;
}

template <class T>
const T*
find_named(const std::vector<T>& items, std::string_view name)
{
    auto it = std::find_if(items.begin(), items.end(),
                           [&](const T& item) { return item.name == name; });
    return it == items.end() ? nullptr : &*it;
}

template <class List>
void
check_unique(const List& items, const char* what, std::vector<Fault>& faults)
{
    std::set<std::string> seen;
    for (const auto& item : items) {
        if (item.name.empty())
            faults.push_back({0, std::string(what) + " has no name"});
        else if (!seen.insert(item.name).second)
            faults.push_back(
                {0, std::string(what) + " '" + item.name + "' is defined twice"});
    }
}

/// False if a name at the `added` positions, which are in order, is empty or may occur
/// twice.  Among thousands of pipelines with few new ones, this takes a small part of the
/// time of check_unique().
bool
has_unique_names(const PipelineList& pipelines, const std::vector<std::size_t>& added)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(added.size());
    for (const std::size_t at : added) {
        if (pipelines[at].name.empty())
            return false;
        hashes.push_back(fast_hash(pipelines[at].name));
    }
    std::sort(hashes.begin(), hashes.end());
    if (std::adjacent_find(hashes.begin(), hashes.end()) != hashes.end())
        return false;
    auto next_added = added.begin();
    for (std::size_t at = 0; at < pipelines.size() && !hashes.empty(); ++at) {
        if (next_added != added.end() && *next_added == at)
            ++next_added;
        else if (std::binary_search(hashes.begin(), hashes.end(),
                                    fast_hash(pipelines[at].name)))
            return false;
    }
    return true;
}

void
check_generate(const Bundle& bundle, const PipelineSpec& pipeline, const StageSpec& stage,
               std::vector<Fault>& faults)
{
    const std::string where
        = "pipeline '" + pipeline.name + "' stage '" + stage.name + "': ";
    const ModelSpec* model = find_named(bundle.models, stage.model);
    if (!model) {
        faults.push_back({0, where + "unknown model '" + stage.model + "'"});
        return;
    }
    const auto& adapters = model->adapters;
    if (!stage.adapter.empty()
        && std::find(adapters.begin(), adapters.end(), stage.adapter) == adapters.end())
        faults.push_back({0, where + "model has no adapter '" + stage.adapter + "'"});
    if (!stage.repeatable)
        faults.push_back({0, where + "a generate stage must be repeatable"});
}

void
check_relayed(const Bundle& bundle, const PipelineSpec& pipeline,
              std::vector<Fault>& faults)
{
    const std::string where = "pipeline '" + pipeline.name + "': ";
    if (pipeline.stages.size() != 1)
        faults.push_back({0, where + "a relayed pipeline must have exactly one stage"});
    if (pipeline.host.empty() || !pipeline.path_prefix.starts_with('/')
        || !pipeline.path_prefix.ends_with('/'))
        faults.push_back(
            {0,
             where + "needs a host and a path prefix that begins and ends with a slash"});
    for (std::size_t at = 0; at < pipeline.piece_stages.size(); ++at) {
        const PieceStageSpec& stage = pipeline.piece_stages[at];
        const UpstreamSetSpec* set = find_named(bundle.upstream_sets, stage.upstream_set);
        if (!set || !set->batch)
            faults.push_back(
                {0, where + "no upstream set for pieces '" + stage.upstream_set + "'"});
        for (const std::size_t before : stage.after)
            if (before >= pipeline.piece_stages.size() || before == at)
                faults.push_back({0, where + "a piece stage depends on an invalid index"});
    }
}

void
check_pipeline(const Bundle& bundle, const PipelineSpec& pipeline,
               std::vector<Fault>& faults)
{
    const std::string where = "pipeline '" + pipeline.name + "': ";
    if (pipeline.relayed)
        check_relayed(bundle, pipeline, faults);
    if (pipeline.stages.empty() || pipeline.stages.size() > kMaxStages)
        faults.push_back({0, where + "needs 1 to 6 stages"});
    if (pipeline.priority < 0 || pipeline.priority > kLowestPriority)
        faults.push_back({0, where + "priority must be 0 to 9"});
    std::size_t once = 0;
    for (const auto& stage : pipeline.stages) {
        if (!find_named(bundle.upstream_sets, stage.upstream_set))
            faults.push_back(
                {0, where + "unknown upstream set '" + stage.upstream_set + "'"});
        if (stage.kind == StageKind::Generate && !pipeline.relayed)
            check_generate(bundle, pipeline, stage, faults);
        once += stage.repeatable ? 0 : 1;
    }
    if (once > 1)
        faults.push_back({0, where + "at most one stage may be non-repeatable"});
    const bool ends_in_generate
        = !pipeline.stages.empty() && pipeline.stages.back().kind == StageKind::Generate;
    if (pipeline.stream && !pipeline.relayed && (!ends_in_generate || once > 0))
        faults.push_back(
            {0, where + "a stream must end in a generate stage and be repeatable"});
}

bool
is_hex_digest(std::string_view text)
{
    constexpr std::size_t kSha256Hex = 64;
    return text.size() == kSha256Hex
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

json::array
to_json(const std::vector<std::string>& items)
{
    return json::array(items.begin(), items.end());
}

json::object
to_json(const StageSpec& stage)
{
    return {{"name", stage.name},
            {"kind", std::string(to_string(stage.kind))},
            {"upstreams", stage.upstream_set},
            {"model", stage.model},
            {"adapter", stage.adapter},
            {"repeatable", stage.repeatable}};
}

json::object
to_json(const PipelineSpec& pipeline)
{
    json::array stages;
    for (const auto& stage : pipeline.stages)
        stages.push_back(to_json(stage));
    json::object object {{"name", pipeline.name},
                         {"priority", pipeline.priority},
                         {"deadline_ms", pipeline.deadline / kMillisecond},
                         {"stream", pipeline.stream},
                         {"stages", std::move(stages)}};
    if (pipeline.regions)
        object["regions"] = to_json(*pipeline.regions);
    return object;
}

json::object
to_json(const UpstreamSetSpec& set)
{
    json::object halls;
    for (const auto& [hall, addresses] : set.halls)
        halls[hall] = to_json(addresses);
    json::object object {{"name", set.name},
                         {"kind", set.kind},
                         {"slots", set.slots},
                         {"checks_fence", set.checks_fence},
                         {"deduplicates", set.deduplicates},
                         {"halls", std::move(halls)}};
    // Default values are omitted, so that signatures of earlier bundles stay valid.
    if (set.cold.time > 0)
        object["cold_ms"] = set.cold.time / kMillisecond;
    if (set.cold.per_s > 0)
        object["cold_rate"] = set.cold.per_s;
    return object;
}

json::object
to_json(const AccountSpec& account)
{
    json::object object {{"name", account.name},
                         {"credential_sha256", account.credential_sha256},
                         {"rate", account.rate},
                         {"burst", account.burst}};
    if (account.regions)
        object["regions"] = to_json(*account.regions);
    return object;
}

} // namespace

std::string_view
to_string(StageKind kind)
{
    return kStageKindNames.at(static_cast<std::size_t>(kind));
}

bool
PipelineSpec::repeatable() const
{
    return std::all_of(stages.begin(), stages.end(),
                       [](const StageSpec& stage) { return stage.repeatable; });
}

std::vector<std::size_t>
positions_of_new(const PipelineList& now, const PipelineList& before)
{
    const PipelineList::Items& items = now.items();
    const PipelineList::Items& known = before.items();
    // Most versions change few pipelines, between two long runs of shared ones.
    const auto first
        = std::mismatch(items.begin(), items.end(), known.begin(), known.end());
    const auto last
        = std::mismatch(items.rbegin(), std::make_reverse_iterator(first.first),
                        known.rbegin(), std::make_reverse_iterator(first.second));
    const std::unordered_set<PipelineSpecPtr> between(first.second, last.second.base());
    std::vector<std::size_t> positions;
    for (auto at = first.first; at != last.first.base(); ++at)
        if (!between.contains(*at))
            positions.push_back(static_cast<std::size_t>(at - items.begin()));
    return positions;
}

std::vector<Fault>
check_bundle(const Bundle& bundle, const Bundle* checked)
{
    std::vector<Fault> faults;
    if (bundle.name.empty())
        faults.push_back({0, "bundle has no name"});
    if (bundle.version == 0 || bundle.builds_on >= bundle.version)
        faults.push_back({0, "version must be greater than builds_on"});
    check_unique(bundle.models, "model", faults);
    check_unique(bundle.upstream_sets, "upstream set", faults);
    // Pipelines refer to upstream sets and models.
    const bool may_share = checked && checked->models == bundle.models
        && checked->upstream_sets == bundle.upstream_sets;
    const std::vector<std::size_t> added = positions_of_new(
        bundle.pipelines, may_share ? checked->pipelines : PipelineList {});
    if (!has_unique_names(bundle.pipelines, added))
        check_unique(bundle.pipelines, "pipeline", faults);
    check_unique(bundle.accounts, "account", faults);
    TurnGiver turn_giver;
    for (const std::size_t at : added) {
        turn_giver.on_step();
        check_pipeline(bundle, bundle.pipelines[at], faults);
    }
    for (const auto& set : bundle.upstream_sets) {
        const std::string where = "upstream set '" + set.name + "': ";
        if (set.slots < 1 || set.slots > kMaxSlots)
            faults.push_back({0, where + "slots must be 1 to 4096"});
        if (!std::isfinite(set.cold.per_s) || set.cold.per_s < 0 || set.cold.time < 0)
            faults.push_back({0, where + "cold_ms and cold_rate must not be negative"});
    }
    for (const auto& account : bundle.accounts) {
        const bool positive = std::isfinite(account.rate) && std::isfinite(account.burst)
            && account.rate > 0 && account.burst >= 1;
        if (!is_hex_digest(account.credential_sha256) || !positive)
            faults.push_back(
                {0, "account '" + account.name + "': invalid digest, rate or burst"});
    }
    return faults;
}

tl::expected<Bundle, std::vector<Fault>>
parse_bundle_yaml(std::string_view text)
{
    std::vector<Fault> faults;
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        Bundle bundle = read_bundle(root, faults);
        // An operator who publishes no pipeline has most likely left them out by mistake.
        if (bundle.pipelines.empty())
            faults.push_back({0, "bundle has no pipeline"});
        if (faults.empty())
            faults = check_bundle(bundle);
        if (faults.empty())
            return bundle;
    } catch (const YAML::Exception& error) {
        faults.push_back({error.mark.line + 1, error.msg});
    }
    return tl::unexpected(std::move(faults));
}

Result<Bundle>
parse_bundle_json(std::string_view text)
{
    // JSON is a subset of YAML, so one reader and one set of checks serve both.
    auto bundle = parse_bundle_yaml(text);
    if (bundle)
        return *std::move(bundle);
    return fail(ErrorKind::BadRequest, bundle.error().front().message);
}

std::string
canonical_json(const Bundle& bundle)
{
    json::array models;
    for (const auto& model : bundle.models)
        models.push_back(
            json::object {{"name", model.name}, {"adapters", to_json(model.adapters)}});
    json::array sets;
    for (const auto& set : bundle.upstream_sets)
        sets.push_back(to_json(set));
    json::array pipelines;
    for (const auto& pipeline : bundle.pipelines)
        pipelines.push_back(to_json(pipeline));
    json::array accounts;
    for (const auto& account : bundle.accounts)
        accounts.push_back(to_json(account));
    const json::object root {{"name", bundle.name},
                             {"version", bundle.version},
                             {"builds_on", bundle.builds_on},
                             {"models", std::move(models)},
                             {"upstreams", std::move(sets)},
                             {"pipelines", std::move(pipelines)},
                             {"accounts", std::move(accounts)}};
    return json::serialize(root);
}

} // namespace cypressford
