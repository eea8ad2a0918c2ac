// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cypressford/upstream.h>

namespace cypressford {

/// False while the upstream is leaving, in an evacuated hall or resting.  Senders ask it
/// right before the first byte of a call: between the choice of an upstream and that lie a
/// connection (250 ms) and the calls of other threads, whose answers tell more.
bool takes_calls(const UpstreamState& upstream, Micros now);

} // namespace cypressford
