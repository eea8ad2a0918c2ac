// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "directory_watch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/daemon_table.h>
#include <cypressford/registry.h>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// How long a read waits at the platform for a record.  Short, since an answer
/// that was on its way when the platform was cut off may never come.
constexpr Micros kReadWait = 2000 * kMillisecond;
/// How long an answer may take beyond that.
constexpr Micros kPatience = 800 * kMillisecond;
constexpr Micros kRetryPause = 200 * kMillisecond;
/// Between records of this daemon, and between looks at those of others: short at
/// first, while all of them may be starting.
constexpr Micros kPublishPace = 3 * kSecond;
constexpr Micros kDaemonsPace = 2500 * kMillisecond;
constexpr Micros kDaemonsFirstPace = 300 * kMillisecond;
constexpr int kFirstLooks = 8;
/// Without contact for this long, what went meanwhile may be the platform's fault.
constexpr Micros kOutage = 2 * kSecond;

} // namespace

DirectoryWatch::DirectoryWatch(asio::io_context& io, Kernel& kernel)
    : m_io(io)
    , m_kernel(kernel)
    , m_dialect(Registry<DirectoryDialect>::instance().make(kernel.settings.platform.kind))
    , m_client(io)
    , m_fold(kernel.settings.vanish_grace)
{
}

void
DirectoryWatch::start()
{
    m_last_contact = monotonic_us();
    asio::co_spawn(m_io, follow_configuration(), asio::detached);
    asio::co_spawn(m_io, follow_upstreams(), asio::detached);
    asio::co_spawn(m_io, publish_own(), asio::detached);
    asio::co_spawn(m_io, follow_daemons(), asio::detached);
}

void
DirectoryWatch::announce_stop()
{
    asio::co_spawn(m_io, publish_once(), asio::detached);
}

asio::awaitable<void>
DirectoryWatch::publish_once()
{
    const Settings& settings = m_kernel.settings;
    DaemonRecord record;
    record.node = settings.node;
    record.hall = settings.hall;
    record.peers_address = settings.peers_address;
    record.incarnation = m_kernel.incarnation;
    record.sequence = ++m_own_sequence;
    // GCC 12 destroys braced temporaries of a co_await twice, so they get names.
    // A daemon that stops takes its record back, so that none is left behind.
    const std::string value = m_kernel.stopping.load() ? std::string() : encode(record);
    const DirectoryRecord entry {record.node, value};
    HttpRequest request = m_dialect->append(DirectoryTopic::Daemons, entry);
    co_await call(std::move(request), kPatience);
}

asio::awaitable<void>
DirectoryWatch::publish_own()
{
    while (!m_kernel.stopping.load()) {
        co_await publish_once();
        co_await pause(kPublishPace);
    }
}

asio::awaitable<void>
DirectoryWatch::follow_daemons()
{
    std::optional<Offset> next;
    for (int look = 0;; ++look) {
        Result<DirectoryPage> page = fail(ErrorKind::Internal);
        if (next)
            page = co_await read(DirectoryTopic::Daemons, *next, 0);
        else
            page = co_await newest(DirectoryTopic::Daemons, std::string());
        if (page && page->history_lost) {
            next.reset();
            continue;
        }
        if (page) {
            take_daemons(page->records);
            next = next ? *next + static_cast<Offset>(page->records.size()) : page->end;
        }
        co_await pause(look < kFirstLooks ? kDaemonsFirstPace : kDaemonsPace);
    }
}

void
DirectoryWatch::take_daemons(const std::vector<DirectoryRecord>& records)
{
    std::vector<DaemonRecord> daemons;
    for (const DirectoryRecord& record : records) {
        if (record.value.empty())
            daemons.push_back({record.key, {}, {}, 0, 0, true});
        else if (auto daemon = decode_daemon(record.value))
            daemons.push_back(*std::move(daemon));
    }
    if (m_on_daemons)
        m_on_daemons(std::move(daemons));
}

asio::awaitable<void>
DirectoryWatch::pause(Micros time)
{
    asio::steady_timer timer(m_io);
    timer.expires_after(std::chrono::microseconds(time));
    co_await timer.async_wait(kToTuple);
}

asio::awaitable<HttpResponse>
DirectoryWatch::call(HttpRequest request, Micros patience)
{
    CallOptions options;
    options.deadline_us = monotonic_us() + patience;
    options.send_clock = false;
    const CallResult result = co_await m_client.call(m_kernel.reloaded.load()->platform.log,
                                                     std::move(request), options);
    HttpResponse response = result.response;
    if (result.status != CallStatus::Answered)
        response.status = 0;
    co_return response;
}

asio::awaitable<Result<DirectoryPage>>
DirectoryWatch::newest(DirectoryTopic topic, std::string after)
{
    auto page = m_dialect->decode_newest(
        co_await call(m_dialect->newest(topic, after), kPatience));
    co_return page;
}

asio::awaitable<Result<DirectoryPage>>
DirectoryWatch::read(DirectoryTopic topic, Offset from, Micros wait)
{
    auto page = m_dialect->decode_read(
        co_await call(m_dialect->read(topic, from, wait), wait + kPatience));
    co_return page;
}

