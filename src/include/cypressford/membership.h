// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which daemons of a hall are alive, as far as one of them can determine.  Correctness
/// must not depend on it: it only divides work that two daemons may do without
/// harm, and counts the daemons that share the hall's upstreams.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/bundle.h>

namespace cypressford {

/// A daemon's description of itself, which peers pass on.
struct MemberInfo {
    std::string address; ///< peers' address, "ip:port"
    std::string node;
    std::uint64_t incarnation = 0; ///< drawn at random when the process starts
    std::uint64_t started_ms = 0; ///< wall clock; a later process replaces an earlier one
    std::uint64_t heartbeat = 0; ///< increases while the process runs
    bool stopping = false;
};

enum class MemberState : unsigned char { Alive, Suspect, Dead };

/// Times after which an unresponsive member is suspected, considered dead and forgotten.
struct MembershipOptions {
    Micros suspect_after = 6 * kSecond;
    Micros dead_after = 30 * kSecond;
    Micros forget_after = 600 * kSecond;
};

/// The view of one daemon.  The caller passes the time; no clock is read here.
class Membership {
public:
    Membership(MemberInfo self, MembershipOptions options)
        : m_self(std::move(self))
        , m_options(options)
    {
    }

    /// Advances this daemon's heartbeat.  A long gap since the last call means that this
    /// process was suspended; missing heartbeats of peers then prove nothing about them.
    void advance_heartbeat(Micros now);
    void set_stopping() { m_self.stopping = true; }

    /// Takes information about a member, received from it or from another peer.
    void on_member_info(const MemberInfo& info, Micros now);

    /// Takes a keepalive of a known member; false if the member is unknown, so that
    /// its full information has to be requested.
    bool on_keepalive(std::uint64_t id, std::uint64_t heartbeat, bool stopping, Micros now);

    /// Id of a process in keepalives.
    static std::uint64_t id_of(const MemberInfo& info);

    MemberState state(std::string_view address, Micros now) const;

    /// Addresses of the other members that are alive or only suspected.
    std::vector<std::string> other_members(Micros now) const;

    /// Number of live daemons that accept callers, including this one.
    int serving_count(Micros now) const;

    /// True if this daemon is one of the `count` daemons responsible for the task,
    /// selected by rendezvous hashing among the live ones.
    bool is_chosen(std::string_view task, int count, Micros now) const;

    const MemberInfo& self() const { return m_self; }
    /// All known members, including this one, to be passed on.
    std::vector<MemberInfo> all(Micros now) const;

private:
    struct Member {
        MemberInfo info;
        Micros received_at = 0; ///< when its heartbeat last increased
    };

    MemberState state_of(const Member& member, Micros now) const;

    MemberInfo m_self;
    MembershipOptions m_options;
    std::map<std::string, Member, std::less<>> m_members;
    std::map<std::uint64_t, std::string> m_by_id; ///< id to address
    Micros m_last_beat = -1;
};

/// Fraction of an account's rate that a daemon may grant: in proportion to the recent
/// admissions of it and its peers, and never less than half an equal fraction, so
/// that all fractions together stay below one and a half times the rate.
double account_share(double own_rate, double all_rates, int daemons);

} // namespace cypressford
