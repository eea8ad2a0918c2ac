// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/evacuations.h"

#include <algorithm>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

std::string
join(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : ",") + word;
    return text;
}

std::size_t
count_in(const Snapshot& snapshot, const std::string& hall)
{
    const auto is_in_hall = [&](const auto& upstream) { return upstream->hall == hall; };
    std::ptrdiff_t count = 0;
    for (const UpstreamSet& set : snapshot.sets)
        for (const auto* side : {&set.own, &set.remote})
            count += std::count_if(side->begin(), side->end(), is_in_hall);
    return static_cast<std::size_t>(count);
}

/// Names of sets whose upstreams are all in evacuated halls; requests for these sets are
/// refused.
std::vector<std::string>
sets_left_empty(const Snapshot& snapshot)
{
    const auto is_evacuated
        = [](const auto& upstream) { return upstream->evacuated.load(); };
    std::vector<std::string> names;
    for (const UpstreamSet& set : snapshot.sets) {
        const bool has_any = !set.own.empty() || !set.remote.empty();
        if (has_any && std::all_of(set.own.begin(), set.own.end(), is_evacuated)
            && std::all_of(set.remote.begin(), set.remote.end(), is_evacuated))
            names.push_back(set.spec.name);
    }
    return names;
}

} // namespace

void
Evacuations::apply(std::vector<std::string> halls, const Snapshot& snapshot)
{
    if (halls == m_halls)
        return;
    std::size_t upstreams = 0;
    for (const std::string& hall : halls) {
        const std::size_t count = count_in(snapshot, hall);
        if (count == 0)
            LogEvent("evacuation_of_unknown_hall", LogLevel::Warn).kv("hall", hall);
        upstreams += count;
    }
    m_kernel.upstreams.set_evacuated(halls, monotonic_us());
    m_kernel.evacuated_halls.store(static_cast<int>(halls.size()));
    LogEvent("evacuations_in_force", LogLevel::Warn)
        .kv("halls", join(halls))
        .kv("before", join(m_halls))
        .kv("upstreams", upstreams)
        .kv("sets_left_empty", join(sets_left_empty(snapshot)));
    m_halls = std::move(halls);
}

} // namespace cypressford
