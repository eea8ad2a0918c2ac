// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/directory_watch.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// A page of a listing is asked for so often before the listing begins anew.
constexpr int kPageTries = 4;
/// Between looks whether this daemon's first record may be written.
constexpr Micros kPublishLook = 20 * kMillisecond;
/// Between tries to write this daemon's record; doubles with each.
constexpr Micros kPublishRetry = 1 * kSecond;
constexpr int kMaxPublishDoublings = 3;
/// Between log lines on the calls to the directory.
constexpr Micros kReportPace = 10 * kSecond;
/// Records that could not be read and are not logged again; 300 bytes each.
constexpr std::size_t kMaxUnreadLogged = 256;

} // namespace

DirectoryWatch::DirectoryWatch(asio::io_context& io, Kernel& kernel)
    : m_io(io)
    , m_kernel(kernel)
    , m_store(io, kernel)
    , m_peers(io)
    , m_view(m_store.dialect(),
             DirectoryPace(kernel.settings.max_change_delay,
                           kernel.settings.directory_heartbeat),
             kernel.settings.vanish_grace, kernel.settings.node, kernel.settings.hall,
             kernel.settings.directory_writes, monotonic_us())
    , m_until_publish(io)
    , m_without_reader(io)
    , m_feed(io, kernel.settings.limits, m_view)
    , m_evacuations(kernel)
    , m_last_contact(monotonic_us())
{
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_pauses.emplace(topic, io);
}

Result<void>
DirectoryWatch::start()
{
    const std::string& address = m_kernel.settings.feed_address;
    m_store.on_generation([this](LogGeneration told) {
        if (m_view.note_generation(told, monotonic_us()))
            recover_from_restore("directory");
    });
    m_feed.on_generation([this](LogGeneration told) { hear_generation(told); });
    m_feed.on_lost([this](const std::string& lost) {
        asio::co_spawn(m_io, check_peer(lost), asio::detached);
    });
    if (!address.empty())
        if (auto open = m_feed.listen(address); !open)
            return open;
    if (!address.empty() && !m_kernel.settings.peers.empty()) {
        const std::vector<std::string> feeds = feeds_of_peers();
        const bool is_peer
            = std::find(feeds.begin(), feeds.end(), m_kernel.settings.announced_feed)
            != feeds.end();
        m_view.expect_referral(own_record(), is_peer);
        asio::co_spawn(m_io, join(), asio::detached);
    }
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        asio::co_spawn(m_io, follow(topic), asio::detached);
    asio::co_spawn(m_io, publish_own(), asio::detached);
    asio::co_spawn(m_io, follow_reader(), asio::detached);
    asio::co_spawn(m_io, report_calls(), asio::detached);
    return {};
}

asio::awaitable<void>
DirectoryWatch::pause(Micros time)
{
    BootTimer timer(m_io);
    timer.expires_after(std::chrono::microseconds(time));
    co_await timer.async_wait(kToTuple);
}

// ------------------------------------------------------- this daemon's record

void
DirectoryWatch::announce_stop()
{
    asio::co_spawn(m_io, publish_once(), asio::detached);
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
    return record;
}

asio::awaitable<bool>
DirectoryWatch::publish_once()
{
    const DaemonRecord record = own_record();
    // GCC 12 destroys braced temporaries of a co_await twice, so they get names.
    // A daemon that stops takes its record back, so that none is left behind.
    const std::string value = m_kernel.stopping.load() ? std::string() : encode(record);
    DirectoryRecord entry {record.node, value};
    // One that fails is logged there.
    const auto written = co_await m_store.append(DirectoryTopic::Daemons, std::move(entry));
    if (written && !std::exchange(m_own_written, true))
        m_pauses.at(DirectoryTopic::Daemons).cancel();
    co_return written.has_value();
}

/// The directory takes records one after the other, so that those of hundreds of daemons
/// that start at once don't all find room: who is turned away comes again at a time of its
/// own.
asio::awaitable<void>
DirectoryWatch::publish_own()
{
    while (m_view.time_until_publish(monotonic_us()) > 0)
        co_await pause(kPublishLook);
    int failures = 0;
    while (!m_kernel.stopping.load()) {
        const bool written = co_await publish_once();
        failures = written ? 0 : failures + 1;
        const Micros pace
            = publish_pace(m_view.daemons().alive(), m_kernel.settings.directory_writes);
        const Micros retry = kPublishRetry << std::min(failures - 1, kMaxPublishDoublings);
        const Micros rest = written ? pace : std::min(pace, m_view.in_turn(retry));
        m_until_publish.expires_after(std::chrono::microseconds(rest));
        const auto [cancelled] = co_await m_until_publish.async_wait(kToTuple);
        if (cancelled)
            co_await pause(m_view.time_to_republish());
    }
}

asio::awaitable<void>
DirectoryWatch::report_calls()
{
    for (;;) {
        co_await pause(kReportPace);
        m_store.log_calls(to_string(source().role));
    }
}

asio::awaitable<Result<void>>
DirectoryWatch::write(DirectoryTopic topic, DirectoryRecord record)
{
    auto written = co_await m_store.append(topic, std::move(record));
    co_return written;
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
        const Micros rest = m_view.time_until_read(topic, monotonic_us());
        if (rest > 0) {
            BootTimer& timer = m_pauses.at(topic);
            timer.expires_after(std::chrono::microseconds(rest));
            co_await timer.async_wait(kToTuple);
            continue;
        }
        const std::optional<DaemonRecord> should_tell = source().daemon;
        const bool missed = should_tell && !view.overdue && !is_reader_at_work();
        view.overdue = false;
        Result<void> done;
        if (view.next)
            done = co_await read(topic);
        else
            done = co_await list(topic);
        note_contact(done.has_value());
        bring_into_force(); // also what was believed for a while only may be over
        if (!done) {
            co_await pause(m_view.retry_pause(++view.failures));
            continue;
        }
        view.failures = 0;
        if (missed && !is_reader_at_work() && m_view.note_missed(topic, monotonic_us()))
            suspect_reader(*should_tell, "stale");
    }
}

