// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/directory_watch.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval of the checks whether this daemon's first record may be written.
constexpr Micros kPublishPollInterval = 20 * kMillisecond;
/// Delay between attempts to write this daemon's record; doubles after each failure.
constexpr Micros kPublishRetryDelay = 1 * kSecond;
constexpr int kMaxPublishDoublings = 3;
/// Interval of the log lines about the calls to the directory.
constexpr Micros kCallReportInterval = 10 * kSecond;
/// Invalid records that are stored, 300 bytes each, so that they are not logged again.
constexpr std::size_t kMaxInvalidLogged = 256;

} // namespace

DirectoryWatch::DirectoryWatch(asio::io_context& io, Kernel& kernel)
    : m_io(io)
    , m_kernel(kernel)
    , m_store(io, kernel)
    , m_peer_client(io)
    , m_view(m_store.dialect(),
             DirectoryTiming(kernel.settings.max_change_delay,
                             kernel.settings.directory_heartbeat),
             kernel.settings.removal_grace_period, kernel.settings.node,
             kernel.settings.hall, kernel.settings.directory_writes, monotonic_us())
    , m_publish_timer(io)
    , m_reader_poll_timer(io)
    , m_feed(io, kernel.settings.limits, m_view)
    , m_evacuations(kernel)
    , m_last_contact(monotonic_us())
{
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_topic_timers.emplace(topic, io);
}

Result<void>
DirectoryWatch::start()
{
    const std::string& address = m_kernel.settings.feed_address;
    m_store.on_generation([this](LogGeneration reported) {
        if (m_view.record_generation(reported, monotonic_us()))
            recover_from_restore("directory");
    });
    m_feed.on_generation([this](LogGeneration reported) { receive_generation(reported); });
    m_feed.on_unreachable_reported([this](const std::string& peers_address) {
        spawn_task(m_io, "peer_check", check_peer(peers_address));
    });
    if (!address.empty())
        if (auto open = m_feed.listen(address); !open)
            return open;
    m_view.set_own_record(own_record());
    if (!address.empty() && !m_kernel.settings.peers.empty()) {
        const std::vector<std::string> feeds = peer_feed_addresses();
        const bool is_listed_peer
            = std::find(feeds.begin(), feeds.end(), m_kernel.settings.announced_feed)
            != feeds.end();
        m_view.expect_referral(is_listed_peer);
        spawn_restarting_task(m_io, "directory_join", [this] { return join(); });
    }
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        spawn_restarting_task(m_io, "directory_follow",
                              [this, topic] { return follow(topic); });
    spawn_restarting_task(m_io, "daemon_record", [this] { return publish_own(); });
    spawn_restarting_task(m_io, "directory_reader", [this] { return follow_reader(); });
    spawn_restarting_task(m_io, "directory_call_log", [this] { return log_calls_loop(); });
    return {};
}

// ------------------------------------------------------- this daemon's record

void
DirectoryWatch::announce_stop()
{
    spawn_task(m_io, "daemon_record_end", remove_own_record());
}

/// A failure is not retried: the record then expires.
asio::awaitable<void>
DirectoryWatch::remove_own_record()
{
    (void)co_await publish_once();
}

DaemonRecord
DirectoryWatch::own_record()
{
    const Settings& settings = m_kernel.settings;
    DaemonRecord record;
    record.node = settings.node;
    record.hall = settings.hall;
    record.peers_address = settings.announced_peers;
    record.incarnation = m_kernel.incarnation;
    record.sequence = ++m_own_sequence;
    record.feed_address = settings.announced_feed;
    record.capacity = settings.capacity;
    record.places_by_load = true;
    return record;
}

asio::awaitable<bool>
DirectoryWatch::publish_once()
{
    const DaemonRecord record = own_record();
    // GCC 12 destroys braced temporaries of a co_await twice, so this code uses variables.
    // A daemon that stops writes an empty value, which removes its record.
    const std::string value = m_kernel.stopping.load() ? std::string() : encode(record);
    DirectoryRecord entry {record.node, value};
    // append() logs a failure.
    const auto written = co_await m_store.append(DirectoryTopic::Daemons, std::move(entry));
    if (written && !std::exchange(m_own_record_stored, true))
        m_topic_timers.at(DirectoryTopic::Daemons).cancel();
    co_return written.has_value();
}

