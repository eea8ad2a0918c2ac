// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/daemon.h"

#include <csignal>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/registry.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/entry/problem.h"
#include "libserve/entry/worker.h"
#include "libserve/hall/bundle_service.h"
#include "libserve/hall/claim_service.h"
#include "libserve/hall/hall_service.h"
#include "libserve/hall/placement_service.h"
#include "libserve/operator/operator_pages.h"
#include "libserve/pieces/piece_service.h"
#include "libserve/streams/origin_writer.h"
#include "libserve/streams/stream_origins.h"
#include "libserve/streams/version_writer.h"
#include "libserve/suspects/end_watch.h"
#include "libserve/suspects/suspect_writer.h"
#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kStopCheckInterval {20};
/// The stop limit divided by this number is reserved for ending the process.
constexpr Micros kStopLimitDivisor = 20;
/// Waiting requests are refused this long before the end of the stop limit, so that the
/// refusals still reach their callers.
constexpr Micros kRefusalLeadTime = 400 * kMillisecond;
/// Number of daemons in a hall that compete for the model placement lease.
constexpr int kPlacementCandidates = 2;

} // namespace

/// Services built on the project's own log: claims, bundles, hall and placement.  Not used
/// with a directory.
struct LogServices {
    LogServices(asio::io_context& io, Kernel& kernel)
        : platform(Registry<PlatformClient>::instance().make(kernel.settings.platform.kind))
        , claims(io, kernel, *platform)
        , bundles(io, kernel, *platform)
        , hall(io, kernel, *platform, bundles)
        , placement(io, kernel, *platform,
                    [this] { return hall.is_chosen("placement", kPlacementCandidates); })
    {
        kernel.claims = &claims;
        bundles.on_update([this] { hall.exchange_with_all(); });
        platform->open(io, kernel.settings.platform);
    }

    Result<void> start()
    {
        claims.start();
        bundles.start();
        if (auto started = hall.start(); !started)
            return started;
        placement.start();
        return {};
    }

    std::unique_ptr<PlatformClient> platform;
    ClaimService claims;
    BundleService bundles;
    HallService hall;
    PlacementService placement;
};

struct Daemon::Impl {
    Impl(Settings settings, ReadSettings read)
        : kernel(std::move(settings))
        , read_settings(std::move(read))
        , signals(control, SIGINT, SIGTERM)
        , hangup(control, SIGHUP)
    {
        if (kernel.settings.uses_directory) {
            directory = std::make_unique<DirectoryWatch>(control, kernel);
            directory->on_change(
                [this] { on_workers([](Worker& worker) { worker.apply_limits(); }); });
        } else {
            log = std::make_unique<LogServices>(control, kernel);
        }
        for (int i = 0; i < kernel.settings.threads; ++i) {
            workers.push_back(std::make_unique<Worker>(kernel, static_cast<unsigned>(i)));
            kernel.workers.push_back(workers.back().get());
        }
        if (!directory)
            return;
        pieces = std::make_unique<PieceService>(workers.front()->io(), kernel,
                                                workers.front()->connector());
        kernel.pieces = pieces.get();
        streams = std::make_unique<StreamOrigins>(workers.front()->io(), kernel);
        kernel.streams = streams.get();
        versions = std::make_unique<VersionWriter>(control, kernel, *directory);
        origins = std::make_unique<OriginWriter>(control, kernel, *directory);
        streams->on_store(
            [this](RequestsByOrigin stored) { origins->add(std::move(stored)); });
        origins->on_read(
            [this](RequestsByOrigin read) { streams->restore(std::move(read)); });
        kernel.on_suspension_detected
            = [this] { asio::post(control, [this] { directory->on_resumed(); }); };
        kernel.on_peer_unreachable = [this](std::string address) {
            asio::post(control, [this, lost = std::move(address)] {
                directory->report_unreachable(lost);
            });
        };
        directory->on_unreachable([this](std::set<std::string> addresses) {
            pieces->set_unreachable(std::move(addresses));
        });
        ends = std::make_unique<EndWatch>(control, kernel);
        kernel.ends = ends.get();
        suspects = std::make_unique<SuspectWriter>(control, kernel, *directory);
        ends->on_end([this](UpstreamEnd end) { suspects->report_end(std::move(end)); });
        ends->on_answered(
            [this](const RequestDigest& digest) { suspects->report_answered(digest); });
        directory->on_daemons([this](std::vector<DaemonRecord> records) {
            pieces->set_daemons(std::move(records));
        });
    }

