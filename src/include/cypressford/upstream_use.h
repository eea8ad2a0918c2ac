// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Checks made on an upstream before a call is sent to it.

#pragma once

#include <cypressford/upstream.h>

namespace cypressford {

/// The part of an upstream's announced rate limit that a call is counted against.
enum class CallCount : unsigned char {
    Own, ///< this daemon's own part
    Placed, ///< the same, at the upstream that the leader of the set chose
    Granted, ///< the part that this daemon has as the leader of the set
    Counted, ///< none: the leader of the set counted the call when it granted it
};

/// To be called right before the first byte of a call: since the upstream was chosen, a
/// connection may have been opened (up to 250 ms) and answers to other threads' calls may
/// have changed its state.  False if the upstream is leaving, in an evacuated hall or in
/// backoff, or if its announced limit allows no call now, or if it might reject the call
/// and may reject no more; otherwise the call is counted as sent.  Every sender of the
/// daemon calls this, so that retries, hedges and resumed streams are counted as well.
bool begin_call(UpstreamState& upstream, CallCount count, Micros now);

/// True unless the upstream is leaving, in an evacuated hall or ejected after failures.
/// The leader of a set checks this on behalf of other daemons: a backoff applies to one
/// daemon, and each daemon reports to the leader which upstreams it can't use.
bool is_in_service(const UpstreamState& upstream, Micros now);

/// True if it is in service, not in backoff for this daemon, and its limit allows a call of
/// that part now: it may be chosen.
bool is_usable(const UpstreamState& upstream, Micros now, RatePart part = RatePart::Own);

/// End of the backoff for this daemon, or the time at which the limit allows the next call,
/// whichever is later; 0 or a past time: calls are allowed.
Micros unavailable_until(const UpstreamState& upstream, RatePart part);

} // namespace cypressford