asio::awaitable<Result<Offset>>
DirectoryWatch::list_configuration()
{
    const auto page = co_await newest(DirectoryTopic::Configuration, std::string());
    if (!page)
        co_return tl::unexpected(page.error());
    for (const DirectoryRecord& record : page->records)
        take_configuration(record);
    co_return page->end;
}

asio::awaitable<void>
DirectoryWatch::follow_configuration()
{
    std::optional<Offset> next;
    for (;;) {
        if (!next) {
            const auto listed = co_await list_configuration();
            note_contact(listed.has_value());
            if (listed)
                next = *listed;
            else
                co_await pause(kRetryPause);
            continue;
        }
        const auto page = co_await read(DirectoryTopic::Configuration, *next, kReadWait);
        note_contact(page.has_value());
        if (!page) {
            co_await pause(kRetryPause);
            continue;
        }
        if (page->history_lost) {
            next.reset();
            continue;
        }
        for (const DirectoryRecord& record : page->records)
            take_configuration(record);
        *next += static_cast<Offset>(page->records.size());
    }
}

asio::awaitable<Result<Offset>>
DirectoryWatch::list_upstreams()
{
    const bool after_outage = monotonic_us() - m_last_contact > kOutage;
    std::string after;
    std::optional<Offset> end;
    m_fold.begin_listing();
    for (;;) {
        const auto page = co_await newest(DirectoryTopic::Upstreams, after);
        if (!page)
            co_return tl::unexpected(page.error());
        for (const DirectoryRecord& record : page->records)
            take_upstream(record, after_outage);
        // What changed while later pages were read follows behind the first end.
        end = end.value_or(page->end);
        if (!page->more || page->records.empty())
            break;
        after = page->records.back().key;
    }
    m_fold.end_listing(monotonic_us(), after_outage);
    m_upstreams_listed = true;
    bring_into_force();
    co_return *end;
}

/// Upstreams write often, so their records are fetched at a pace instead of one
/// by one.
asio::awaitable<void>
DirectoryWatch::follow_upstreams()
{
    std::optional<Offset> next;
    for (;;) {
        if (!next) {
            const auto listed = co_await list_upstreams();
            note_contact(listed.has_value());
            if (listed)
                next = *listed;
            co_await pause(listed ? m_kernel.reloaded.load()->directory_pace : kRetryPause);
            continue;
        }
        const bool after_outage = monotonic_us() - m_last_contact > kOutage;
        const auto page = co_await read(DirectoryTopic::Upstreams, *next, 0);
        note_contact(page.has_value());
        if (page && page->history_lost) {
            next.reset();
            continue;
        }
        if (page) {
            for (const DirectoryRecord& record : page->records)
                take_upstream(record, after_outage);
            *next += static_cast<Offset>(page->records.size());
        }
        bring_into_force();
        co_await pause(page ? m_kernel.reloaded.load()->directory_pace : kRetryPause);
    }
}

void
DirectoryWatch::take_configuration(const DirectoryRecord& record)
{
    auto bundle = m_dialect->decode_configuration(record);
    if (!bundle) {
        LogEvent("configuration_unread", LogLevel::Warn)
            .kv("key", record.key)
            .kv("why", bundle.error().detail);
        return;
    }
    const auto faults = check_bundle(*bundle);
    if (!faults.empty()) {
        LogEvent("configuration_refused", LogLevel::Warn)
            .kv("version", bundle->version)
            .kv("why", faults.front().message);
        return;
    }
    if (m_fold.offer_configuration(*std::move(bundle)))
        bring_into_force();
}

void
DirectoryWatch::take_upstream(const DirectoryRecord& record, bool after_outage)
{
    if (record.value.empty()) {
        m_fold.drop(record.key, monotonic_us(), after_outage);
        return;
    }
    const auto upstream = m_dialect->decode_upstream(record);
    if (upstream)
        m_fold.apply(*upstream);
}

void
DirectoryWatch::note_contact(bool reached)
{
    const Micros now = monotonic_us();
    if (reached != m_reached)
        LogEvent(reached ? "platform_regained" : "platform_lost", LogLevel::Warn)
            .kv("silent_ms", (now - m_last_contact) / kMillisecond);
    m_reached = reached;
    if (reached)
        m_last_contact = now;
}

void
DirectoryWatch::bring_into_force()
{
    m_fold.expire(monotonic_us());
    const Bundle* bundle = m_fold.configuration();
    if (!bundle || !m_upstreams_listed)
        return;
    const bool same
        = bundle->version == m_applied_version && m_fold.revision() == m_applied_revision;
    if (same)
        return;
    if (bundle->version != m_applied_version)
        LogEvent("configuration_in_force")
            .kv("version", bundle->version)
            .kv("before", m_applied_version)
            .kv("pipelines", bundle->pipelines.size());
    m_applied_version = bundle->version;
    m_applied_revision = m_fold.revision();
    const auto members = m_fold.members();
    m_kernel.snapshot.store(m_kernel.upstreams.build(*bundle, members));
    LogEvent("upstreams_in_force")
        .kv("revision", m_applied_revision)
        .kv("upstreams", members.size());
    if (m_on_change)
        m_on_change();
}

} // namespace cypressford
