// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// State that a scheduler keeps for one request.

#pragma once

#include <array>
#include <vector>

#include <cypressford/scheduler.h>

#include "request_machine.h"

namespace cypressford {

/// One call in flight.
struct Attempt {
    AttemptId id = 0;
    RequestId request = 0;
    std::size_t stage = 0;
    std::shared_ptr<UpstreamState> upstream;
    Micros sent_at = 0;
    Micros stalled_before = 0; ///< Scheduler::Impl::stalled when it was sent
    bool response_started = false; ///< the upstream has started to answer
    bool stream_began = false; ///< a complete event of its stream has arrived
    bool probe = false; ///< the single trial call of an ejected upstream
    bool cancelled = false; ///< the outcome no longer affects the request
    bool non_repeatable = false; ///< must not run twice
    bool has_granted_slot = false; ///< see Request::prepared_has_slot
};

/// State of the claim for a request's key, and whether this request has to end it.
enum class ClaimState : unsigned char { None, Pending, Won, Ended };

/// Whether the pieces are made and the upstream is chosen.
enum class PreparationState : unsigned char { Wanted, Pending, Made };

/// Data of one request; the order of its steps is in RequestMachine.
struct Request {
    RequestSpec spec;
    int resolved_priority = 0; ///< ResolvedBundle::priority_of() its account and pipeline
    Micros arrived = 0;
    std::size_t stage = 0;
    ClaimState claim = ClaimState::None;
    PreparationState preparation = PreparationState::Wanted;
    bool prepared_before = false; ///< its pieces were made at least once
    Micros preparing_since = 0; ///< when the preparation was requested
    std::string prepared_hall; ///< hall with most of the results
    std::string prepared_identity; ///< identity of the chosen upstream; cleared once sent
    bool prepared_is_counted = false; ///< counted by the leader against the limit
    bool prepared_has_slot = false; ///< counted by the leader among the upstream's slots
    std::string placed_identity; ///< like prepared_identity, but kept once sent
    bool queued = false; ///< in the queue of its stage
    bool replied = false;
    bool ended = false; ///< to be dropped when no attempt is left
    int may_have_run = 0; ///< attempts sent and not known to be unrun
    bool non_repeatable_may_have_run = false;
    int attempts_of_stage = 0;
    int unreached = 0; ///< attempts of the current stage that were never sent
    bool last_unreached = false; ///< the last attempt was never sent
    Micros unreached_at = 0; ///< when such an attempt last ended
    ErrorKind last_failure = ErrorKind::UpstreamFailed;
    Micros retry_after = 0; ///< sent to the caller if the request is refused; 0: unknown
    std::vector<AttemptId> running; ///< attempts in flight, without cancelled ones
    int open_attempts = 0; ///< attempts in flight, with cancelled ones
    std::vector<const UpstreamState*> tried; ///< upstreams tried for the current stage
    std::array<Micros, kMaxStages> committed {}; ///< admitted service time, by stage

    const ResolvedPipeline& pipeline() const
    {
        return spec.snapshot->bundle->pipelines[spec.pipeline];
    }
    const StageSpec& stage_spec() const { return pipeline().spec.stages[stage]; }
    const UpstreamSet& set_of(std::size_t at) const
    {
        return spec.snapshot->sets[pipeline().sets[at]];
    }
    const UpstreamSet& set() const { return set_of(stage); }
    const ResolvedAccount& account() const
    {
        return spec.snapshot->bundle->accounts[spec.account];
    }
    int priority() const { return resolved_priority; }

    /// True if the current stage must not run twice and only the claim prevents it.
    bool stage_needs_claim() const
    {
        return !stage_spec().repeatable && !set().spec.deduplicates;
    }
    bool is_relayed() const { return pipeline().spec.relayed; }
    /// True if pieces must be made, or an upstream chosen by the leader, before the stage
    /// is sent.
    bool lacks_preparation() const
    {
        return preparation == PreparationState::Wanted
            && (spec.needs_pieces() || spec.asks_leader);
    }
};

/// The error kind to report for an aborted request.  Kinds that guarantee "not run" are
/// replaced if an attempt may have run, and others by such a kind if none was sent.
ErrorKind settle_kind(ErrorKind kind, const Request& request);

/// Whether the request ran, as reported to the caller.
Ran settle_ran(ErrorKind kind, const Request& request);

} // namespace cypressford
