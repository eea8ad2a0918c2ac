// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What upstreams say of themselves in their answers, whatever the answer is to.

#pragma once

#include <string_view>

#include <cypressford/call_dialect.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Which answer says something.
struct AnswerOrigin {
    Micros sent = 0; ///< when the call was sent that it answers
    Micros connected = 0; ///< when its connection came up
    std::string_view call; ///< for the log
};

/// Takes over what an answer of that upstream says of it.
void hear(UpstreamState& upstream, const UpstreamAnswer& answer,
          const AnswerOrigin& origin);

/// What there is to tell other daemons of limits that upstreams of the set name.
LimitReports limit_words(const UpstreamSet& set, Micros now);

/// Takes over what another daemon tells of them.
void take_words(const UpstreamSet& set, const LimitReports& words, Micros now);

/// What this daemon has heard otherwise, or later, of the limits that `words` tell of.
LimitReports later_words(const UpstreamSet& set, const LimitReports& words, Micros now);

} // namespace cypressford