    template <class F> void on_workers(F&& action)
    {
        for (auto& worker : workers)
            asio::post(worker->io(), [w = worker.get(), action] { action(*w); });
    }

    /// Opens separate listeners for readiness and metrics, if the settings name addresses.
    Result<void> open_auxiliary_servers()
    {
        const auto open
            = [this](const std::string& address,
                     HttpServer::Handler handler) -> Result<std::unique_ptr<HttpServer>> {
            if (address.empty())
                return std::unique_ptr<HttpServer> {};
            auto server = std::make_unique<HttpServer>(
                control, kernel.settings.limits, std::move(handler),
                [](ErrorKind kind) { return problem_response(problem_of(kind)); });
            if (auto port = server->listen(parse_address(address)); !port)
                return tl::unexpected(port.error());
            return server;
        };
        auto ready
            = open(kernel.settings.readiness_address, [this](HttpExchange& exchange) {
                  return serve_readiness(kernel, exchange);
              });
        if (!ready)
            return tl::unexpected(ready.error());
        readiness = *std::move(ready);
        auto metrics_server
            = open(kernel.settings.metrics_address, [this](HttpExchange& exchange) {
                  return serve_metrics(kernel, exchange);
              });
        if (!metrics_server)
            return tl::unexpected(metrics_server.error());
        metrics = *std::move(metrics_server);
        return {};
    }

    asio::awaitable<bool> workers_idle()
    {
        if (pieces) {
            const auto check_idle
                = [this]() -> asio::awaitable<bool> { co_return pieces->is_idle(); };
            if (!co_await asio::co_spawn(workers.front()->io(), check_idle(),
                                         asio::use_awaitable))
                co_return false;
        }
        for (auto& worker : workers) {
            Worker* w = worker.get();
            const auto check_idle
                = [w]() -> asio::awaitable<bool> { co_return w->is_idle(); };
            if (!co_await asio::co_spawn(w->io(), check_idle(), asio::use_awaitable))
                co_return false;
        }
        co_return true;
    }

    asio::awaitable<void> reload_on_hangup()
    {
        for (;;) {
            auto [ec, number] = co_await hangup.async_wait(kToTuple);
            if (ec)
                co_return;
            reload();
        }
    }

    void reload()
    {
        auto fresh = read_settings();
        if (!fresh) {
            for (const Fault& fault : fresh.error())
                LogEvent("settings_refused", LogLevel::Error)
                    .kv("line", fault.line)
                    .kv("why", fault.message);
            return;
        }
        LogEvent("settings_reloaded").kv("platform", fresh->platform.log);
        kernel.reloaded.store(std::make_shared<const Settings>(*std::move(fresh)));
        on_workers([](Worker& worker) { worker.apply_limits(); });
    }

    asio::awaitable<void> wait_for_signal()
    {
        auto [ec, number] = co_await signals.async_wait(kToTuple);
        if (ec)
            co_return;
        // The daemon would otherwise stay, without new callers, until it is killed.
        spawn_task(control, "planned_stop", planned_stop(), [this] { control.stop(); });
        co_await signals.async_wait(kToTuple);
        LogEvent("stop_forced", LogLevel::Warn);
        control.stop();
    }

