// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/suspects/suspect_writer.h"

#include <algorithm>
#include <chrono>
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
/// Ends that are found within it go into one record: one call for all engines that crash
/// at a moment.  A fortieth of the shortest time within which others must know.
constexpr Micros kGather = 50 * kMillisecond;
/// Between attempts to write, doubled up to the longest.
constexpr Micros kFirstPause = 200 * kMillisecond;
constexpr Micros kLongestPause = 2 * kSecond;
/// Between looks for records that count no longer, and how many go in one.
constexpr Micros kTidyPace = 10 * kSecond;
constexpr std::size_t kTidyAtOnce = 20;

} // namespace

SuspectWriter::SuspectWriter(asio::io_context& io, const Kernel& kernel,
                             DirectoryWatch& directory)
    : m_io(io)
    , m_directory(directory)
    // No two records of a fleet have one key: the incarnation is drawn at random.
    , m_prefix(kernel.settings.node + "." + format_stamp(kernel.incarnation) + ".")
    , m_outbox(m_prefix)
{
}

void
SuspectWriter::start()
{
    m_directory.on_suspects_lost([this] { begin_writing(); });
    asio::co_spawn(m_io, tidy(), asio::detached);
}

asio::awaitable<void>
SuspectWriter::pause(Micros time)
{
    BootTimer timer(m_io);
    timer.expires_after(std::chrono::microseconds(time));
    co_await timer.async_wait(kToTuple);
}

void
SuspectWriter::tell_end(UpstreamEnd end)
{
    SuspectOutbox::Entry& open = m_outbox.open(wall_ms());
    open.record.ends.push_back(std::move(end));
    m_directory.apply_own_suspects(open.key, open.record);
    begin_writing();
}

void
SuspectWriter::tell_answered(const RequestDigest& digest)
{
    SuspectOutbox::Entry& open = m_outbox.open(wall_ms());
    open.record.answered.push_back(digest);
    m_directory.apply_own_suspects(open.key, open.record);
    begin_writing();
}

void
SuspectWriter::begin_writing()
{
    if (std::exchange(m_writing, true))
        return;
    asio::co_spawn(m_io, write_all(), asio::detached);
}

asio::awaitable<void>
SuspectWriter::write_all()
{
    Micros rest = kFirstPause;
    co_await pause(kGather);
    std::vector<DirectoryRecord> lost = m_directory.lost_suspects(m_prefix);
    // Those that fail are tried again with the next news.
    (void)co_await write_again(std::move(lost));
    while (!m_outbox.empty()) {
        const SuspectOutbox::Entry& first = m_outbox.seal_first();
        DirectoryRecord entry {first.key, encode(first.record)};
        const auto written
            = co_await m_directory.write(DirectoryTopic::Suspects, std::move(entry));
        if (written) {
            m_directory.mark_suspects_written(first.key);
            m_outbox.drop_first();
            rest = kFirstPause;
            continue;
        }
        co_await pause(rest);
        rest = std::min(2 * rest, kLongestPause);
        if (const std::size_t forgotten = m_outbox.trim(); forgotten > 0)
            LogEvent("suspects_unwritten", LogLevel::Warn).kv("records", forgotten);
    }
    m_writing = false;
}

asio::awaitable<bool>
SuspectWriter::write_again(std::vector<DirectoryRecord> records)
{
    for (DirectoryRecord& record : records) {
        const std::string key = record.key;
        const auto written
            = co_await m_directory.write(DirectoryTopic::Suspects, std::move(record));
        if (!written)
            co_return false;
        m_directory.mark_suspects_written(key);
    }
    co_return true;
}

/// The root reader writes again what the log lost of daemons that are gone, and deletes for
/// all what counts no longer, so that the directory keeps no more than daemons do.
asio::awaitable<void>
SuspectWriter::tidy()
{
    for (;;) {
        co_await pause(kTidyPace);
        std::vector<DirectoryRecord> lost = m_directory.lost_suspects_of_all();
        const bool all_written = co_await write_again(std::move(lost));
        if (!all_written)
            continue;
        for (const std::string& key : m_directory.outdated_suspects(kTidyAtOnce)) {
            DirectoryRecord nothing {key, {}};
            const auto deleted
                = co_await m_directory.write(DirectoryTopic::Suspects, std::move(nothing));
            if (!deleted)
                break;
        }
    }
}

} // namespace cypressford
