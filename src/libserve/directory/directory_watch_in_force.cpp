// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a DirectoryWatch applies the directory's content on its daemon.

#include "libserve/directory/directory_watch.h"

#include <string>
#include <utility>

#include "libserve/streams/stream_origins.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

struct UpstreamCounts {
    std::size_t all = 0;
    std::size_t cold = 0;
};

UpstreamCounts
count_upstreams(const Snapshot& snapshot)
{
    const Micros now = monotonic_us();
    UpstreamCounts counts;
    for (const UpstreamSet& set : snapshot.sets)
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& upstream : *side) {
                ++counts.all;
                counts.cold += upstream->cold.is_cold(now) ? 1 : 0;
            }
    return counts;
}

} // namespace

void
DirectoryWatch::bring_into_force()
{
    DirectoryFold& fold = m_view.fold();
    fold.expire(monotonic_us());
    if (!m_view.can_serve(monotonic_us()))
        return;
    const Bundle* bundle = fold.configuration();
    const bool is_new = !m_applied || bundle->version != m_applied->version;
    if (!is_new && fold.revision() == m_applied_revision)
        return;
    const std::uint64_t version_before = m_applied ? m_applied->version : 0;
    const Micros resolve_started_at = monotonic_us();
    if (is_new)
        m_applied = m_kernel.upstreams.resolve(*bundle, m_applied);
    const Micros build_started_at = monotonic_us();
    m_applied_revision = fold.revision();
    const std::vector<MemberChange> changes = fold.take_changes();
    SnapshotPtr before = m_kernel.snapshot.load();
    if (!before)
        before = m_kernel.upstreams.build(m_applied, {});
    SnapshotPtr snapshot = m_kernel.upstreams.update(*before, m_applied, changes);
    const bool updated = snapshot != nullptr;
    if (!updated)
        snapshot = m_kernel.upstreams.build(m_applied, fold.members());
    m_evacuations.apply(fold.evacuations().halls(), *snapshot);
    m_kernel.snapshot.store(snapshot);
    update_sole_versions(*snapshot);
    const Micros build_us = monotonic_us() - build_started_at;
    if (is_new)
        LogEvent("configuration_in_force")
            .kv("version", m_applied->version)
            .kv("before", version_before)
            .kv("pipelines", m_applied->pipelines.size())
            .kv("decode_us", m_decode_us)
            .kv("resolve_us", build_started_at - resolve_started_at);
    const UpstreamCounts counts = count_upstreams(*snapshot);
    LogEvent("upstreams_in_force")
        .kv("revision", m_applied_revision)
        .kv("upstreams", counts.all)
        .kv("cold", counts.cold)
        .kv("changes", changes.size())
        .kv("whole", !updated)
        .kv("build_us", build_us);
    if (m_on_change)
        m_on_change();
}

/// Called after the snapshot is in force: a stream that began before is of a version that
/// was listed before.
void
DirectoryWatch::update_sole_versions(const Snapshot& snapshot)
{
    const auto before = m_kernel.sole_versions.load();
    const VersionsBySet applied = m_view.fold().take_applied_versions();
    VersionGaps gaps;
    gaps.is_unobserved = m_view.fold().take_was_relisted();
    if (before)
        gaps.brief_sets = sets_with_brief_versions(applied, *before, snapshot);
    if (m_on_versions)
        m_on_versions(snapshot, gaps.brief_sets);
    SoleVersions now
        = sole_versions(before ? *before : SoleVersions {}, snapshot, gaps, monotonic_us());
    if (before && *before == now)
        return;
    if (gaps.is_unobserved)
        LogEvent("versions_unobserved").kv("sets", now.size());
    const auto after = std::make_shared<const SoleVersions>(std::move(now));
    m_kernel.sole_versions.store(after);
    if (!before)
        return;
    for (const auto& [set_name, sole] : *before) {
        const auto now_sole = after->find(set_name);
        const bool is_same = now_sole != after->end()
            && now_sole->second.version == sole.version
            && !gaps.brief_sets.contains(set_name);
        if (is_same || !m_kernel.streams)
            continue;
        LogEvent("versions_differ")
            .kv("set", set_name)
            .kv("before", sole.version)
            .kv("brief", gaps.brief_sets.contains(set_name));
        m_kernel.streams->on_versions_differ(set_name);
    }
}

// ----------------------------------------------------------------- suspects

void
DirectoryWatch::apply_own_suspects(const std::string& key, const SuspectRecord& record)
{
    m_view.suspects().apply_unwritten(key, record);
    bring_suspects_into_force();
}

void
DirectoryWatch::mark_suspects_written(const std::string& key)
{
    m_view.suspects().mark_written(key);
}

std::vector<DirectoryRecord>
DirectoryWatch::lost_suspects(std::string_view prefix) const
{
    return m_view.lost_suspects(prefix);
}

std::vector<DirectoryRecord>
DirectoryWatch::lost_suspects_of_all() const
{
    const bool is_other_responsible = source().role != DirectoryRole::Root;
    return is_other_responsible ? std::vector<DirectoryRecord> {}
                                : m_view.lost_suspects("");
}

std::vector<std::string>
DirectoryWatch::outdated_suspects(std::size_t most) const
{
    const bool is_other_responsible = source().role != DirectoryRole::Root;
    return is_other_responsible ? std::vector<std::string> {}
                                : m_view.suspects().outdated(wall_ms(), most);
}

void
DirectoryWatch::bring_suspects_into_force()
{
    const SuspectTable& suspects = m_view.suspects();
    if (suspects.revision() == m_applied_suspects_revision)
        return;
    m_applied_suspects_revision = suspects.revision();
    SuspectViewPtr view = suspects.view();
    LogEvent("suspects_in_force", LogLevel::Warn)
        .kv("revision", m_applied_suspects_revision)
        .kv("watched", view->size())
        .kv("quarantined", view->count_quarantined());
    m_kernel.suspects.store(std::move(view));
}

} // namespace cypressford
