// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/bundle_service.h"

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
constexpr Micros kReadWait = 5 * kSecond;
constexpr std::chrono::milliseconds kReadRetry {300};
constexpr std::chrono::milliseconds kReaderPollInterval {500};

} // namespace

BundleService::BundleService(asio::io_context& io, Kernel& kernel, PlatformClient& platform)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_fold({kernel.settings.operators, kernel.settings.daemon_key})
    , m_evacuations(kernel)
{
}

void
BundleService::start()
{
    spawn_restarting_task(m_io, "bundle_read", [this] { return read_loop(); });
    spawn_restarting_task(m_io, "bundle_snapshots", [this] { return snapshot_loop(); });
}

void
BundleService::adopt(const std::string& encoded_snapshot)
{
    const FoldResult result = m_fold.adopt(encoded_snapshot);
    if (result == FoldResult::Repeated)
        return;
    LogEvent("bundle_adopt",
             result == FoldResult::Accepted ? LogLevel::Info : LogLevel::Warn)
        .kv("result", to_string(result))
        .kv("in_force", m_fold.in_force_version());
    bring_into_force();
}

asio::awaitable<void>
BundleService::read_loop()
{
    BootTimer pause(m_io);
    for (;;) {
        if (!m_is_reader) {
            pause.expires_after(kReaderPollInterval);
            co_await pause.async_wait(kToTuple);
            continue;
        }
        const auto page = co_await m_platform.read(kStream, m_fold.next(), kReadWait);
        if (!page) {
            pause.expires_after(kReadRetry);
            co_await pause.async_wait(kToTuple);
            continue;
        }
        m_fold.on_first_retained(page->first);
        Offset offset = page->from;
        for (const std::string& record : page->records) {
            const FoldResult result = m_fold.apply(offset, record);
            LogEvent("bundle_record").kv("offset", offset).kv("result", to_string(result));
            ++offset;
        }
        bring_into_force();
        if (!page->records.empty() && m_on_update)
            m_on_update();
    }
}

/// The log drops the records that make up the current state at the end of their retention
/// time, so the state is appended again at intervals, by the daemon whose interval ends
/// first.
asio::awaitable<void>
BundleService::snapshot_loop()
{
    BootTimer timer(m_io);
    Offset last_oldest_needed = m_fold.oldest_needed();
    for (;;) {
        // Jitter, so that daemons that start together do not all append at once.
        const auto jitter = static_cast<Micros>(m_kernel.incarnation % 1000) * kMillisecond;
        const Micros interval = m_kernel.settings.snapshot_interval;
        timer.expires_after(
            std::chrono::microseconds(interval + jitter * (interval / kSecond) / 4));
        co_await timer.async_wait(kToTuple);
        const bool is_recent = m_fold.oldest_needed() != last_oldest_needed;
        last_oldest_needed = m_fold.oldest_needed();
        if (is_recent || !m_is_reader || !m_fold.has_base() || m_fold.newest_version() == 0)
            continue;
        const auto offset = co_await m_platform.append(kStream, encode(m_fold.snapshot()));
        LogEvent("bundle_snapshot").kv("stored", offset.has_value());
    }
}

void
BundleService::bring_into_force()
{
    const Bundle* bundle = m_fold.in_force();
    if (!bundle)
        return;
    const bool is_new = m_fold.in_force_version() > m_applied_version;
    SnapshotPtr snapshot
        = is_new ? m_kernel.upstreams.build(*bundle) : m_kernel.snapshot.load();
    m_evacuations.apply(m_fold.evacuations().halls(), *snapshot);
    if (!is_new)
        return;
    m_applied_version = m_fold.in_force_version();
    m_kernel.snapshot.store(std::move(snapshot));
    LogEvent("bundle_in_force").kv("bundle", bundle->name).kv("version", m_applied_version);
}

} // namespace cypressford
