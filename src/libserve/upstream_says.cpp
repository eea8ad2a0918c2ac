// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/upstream_says.h"

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

void
hear(UpstreamState& upstream, const UpstreamAnswer& answer, const AnswerOrigin& origin)
{
    const Micros now = monotonic_us();
    const std::int64_t connected_ms = wall_ms() - (now - origin.connected) / kMillisecond;
    SelfReport& said = *upstream.said;
    const double limit_before = said.limit().per_s();
    if (answer.cold_left > 0)
        upstream.cold.note(now + answer.cold_left);
    if (answer.leaves)
        said.note_leaving(now, connected_ms);
    if (answer.rest > 0)
        said.note_rest(now + answer.rest, connected_ms);
    // One that can't be read says neither that there is a limit nor that there is none.
    const bool is_clear = answer.limit_per_s || !answer.limit_unreadable;
    const bool limit_changed
        = is_clear && said.note_limit(answer.limit_per_s, origin.sent, now, connected_ms);
    const bool is_new_fault = answer.limit_unreadable && said.note_unread_limit();
    if (!answer.leaves && answer.rest == 0 && !answer.backoff_unreadable && !limit_changed
        && !is_new_fault)
        return;
    LogEvent("upstream_says")
        .kv("upstream", upstream.address)
        .kv("identity", upstream.identity)
        .kv("born", upstream.born)
        .kv("leaves", answer.leaves)
        .kv("rest_us", answer.rest)
        .kv("rest_unread", answer.backoff_unreadable)
        .kv("limit_per_s", said.limit().per_s())
        .kv("limit_before", limit_before)
        .kv("limit_unread", answer.limit_unreadable)
        .kv("call", origin.call);
}

namespace {

template <class Visit>
void
for_each_upstream(const UpstreamSet& set, Visit&& visit)
{
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            visit(*upstream);
}

} // namespace

LimitWords
limit_words(const UpstreamSet& set, Micros now)
{
    LimitWords words;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        const auto word = upstream.said->word(upstream.run(), now);
        if (word && words.size() < kMaxLimitWords)
            words.push_back(*word);
    });
    return words;
}

void
take_words(const UpstreamSet& set, const LimitWords& words, Micros now)
{
    if (words.empty())
        return;
    for_each_upstream(set, [&](const UpstreamState& upstream) {
        for (const LimitWord& word : words) {
            if (word.run != upstream.run() || !upstream.said->note_word(word, now))
                continue;
            LogEvent("limit_told")
                .kv("upstream", upstream.address)
                .kv("identity", upstream.identity)
                .kv("born", upstream.born)
                .kv("limit_per_s", word.per_s)
                .kv("ago_us", word.ago);
        }
    });
}

LimitWords
later_words(const UpstreamSet& set, const LimitWords& words, Micros now)
{
    LimitWords later;
    if (words.empty())
        return later;
    for (const LimitWord& own : limit_words(set, now))
        for (const LimitWord& word : words)
            if (own.run == word.run && own.per_s != word.per_s)
                later.push_back(own);
    return later;
}

} // namespace cypressford
