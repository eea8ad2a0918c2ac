// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/upstream_watch.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/session_token.h>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Micros kAskTimeout = 500 * kMillisecond;
constexpr std::chrono::milliseconds kListInterval {1000};
/// Daemons of a hall that ask one upstream, and that read the node list.
constexpr int kWatchers = 1;
constexpr int kListReaders = 2;
/// A load that moved by less than this part, or by one call, is no news.
constexpr double kNewsPart = 0.25;

bool
moved(int before, int after)
{
    return std::abs(after - before) > std::max(1.0, kNewsPart * before);
}

bool
is_news(const LoadReport& before, const LoadReport& after)
{
    return before.leaving != after.leaving || before.incarnation != after.incarnation
        || moved(before.in_flight, after.in_flight) || moved(before.queued, after.queued);
}

} // namespace

UpstreamWatch::UpstreamWatch(asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                             Chosen chosen, Leaving leaving)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_chosen(std::move(chosen))
    , m_leaving(std::move(leaving))
    , m_client(io)
{
}

void
UpstreamWatch::start()
{
    asio::co_spawn(m_io, list_loop(), asio::detached);
    asio::co_spawn(m_io, watch_loop(), asio::detached);
}

asio::awaitable<void>
UpstreamWatch::list_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        if (m_chosen("node list", kListReaders)) {
            const auto nodes = co_await m_platform.nodes();
            for (const NodeEntry& node : nodes.value_or(std::vector<NodeEntry> {}))
                if (auto upstream = m_kernel.upstreams.find(node.address);
                    upstream && node.leaving)
                    upstream->mark_leaving();
            spread_marks();
        }
        timer.expires_after(kListInterval);
        co_await timer.async_wait(kToTuple);
    }
}

/// Asks the upstreams that fall to this daemon in turn, each no more often than
/// the interval says and all of them no faster than the rate allows.
asio::awaitable<void>
UpstreamWatch::watch_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        const SnapshotPtr snapshot = m_kernel.snapshot.load();
        std::vector<std::pair<std::shared_ptr<UpstreamState>, const UpstreamKind*>> ours;
        if (snapshot) {
            refresh_names(*snapshot);
            for (const UpstreamSet& set : snapshot->sets) {
                const auto kind = m_kernel.kinds.find(set.spec.kind);
                if (kind == m_kernel.kinds.end())
                    continue;
                for (const auto& upstream : set.own)
                    if (m_chosen(upstream->address, kWatchers))
                        ours.emplace_back(upstream, kind->second.get());
            }
        }
        const Micros interval = m_kernel.settings.watch_interval;
        const Micros gap = static_cast<Micros>(kSecond / m_kernel.settings.watch_rate);
        const auto count = static_cast<Micros>(std::max<std::size_t>(1, ours.size()));
        const Micros step = std::max(gap, interval / count);
        for (const auto& [upstream, kind] : ours) {
            asio::co_spawn(m_io, ask(upstream, *kind), asio::detached);
            timer.expires_after(std::chrono::microseconds(step));
            co_await timer.async_wait(kToTuple);
        }
        if (ours.empty()) {
            timer.expires_after(std::chrono::microseconds(interval));
            co_await timer.async_wait(kToTuple);
        }
    }
}

asio::awaitable<void>
UpstreamWatch::ask(std::shared_ptr<UpstreamState> upstream, const UpstreamKind& kind)
{
    const Micros asked = monotonic_us();
    CallOptions options;
    options.deadline_us = asked + kAskTimeout;
    const CallResult result = co_await m_client.call(upstream->address, kind.load_request(),
                                                     std::move(options));
    if (result.status != CallStatus::Answered)
        co_return;
    if (const auto report = kind.decode_load(result.response))
        learn(upstream, *report, asked, "report");
}

void
UpstreamWatch::refresh_names(const Snapshot& snapshot)
{
    if (snapshot.generation == m_named_generation)
        return;
    m_named_generation = snapshot.generation;
    for (const auto& upstream : m_kernel.upstreams.all())
        m_by_id[session_hash(upstream->address)] = upstream;
}

void
UpstreamWatch::observe(std::uint64_t id, const LoadReport& report, Micros at)
{
    auto it = m_by_id.find(id);
    if (it != m_by_id.end())
        learn(it->second, report, at, "peer");
}

void
UpstreamWatch::learn(const std::shared_ptr<UpstreamState>& upstream,
                     const LoadReport& report, Micros at, const char* source)
{
    const std::uint64_t id = session_hash(upstream->address);
    Observation& seen = m_observations[id];
    if (at <= seen.at || report.incarnation < seen.report.incarnation)
        return;
    const bool news = seen.at == 0 || is_news(seen.report, report);
    const bool leaves = report.leaving && !seen.report.leaving;
    seen.id = id;
    seen.at = at;
    if (news) {
        seen.report = report;
        seen.changed = monotonic_us();
    }
    upstream->apply_report(report, at);
    if (!leaves)
        return;
    LogEvent("upstream_leaving").kv("upstream", upstream->address).kv("by", source);
    m_leaving();
}

void
UpstreamWatch::spread_marks()
{
    for (const auto& [id, upstream] : m_by_id) {
        if (!upstream->leaving.load(std::memory_order_relaxed))
            continue;
        LoadReport report = m_observations[id].report;
        if (report.leaving)
            continue;
        report.leaving = true;
        report.incarnation = std::max(report.incarnation, upstream->incarnation.load());
        learn(upstream, report, monotonic_us(), "answer or list");
    }
}

std::vector<const UpstreamWatch::Observation*>
UpstreamWatch::news(Micros since, std::size_t limit) const
{
    std::vector<const Observation*> result;
    for (const auto& [id, seen] : m_observations)
        if (seen.at > 0 && (seen.changed >= since || seen.report.leaving))
            result.push_back(&seen);
    const auto first = [](const Observation* a, const Observation* b) {
        if (a->report.leaving != b->report.leaving)
            return a->report.leaving;
        return a->changed > b->changed;
    };
    if (result.size() > limit) {
        const auto middle = result.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(result.begin(), middle, result.end(), first);
        result.resize(limit);
    }
    return result;
}

} // namespace cypressford
