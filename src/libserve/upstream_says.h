// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What upstreams say of themselves in their answers, whatever the answer is to.

#pragma once

#include <string_view>

#include <cypressford/call_dialect.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Takes over what an answer of that upstream says of it.  `call`: what it answers, for the
/// log.
void hear(UpstreamState& upstream, const UpstreamAnswer& answer, std::string_view call);

} // namespace cypressford
