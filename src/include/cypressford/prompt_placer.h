// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Chooses the upstream of a set of engines that reads a prompt.  Runs at the daemon that
/// leads the set, which sees the prompts of all daemons.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
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
#include <cypressford/upstream_speed.h>

namespace cypressford {

/// A prompt to be placed.
struct PromptQuery {
    std::string attempt;
    std::vector<PrefixPart> parts; ///< in order
    std::int64_t tokens = 0; ///< of the whole prompt
    std::uint64_t affinity = 0; ///< breaks ties the same way each time
    std::string near; ///< hall of the other inputs of the request; may be empty
    /// Bytes of these inputs; they cross to an upstream of another hall.
    std::int64_t near_bytes = 0;
    /// Each hall's fraction of the upstreams for the request's pieces; empty: no pieces are
    /// needed.  A hall is chosen for the prompt with that probability.
    std::map<std::string, double> hall_parts;
    std::vector<std::string> avoid; ///< identities of upstreams
    LimitReports limits; ///< limit reports that the requesting daemon has received
    /// The same for the calls that upstreams may reject.
    LimitReports rejections;
    HallLimit halls; ///< the only halls where the prompt may be read
    /// Software version of the stream that the answer continues; nothing: a new answer.
    std::optional<std::string> version;
    std::string from; ///< hall of the daemon that will send it
    bool reserve = false; ///< false: query only, nothing is recorded
};

/// Records, for each upstream, the prompts that were sent there and whose answers have not
/// started, and the prompt parts that its cache should still hold.  Chooses the upstream
/// with the fewest tokens left to read before this prompt's answer starts.  Among upstreams
/// of about equal cost it takes the first in an order that is the same at every daemon
/// (highest random weight), so that a new leader finds most prompts where the previous
/// leader placed them.  In a set of thousands it examines only the upstreams that hold
/// parts of the prompt and some that rank first for it, so that the cost of a choice does
/// not depend on the size of the set.  Wrong records (another leader, a restarted
/// upstream) only cost time.
///
/// With Mechanism::UpstreamSpeeds, tokens are weighted with the time that the upstream
/// needs for them, so that slower upstreams get fewer and shorter prompts, and upstreams
/// that are temporarily slow are avoided.  This is for sets whose engines differ in speed
/// or share their machines with others.
class PromptPlacer {
public:
    explicit PromptPlacer(PolicySwitches switches = {})
        : m_switches(switches)
    {
    }
    PromptPlacer(const PromptPlacer&) = delete;
    PromptPlacer& operator=(const PromptPlacer&) = delete;

    /// The chosen upstream, or null if none is usable.  A reservation counts against the
    /// upstream's rate limit, if it has one.
    std::shared_ptr<UpstreamState> place(const UpstreamSet& set, const PromptQuery& query,
                                         Micros now);

    /// Cost of the last reservation at its upstream, for logs.
    struct ReadCost {
        std::int64_t unread = 0; ///< tokens that the upstream must read
        std::int64_t reread = 0; ///< of these, tokens that another upstream has cached
    };
    const ReadCost& last_read() const { return m_last_read; }
    /// True if the last choice found none only because all would have rejected the prompt.
    bool last_was_full() const { return m_last_was_full; }
    /// True if the last chosen upstream had a free slot, by the prompts placed there.
    bool last_had_slot() const { return m_last_had_slot; }
    /// Number of upstreams that the last choice examined.
    std::size_t last_candidate_count() const { return m_last_candidate_count; }

