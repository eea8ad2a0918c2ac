// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory.h>

#include <algorithm>
#include <utility>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// Removed identities are remembered for this time, so that a late record does not add them
/// again.
constexpr Micros kRemovedRetention = 120 * kSecond;
/// The ends of the cold time computed from the records of one start of an upstream differ
/// by at most this: records are up to one heartbeat old when they are read.  A later end
/// means a new start.
constexpr Micros kColdTolerance = 1500 * kMillisecond;

/// Order of a run of an upstream relative to the known run of its identity.
enum class RunOrder : unsigned char { Older, Same, Newer };

/// A run without a start time counts as older than any run with one: an upstream that
/// reports its start does so in every record, so the record is not its own.
RunOrder
order_of(std::int64_t born, std::int64_t known)
{
    if (born == known)
        return RunOrder::Same;
    if (born < known)
        return mutated(Mutation::TakeOlderRun) ? RunOrder::Newer : RunOrder::Older;
    return RunOrder::Newer;
}

} // namespace

std::string_view
to_string(DirectoryTopic topic)
{
    switch (topic) {
    case DirectoryTopic::Configuration:
        return "configuration";
    case DirectoryTopic::Upstreams:
        return "upstreams";
    case DirectoryTopic::Daemons:
        return "daemons";
    case DirectoryTopic::Suspects:
        return "suspects";
    case DirectoryTopic::Versions:
        return "versions";
    case DirectoryTopic::Origins:
        break;
    }
    return "origins";
}

bool
DirectoryFold::offer_configuration(Bundle bundle)
{
    const bool is_older = m_configuration && bundle.version <= m_configuration->version;
    if (is_older && !mutated(Mutation::ConfigurationGoesBack))
        return false;
    m_configuration = std::move(bundle);
    return true;
}

void
DirectoryFold::begin_listing()
{
    for (auto& [identity, known] : m_known)
        known.listed = false;
}

void
DirectoryFold::end_listing(Micros now, bool after_outage)
{
    for (auto& [identity, known] : m_known)
        if (!known.listed)
            schedule_removal(known, now, after_outage);
    if (std::exchange(m_was_listed, true)) {
        m_was_relisted = true;
        ++m_revision;
    }
}

bool
DirectoryFold::apply(const UpstreamRecord& record, Micros now)
{
    auto [it, is_new] = m_known.try_emplace(record.member.identity);
    Known& known = it->second;
    known.listed = true;
    const RunOrder order = order_of(record.member.born, known.member.born);
    if (!is_new && order == RunOrder::Older)
        return false;
    if (order == RunOrder::Newer) {
        // A new run numbers its records anew, and no state of the previous run applies.
        std::optional<UpstreamMember> reported = std::move(known.reported);
        known = {};
        known.reported = std::move(reported);
        known.listed = true;
        is_new = true;
    }
    // A record that was written late is older than the known state.
    const bool is_older = record.sequence < known.sequence;
    if (!is_new && is_older && !mutated(Mutation::ReturnOfGone))
        return false;
    const bool is_ending = !known.present || known.removal_at >= 0;
    if (is_ending && record.sequence == known.sequence)
        return false;
    UpstreamMember member = record.member;
    member.leaving |= known.member.leaving;
    const Micros cold_until
        = record.remaining_cold_time > 0 ? now + record.remaining_cold_time : 0;
    member.cold_until = cold_until > known.member.cold_until + kColdTolerance
        ? cold_until
        : known.member.cold_until;
    const bool changed = is_new || !known.present || !(member == known.member);
    known.sequence = record.sequence;
    known.present = true;
    // The return of an upstream that was due for removal must be passed on to other
    // daemons.
    const bool returned = known.removal_at >= 0;
    known.removal_at = -1;
    known.member = std::move(member);
    if (changed) {
        const UpstreamMember& applied = known.member;
        m_applied_versions[applied.upstream_set].insert(applied.version);
        mark_changed(record.member.identity);
    }
    return changed || returned;
}

bool
DirectoryFold::is_outdated(const UpstreamRecord& record) const
{
    const auto it = m_known.find(record.member.identity);
    if (it == m_known.end())
        return false;
    const RunOrder order = order_of(record.member.born, it->second.member.born);
    return order == RunOrder::Older
        || (order == RunOrder::Same && record.sequence < it->second.sequence);
}

void
DirectoryFold::mark_listed(const std::string& identity)
{
    if (const auto it = m_known.find(identity); it != m_known.end())
        it->second.listed = true;
}

void
DirectoryFold::drop(const std::string& identity, Micros now, bool after_outage)
{
    auto it = m_known.find(identity);
    if (it != m_known.end())
        schedule_removal(it->second, now, after_outage);
}

void
DirectoryFold::schedule_removal(Known& known, Micros now, bool after_outage)
{
    if (!known.present || known.removal_at >= 0)
        return;
    const bool is_kept = after_outage && !known.member.leaving;
    known.removal_at = now + (is_kept ? m_removal_grace_period : 0);
    m_expiry_due = std::min(m_expiry_due, known.removal_at);
}

void
DirectoryFold::mark_changed(const std::string& identity)
{
    m_changed.insert(identity);
    ++m_revision;
}

void
DirectoryFold::expire(Micros now)
{
    if (m_evacuations.expire(now))
        ++m_revision;
    if (now < m_expiry_due)
        return;
    m_expiry_due = std::numeric_limits<Micros>::max();
    for (auto it = m_known.begin(); it != m_known.end();) {
        Known& known = it->second;
        if (known.present && known.removal_at >= 0 && known.removal_at <= now) {
            known.present = false;
            mark_changed(it->first);
        }
        const Micros forgotten_at = known.removal_at + kRemovedRetention;
        const bool is_known
            = known.present || forgotten_at >= now || m_changed.contains(it->first);
        if (known.removal_at >= 0 && is_known)
            m_expiry_due = std::min(m_expiry_due,
                                    known.present ? known.removal_at : forgotten_at + 1);
        it = is_known ? std::next(it) : m_known.erase(it);
    }
}

std::vector<MemberChange>
DirectoryFold::take_changes()
{
    std::vector<MemberChange> changes;
    for (const std::string& identity : m_changed) {
        Known& known = m_known.at(identity);
        std::optional<UpstreamMember> now;
        if (known.present)
            now = known.member;
        if (known.reported == now)
            continue;
        changes.push_back({std::move(known.reported), now});
        known.reported = std::move(now);
    }
    m_changed.clear();
    return changes;
}

std::vector<UpstreamMember>
DirectoryFold::members() const
{
    std::vector<UpstreamMember> result;
    for (const auto& [identity, known] : m_known)
        if (known.present)
            result.push_back(known.member);
    return result;
}

} // namespace cypressford
