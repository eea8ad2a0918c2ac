// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which daemons of a hall are alive, as far as one of them can tell.  Nothing
/// that must be right rests on it: it only divides work that does no harm when
/// two do it, and says how many share the hall's upstreams.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/bundle.h>

namespace cypressford {

/// What one daemon says of itself, and others pass on.
struct MemberInfo {
    std::string address; ///< peers' address, "ip:port"
    std::string node;
    std::uint64_t incarnation = 0; ///< drawn when the process starts
    std::uint64_t started_ms = 0; ///< wall clock; a later process replaces an earlier one
    std::uint64_t heartbeat = 0; ///< grows while the process runs
    bool stopping = false;
};

enum class MemberState : unsigned char { Alive, Suspect, Dead };

/// Times after which a silent member is suspected and taken for dead.
struct MembershipOptions {
    Micros suspect_after = 6 * kSecond;
    Micros dead_after = 30 * kSecond;
    Micros forget_after = 600 * kSecond;
};

/// The view of one daemon.  Time comes in; there is no clock here.
class Membership {
public:
    Membership(MemberInfo self, MembershipOptions options)
        : m_self(std::move(self))
        , m_options(options)
    {
    }

    /// This daemon lives on.  A gap since the last call means that this process
    /// was paused itself; then the others' silence says nothing about them.
    void beat(Micros now);
    void set_stopping() { m_self.stopping = true; }

    /// Takes what was heard of a member, at first or second hand.
    void hear(const MemberInfo& info, Micros now);

    /// Takes a sign of life of a member that is known already; false if it is
    /// not, so that it has to be asked for in full.
    bool hear_beat(std::uint64_t id, std::uint64_t heartbeat, bool stopping, Micros now);

    /// Names a process in signs of life.
    static std::uint64_t id_of(const MemberInfo& info);

    MemberState state(std::string_view address, Micros now) const;

    /// Addresses of the others that are alive or only suspected.
    std::vector<std::string> others(Micros now) const;

    /// Live daemons that take callers, this one among them.
    int serving(Micros now) const;

    /// True if this daemon is one of the `count` that see to the task, chosen
    /// by rendezvous hashing among the live ones.
    bool is_chosen(std::string_view task, int count, Micros now) const;

    const MemberInfo& self() const { return m_self; }
    /// All that is known, to be passed on.
    std::vector<MemberInfo> all(Micros now) const;

private:
    struct Member {
        MemberInfo info;
        Micros heard_at = 0; ///< when its heartbeat last grew
    };

    MemberState state_of(const Member& member, Micros now) const;

    MemberInfo m_self;
    MembershipOptions m_options;
    std::map<std::string, Member, std::less<>> m_members;
    std::map<std::uint64_t, std::string> m_by_id; ///< id to address
    Micros m_last_beat = -1;
};

/// Part of an account's rate that a daemon may give out: in proportion to what
/// it and its peers admitted lately, and never less than half an even part, so
/// that all parts together stay below one and a half times the rate.
double account_share(double own_rate, double all_rates, int daemons);

} // namespace cypressford
