// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a scheduler keeps of one request.

#pragma once

#include <array>
#include <vector>

#include <cypressford/scheduler.h>

#include "request_machine.h"

namespace cypressford {

/// One call that is under way.
struct Attempt {
    AttemptId id = 0;
    RequestId request = 0;
    std::size_t stage = 0;
    std::shared_ptr<UpstreamState> upstream;
    Micros sent_at = 0;
    bool begun = false; ///< the upstream has begun to answer
    bool probe = false; ///< the one trial call of an ejected upstream
    bool cancelled = false; ///< its end changes nothing any more
    bool once = false; ///< may not be repeated
};

/// Whether the claim for a request's key is ours to end.
enum class ClaimState : unsigned char { None, Pending, Won, Ended };

/// Whether pieces and upstream of a request are settled.
enum class PreparationState : unsigned char { Wanted, Pending, Made };

/// Facts of one request; the order of its steps is in RequestMachine.
struct Request {
    RequestSpec spec;
    Micros arrived = 0;
    std::size_t stage = 0;
    ClaimState claim = ClaimState::None;
    PreparationState preparation = PreparationState::Wanted;
    bool prepared_before = false; ///< its pieces were made at least once
    Micros preparing_since = 0; ///< when they were asked for
    std::string prepared_hall; ///< where most of the results are
    std::string prepared_identity; ///< of the upstream that is to have it
    bool prepared_is_counted = false; ///< its leader has counted it against a limit
    std::string placed_at; ///< the same, also once it was sent
    bool queued = false; ///< stands in the queue of its stage
    bool replied = false;
    bool ended = false; ///< to be forgotten once no attempt is left
    int may_have_run = 0; ///< attempts sent and not proven unrun
    bool once_may_have_run = false;
    int attempts_of_stage = 0;
    int unreached = 0; ///< attempts of the present stage that were never sent
    bool last_unreached = false; ///< the last attempt was never sent
    ErrorKind last_failure = ErrorKind::UpstreamFailed;
    Micros come_back_after = 0; ///< if it is refused; 0: not known
    std::vector<AttemptId> running; ///< not cancelled
    int open_attempts = 0; ///< cancelled ones included
    std::vector<const UpstreamState*> tried; ///< for the present stage
    std::array<Micros, kMaxStages> committed {}; ///< service time promised, by stage

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
    int priority() const { return pipeline().spec.priority; }

    /// True if the present stage may run once only and nothing but the claim
    /// keeps it from running twice.
    bool stage_needs_claim() const
    {
        return !stage_spec().repeatable && !set().spec.deduplicates;
    }
    bool is_relayed() const { return pipeline().spec.relayed; }
    /// Pieces are made, and an upstream is chosen, before the first stage.
    bool lacks_preparation() const
    {
        return preparation == PreparationState::Wanted
            && (spec.needs_pieces() || spec.asks_leader);
    }
};

/// The kind that is true of a request that is aborted: whether anything was
/// sent decides between the kinds that promise "not run" and those that don't.
ErrorKind settle_kind(ErrorKind kind, const Request& request);

/// What the caller may conclude.
Ran settle_ran(ErrorKind kind, const Request& request);

} // namespace cypressford
