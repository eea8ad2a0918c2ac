// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Deliberate faults, to show that the fuzzer catches them.  Only code built
/// with CYPRESSFORD_MUTATIONS can switch one on; elsewhere mutated() is a
/// constant and costs nothing.

#pragma once

namespace cypressford {

/// Each breaks one property that must always hold.
enum class Mutation : unsigned char {
    None,
    SendUnclaimed, ///< sends before the log has decided the claim
    LastClaimWins, ///< a later claim takes a key over
    RetryOnce, ///< retries what may have run and may not run twice
    ReleaseAfterLost, ///< frees the key of a run whose end is not known
    IgnoreFloor, ///< takes keys that are older than the readable log
    IgnoreReleased, ///< a copy of a released claim can win
    SendToLeaving, ///< routes to upstreams that are leaving
    TrustLateAnswer, ///< the end of a cancelled attempt still counts
    FalseNotRun, ///< says "not run" whatever was sent
    BundleGoesBack, ///< an older bundle can be rolled over a newer one
    SkipStage, ///< ends a pipeline one stage early
    DoubleReply, ///< answers a request again
    ForgetLastRecord, ///< a reader of the directory tells of an end without what came last
    ForgetTransit, ///< an answer about the directory counts as fresh when it arrives late
    GapInHistory, ///< a reader of the directory claims to know more than it does
    ConfigurationGoesBack, ///< an older configuration takes the place of a newer one
    SendFreedInputs, ///< an attempt goes out with results that were released
    FreeBeforeRead, ///< results are released before the upstream has read them
    ReturnOfGone, ///< an older record brings an upstream back that is gone
    TakeOlderRun, ///< a late record of an upstream's run before takes the place of the next
    EvacuationGoesBack, ///< an older record of an evacuation undoes a newer one
    SendToEvacuated, ///< routes to upstreams of evacuated halls
    LeaveRegionOnRetry, ///< a second attempt may go to a region that is not allowed
    IgnoreWholeAnswers, ///< a request that was answered whole may be quarantined
    ColdBoundForEach, ///< each daemon takes the whole rate of a cold upstream for itself
    SendToResting, ///< routes to upstreams that asked for rest
    AskBeforeQueueOnly, ///< what an upstream says later does not stop a call to it
    ReportOutlivesRun, ///< what an upstream said holds for its next run, too
    LimitForEach, ///< each daemon takes all of what an upstream lets all of them send
    UncountedRetry, ///< retries and hedges are not counted against an upstream's limit
    LimitNeverRaised, ///< a limit that goes up again binds as it did
    LimitStays, ///< a limit that an upstream names no more is kept
    ForgetSharers, ///< the part of a daemon that was heard of a moment ago is given away
    TakeOlderListing, ///< all of a topic is taken from a daemon that knows less
    KeepOffsets, ///< offsets count on after the log came back from an older copy
    TakeOlderGeneration, ///< what a daemon tells of the log before that is taken
    ForgetUnlisted, ///< what an upstream said is forgotten when its entry lapses
};

#ifdef CYPRESSFORD_MUTATIONS
inline Mutation g_mutation = Mutation::None;

inline bool
mutated(Mutation mutation)
{
    return g_mutation == mutation;
}
#else
constexpr bool
mutated(Mutation)
{
    return false;
}
#endif

} // namespace cypressford