/// The directory stores records one at a time, so some of the writes of hundreds of daemons
/// that start at once are rejected.  A rejected daemon retries after a delay with jitter.
asio::awaitable<void>
DirectoryWatch::publish_own()
{
    while (m_view.time_until_publish(monotonic_us()) > 0)
        co_await pause_for(m_io, kPublishPollInterval);
    int failures = 0;
    while (!m_kernel.stopping.load()) {
        const bool written = co_await publish_once();
        failures = written ? 0 : failures + 1;
        const Micros interval = m_view.time_to_next_record();
        const Micros retry = kPublishRetryDelay
            << std::min(failures - 1, kMaxPublishDoublings);
        const Micros delay
            = written ? interval : std::min(interval, m_view.with_jitter(retry));
        m_publish_timer.expires_after(std::chrono::microseconds(delay));
        const auto [cancelled] = co_await m_publish_timer.async_wait(kToTuple);
        if (cancelled)
            co_await pause_for(m_io, m_view.time_to_republish());
    }
}

asio::awaitable<void>
DirectoryWatch::log_calls_loop()
{
    for (;;) {
        co_await pause_for(m_io, kCallReportInterval);
        m_store.log_calls(to_string(source().role));
    }
}

asio::awaitable<Result<void>>
DirectoryWatch::write(DirectoryTopic topic, DirectoryRecord record)
{
    auto written = co_await m_store.append(topic, std::move(record));
    co_return written;
}

asio::awaitable<Result<std::vector<DirectoryRecord>>>
DirectoryWatch::list(DirectoryTopic topic, std::string prefix)
{
    std::vector<DirectoryRecord> records;
    std::string after = prefix;
    for (;;) {
        auto page = co_await m_store.newest(topic, after);
        if (!page)
            co_return tl::unexpected(page.error());
        const bool is_last = !page->more || page->records.empty()
            || !page->records.back().key.starts_with(prefix);
        if (!is_last)
            after = page->records.back().key;
        for (DirectoryRecord& record : page->records)
            if (record.key.starts_with(prefix))
                records.push_back(std::move(record));
        if (is_last)
            co_return records;
    }
}

// --------------------------------------------------------- from the directory

DirectorySource
DirectoryWatch::source() const
{
    return m_kernel.settings.feed_address.empty() ? DirectorySource {} : m_view.source();
}

asio::awaitable<void>
DirectoryWatch::follow(DirectoryTopic topic)
{
    TopicView& view = m_view.of(topic);
    for (;;) {
        const Micros delay = m_view.time_until_read(topic, monotonic_us());
        if (delay > 0) {
            BootTimer& timer = m_topic_timers.at(topic);
            timer.expires_after(std::chrono::microseconds(delay));
            co_await timer.async_wait(kToTuple);
            continue;
        }
        const std::optional<DaemonRecord> reader = source().daemon;
        const bool reader_missed
            = reader && !view.reader_lacks_records && !is_reader_busy();
        view.reader_lacks_records = false;
        Result<void> done;
        if (view.next)
            done = co_await read(topic);
        else
            done = co_await list_page(topic);
        record_contact(done.has_value());
        bring_into_force(); // entries that were valid for a limited time may have expired
        if (!done) {
            co_await pause_for(m_io, m_view.record_failure(topic, monotonic_us()));
            continue;
        }
        view.failures = 0;
        const bool is_complete = view.next.has_value();
        if (reader_missed && is_complete && !is_reader_busy()
            && m_view.record_reader_miss(topic, monotonic_us()))
            suspect_reader(*reader, "stale");
    }
}

/// Reads one page of a listing.
asio::awaitable<Result<void>>
DirectoryWatch::list_page(DirectoryTopic topic)
{
    const int restores = m_view.restores();
    std::string after = m_view.next_page(topic, monotonic_us());
    const auto page = co_await m_store.newest(topic, std::move(after));
    if (!page)
        co_return tl::unexpected(page.error());
    // After a restore the page belongs to a listing that is no longer valid.
    if (restores != m_view.restores())
        co_return Result<void> {};
    const auto change = m_view.apply_listing_page(topic, *page, monotonic_us());
    if (!change)
        co_return tl::unexpected(change.error());
    process_change(*change);
    // The records of daemons name the reader to query.
    if (topic == DirectoryTopic::Daemons)
        m_reader_poll_timer.cancel();
    co_return Result<void> {};
}

