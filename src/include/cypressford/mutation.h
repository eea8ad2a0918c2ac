// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Deliberate faults, to show that the fuzzer detects them.  Only code built
/// with CYPRESSFORD_MUTATIONS can enable one; elsewhere mutated() is a
/// constant and costs nothing.

#pragma once

namespace cypressford {

/// Each violates one invariant.
enum class Mutation : unsigned char {
    None,
    SendUnclaimed, ///< sends before the log has decided the claim
    LastClaimWins, ///< a later claim takes over a key
    RetryOnce, ///< retries a stage that may have run and must not run twice
    ReleaseAfterLost, ///< releases the key of a run whose outcome is unknown
    IgnoreFloor, ///< accepts keys that are older than the readable log
    IgnoreReleased, ///< a copy of a released claim can win
    SendToLeaving, ///< routes to upstreams that are leaving
    TrustLateAnswer, ///< the end of a cancelled attempt is still used
    FalseNotRun, ///< reports "not run" whatever was sent
    BundleGoesBack, ///< an older bundle can be rolled over a newer one
    SkipStage, ///< ends a pipeline one stage early
    DoubleReply, ///< answers a request twice
    ForgetLastRecord, ///< a reader of the directory passes on an end without the last
                      ///< record
    ForgetTransit, ///< an answer about the directory that arrives late is taken as fresh
    GapInHistory, ///< a reader of the directory claims to cover more than it has read
    ConfigurationGoesBack, ///< an older configuration replaces a newer one
    SendFreedInputs, ///< an attempt is sent with results that were released
    FreeBeforeRead, ///< results are released before the upstream has read them
    ReturnOfGone, ///< an older record restores an upstream that was removed
    TakeOlderRun, ///< a late record of an upstream's previous run replaces the next run
    EvacuationGoesBack, ///< an older record of an evacuation overrides a newer one
    SendToEvacuated, ///< routes to upstreams of evacuated halls
    LeaveRegionOnRetry, ///< a second attempt may be sent to a region that is not allowed
    IgnoreWholeAnswers, ///< a request that was answered completely may be quarantined
    ColdBoundForEach, ///< each daemon uses the whole rate of a cold upstream
    SendToResting, ///< routes to upstreams that requested backoff
    AskBeforeQueueOnly, ///< an upstream's reports don't stop a queued call
    ReportOutlivesRun, ///< an upstream's report also applies to its next run
    LimitForEach, ///< each daemon uses the whole limit that an upstream sets for all
    UncountedRetry, ///< retries and hedges are not counted against an upstream's limit
    LimitNeverRaised, ///< the old limit still applies after a limit was raised
    LimitStays, ///< a limit that an upstream no longer reports is kept
    ForgetSharers, ///< the share of a daemon seen a moment ago is reassigned at once
    TakeOlderListing, ///< a full listing of a topic is taken from a daemon that is behind
    KeepOffsets, ///< old offsets stay in use after the log was restored from an older copy
    TakeOlderGeneration, ///< a peer's state of the log before its restore is accepted
    ContinueAtAnyVersion, ///< a stream goes on at another software version
    ForgetUnlisted, ///< an upstream's report is forgotten when its entry expires
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
