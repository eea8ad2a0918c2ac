// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/result_keepers.h"

#include <algorithm>
#include <map>
#include <utility>

#include "libserve/upstream_says.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Results that are not released expire by themselves, so a lost call costs memory only.
constexpr Micros kReleaseTimeout = 500 * kMillisecond;
/// Minimum interval between checks whether a holder accepts calls again.
constexpr Micros kMinPollInterval = kMillisecond;

} // namespace

ResultHolders::ResultHolders(asio::io_context& io, Kernel& kernel, Connector& connector,
                             OnFreed on_freed)
    : m_io(io)
    , m_kernel(kernel)
    , m_on_freed(std::move(on_freed))
    , m_client(io, &connector)
{
}

void
ResultHolders::free(const Releases& releases)
{
    std::map<std::string, Releases> by_holder;
    for (const std::string& handle : releases.handles) {
        Releases& at_holder = by_holder[m_kernel.calls->holder_of(handle)];
        at_holder.upstream_set = releases.upstream_set;
        at_holder.handles.push_back(handle);
    }
    for (auto& [holder, releases] : by_holder) {
        // One call contains all releases that accumulate until its holder accepts calls.
        const auto [held, is_first] = m_held.try_emplace(holder, std::move(releases));
        if (is_first)
            spawn_task(m_io, "release_call", free_at(holder),
                       [this, holder = holder] { m_held.erase(holder); });
        else
            held->second.handles.insert(held->second.handles.end(),
                                        releases.handles.begin(), releases.handles.end());
    }
}

/// The newest run at that address, or null if the set has none there.
UpstreamPtr
ResultHolders::find_holder(const std::string& set_name, const std::string& address) const
{
    UpstreamPtr found;
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot)
        return found;
    for (const UpstreamSet& set : snapshot->sets) {
        if (set.spec.name != set_name)
            continue;
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& upstream : *side)
                if (upstream->address == address
                    && (!found || found->born < upstream->born))
                    found = upstream;
    }
    return found;
}

/// A holder in backoff accepts no releases either, and a holder with a rate limit counts
/// them as calls.  No calls are sent to the holder during that time, so its memory is not
/// needed earlier.
asio::awaitable<void>
ResultHolders::wait_until_open(UpstreamPtr holder)
{
    for (;;) {
        const Micros now = monotonic_us();
        const Micros opens = unavailable_until(*holder, RatePart::Granted);
        if (opens <= now && holder->self_report->limit().take(RatePart::Granted, now))
            co_return;
        co_await pause_for(m_io, std::max(opens - now, kMinPollInterval));
    }
}

asio::awaitable<void>
ResultHolders::free_at(std::string holder)
{
    const UpstreamPtr upstream = find_holder(m_held.at(holder).upstream_set, holder);
    if (upstream)
        co_await wait_until_open(upstream);
    const Releases releases = std::move(m_held.extract(holder).mapped());
    const Micros sent = monotonic_us();
    CallOptions options;
    options.deadline_us = sent + kReleaseTimeout;
    options.send_clock = false;
    options.on_answer = [&](const HttpResponse& head, Micros connected) {
        if (upstream)
            record_upstream_report(*upstream, m_kernel.calls->read_answer(head),
                                   {sent, connected, "release", RatePart::Granted});
    };
    const CallResult result = co_await m_client.call(
        holder, m_kernel.calls->free_results(releases.handles), std::move(options));
    if (result.status == CallStatus::Answered) {
        m_on_freed(releases);
        co_return;
    }
    LogEvent("release_lost", LogLevel::Warn)
        .kv("set", releases.upstream_set)
        .kv("upstream", holder)
        .kv("results", releases.handles.size());
}

} // namespace cypressford
