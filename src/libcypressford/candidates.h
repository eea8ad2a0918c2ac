// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which upstreams of a set can take a call now.

#pragma once

#include <string_view>
#include <vector>

#include <cypressford/router.h>
#include <cypressford/upstream.h>
#include <cypressford/upstream_use.h>

namespace cypressford {

/// What limits the choice.
struct CandidateQuery {
    Micros now = 0;
    int daemons_in_hall = 1;
    bool limit_slots = true; ///< leave out upstreams without a free slot
    bool allow_probe = true; ///< an ejected upstream may get one trial call
    std::span<const UpstreamState* const> tried; ///< already had this stage
    bool want_all = true; ///< false: a random part of a large set will do
    std::uint64_t random = 0; ///< chooses that part
    /// Upstreams of this hall go first, if one can take the call; empty: the own.
    std::string_view near;
    bool any_hall = false; ///< upstreams of all halls alike
    /// Cold upstreams are left out but for the one with this identity, to which the leader
    /// of the set has granted the call ...
    std::string_view granted;
    bool is_counted = false; ///< the leader has counted it against that upstream's limit
    /// ... and those that this daemon, one of `daemons`, may send a call by itself.
    bool allow_cold = false;
    const HallLimit* halls = nullptr; ///< no others; null: all
    int daemons = 1;
};

/// Upstreams that can take a call, with the states behind them.
struct Candidates {
    std::vector<Candidate> values;
    std::vector<const std::shared_ptr<UpstreamState>*> states;

    void clear();
    bool empty() const { return values.empty(); }
};

/// Calls that this daemon may have in flight to one upstream.
int slot_limit(const UpstreamState& upstream, int slots, int daemons_in_hall);

/// Sets up to this size are always looked at whole.
inline constexpr std::size_t kWholeScan = 32;
/// Usable upstreams that are enough to choose from in a larger set.
inline constexpr std::size_t kSample = 6;

/// Fills `out` with the upstreams of the own hall, or, if none of them can
/// take the call, with those of other halls.
void collect_candidates(const UpstreamSet& set, const CandidateQuery& query,
                        Candidates& out);

/// Who shares the upstreams of a set.
struct Sharers {
    int daemons_in_hall = 1;
    int daemons = 1; ///< of all halls
};

/// Calls that this daemon can run at a time, as a fraction: its part of the own hall's
/// upstreams, or of those of all halls where the own hall has none that are warm and
/// usable.  `typical`: time of a call, by which a rate becomes slots.
double share_of_slots(const UpstreamSet& set, Sharers sharers, Micros typical, Micros now);

/// Calls a second that this daemon, one of so many, may send to upstreams that get calls at
/// a rate, if no other is usable; else 0.
double calls_per_s_if_paced(const UpstreamSet& set, int daemons, Micros now);

/// Upstreams anywhere that are not in an evacuated hall.
int count_in_service(const UpstreamSet& set);

/// How long until an upstream that asked for rest, or has had what its limit lets that part
/// send, can be used again, if there is none that can be used now; else 0, also where there
/// is none in service.
Micros time_to_first_usable(const UpstreamSet& set, Micros now, const HallLimit& halls = {},
                            RatePart part = RatePart::Own);

/// Usable upstreams in these halls.
int count_usable(const UpstreamSet& set, Micros now, const HallLimit& halls = {},
                 RatePart part = RatePart::Own);

} // namespace cypressford
