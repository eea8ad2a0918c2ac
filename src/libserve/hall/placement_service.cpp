// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/placement_service.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kLeaseCheckInterval {200};
constexpr std::chrono::milliseconds kPlacementInterval {1000};
constexpr std::chrono::milliseconds kReadRetry {300};
constexpr Micros kReadWait = 5 * kSecond;
constexpr Micros kCallTimeout = 2 * kSecond;
/// A daemon that starts to read the log begins this many records before its end; these
/// include the renewals of the current lease.
constexpr Offset kLookBackRecords = 50;

} // namespace

PlacementService::PlacementService(asio::io_context& io, Kernel& kernel,
                                   PlatformClient& platform, IsCandidate candidate)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_is_candidate(std::move(candidate))
    , m_client(io)
    , m_lease("placement/" + kernel.settings.hall, kernel.incarnation,
              kernel.settings.lease)
{
}

void
PlacementService::start()
{
    spawn_restarting_task(m_io, "placement_lease", [this] { return lease_loop(); });
    spawn_restarting_task(m_io, "placement_read", [this] { return read_loop(); });
    spawn_restarting_task(m_io, "placement_work", [this] { return work_loop(); });
}

std::string
PlacementService::stream() const
{
    return "leases-" + m_kernel.settings.hall;
}

asio::awaitable<void>
PlacementService::lease_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        timer.expires_after(kLeaseCheckInterval);
        co_await timer.async_wait(kToTuple);
        const Micros now = monotonic_us();
        const bool held = m_lease.held(now);
        if (m_kernel.holds_placement.exchange(held) != held)
            LogEvent("placement_lease").kv("held", held).kv("fence", m_lease.fence());
        if (m_next < 0)
            continue;
        const bool is_candidate = m_is_candidate() && !m_kernel.stopping.load();
        const auto record = m_lease.next_append(is_candidate, now);
        if (!record)
            continue;
        co_await m_platform.append(stream(), encode(*record));
        m_lease.append_ended();
    }
}

asio::awaitable<void>
PlacementService::read_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        if (!m_is_candidate() && !m_kernel.holds_placement.load()) {
            m_next = -1;
            timer.expires_after(kReadRetry);
            co_await timer.async_wait(kToTuple);
            continue;
        }
        const Offset from = std::max<Offset>(0, m_next);
        const Micros wait = m_next < 0 ? 0 : kReadWait;
        const auto page = co_await m_platform.read(stream(), from, wait);
        if (!page) {
            timer.expires_after(kReadRetry);
            co_await timer.async_wait(kToTuple);
            continue;
        }
        if (m_next < 0) {
            m_next = std::max(page->first, page->next - kLookBackRecords);
            if (m_next > 0)
                m_lease.on_gap(monotonic_us());
            continue;
        }
        if (page->from > m_next)
            m_lease.on_gap(monotonic_us());
        m_next = page->from;
        for (const std::string& text : page->records) {
            if (const auto record = decode_lease(text))
                m_lease.apply(m_next, *record, monotonic_us());
            ++m_next;
        }
    }
}

asio::awaitable<void>
PlacementService::work_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        timer.expires_after(kPlacementInterval);
        co_await timer.async_wait(kToTuple);
        if (m_lease.held(monotonic_us()))
            co_await place_once();
    }
}

std::vector<PlacementService::RequiredModel>
PlacementService::required_models(const Snapshot& snapshot) const
{
    std::vector<RequiredModel> result;
    for (const PipelineSlots::Number number : snapshot.bundle->order) {
        const ResolvedPipeline& pipeline = snapshot.bundle->pipelines[number];
        for (std::size_t at = 0; at < pipeline.spec.stages.size(); ++at) {
            const StageSpec& stage = pipeline.spec.stages[at];
            const UpstreamSet& set = snapshot.sets[pipeline.sets[at]];
            const auto kind = m_kernel.kinds.find(set.spec.kind);
            if (stage.model.empty() || kind == m_kernel.kinds.end()
                || !kind->second->takes_orders())
                continue;
            for (const auto& engine : set.own)
                if (!engine->is_leaving(monotonic_us()))
                    result.push_back(
                        {engine, kind->second.get(), stage.model, stage.adapter});
        }
    }
    return result;
}

/// Reads the models of each engine and orders the missing ones.
asio::awaitable<void>
PlacementService::place_once()
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot)
        co_return;
    std::map<std::string, std::vector<std::string>> present;
    BootTimer timer(m_io);
    for (const RequiredModel& required : required_models(*snapshot)) {
        const std::string& address = required.engine->address;
        if (present.count(address) == 0)
            present[address] = co_await models_of(required);
        auto& models = present[address];
        const std::string name
            = required.kind->model_name(required.model, required.adapter);
        if (std::find(models.begin(), models.end(), name) != models.end())
            continue;
        // The lease may have expired while this daemon was suspended.
        if (!m_lease.held(monotonic_us()))
            co_return;
        co_await send_order(required);
        models.push_back(name);
        timer.expires_after(std::chrono::microseconds(
            static_cast<Micros>(kSecond / m_kernel.settings.orders_per_s)));
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<std::vector<std::string>>
PlacementService::models_of(const RequiredModel& required)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + kCallTimeout;
    const CallResult result = co_await m_client.call(
        required.engine->address, required.kind->models_request(), std::move(options));
    co_return required.kind->decode_models(result.response);
}

asio::awaitable<void>
PlacementService::send_order(const RequiredModel& required)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + kCallTimeout;
    const CallResult result = co_await m_client.call(
        required.engine->address,
        required.kind->load_order(required.model, required.adapter, m_lease.fence()),
        std::move(options));
    LogEvent("placement_order")
        .kv("engine", required.engine->address)
        .kv("model", required.kind->model_name(required.model, required.adapter))
        .kv("fence", m_lease.fence())
        .kv("status", result.response.status);
}

} // namespace cypressford