    struct SpeedChange {
        std::string identity; ///< of the upstream
        double factor = 1; ///< time for the same work as a multiple of the usual time
    };
    /// The answer started, so the prompt has been read.  With `now`, the time that this
    /// took is used to learn the speed of the upstream; returns its factor, rounded to a
    /// quarter, if that changed.
    std::optional<SpeedChange> on_answer_started(const std::string& attempt,
                                                 std::optional<Micros> now = std::nullopt);
    /// The answer ended, or the request was cancelled.
    void record_ended(const std::string& attempt);
    /// The request did not reach the upstream chosen for it.
    void record_unreachable(const std::string& attempt, Micros now);

private:
    struct CachedPart {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
    };
    struct UnreadPrompt {
        std::int64_t tokens = 0; ///< that the upstream must read
        /// When it shows that the upstream is temporarily slow; nothing if unknown.
        std::optional<Micros> overdue_at;
    };
    /// Assumed state of one upstream.
    struct Engine {
        std::int64_t unread = 0; ///< tokens of prompts whose answers have not started
        int running = 0; ///< requests
        Micros seen_at = 0; ///< when it was last examined as an upstream of its set
        std::int64_t cached_tokens = 0;
        std::unordered_map<std::uint64_t, CachedPart> cached;
        std::list<std::uint64_t> lru; ///< most recently used first
        std::weak_ptr<UpstreamState> upstream;
        EngineSpeed speed;
        std::map<std::uint64_t, UnreadPrompt> unread_prompts; ///< by Placement::number
        Micros reading_since = 0; ///< when the upstream began to read the first of them
    };
    struct Placement {
        std::uint64_t number = 0; ///< counts placements
        UpstreamRun run;
        std::int64_t unread = 0;
        /// Tokens to be read before the answer, its own included; nothing if unknown.
        std::optional<double> ahead;
        Micros at = 0;
        std::string hall; ///< of the upstream
        std::string from; ///< hall of the sending daemon
    };

    struct Choice {
        std::shared_ptr<UpstreamState> upstream;
        double cost = 0;
        double weight = 0;
        bool is_near = false; ///< in the hall of the other inputs, if that matters
        bool is_avoided = false; ///< recently unreachable for other requests
        bool is_slow = false; ///< temporarily
        bool is_full = false; ///< runs requests in all of its slots
        bool is_half_full = false; ///< runs requests in half of its slots or more
    };
    std::vector<UpstreamPtr> candidates_for(const UpstreamSet& set,
                                            const PromptQuery& query, std::uint64_t key);
    std::vector<Choice> choices(const UpstreamSet& set,
                                const std::vector<UpstreamPtr>& upstreams,
                                const PromptQuery& query, std::uint64_t key, Micros now);
    std::uint64_t key_of(const PromptQuery& query) const;
    /// At most kMaxHolders engines that hold parts of the prompt, the longest prefix first.
    std::vector<Engine*> holders_of(const PromptQuery& query) const;
    void cache_part(Engine& engine, const PrefixPart& part, std::int64_t capacity);
    void evict_part(Engine& engine, std::uint64_t part);
    static void drop_avoided(std::vector<Choice>& choices);
    static void keep_for_streams(std::vector<Choice>& choices);
    static void drop_slow(std::vector<Choice>& choices);
    static std::int64_t tokens_to_read(const Engine& engine, const PromptQuery& query);
    Engine& examine(const UpstreamPtr& upstream, Micros now);
    double cost(const Engine& engine, const PromptQuery& query) const;
    /// Factor by which the upstream's place in the order of the prompt is worse.
    double order_factor(const Engine& engine) const;
    bool is_slow(const UpstreamState& upstream, const Engine& engine, Micros now) const;
    std::optional<double> tokens_ahead(const Engine& engine, std::int64_t unread,
                                       Micros now) const;
    std::int64_t tokens_cached_elsewhere(const PromptQuery& query,
                                         std::int64_t unread) const;
    void reserve(const UpstreamState& upstream, const UpstreamSet& set,
                 const PromptQuery& query, Micros now);
    void expire(Micros now);

    PolicySwitches m_switches;
    SetSpeeds m_speeds;
    std::unordered_map<UpstreamRun, Engine, UpstreamRunHash> m_engines;
    std::unordered_map<std::uint64_t, std::unordered_set<Engine*>> m_holders; ///< by part
    EngineRing m_ring;
    std::size_t m_last_candidate_count = 0;
    bool m_last_had_slot = false;
    bool m_last_was_full = false;
    std::unordered_map<std::string, Placement> m_placements; ///< by attempt
    std::uint64_t m_last_number = 0; ///< of a placement
    ReachTable m_reach;
    Micros m_expired_at = 0;
    ReadCost m_last_read;
};

} // namespace cypressford
