// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/directory.h>

#include <algorithm>

#include <cypressford/mutation.h>

namespace cypressford {

namespace {

/// Identities that are gone are remembered this long, so that a late record of
/// theirs does not bring them back.
constexpr Micros kRememberGone = 120 * kSecond;
/// Records of one start of an upstream place the end of its cold time within this: they
/// are up to one heartbeat old when they are read.  A later end is a new start.
constexpr Micros kColdTolerance = 1500 * kMillisecond;

/// A run of an upstream against the one that is known of its identity.
enum class RunOrder : unsigned char { Older, Same, Newer };

/// One that does not tell its start is older than any that does: an upstream that tells it
/// always does, so the record is another writer's.
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
        break;
    }
    return "suspects";
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
            vanish(known, now, after_outage);
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
        // Its records count anew, and nothing that the run before said holds for it.
        std::optional<UpstreamMember> told = std::move(known.told);
        known = {};
        known.told = std::move(told);
        known.listed = true;
        is_new = true;
    }
    // A record that was written late is older than what is known.
    const bool is_older = record.sequence < known.sequence;
    if (!is_new && is_older && !mutated(Mutation::ReturnOfGone))
        return false;
    const bool is_ending = !known.present || known.gone_at >= 0;
    if (is_ending && record.sequence == known.sequence)
        return false;
    UpstreamMember member = record.member;
    member.leaving |= known.member.leaving;
    const Micros cold_until = record.cold_left > 0 ? now + record.cold_left : 0;
    member.cold_until = cold_until > known.member.cold_until + kColdTolerance
        ? cold_until
        : known.member.cold_until;
    const bool changed = is_new || !known.present || !(member == known.member);
    known.sequence = record.sequence;
    known.present = true;
    // One that was thought to be gone is news to whoever else thinks so.
    const bool returned = known.gone_at >= 0;
    known.gone_at = -1;
    known.member = std::move(member);
    if (changed)
        note_changed(record.member.identity);
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
DirectoryFold::note_listed(const std::string& identity)
{
    if (const auto it = m_known.find(identity); it != m_known.end())
        it->second.listed = true;
}

void
DirectoryFold::drop(const std::string& identity, Micros now, bool after_outage)
{
    auto it = m_known.find(identity);
    if (it != m_known.end())
        vanish(it->second, now, after_outage);
}

void
DirectoryFold::vanish(Known& known, Micros now, bool after_outage)
{
    if (!known.present || known.gone_at >= 0)
        return;
    const bool believed = after_outage && !known.member.leaving;
    known.gone_at = now + (believed ? m_vanish_grace : 0);
    m_expiry_due = std::min(m_expiry_due, known.gone_at);
}

void
DirectoryFold::note_changed(const std::string& identity)
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
        if (known.present && known.gone_at >= 0 && known.gone_at <= now) {
            known.present = false;
            note_changed(it->first);
        }
        const Micros forgotten_at = known.gone_at + kRememberGone;
        const bool is_known
            = known.present || forgotten_at >= now || m_changed.contains(it->first);
        if (known.gone_at >= 0 && is_known)
            m_expiry_due
                = std::min(m_expiry_due, known.present ? known.gone_at : forgotten_at + 1);
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
        if (known.told == now)
            continue;
        changes.push_back({std::move(known.told), now});
        known.told = std::move(now);
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
