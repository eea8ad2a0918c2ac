// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a DirectoryWatch hears from the reader of its hall, and when it leaves it.

#include "libserve/directory/directory_watch.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Without a reader, between looks whether there is one.
constexpr Micros kReaderPause = 200 * kMillisecond;
/// A reader that did not tell what it should is not asked for so long.
constexpr Micros kDistrust = 3 * kSecond;
/// The same while a topic must be listed: the reader may be about to start.
constexpr Micros kDistrustAtStart = 500 * kMillisecond;

} // namespace

asio::awaitable<void>
DirectoryWatch::follow_reader()
{
    for (;;) {
        const DirectorySource from = source();
        note_source(from);
        const std::optional<DaemonRecord>& asked = from.daemon;
        if (!asked) {
            m_without_reader.expires_after(std::chrono::microseconds(kReaderPause));
            co_await m_without_reader.async_wait(kToTuple);
            continue;
        }
        Micros requested_at = monotonic_us();
        auto answer = co_await ask_reader(*asked, true);
        if (!answer && may_ask_reader_again()) {
            requested_at = monotonic_us();
            answer = co_await ask_reader(*asked, false);
        }
        if (!answer) {
            suspect_reader(*asked, m_reader_watch->gave_sign() ? "no_news" : "silent");
            continue;
        }
        receive_generation(answer->generation);
        record_response(*answer, requested_at);
        // One of an earlier version counts on at the offsets that it knew.
        if (answer->generation == 0 && m_view.restores() > 0)
            suspect_reader(*asked, "no_generation");
        if (answer->unreachable)
            note_unreachable(*answer->unreachable);
        const Micros age = monotonic_us() - m_view.of(DirectoryTopic::Configuration).as_of;
        if (!m_reached && age < m_view.pace().stale_after)
            note_contact(true);
        bool complete = true;
        for (const DirectoryTopic topic : DirectoryView::kTopics) {
            complete = complete && !m_view.of(topic).overdue;
            if (m_view.of(topic).overdue)
                m_pauses.at(topic).cancel();
        }
        if (!complete)
            co_await pause(kReaderPause);
    }
}

bool
DirectoryWatch::may_ask_reader_again() const
{
    if (m_reader_watch->is_connection_dead())
        return true;
    return !m_reader_watch->is_silent() && !m_reader_watch->gave_sign()
        && m_view.may_retry_reader(kReaderWaitLimit, monotonic_us());
}

/// Whom this daemon hears from changed: who came to read the directory itself does so at
/// once, not when it would have missed its reader.
void
DirectoryWatch::note_source(const DirectorySource& from)
{
    const std::string asked = from.daemon ? from.daemon->node : std::string();
    if (m_role == from.role && m_asked == asked)
        return;
    m_role = from.role;
    m_asked = asked;
    m_unreachable_revision = 0;
    LogEvent("directory_source").kv("role", to_string(from.role)).kv("asks", asked);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_pauses.at(topic).cancel();
}

void
DirectoryWatch::suspect_reader(const DaemonRecord& reader, std::string_view why)
{
    if (!m_view.daemons().suspect(reader.peers_address))
        return;
    const Micros now = monotonic_us();
    LogEvent("reader_suspected", LogLevel::Warn)
        .kv("reader", reader.node)
        .kv("why", why)
        .kv("configuration_age_ms",
            (now - m_view.of(DirectoryTopic::Configuration).as_of) / kMillisecond)
        .kv("upstreams_age_ms",
            (now - m_view.of(DirectoryTopic::Upstreams).as_of) / kMillisecond);
    asio::co_spawn(m_io, trust_later(reader.peers_address), asio::detached);
}

asio::awaitable<void>
DirectoryWatch::trust_later(std::string peers_address)
{
    co_await pause(m_view.must_list() ? kDistrustAtStart : kDistrust);
    m_view.daemons().trust(peers_address);
}

} // namespace cypressford