asio::awaitable<Result<void>>
DirectoryWatch::read(DirectoryTopic topic)
{
    TopicView& view = m_view.of(topic);
    const Micros requested_at = monotonic_us();
    const Micros wait = m_view.read_wait_for(topic, requested_at);
    view.requested_at = requested_at;
    const Offset from = *view.next;
    const int restores = m_view.restores();
    const auto page = co_await m_store.read(topic, from, wait);
    if (!page)
        co_return tl::unexpected(page.error());
    // After a restore the answer refers to offsets that are no longer valid.
    if (restores != m_view.restores())
        co_return Result<void> {};
    if (page->history_lost)
        m_view.on_history_lost(topic, monotonic_us());
    else
        process_page(topic, from, *page, requested_at, wait);
    co_return Result<void> {};
}

void
DirectoryWatch::process_page(DirectoryTopic topic, Offset from, const DirectoryPage& page,
                             Micros requested_at, Micros waited)
{
    const Micros now = monotonic_us();
    const DirectoryChange change
        = m_view.apply_page(topic, from, page.records, requested_at, waited, now, page.end);
    m_decode_us = monotonic_us() - now;
    process_change(change);
}

void
DirectoryWatch::process_answer(const FeedAnswer& answer, Micros requested_at)
{
    const Micros now = monotonic_us();
    const DirectoryChange change = m_view.apply_answer(answer, requested_at, now);
    m_decode_us = monotonic_us() - now;
    process_change(change);
}

/// An invalid record may be written again at each heartbeat, so it is logged once for each
/// reason, and counted each time.
void
DirectoryWatch::log_invalid_record(const InvalidRecord& record)
{
    m_kernel.invalid_records.fetch_add(1, std::memory_order_relaxed);
    if (m_invalid_logged.size() >= kMaxInvalidLogged)
        m_invalid_logged.clear();
    if (!m_invalid_logged.emplace(record.topic, record.key, record.reason).second)
        return;
    LogEvent("record_unread", LogLevel::Warn)
        .kv("topic", to_string(record.topic))
        .kv("key", record.key)
        .kv("why", record.reason);
}

/// Processes a change of the view, from the directory or from the reader.
void
DirectoryWatch::process_change(const DirectoryChange& change)
{
    for (const InvalidRecord& record : change.invalid)
        log_invalid_record(record);
    if (change.must_notify)
        m_feed.wake_held_queries();
    // A read of the daemons' records without changes is passed on, too, because a daemon
    // that has written no record may have become unresponsive.
    m_kernel.knows_all_daemons.store(m_view.knows_fleet());
    const Micros read_at = m_view.of(DirectoryTopic::Daemons).as_of;
    if (m_on_daemons && read_at > m_daemons_passed_at)
        m_on_daemons(m_view.take_new_daemons());
    m_daemons_passed_at = read_at;
    bring_into_force();
    // Requests that wait for this time then load the snapshot.
    m_kernel.directory_as_of.store(std::min(m_view.of(DirectoryTopic::Configuration).as_of,
                                            m_view.of(DirectoryTopic::Upstreams).as_of),
                                   std::memory_order_release);
    if (const TopicView& view = m_view.of(DirectoryTopic::Configuration); view.was_listed)
        m_kernel.configuration_as_of.store(view.as_of, std::memory_order_release);
    bring_suspects_into_force();
    if (m_on_suspects_lost && m_view.suspects().has_lost())
        m_on_suspects_lost();
}

void
DirectoryWatch::on_resumed()
{
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_topic_timers.at(topic).cancel();
}

// -------------------------------------------------------------- a restored log

void
DirectoryWatch::receive_generation(LogGeneration reported)
{
    if (m_view.receive_generation(reported, monotonic_us()))
        recover_from_restore("daemon");
}

void
DirectoryWatch::recover_from_restore(std::string_view reported_by)
{
    LogEvent("directory_restored", LogLevel::Warn)
        .kv("generation", m_view.generation())
        .kv("told_by", reported_by)
        .kv("role", to_string(source().role))
        .kv("version", m_applied ? m_applied->version : 0);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_topic_timers.at(topic).cancel();
    m_publish_timer.cancel();
}

// ------------------------------------------------------- contact with the store

void
DirectoryWatch::record_contact(bool reached)
{
    const Micros now = monotonic_us();
    if (reached != m_platform_reachable)
        LogEvent(reached ? "platform_regained" : "platform_lost", LogLevel::Warn)
            .kv("silent_ms", (now - m_last_contact) / kMillisecond);
    m_platform_reachable = reached;
    if (reached)
        m_last_contact = now;
}

} // namespace cypressford
