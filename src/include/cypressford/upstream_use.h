// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The questions that are asked of an upstream before it gets work.

#pragma once

#include <cypressford/upstream.h>

namespace cypressford {

/// What a call is counted against while its upstream names a limit.
enum class CallCount : unsigned char {
    Own, ///< this daemon's own part
    Granted, ///< what this daemon sends as the leader of the set
    Counted, ///< nothing: the leader of the set has counted it when it granted it
};

/// Asked right before the first byte of a call: between the choice of an upstream and that
/// lie a connection (250 ms) and the calls of other threads, whose answers tell more.
/// False while the upstream is leaving, in an evacuated hall or resting, or if it may get
/// no call now by the limit that it names; else the call counts as sent.  Each sender of
/// the daemon asks here, so that no retry, hedge or resumed stream goes uncounted.
bool begin_call(UpstreamState& upstream, CallCount count, Micros now);

/// True unless the upstream is leaving, in an evacuated hall or taken out after failures.
/// The leader of a set asks this for other daemons: a rest is asked of one daemon, and each
/// tells the leader which upstreams it can't use.
bool is_in_service(const UpstreamState& upstream, Micros now);

/// The same, and it neither rests for this daemon nor has had all calls that its limit lets
/// that part send by now: it may be chosen.
bool is_usable(const UpstreamState& upstream, Micros now, RatePart part = RatePart::Own);

/// Until when the upstream rests for this daemon or has had all calls of its limit; 0 or a
/// past time: it is open.
Micros unavailable_until(const UpstreamState& upstream, RatePart part);

} // namespace cypressford
