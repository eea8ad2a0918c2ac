// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects the upstreams of a set that can take a call now.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/router.h>
#include <cypressford/upstream.h>
#include <cypressford/upstream_use.h>

namespace cypressford {

/// Constraints of the selection.
struct CandidateQuery {
    Micros now = 0;
    int daemons_in_hall = 1;
    bool limit_slots = true; ///< leave out upstreams without a free slot
    bool allow_probe = true; ///< an ejected upstream may get one trial call
    std::span<const UpstreamState* const> tried; ///< already tried for this stage
    bool want_all = true; ///< false: a random sample of a large set is enough
    std::uint64_t random = 0; ///< selects the sample
    /// Upstreams of this hall are preferred, if one can take the call; empty: the local
    /// hall.
    std::string_view near;
    bool any_hall = false; ///< no preference among halls
    /// Identity of the upstream for which the leader of the set has granted the call: it
    /// may be cold, while other cold upstreams are left out unless `allow_cold` is set.
    std::string_view granted;
    bool is_counted = false; ///< the leader counted the call against the upstream's limit
    /// The leader counted the call among those that the upstream serves at a time.
    bool has_granted_slot = false;
    /// Fraction of each upstream's slots that this daemon may use beside its even part.
    double usable_fraction = 0;
    /// Includes the cold upstreams to which this daemon, one of `daemons`, may send a call
    /// without a grant.
    bool allow_cold = false;
    const HallLimit* halls = nullptr; ///< allowed halls; null: all
    int daemons = 1;
    bool use_speeds = false; ///< report the upstreams' slowdowns to the router
    /// Software version that began the stream, which goes on at no other; null: any.
    const std::string* version = nullptr;
};

/// Upstreams that can take a call, with their states.
struct Candidates {
    std::vector<Candidate> values;
    std::vector<const std::shared_ptr<UpstreamState>*> states;

    void clear();
    bool empty() const { return values.empty(); }
};

/// Calls that this daemon may have in flight to one upstream: its even part, or
/// `usable_fraction` of the slots if that is more.
int slot_limit(const UpstreamState& upstream, int slots, int daemons_in_hall,
               double usable_fraction = 0);

/// Sets up to this size are always scanned completely.
inline constexpr std::size_t kFullScanLimit = 32;
/// Sufficient number of usable upstreams to choose from in a larger set.
inline constexpr std::size_t kSampleSize = 6;

/// Fills `out` with the upstreams of the local hall, or, if none of them can take the call,
/// with those of other halls.
void collect_candidates(const UpstreamSet& set, const CandidateQuery& query,
                        Candidates& out);

/// Daemons that share the upstreams of a set.
struct Sharers {
    int daemons_in_hall = 1;
    int daemons = 1; ///< of all halls
};

/// Concurrent calls that this daemon can run, not rounded: its share of the upstreams of
/// the local hall, or of all halls if the local hall has no warm and usable upstream.
/// `typical`: duration of a call, used to convert a rate to slots.
double share_of_slots(const UpstreamSet& set, Sharers sharers, Micros typical, Micros now);

/// Upstreams of a set that can take calls.
struct UsableUpstreams {
    int count = 0;
    int slots = 0; ///< concurrent calls of those without a rate limit
};

/// The usable upstreams of all halls.
UsableUpstreams usable_upstreams(const UpstreamSet& set, Micros now, RatePart part);

/// Calls per second that this daemon, one of `daemons`, may send to rate-limited upstreams
/// if no other upstream is usable; else 0.
double calls_per_s_if_paced(const UpstreamSet& set, int daemons, Micros now);

/// True if a stream that began at an upstream of that software version may go on at this
/// one.  Upstreams without a version may differ from each other where others have one.
bool may_continue(const UpstreamSet& set, const UpstreamState& upstream,
                  const std::string& version);

/// Time until an upstream in these halls that may continue a stream of that version is
/// usable, after an ejection, a backoff or by its limit; 0: now.  Nothing if all such
/// upstreams are leaving or in evacuated halls, or there are none.
std::optional<Micros> time_to_continue(const UpstreamSet& set, const std::string& version,
                                       Micros now, const HallLimit& halls,
                                       RatePart part = RatePart::Own);

/// Upstreams of all halls that are not evacuated.
int count_in_service(const UpstreamSet& set);

/// If no upstream is usable now: time until the first of those in service becomes usable,
/// when its backoff ends or its limit allows that part a call.  0 if an upstream is usable,
/// or none is in service.
Micros time_to_first_usable(const UpstreamSet& set, Micros now, const HallLimit& halls = {},
                            RatePart part = RatePart::Own);

/// Number of usable upstreams in these halls.
int count_usable(const UpstreamSet& set, Micros now, const HallLimit& halls = {},
                 RatePart part = RatePart::Own);

} // namespace cypressford
