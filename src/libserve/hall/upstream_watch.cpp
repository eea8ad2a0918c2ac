// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/upstream_watch.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/session_token.h>

#include "libserve/upstream_says.h"
#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Micros kLoadRequestTimeout = 500 * kMillisecond;
constexpr std::chrono::milliseconds kListInterval {1000};
/// Number of daemons of a hall that poll one upstream, and that read the node list.
constexpr int kPollersPerUpstream = 1;
constexpr int kListReaders = 2;
/// A load that changed by at most this part, or by at most one call, is not reported again.
constexpr double kChangeThreshold = 0.25;

bool
has_load_changed(int before, int after)
{
    return std::abs(after - before) > std::max(1.0, kChangeThreshold * before);
}

bool
is_significant_change(const LoadReport& before, const LoadReport& after)
{
    return before.leaving != after.leaving || before.incarnation != after.incarnation
        || has_load_changed(before.in_flight, after.in_flight)
        || has_load_changed(before.queued, after.queued);
}

} // namespace

UpstreamWatch::UpstreamWatch(asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                             IsChosen chosen, OnLeaving leaving)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_is_chosen(std::move(chosen))
    , m_on_leaving(std::move(leaving))
    , m_client(io)
{
}

void
UpstreamWatch::start()
{
    spawn_restarting_task(m_io, "upstream_list", [this] { return list_loop(); });
    spawn_restarting_task(m_io, "upstream_poll", [this] { return poll_loop(); });
}

asio::awaitable<void>
UpstreamWatch::list_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        if (m_is_chosen("node list", kListReaders)) {
            const auto nodes = co_await m_platform.nodes();
            for (const NodeEntry& node : nodes.value_or(std::vector<NodeEntry> {}))
                if (auto upstream = m_kernel.upstreams.find(node.address);
                    upstream && node.leaving)
                    upstream->mark_leaving();
            propagate_leaving_marks();
        }
        timer.expires_after(kListInterval);
        co_await timer.async_wait(kToTuple);
    }
}

/// Polls the upstreams that are assigned to this daemon one after the other, each at most
/// once per interval and all of them together at most at the configured rate.
asio::awaitable<void>
UpstreamWatch::poll_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        const SnapshotPtr snapshot = m_kernel.snapshot.load();
        std::vector<std::pair<std::shared_ptr<UpstreamState>, const UpstreamKind*>>
            assigned;
        if (snapshot) {
            refresh_ids(*snapshot);
            for (const UpstreamSet& set : snapshot->sets) {
                const auto kind = m_kernel.kinds.find(set.spec.kind);
                if (kind == m_kernel.kinds.end())
                    continue;
                for (const auto& upstream : set.own)
                    if (m_is_chosen(upstream->address, kPollersPerUpstream))
                        assigned.emplace_back(upstream, kind->second.get());
            }
        }
        const Micros interval = m_kernel.settings.watch_interval;
        const Micros min_step = static_cast<Micros>(kSecond / m_kernel.settings.watch_rate);
        const auto count = static_cast<Micros>(std::max<std::size_t>(1, assigned.size()));
        const Micros step = std::max(min_step, interval / count);
        for (const auto& [upstream, kind] : assigned) {
            spawn_task(m_io, "upstream_poll_call", poll(upstream, *kind));
            timer.expires_after(std::chrono::microseconds(step));
            co_await timer.async_wait(kToTuple);
        }
        if (assigned.empty()) {
            timer.expires_after(std::chrono::microseconds(interval));
            co_await timer.async_wait(kToTuple);
        }
    }
}

asio::awaitable<void>
UpstreamWatch::poll(std::shared_ptr<UpstreamState> upstream, const UpstreamKind& kind)
{
    const Micros requested_at = monotonic_us();
    CallOptions options;
    options.deadline_us = requested_at + kLoadRequestTimeout;
    const CallResult result = co_await m_client.call(upstream->address, kind.load_request(),
                                                     std::move(options));
    if (result.status != CallStatus::Answered)
        co_return;
    if (m_kernel.calls)
        record_upstream_load(*upstream, m_kernel.calls->read_answer(result.response),
                             "load");
    if (const auto report = kind.decode_load(result.response))
        record_report(upstream, *report, requested_at, "report");
}

void
UpstreamWatch::refresh_ids(const Snapshot& snapshot)
{
    if (snapshot.generation == m_ids_generation)
        return;
    m_ids_generation = snapshot.generation;
    for (const auto& upstream : m_kernel.upstreams.all())
        m_by_id[session_hash(upstream->address)] = upstream;
}

void
UpstreamWatch::on_peer_report(std::uint64_t id, const LoadReport& report, Micros at)
{
    auto it = m_by_id.find(id);
    if (it != m_by_id.end())
        record_report(it->second, report, at, "peer");
}

void
UpstreamWatch::record_report(const std::shared_ptr<UpstreamState>& upstream,
                             const LoadReport& report, Micros at, const char* source)
{
    const std::uint64_t id = session_hash(upstream->address);
    Observation& seen = m_observations[id];
    if (at <= seen.reported_at || report.incarnation < seen.report.incarnation)
        return;
    const bool is_change
        = seen.reported_at == 0 || is_significant_change(seen.report, report);
    const bool has_started_leaving = report.leaving && !seen.report.leaving;
    seen.id = id;
    seen.reported_at = at;
    if (is_change) {
        seen.report = report;
        seen.changed_at = monotonic_us();
    }
    upstream->apply_report(report, at);
    if (!has_started_leaving)
        return;
    LogEvent("upstream_leaving").kv("upstream", upstream->address).kv("by", source);
    m_on_leaving();
}

void
UpstreamWatch::propagate_leaving_marks()
{
    for (const auto& [id, upstream] : m_by_id) {
        if (!upstream->leaving.load(std::memory_order_relaxed))
            continue;
        LoadReport report = m_observations[id].report;
        if (report.leaving)
            continue;
        report.leaving = true;
        report.incarnation = std::max(report.incarnation, upstream->incarnation.load());
        record_report(upstream, report, monotonic_us(), "answer or list");
    }
}

std::vector<const UpstreamWatch::Observation*>
UpstreamWatch::recent_reports(Micros since, std::size_t limit) const
{
    std::vector<const Observation*> result;
    for (const auto& [id, seen] : m_observations)
        if (seen.reported_at > 0 && (seen.changed_at >= since || seen.report.leaving))
            result.push_back(&seen);
    const auto first = [](const Observation* a, const Observation* b) {
        if (a->report.leaving != b->report.leaving)
            return a->report.leaving;
        return a->changed_at > b->changed_at;
    };
    if (result.size() > limit) {
        const auto middle = result.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(result.begin(), middle, result.end(), first);
        result.resize(limit);
    }
    return result;
}

} // namespace cypressford
