// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/operator/operator_pages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/entry/worker.h"
#include "libserve/operator/metrics.h"
#include "libserve/pieces/piece_service.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Age of a configuration that was never known to be the newest one.
constexpr double kNeverConfirmed = -1;

} // namespace

HttpResponse
text_response(int status, std::string text)
{
    HttpResponse response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::move(text);
    return response;
}

asio::awaitable<void>
serve_readiness(Kernel& kernel, HttpExchange& exchange)
{
    const bool ready = kernel.is_ready();
    co_await exchange.respond(
        text_response(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

asio::awaitable<void>
serve_metrics(Kernel& kernel, HttpExchange& exchange)
{
    MetricsSnapshot total;
    for (Worker* worker : kernel.workers) {
        const auto collect = [worker]() -> asio::awaitable<MetricsSnapshot> {
            co_return worker->metrics();
        };
        total.merge(co_await asio::co_spawn(worker->io(), collect(), asio::use_awaitable));
    }
    total.task_failures = task_failures();
    if (kernel.pieces)
        total.leader_work = co_await kernel.pieces->leader_work();
    const SnapshotPtr snapshot = kernel.snapshot.load();
    const double version = snapshot ? static_cast<double>(snapshot->bundle->version) : 0;
    const SuspectViewPtr suspects = kernel.suspects.load();
    const std::size_t quarantined = suspects ? suspects->count_quarantined() : 0;
    const auto age = kernel.configuration_age(monotonic_us());
    const double age_s = age ? static_cast<double>(*age) / kSecond : kNeverConfirmed;
    const std::vector<Gauge> gauges {
        {"cypressford_bundle_version", "Version of the bundle in force.", version},
        {"cypressford_configuration_age_seconds",
         "Time since the configuration was last known to be the newest; -1: never.", age_s},
        {"cypressford_in_progress", "Requests not answered yet.",
         static_cast<double>(total.in_progress)},
        {"cypressford_connections", "Open connections of callers.",
         static_cast<double>(total.connections)},
        {"cypressford_unread_bytes", "Bytes of answers that callers have not read.",
         static_cast<double>(kernel.answers.held())},
        {"cypressford_upstream_links_cut", "1 while no upstream is reached directly.",
         kernel.is_cut_off.load() ? 1.0 : 0.0},
        {"cypressford_open_tunnels", "Connections to upstreams through other daemons.",
         static_cast<double>(kernel.open_tunnels.load())},
        {"cypressford_served_tunnels", "Connections to upstreams for other daemons.",
         static_cast<double>(kernel.served_tunnels.load())},
        {"cypressford_hall_daemons", "Live daemons of the hall.",
         static_cast<double>(kernel.daemons_in_hall.load())},
        {"cypressford_led_sets", "Upstream sets that this daemon leads.",
         static_cast<double>(kernel.led_sets.load())},
        {"cypressford_directory_calls", "Calls to the platform's directory.",
         static_cast<double>(kernel.directory_calls.load())},
        {"cypressford_unread_records", "Records of the directory that can't be read.",
         static_cast<double>(kernel.invalid_records.load())},
        {"cypressford_evacuated_halls", "Halls whose upstreams get nothing new.",
         static_cast<double>(kernel.evacuated_halls.load())},
        {"cypressford_quarantined_requests", "Requests that no upstream gets any more.",
         static_cast<double>(quarantined)},
        {"cypressford_placement_holder", "1 while this daemon places models.",
         kernel.holds_placement.load() ? 1.0 : 0.0},
        {"cypressford_log_out", "1 while the log takes no appends.",
         kernel.log_is_unavailable.load() ? 1.0 : 0.0}};
    HttpResponse response = text_response(200, render_metrics(total, gauges));
    response.content_type = "text/plain; version=0.0.4";
    co_await exchange.respond(std::move(response));
}

} // namespace cypressford