asio::awaitable<Result<void>>
DirectoryWatch::list(DirectoryTopic topic)
{
    const Micros asked_at = monotonic_us();
    const int restores = m_view.restores();
    m_view.begin_listing(topic, asked_at);
    std::string after;
    std::optional<Offset> end;
    for (;;) {
        const auto page = co_await list_page(topic, after);
        if (!page)
            co_return tl::unexpected(page.error());
        if (restores != m_view.restores())
            co_return Result<void> {};
        note(m_view.take_listed(topic, page->records, monotonic_us()));
        // What changed while later pages were read follows behind the first end.
        end = end.value_or(page->end);
        if (!page->more || page->records.empty())
            break;
        // A key that the store can't be asked behind must not be asked behind for ever.
        if (page->records.back().key == after)
            co_return fail(ErrorKind::Internal, "a listing does not go on");
        after = page->records.back().key;
    }
    m_view.end_listing(topic, *end, asked_at, monotonic_us());
    note({.news = true, .unread = {}});
    co_return Result<void> {};
}

/// A listing goes on at the page that failed: 10,003 upstreams are 21 pages, and the
/// directory that loses one of them is busy already.
asio::awaitable<Result<DirectoryPage>>
DirectoryWatch::list_page(DirectoryTopic topic, std::string after)
{
    for (int tries = 1;; ++tries) {
        auto page = co_await m_store.newest(topic, after);
        if (page || tries == kPageTries)
            co_return page;
        co_await pause(m_view.in_turn(m_view.retry_pause(tries)));
    }
}

asio::awaitable<Result<void>>
DirectoryWatch::read(DirectoryTopic topic)
{
    TopicView& view = m_view.of(topic);
    const Micros asked_at = monotonic_us();
    const Micros wait = m_view.wait_of(topic, asked_at);
    view.asked_at = asked_at;
    const Offset from = *view.next;
    const int restores = m_view.restores();
    const auto page = co_await m_store.read(topic, from, wait);
    if (!page)
        co_return tl::unexpected(page.error());
    // What it says is of offsets that hold no more.
    if (restores != m_view.restores())
        co_return Result<void> {};
    if (page->history_lost)
        m_view.note_history_lost(topic, monotonic_us());
    else
        note_page(topic, from, *page, asked_at, wait);
    co_return Result<void> {};
}

void
DirectoryWatch::note_page(DirectoryTopic topic, Offset from, const DirectoryPage& page,
                          Micros asked_at, Micros waited)
{
    const Micros now = monotonic_us();
    const DirectoryChange change
        = m_view.take_page(topic, from, page.records, asked_at, waited, now);
    m_taken_us = monotonic_us() - now;
    note(change);
}

void
DirectoryWatch::note_answer(const FeedAnswer& answer, Micros asked_at)
{
    const Micros now = monotonic_us();
    const DirectoryChange change = m_view.take_answer(answer, asked_at, now);
    m_taken_us = monotonic_us() - now;
    note(change);
}

/// A record that can't be read is written again each heartbeat, maybe: it is logged once
/// for each reason, and counted each time.
void
DirectoryWatch::note_unread(const UnreadRecord& record)
{
    m_kernel.invalid_records.fetch_add(1, std::memory_order_relaxed);
    if (m_unread_logged.size() >= kMaxUnreadLogged)
        m_unread_logged.clear();
    if (!m_unread_logged.emplace(record.topic, record.key, record.why).second)
        return;
    LogEvent("record_unread", LogLevel::Warn)
        .kv("topic", to_string(record.topic))
        .kv("key", record.key)
        .kv("why", record.why);
}

/// What records said, wherever they came from.
void
DirectoryWatch::note(const DirectoryChange& change)
{
    for (const UnreadRecord& record : change.unread)
        note_unread(record);
    if (change.news)
        m_feed.note_news();
    // That daemons were looked at is news too: who wrote nothing is silent.
    const Micros looked_at = m_view.of(DirectoryTopic::Daemons).as_of;
    if (m_on_daemons && looked_at > m_daemons_told)
        m_on_daemons(m_view.take_new_daemons());
    m_daemons_told = looked_at;
    m_kernel.directory_known_at.store(
        std::min(m_view.of(DirectoryTopic::Configuration).as_of,
                 m_view.of(DirectoryTopic::Upstreams).as_of),
        std::memory_order_relaxed);
    bring_into_force();
    bring_suspects_into_force();
    if (m_on_suspects_lost && m_view.suspects().has_lost())
        m_on_suspects_lost();
}

void
DirectoryWatch::note_standstill()
{
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_pauses.at(topic).cancel();
}

// ----------------------------------------------------- a log that was restored

void
DirectoryWatch::hear_generation(LogGeneration told)
{
    if (m_view.hear_generation(told, monotonic_us()))
        recover_from_restore("daemon");
}

void
DirectoryWatch::recover_from_restore(std::string_view told_by)
{
    LogEvent("directory_restored", LogLevel::Warn)
        .kv("generation", m_view.generation())
        .kv("told_by", told_by)
        .kv("role", to_string(source().role))
        .kv("version", m_applied ? m_applied->version : 0);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_pauses.at(topic).cancel();
    m_until_publish.cancel();
}

// ------------------------------------------------------- contact with the store

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

} // namespace cypressford
