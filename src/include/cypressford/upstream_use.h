// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The three questions that are asked of an upstream before it gets work.

#pragma once

#include <cypressford/upstream.h>

namespace cypressford {

/// False while the upstream is leaving, in an evacuated hall or resting.  Senders ask it
/// right before the first byte of a call: between the choice of an upstream and that lie a
/// connection (250 ms) and the calls of other threads, whose answers tell more.
bool takes_calls(const UpstreamState& upstream, Micros now);

/// True unless the upstream is leaving, in an evacuated hall or taken out after failures.
/// The leader of a set asks this for other daemons: a rest is asked of one daemon, and each
/// tells the leader which upstreams it can't use.
bool is_in_service(const UpstreamState& upstream, Micros now);

/// The same, and it has not asked this daemon for rest: it may be chosen.
bool is_usable(const UpstreamState& upstream, Micros now);

} // namespace cypressford
