// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/membership.h>

#include <algorithm>

#include "libutil/crypto.h"

namespace cypressford {

void
Membership::advance_heartbeat(Micros now)
{
    const Micros gap = m_last_beat < 0 ? 0 : now - m_last_beat;
    if (gap > m_options.suspect_after)
        for (auto& [address, member] : m_members)
            member.received_at += gap;
    m_last_beat = now;
    ++m_self.heartbeat;
}

void
Membership::on_member_info(const MemberInfo& info, Micros now)
{
    if (info.address == m_self.address || info.address.empty())
        return;
    auto [it, fresh] = m_members.try_emplace(info.address);
    Member& member = it->second;
    const bool replaces = info.incarnation != member.info.incarnation
        && info.started_ms >= member.info.started_ms;
    const bool grows = info.incarnation == member.info.incarnation
        && info.heartbeat > member.info.heartbeat;
    if (!fresh && !replaces && !grows)
        return;
    const bool was_stopping = grows && member.info.stopping;
    member.info = info;
    member.info.stopping = info.stopping || was_stopping;
    member.received_at = now;
    m_by_id[id_of(info)] = info.address;
}

bool
Membership::on_keepalive(std::uint64_t id, std::uint64_t heartbeat, bool stopping,
                         Micros now)
{
    if (id == id_of(m_self))
        return true;
    auto it = m_by_id.find(id);
    if (it == m_by_id.end())
        return false;
    const Member& member = m_members.at(it->second);
    if (id_of(member.info) != id)
        return true; // keepalive of a process that has been replaced
    MemberInfo info = member.info;
    info.heartbeat = heartbeat;
    info.stopping = stopping;
    on_member_info(info, now);
    return true;
}

std::uint64_t
Membership::id_of(const MemberInfo& info)
{
    return fast_hash(info.address, info.incarnation);
}

MemberState
Membership::state_of(const Member& member, Micros now) const
{
    const Micros since_heartbeat = now - member.received_at;
    if (since_heartbeat < m_options.suspect_after)
        return MemberState::Alive;
    return since_heartbeat < m_options.dead_after ? MemberState::Suspect
                                                  : MemberState::Dead;
}

MemberState
Membership::state(std::string_view address, Micros now) const
{
    auto it = m_members.find(address);
    return it == m_members.end() ? MemberState::Dead : state_of(it->second, now);
}

std::vector<std::string>
Membership::other_members(Micros now) const
{
    std::vector<std::string> result;
    for (const auto& [address, member] : m_members)
        if (state_of(member, now) != MemberState::Dead)
            result.push_back(address);
    return result;
}

int
Membership::serving_count(Micros now) const
{
    const auto serves = [&](const auto& entry) {
        return state_of(entry.second, now) == MemberState::Alive
            && !entry.second.info.stopping;
    };
    const auto count = std::count_if(m_members.begin(), m_members.end(), serves);
    return static_cast<int>(count) + 1;
}

bool
Membership::is_chosen(std::string_view task, int count, Micros now) const
{
    const auto weight
        = [task](std::string_view address) { return fast_hash(address, fast_hash(task)); };
    const std::uint64_t own = weight(m_self.address);
    int ahead = 0;
    for (const auto& [address, member] : m_members)
        if (state_of(member, now) == MemberState::Alive && !member.info.stopping
            && weight(address) > own)
            ++ahead;
    return ahead < count;
}

std::vector<MemberInfo>
Membership::all(Micros now) const
{
    std::vector<MemberInfo> result {m_self};
    for (const auto& [address, member] : m_members)
        if (now - member.received_at < m_options.forget_after
            && state_of(member, now) != MemberState::Dead)
            result.push_back(member.info);
    return result;
}

double
account_share(double own_rate, double all_rates, int daemons)
{
    const double even = 1.0 / std::max(1, daemons);
    if (all_rates <= 0)
        return even;
    return std::clamp(own_rate / all_rates, even / 2, 1.0);
}

} // namespace cypressford
