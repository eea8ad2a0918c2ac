// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "watch_service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Micros kAskTimeout = 500 * kMillisecond;
constexpr std::chrono::milliseconds kListInterval {500};

} // namespace

WatchService::WatchService(asio::io_context& io, Kernel& kernel, PlatformClient& platform)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_client(io)
{
}

WatchService::~WatchService() = default;

Result<void>
WatchService::start(BundleService&)
{
    asio::co_spawn(m_io, list_loop(), asio::detached);
    asio::co_spawn(m_io, watch_loop(), asio::detached);
    return {};
}

void
WatchService::announce_stop()
{
}

asio::awaitable<void>
WatchService::list_loop()
{
    asio::steady_timer timer(m_io);
    for (;;) {
        const auto nodes = co_await m_platform.nodes();
        if (nodes) {
            for (const NodeEntry& node : *nodes) {
                auto upstream = m_kernel.upstreams.find(node.address);
                if (upstream && node.leaving && !upstream->leaving.load()) {
                    upstream->mark_leaving();
                    LogEvent("upstream_leaving")
                        .kv("upstream", node.address)
                        .kv("by", "list");
                }
            }
        }
        timer.expires_after(kListInterval);
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<void>
WatchService::watch_loop()
{
    asio::steady_timer timer(m_io);
    for (;;) {
        if (const SnapshotPtr snapshot = m_kernel.snapshot.load()) {
            for (const UpstreamSet& set : snapshot->sets) {
                const auto kind = m_kernel.kinds.find(set.spec.kind);
                if (kind == m_kernel.kinds.end())
                    continue;
                for (const auto& upstream : set.own)
                    asio::co_spawn(m_io, ask(upstream, *kind->second), asio::detached);
            }
        }
        timer.expires_after(std::chrono::microseconds(m_kernel.settings.watch_interval));
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<void>
WatchService::ask(std::shared_ptr<UpstreamState> upstream, const UpstreamKind& kind)
{
    const Micros asked = monotonic_us();
    CallOptions options;
    options.deadline_us = asked + kAskTimeout;
    const CallResult result = co_await m_client.call(upstream->address, kind.load_request(),
                                                     std::move(options));
    if (result.status != CallStatus::Answered)
        co_return;
    if (const auto report = kind.decode_load(result.response)) {
        const bool was_leaving = upstream->leaving.load();
        upstream->apply_report(*report, asked);
        if (upstream->leaving.load() && !was_leaving)
            LogEvent("upstream_leaving")
                .kv("upstream", upstream->address)
                .kv("by", "report");
    }
}

} // namespace cypressford
