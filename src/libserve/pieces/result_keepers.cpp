// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/result_keepers.h"

#include <chrono>
#include <map>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/upstream_says.h"
#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Results that are not released lapse by themselves, so a lost call costs memory only.
constexpr Micros kWaitLimit = 500 * kMillisecond;

} // namespace

ResultKeepers::ResultKeepers(asio::io_context& io, Kernel& kernel, OnFreed on_freed)
    : m_io(io)
    , m_kernel(kernel)
    , m_on_freed(std::move(on_freed))
    , m_client(io)
{
}

void
ResultKeepers::free(const Releases& releases)
{
    std::map<std::string, Releases> by_keeper;
    for (const std::string& handle : releases.handles) {
        Releases& at_keeper = by_keeper[m_kernel.calls->keeper_of(handle)];
        at_keeper.upstream_set = releases.upstream_set;
        at_keeper.handles.push_back(handle);
    }
    for (auto& [keeper, releases] : by_keeper)
        asio::co_spawn(m_io, free_at(keeper, std::move(releases)), asio::detached);
}

/// The newest run at that address, or null if the set has none there.
UpstreamPtr
ResultKeepers::find_keeper(const std::string& set_name, const std::string& address) const
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

/// A keeper that rests wants no releases either.  Nothing is sent there meanwhile, so its
/// memory is not needed before its rest ends.
asio::awaitable<void>
ResultKeepers::wait_for_rest(UpstreamPtr keeper)
{
    while (keeper->said->rests(monotonic_us())) {
        BootTimer timer(m_io);
        const Micros left = keeper->said->rests_until() - monotonic_us();
        timer.expires_after(std::chrono::microseconds(left));
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<void>
ResultKeepers::free_at(std::string keeper, Releases releases)
{
    const UpstreamPtr upstream = find_keeper(releases.upstream_set, keeper);
    if (upstream)
        co_await wait_for_rest(upstream);
    CallOptions options;
    options.deadline_us = monotonic_us() + kWaitLimit;
    options.send_clock = false;
    options.on_answer = [&](const HttpResponse& head) {
        if (upstream)
            hear(*upstream, m_kernel.calls->read_answer(head), "release");
    };
    const CallResult result = co_await m_client.call(
        keeper, m_kernel.calls->free_results(releases.handles), std::move(options));
    if (result.status == CallStatus::Answered) {
        m_on_freed(releases);
        co_return;
    }
    LogEvent("release_lost", LogLevel::Warn)
        .kv("set", releases.upstream_set)
        .kv("upstream", keeper)
        .kv("results", releases.handles.size());
}

} // namespace cypressford
