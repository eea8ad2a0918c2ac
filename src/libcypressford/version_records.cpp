// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/version_records.h>

#include <algorithm>
#include <utility>

#include "cypressford.pb.h"

namespace cypressford {

std::string
encode(const VersionRecord& record)
{
    proto::VersionRecord out;
    if (record.version)
        out.set_version(*record.version);
    out.set_since_ms(record.since_ms);
    out.set_generation(record.generation);
    return out.SerializeAsString();
}

Result<VersionRecord>
decode_version_record(std::string_view bytes)
{
    proto::VersionRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || in.since_ms() <= 0)
        return fail(ErrorKind::BadRequest, "not a record of software versions");
    VersionRecord record;
    if (in.has_version())
        record.version = in.version();
    record.since_ms = in.since_ms();
    record.generation = in.generation();
    return record;
}

PresentVersions
present_versions(const Snapshot& snapshot)
{
    PresentVersions present;
    for (const UpstreamSet& set : snapshot.sets) {
        if (set.versions.empty())
            continue;
        const bool is_sole = set.versions.size() == 1;
        present[set.spec.name]
            = is_sole ? std::optional(set.versions.begin()->first) : std::nullopt;
    }
    return present;
}

bool
VersionRecords::observe(const PresentVersions& present, std::int64_t now_ms)
{
    bool changed = false;
    for (const auto& [set_name, version] : present) {
        const bool is_unnamed = version && version->empty();
        if (is_unnamed && !m_sets.contains(set_name))
            continue;
        const auto [at, is_new] = m_sets.try_emplace(set_name);
        State& state = at->second;
        if (!is_new && state.version == version)
            continue;
        state.version = version;
        state.since_ms = now_ms;
        state.is_known = !is_new;
        changed = true;
    }
    return changed;
}

void
VersionRecords::apply_listing(const std::vector<DirectoryRecord>& records,
                              LogGeneration generation, std::int64_t now_ms)
{
    for (auto& [set_name, state] : m_sets)
        state.stored.reset();
    for (const DirectoryRecord& record : records) {
        const auto at = m_sets.find(record.key);
        auto decoded = decode_version_record(record.value);
        if (at != m_sets.end() && decoded)
            at->second.stored = *std::move(decoded);
    }
    for (auto& [set_name, state] : m_sets) {
        const std::optional<VersionRecord>& stored = state.stored;
        const bool is_valid = stored && stored->version == state.version
            && stored->generation == generation && stored->since_ms <= now_ms;
        if (!state.is_known && is_valid)
            state.since_ms = std::min(state.since_ms, stored->since_ms);
        state.is_known = true;
    }
}

/// A record with a later time is safe: streams are refused for longer.
bool
VersionRecords::is_stored(const State& state, LogGeneration generation)
{
    const std::optional<VersionRecord>& stored = state.stored;
    return state.is_known && stored && stored->version == state.version
        && stored->generation == generation
        && (!state.version || stored->since_ms + kClockDifferenceMs >= state.since_ms);
}

std::vector<std::string>
VersionRecords::unconfirmed(LogGeneration generation) const
{
    std::vector<std::string> names;
    for (const auto& [set_name, state] : m_sets)
        if (!is_stored(state, generation))
            names.push_back(set_name);
    return names;
}

std::optional<VersionRecord>
VersionRecords::missing_record(const std::string& set_name, LogGeneration generation) const
{
    const auto at = m_sets.find(set_name);
    if (at == m_sets.end() || !at->second.is_known || is_stored(at->second, generation))
        return std::nullopt;
    return VersionRecord {at->second.version, at->second.since_ms, generation};
}

void
VersionRecords::mark_written(const std::string& set_name, const VersionRecord& record)
{
    if (const auto at = m_sets.find(set_name); at != m_sets.end())
        at->second.stored = record;
}

RecordedVersions
VersionRecords::sole() const
{
    RecordedVersions result;
    for (const auto& [set_name, state] : m_sets)
        if (state.is_known && state.version)
            result[set_name] = {state.version, state.since_ms, 0};
    return result;
}

} // namespace cypressford
