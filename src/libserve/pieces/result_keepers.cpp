// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/result_keepers.h"

#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

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

asio::awaitable<void>
ResultKeepers::free_at(std::string keeper, Releases releases)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + kWaitLimit;
    options.send_clock = false;
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
