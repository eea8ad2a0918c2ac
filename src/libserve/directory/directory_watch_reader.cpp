// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a DirectoryWatch follows the reader of its hall, and when it suspects the reader.

#include "libserve/directory/directory_watch.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval of the checks for a reader while there is none, and delay before the next query
/// to a reader whose data is overdue.
constexpr Micros kReaderPollInterval = 200 * kMillisecond;
/// A reader that failed to deliver updates is not queried for this time.
constexpr Micros kReaderSuspicionTime = 3 * kSecond;
/// The same while a topic must be listed: the reader may still be starting.
constexpr Micros kReaderSuspicionTimeAtStart = 500 * kMillisecond;

} // namespace

asio::awaitable<void>
DirectoryWatch::follow_reader()
{
    for (;;) {
        const DirectorySource from = source();
        update_source(from);
        const std::optional<DaemonRecord>& reader = from.daemon;
        if (!reader) {
            m_reader_poll_timer.expires_after(
                std::chrono::microseconds(kReaderPollInterval));
            co_await m_reader_poll_timer.async_wait(kToTuple);
            continue;
        }
        Micros requested_at = monotonic_us();
        auto answer = co_await query_reader(*reader, true);
        if (!answer && should_repeat_query()) {
            requested_at = monotonic_us();
            answer = co_await query_reader(*reader, false);
        }
        if (!answer) {
            suspect_reader(*reader,
                           m_reader_watch->answered_keepalive() ? "no_news" : "silent");
            continue;
        }
        receive_generation(answer->generation);
        process_answer(*answer, requested_at);
        // A reader of an earlier version keeps using the offsets from before the restore.
        if (answer->generation == 0 && m_view.restores() > 0)
            suspect_reader(*reader, "no_generation");
        if (answer->unreachable)
            apply_unreachable_list(*answer->unreachable);
        const Micros age = monotonic_us() - m_view.of(DirectoryTopic::Configuration).as_of;
        if (!m_platform_reachable && age < m_view.timing().stale_after)
            record_contact(true);
        bool complete = true;
        for (const DirectoryTopic topic : DirectoryView::kTopics) {
            complete = complete && !m_view.of(topic).reader_lacks_records;
            if (m_view.of(topic).reader_lacks_records)
                m_topic_timers.at(topic).cancel();
        }
        if (!complete)
            co_await pause_for(m_io, kReaderPollInterval);
    }
}

bool
DirectoryWatch::should_repeat_query() const
{
    if (m_reader_watch->is_connection_dead())
        return true;
    return !m_reader_watch->is_unresponsive() && !m_reader_watch->answered_keepalive()
        && m_view.may_retry_reader(kReaderResponseTimeout, monotonic_us());
}

/// After a change of role or reader, all topic loops check their schedule at once: a daemon
/// that has become a reader must not wait for the time at which updates from its former
/// reader would have been overdue.  What the former source said of daemons that don't
/// answer no longer counts: it does not tell this daemon when they answer again.
void
DirectoryWatch::update_source(const DirectorySource& from)
{
    const std::string node = from.daemon ? from.daemon->node : std::string();
    if (m_role == from.role && m_source_node == node)
        return;
    m_role = from.role;
    m_source_node = node;
    m_unreachable_revision = 0;
    if (m_on_unreachable)
        m_on_unreachable(from.role == DirectoryRole::Follower
                             ? std::set<std::string> {}
                             : m_view.unreachable().list().addresses);
    LogEvent("directory_source")
        .kv("role", to_string(from.role))
        .kv("asks", node)
        .kv("daemons", m_view.daemons().alive())
        .kv("fleet_known", m_view.knows_fleet());
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_topic_timers.at(topic).cancel();
}

void
DirectoryWatch::suspect_reader(const DaemonRecord& reader, std::string_view reason)
{
    if (!m_view.daemons().suspect(reader.peers_address))
        return;
    const Micros now = monotonic_us();
    LogEvent("reader_suspected", LogLevel::Warn)
        .kv("reader", reader.node)
        .kv("why", reason)
        .kv("configuration_age_ms",
            (now - m_view.of(DirectoryTopic::Configuration).as_of) / kMillisecond)
        .kv("upstreams_age_ms",
            (now - m_view.of(DirectoryTopic::Upstreams).as_of) / kMillisecond);
    spawn_restarting_task(m_io, "reader_suspicion", [this, address = reader.peers_address] {
        return clear_suspicion_later(address);
    });
}

asio::awaitable<void>
DirectoryWatch::clear_suspicion_later(std::string peers_address)
{
    co_await pause_for(
        m_io, m_view.must_list() ? kReaderSuspicionTimeAtStart : kReaderSuspicionTime);
    m_view.daemons().trust(peers_address);
}

} // namespace cypressford
