// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which upstream of a set of engines reads a prompt: decided at the daemon that
/// leads the set, which sees the prompts of all daemons.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <cypressford/call_dialect.h>
#include <cypressford/engine_ring.h>
#include <cypressford/limit_word.h>
#include <cypressford/policy.h>
#include <cypressford/reach_table.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// A prompt that is to be read.
struct PromptQuery {
    std::string attempt;
    std::vector<PrefixPart> parts; ///< in order
    std::int64_t tokens = 0; ///< of the whole prompt
    std::uint64_t affinity = 0; ///< breaks ties the same way each time
    std::string near; ///< hall where what it reads besides lies; may be empty
    std::int64_t near_bytes = 0; ///< of that; they cross to an upstream of another hall
    /// Part of the upstreams of the request's pieces that each hall has; empty: none
    /// are needed.  A prompt's engine is found in a hall with that probability.
    std::map<std::string, double> hall_parts;
    std::vector<std::string> avoid; ///< identities
    LimitReports limits; ///< what the asking daemon has heard of limits of the set
    HallLimit halls; ///< it may be read there only
    std::string from; ///< hall of the daemon that will send it
    bool reserve = false; ///< false: only a question
};

/// Keeps, for each upstream, what prompts were sent there and not yet begun to be
/// answered, and which parts of prompts it must still hold.  Chooses the upstream
/// with the least left to read before this prompt's answer begins; among those that
/// are about as good, the first in an order that is the same at every daemon
/// (highest random weight), so that a new leader finds most prompts where the one
/// before it had them.  Of a set of thousands it looks at those that keep the prompt's
/// parts and at some that come first for the prompt, so that a choice costs the same
/// however many upstreams there are.  What it believes may be wrong (another leader, a
/// restarted upstream) and costs time only.
class PromptPlacer {
public:
    explicit PromptPlacer(PolicySwitches switches = {})
        : m_switches(switches)
    {
    }
    PromptPlacer(const PromptPlacer&) = delete;
    PromptPlacer& operator=(const PromptPlacer&) = delete;

    /// The chosen upstream, or null.  A reservation counts against the limit that the
    /// upstream names, if it names one.
    std::shared_ptr<UpstreamState> place(const UpstreamSet& set, const PromptQuery& query,
                                         Micros now);

    /// What the last reservation costs its upstream, for logs.
    struct Read {
        std::int64_t unread = 0; ///< tokens that it must read
        std::int64_t again = 0; ///< of these, tokens that another upstream keeps
    };
    const Read& last_read() const { return m_last_read; }
    /// How many upstreams the last choice looked at.
    std::size_t last_considered() const { return m_last_considered; }

    /// The answer began, so the prompt is read.
    void note_begun(const std::string& attempt);
    /// The answer ended, or the request was cancelled.
    void note_ended(const std::string& attempt);
    /// The request could not be given to the upstream chosen for it.
    void record_unreachable(const std::string& attempt, Micros now);

private:
    struct KeptPart {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
    };
    /// What is believed of one upstream.
    struct Engine {
        std::int64_t unread = 0; ///< tokens of prompts that were not begun
        int running = 0; ///< requests
        Micros seen_at = 0; ///< among the upstreams of its set
        std::int64_t kept_tokens = 0;
        std::unordered_map<std::uint64_t, KeptPart> kept;
        std::list<std::uint64_t> by_use; ///< last used first
        std::weak_ptr<UpstreamState> upstream;
    };
    struct Placed {
        UpstreamRun run;
        std::int64_t unread = 0;
        Micros at = 0;
        std::string hall; ///< of the upstream
        std::string from; ///< hall of the daemon that sends it
    };

    struct Choice {
        std::shared_ptr<UpstreamState> upstream;
        double cost = 0;
        double weight = 0;
        bool is_near = false; ///< where the rest of what it reads lies, if that counts
        bool is_avoided = false; ///< failed for others lately
    };
    std::vector<UpstreamPtr> considered(const UpstreamSet& set, const PromptQuery& query,
                                        std::uint64_t key);
    std::vector<Choice> choices(const std::vector<UpstreamPtr>& upstreams,
                                const PromptQuery& query, std::uint64_t key, Micros now);
    std::uint64_t key_of(const PromptQuery& query) const;
    /// Some of the engines that keep most of the prompt.
    std::vector<Engine*> keepers_of(const PromptQuery& query) const;
    void keep(Engine& engine, const PrefixPart& part, std::int64_t capacity);
    void forget_part(Engine& engine, std::uint64_t part);
    static void leave_out_avoided(std::vector<Choice>& choices);
    static std::int64_t tokens_to_read(const Engine& engine, const PromptQuery& query);
    double cost(const UpstreamPtr& upstream, const PromptQuery& query, Micros now);
    std::int64_t tokens_known_elsewhere(const PromptQuery& query,
                                        std::int64_t unread) const;
    void reserve(const UpstreamState& upstream, const UpstreamSet& set,
                 const PromptQuery& query, Micros now);
    void expire(Micros now);

    PolicySwitches m_switches;
    std::unordered_map<UpstreamRun, Engine, UpstreamRunHash> m_engines;
    std::unordered_map<std::uint64_t, std::unordered_set<Engine*>> m_keepers; ///< by part
    EngineRing m_ring;
    std::size_t m_last_considered = 0;
    std::unordered_map<std::string, Placed> m_placed; ///< by attempt
    ReachTable m_reach;
    Micros m_expired_at = 0;
    Read m_last_read;
};

} // namespace cypressford
