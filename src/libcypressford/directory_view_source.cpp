// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// From which source a DirectoryView gets its records, and what it knows of the fleet.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <utility>

namespace cypressford {

namespace {

/// Time after this daemon's start within which daemons that start together announce
/// themselves.
constexpr Micros kDiscoveryTime = 600 * kMillisecond;
/// Discovery ends early once no new daemon has announced itself for this time.
constexpr Micros kDiscoveryQuietTime = 150 * kMillisecond;
/// Time for which the directory must have been read since it had this daemon's own record
/// until it holds those of all daemons that started with it: 2,000 records take 8 s.
constexpr Micros kFleetSettleTime = 10 * kSecond;
/// The most that one read counts for; after an outage, records are still to be written.
constexpr Micros kMaxSettleStep = 3 * kSecond;
/// The listed part of the daemons that a peer has met from which on all count as listed.
constexpr double kMinListedFraction = 0.75;

} // namespace

// ------------------------------------------------------------------ the fleet

/// After a kill of all daemons, those that start are in the directory; at a first start, or
/// if the fleet has grown, most are not.
bool
DirectoryView::are_joiners_listed() const
{
    if (!m_is_peer || !m_own || !m_listed.contains(m_own->node))
        return false;
    const auto listed = std::count_if(
        m_joiners.begin(), m_joiners.end(),
        [this](const std::string& node) { return m_listed.contains(node); });
    return static_cast<double>(1 + listed)
        >= kMinListedFraction * static_cast<double>(1 + m_joiners.size());
}

/// At a first start, the directory has the records of few daemons for some seconds.
bool
DirectoryView::knows_fleet() const
{
    if (!of(DirectoryTopic::Daemons).was_listed)
        return false;
    return !m_has_peers || m_is_settled || m_referral.fleet_size > 0
        || are_joiners_listed();
}

int
DirectoryView::fleet_size() const
{
    const bool is_counted = m_is_settled || are_joiners_listed();
    return is_counted ? m_daemons.alive() : m_referral.fleet_size;
}

/// Called whenever the records of daemons are known to be current.
void
DirectoryView::update_settled()
{
    if (!m_is_own_listed || m_is_settled)
        return;
    const Micros as_of = of(DirectoryTopic::Daemons).as_of;
    const Micros step = as_of - m_settled_as_of.value_or(as_of);
    m_settled_as_of = as_of;
    m_settling_time += std::min(step, kMaxSettleStep);
    m_is_settled = m_settling_time >= kFleetSettleTime;
    if (m_is_settled) {
        m_joiners.clear();
        m_listed.clear();
    }
}

// ----------------------------------------------------------------- the source

/// A referral is made by a daemon that many have met, so at a first start it is preferred
/// to the few records in the directory.
DirectorySource
DirectoryView::source() const
{
    if (knows_fleet())
        return m_daemons.source_for(m_hall);
    if (m_referral.role == DirectoryRole::Root)
        return {};
    for (const DaemonRecord& daemon : m_referral.daemons)
        if (m_daemons.is_available(daemon.peers_address))
            return {m_referral.role, daemon};
    const bool was_referred = !m_referral.daemons.empty();
    if (of(DirectoryTopic::Daemons).was_listed && (was_referred || !m_peers_answer))
        return m_daemons.source_for(m_hall);
    return {DirectoryRole::Fresh, std::nullopt};
}

bool
DirectoryView::needs_referral() const
{
    return source().role == DirectoryRole::Fresh;
}

void
DirectoryView::apply_referral(const DirectoryReferral& referral, Micros now)
{
    // Later referrals do not extend the time after which this daemon lists by itself.
    if (m_referral.daemons.empty())
        m_referred_at = now;
    m_referral = referral;
    m_peers_answer = true;
    for (const DaemonRecord& daemon : referral.daemons)
        m_daemons.apply(daemon, now);
}

void
DirectoryView::on_daemon_announced(const DaemonRecord& daemon, Micros now)
{
    if (!m_is_settled)
        m_joiners.insert(daemon.node);
    if (!m_daemons.apply(daemon, now))
        return;
    m_new_daemons.push_back(daemon);
    m_last_new_daemon_at = now;
}

DirectoryReferral
DirectoryView::refer(const DaemonRecord& requester) const
{
    if (!m_own)
        return {};
    DirectoryReferral referral = m_daemons.refer(requester, *m_own);
    if (const int size = fleet_size(); size > 0)
        referral.fleet_size = std::max(size, referral.met);
    return referral;
}

Micros
DirectoryView::time_until_referral(Micros now) const
{
    if (knows_fleet())
        return 0;
    const Micros quiet = std::max(m_started_at, m_last_new_daemon_at) + kDiscoveryQuietTime;
    return std::min(m_started_at + kDiscoveryTime, quiet) - now;
}

} // namespace cypressford