    /// Clears readiness first, so that the balancer sends no new requests, and then
    /// finishes the requests in progress.
    asio::awaitable<void> planned_stop()
    {
        LogEvent("stop_begin");
        const auto settings = kernel.reloaded.load();
        const Micros limit = monotonic_us()
            + settings->stop_limit / kStopLimitDivisor * (kStopLimitDivisor - 1);
        kernel.stopping.store(true);
        on_workers([](Worker& worker) { worker.close_after_answers(); });
        if (log)
            log->hall.announce_stop();
        else
            directory->announce_stop();
        BootTimer timer(control);
        timer.expires_after(std::chrono::microseconds(settings->stop_grace_period));
        co_await timer.async_wait(kToTuple);
        on_workers([](Worker& worker) { worker.stop_accepting(); });
        bool idle = false;
        bool refused = false;
        while (!idle && monotonic_us() < limit) {
            if (monotonic_us() >= limit - kRefusalLeadTime && !std::exchange(refused, true))
                on_workers([](Worker& worker) { worker.answer_waiting_requests(); });
            on_workers([](Worker& worker) { worker.close_idle(); });
            timer.expires_after(kStopCheckInterval);
            co_await timer.async_wait(kToTuple);
            idle = co_await workers_idle() && (!log || co_await log->claims.is_idle());
        }
        LogEvent("stop_end").kv("idle", idle);
        control.stop();
    }

    asio::io_context control {1};
    Kernel kernel;
    std::unique_ptr<LogServices> log; ///< exactly one of `log` and `directory` is set
    std::unique_ptr<DirectoryWatch> directory;
    std::unique_ptr<EndWatch> ends;
    std::unique_ptr<SuspectWriter> suspects;
    std::unique_ptr<VersionWriter> versions;
    std::unique_ptr<OriginWriter> origins;
    std::unique_ptr<HttpServer> readiness;
    std::unique_ptr<HttpServer> metrics;
    ReadSettings read_settings;
    asio::signal_set signals;
    asio::signal_set hangup;
    std::vector<std::unique_ptr<Worker>> workers;
    std::unique_ptr<PieceService> pieces; ///< runs on the first worker's thread
    std::unique_ptr<StreamOrigins> streams; ///< runs on the first worker's thread
};

Daemon::Daemon(Settings settings, ReadSettings read_settings)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(read_settings)))
{
}

Daemon::~Daemon()
{
    for (auto& worker : m_impl->workers)
        worker->stop();
}

Result<void>
Daemon::start()
{
    Impl& impl = *m_impl;
    const Address address = parse_address(impl.kernel.settings.callers_address);
    for (auto& worker : impl.workers)
        if (auto port = worker->listen(address); !port)
            return tl::unexpected(port.error());
    if (auto opened = impl.open_auxiliary_servers(); !opened)
        return opened;
    if (impl.pieces)
        if (auto open = impl.pieces->listen(impl.kernel.settings.peers_address); !open)
            return open;
    if (impl.directory) {
        if (auto started = impl.directory->start(); !started)
            return started;
        impl.suspects->start();
        impl.versions->start();
        impl.origins->start();
    } else if (auto started = impl.log->start(); !started) {
        return started;
    }
    for (auto& worker : impl.workers)
        worker->start();
    spawn_restarting_task(impl.control, "signals",
                          [&impl] { return impl.wait_for_signal(); });
    spawn_restarting_task(impl.control, "settings_reload",
                          [&impl] { return impl.reload_on_hangup(); });
    const Settings& settings = impl.kernel.settings;
    LogEvent("daemon_start")
        .kv("callers", settings.callers_address)
        .kv("peers", settings.peers_address)
        .kv("router", settings.router)
        .kv("admission", settings.admission)
        .kv("named_peers", settings.peers.size())
        .kv("first_peer", settings.peers.empty() ? std::string() : settings.peers.front())
        .kv("peer_tls", !settings.tls.certificate.empty())
        .kv("with", names_of_opt_ins(settings.scheduler.switches));
    return {};
}

void
Daemon::run_until_stopped()
{
    const RcuThread registered;
    m_impl->control.run();
    for (auto& worker : m_impl->workers)
        worker->stop();
    LogEvent("daemon_end");
}

} // namespace cypressford
