// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Adds upstreams that the platform lists to snapshots, and removes them.

#include <algorithm>
#include <set>

#include <cypressford/upstream.h>

namespace cypressford {

namespace {

using Upstreams = std::vector<std::shared_ptr<UpstreamState>>;

UpstreamSet*
find_set(Snapshot& snapshot, const std::string& name)
{
    for (UpstreamSet& set : snapshot.sets)
        if (set.spec.name == name)
            return &set;
    return nullptr;
}

/// Upstreams of a set are sorted by identity, the order of the platform's list.
Upstreams::iterator
position_of(Upstreams& upstreams, const std::string& identity)
{
    return std::lower_bound(
        upstreams.begin(), upstreams.end(), identity,
        [](const auto& state, const std::string& id) { return state->identity < id; });
}

} // namespace

void
UpstreamState::apply_spec(const UpstreamSetSpec& spec)
{
    cold.set_spec(spec.cold);
    configured_slots.store(spec.slots, std::memory_order_relaxed);
    self_report->limit().set_has_leader(spec.has_leader());
    self_report->rejections().set_has_leader(spec.has_leader());
}

void
UpstreamTable::add_members(Snapshot& snapshot, const std::vector<UpstreamMember>& members)
{
    for (const UpstreamMember& member : members)
        if (UpstreamSet* set = find_set(snapshot, member.upstream_set))
            add_member(*set, member);
}

void
UpstreamTable::add_member(UpstreamSet& set, const UpstreamMember& member)
{
    auto state = upstream(member.address, member.hall, {member.identity, member.born},
                          member.version);
    state->slots.store(member.slots, std::memory_order_relaxed);
    if (member.leaving)
        state->mark_leaving();
    state->apply_spec(set.spec);
    state->cold.mark_cold_until(member.cold_until);
    Upstreams& side = member.hall == m_hall ? set.own : set.remote;
    side.insert(position_of(side, member.identity), std::move(state));
    ++set.versions[member.version];
    set.revision = m_generation;
}

void
UpstreamTable::remove_member(Snapshot& snapshot, const UpstreamMember& member)
{
    UpstreamSet* set = find_set(snapshot, member.upstream_set);
    if (!set)
        return;
    Upstreams& side = member.hall == m_hall ? set->own : set->remote;
    const auto at = position_of(side, member.identity);
    if (at != side.end() && (*at)->identity == member.identity) {
        const auto version = set->versions.find((*at)->version);
        if (version != set->versions.end() && --version->second == 0)
            set->versions.erase(version);
        side.erase(at);
    }
    set->revision = m_generation;
}

SnapshotPtr
UpstreamTable::update(const Snapshot& before, ResolvedBundlePtr bundle,
                      const std::vector<MemberChange>& changes)
{
    if (bundle->sets != before.bundle->sets)
        return nullptr;
    const std::lock_guard lock(m_mutex);
    auto snapshot = std::make_shared<Snapshot>(before);
    snapshot->bundle = std::move(bundle);
    snapshot->generation = ++m_generation;
    for (const MemberChange& change : changes) {
        if (change.before)
            remove_member(*snapshot, *change.before);
        if (change.now)
            if (UpstreamSet* set = find_set(*snapshot, change.now->upstream_set))
                add_member(*set, *change.now);
        if (!change.before)
            continue;
        const std::string key_before = key_of(*change.before);
        const auto known = m_upstreams.find(key_before);
        const bool is_listed = change.now && key_of(*change.now) == key_before;
        if (is_listed || known == m_upstreams.end())
            continue;
        const bool is_run_listed = change.now
            && UpstreamRun {change.now->identity, change.now->born} == known->second->run();
        retire(*known->second, is_run_listed);
        m_upstreams.erase(known);
    }
    return snapshot;
}

/// Upstreams without an identity come from the bundle and are not in the platform's list.
void
UpstreamTable::retire_unlisted(const std::vector<UpstreamMember>& members)
{
    std::set<std::string> listed;
    std::set<UpstreamRun> listed_runs;
    for (const UpstreamMember& member : members) {
        listed.insert(key_of(member));
        listed_runs.insert({member.identity, member.born});
    }
    std::erase_if(m_upstreams, [&](const auto& item) {
        const bool unlisted
            = !item.second->identity.empty() && !listed.contains(item.first);
        if (unlisted)
            retire(*item.second, listed_runs.contains(item.second->run()));
        return unlisted;
    });
}

void
UpstreamTable::retire(UpstreamState& upstream, bool is_run_listed)
{
    upstream.mark_leaving();
    if (!is_run_listed)
        m_reports.unlist(upstream.run());
}

} // namespace cypressford
