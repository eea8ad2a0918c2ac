// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/upstream_says.h"

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

void
hear(UpstreamState& upstream, const UpstreamAnswer& answer, std::string_view call)
{
    if (answer.cold_left > 0)
        upstream.cold.note(monotonic_us() + answer.cold_left);
    if (answer.leaves)
        upstream.said->note_leaving();
    if (answer.rest > 0)
        upstream.said->note_rest(monotonic_us() + answer.rest, wall_ms());
    const bool names_limit = answer.limit_per_s || answer.limit_unread;
    if (!answer.leaves && answer.rest == 0 && !answer.rest_unread && !names_limit)
        return;
    LogEvent("upstream_says")
        .kv("upstream", upstream.address)
        .kv("identity", upstream.identity)
        .kv("born", upstream.born)
        .kv("leaves", answer.leaves)
        .kv("rest_us", answer.rest)
        .kv("rest_unread", answer.rest_unread)
        .kv("names_limit", answer.limit_per_s.has_value())
        .kv("limit_per_s", answer.limit_per_s.value_or(0))
        .kv("limit_unread", answer.limit_unread)
        .kv("call", call);
}

} // namespace cypressford
