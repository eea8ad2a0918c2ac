// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/suspects/suspect_writer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Ends that are detected within this time go into one record, so that engines that crash
/// at the same moment need one call.  A fortieth of the shortest time within which the
/// other daemons must have the record.
constexpr Micros kGatherTime = 50 * kMillisecond;
/// Delay between attempts to write; doubles after each failure, up to the maximum.
constexpr Micros kFirstRetryDelay = 200 * kMillisecond;
constexpr Micros kMaxRetryDelay = 2 * kSecond;
/// Interval of the searches for outdated records, and the maximum number of records that
/// are deleted after one search.
constexpr Micros kCleanupInterval = 10 * kSecond;
constexpr std::size_t kMaxDeletionsPerCleanup = 20;
/// Longest delay, in microseconds, of the report on an answered prompt part: by the number
/// of daemons, and at most.  A third of the time after which quarantines must be in force.
constexpr double kDelayPerDoubling = 100.0 * kMillisecond;
constexpr double kMaxPartDelay = 1.0 * kSecond;

} // namespace

SuspectWriter::SuspectWriter(asio::io_context& io, const Kernel& kernel,
                             DirectoryWatch& directory)
    : m_io(io)
    , m_kernel(kernel)
    , m_directory(directory)
    // Keys are unique in a fleet: the incarnation is drawn at random.
    , m_prefix(kernel.settings.node + "." + format_stamp(kernel.incarnation) + ".")
    , m_outbox(m_prefix)
{
}

void
SuspectWriter::start()
{
    m_directory.on_suspects_lost([this] { begin_writing(); });
    spawn_restarting_task(m_io, "suspect_cleanup", [this] { return tidy(); });
}

void
SuspectWriter::report_end(UpstreamEnd end)
{
    SuspectOutbox::Entry& open = m_outbox.open(wall_ms());
    open.record.ends.push_back(std::move(end));
    m_directory.apply_own_suspects(open.key, open.record);
    begin_writing();
}

void
SuspectWriter::report_answered(const RequestDigest& digest)
{
    if (!is_prompt_part(digest))
        write_answered(digest);
    else if (m_parts_to_report.insert(digest).second)
        spawn_task(m_io, "prompt_part_report", report_part_later(digest));
}

/// Many daemons answer requests with a common part.  One report is enough, so each daemon
/// waits for a random time and reports only if no other has done so.
asio::awaitable<void>
SuspectWriter::report_part_later(RequestDigest part)
{
    co_await pause_for(m_io, part_delay());
    m_parts_to_report.erase(part);
    const SuspectViewPtr suspects = m_kernel.suspects.load();
    if (suspects && suspects->is_suspect(part))
        write_answered(part);
}

/// Distributed exponentially towards the longest delay, so that few of many daemons report
/// within the time that a report takes to reach the others.
Micros
SuspectWriter::part_delay() const
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const double daemons = std::max(2, m_kernel.daemons.load());
    const double longest = std::min(kDelayPerDoubling * std::log2(daemons), kMaxPartDelay);
    const double uniform = (static_cast<double>(random_u64()) + 1) / range;
    const double part = 1 + std::log(uniform) / std::log(daemons);
    return static_cast<Micros>(longest * std::max(0.0, part));
}

void
SuspectWriter::write_answered(const RequestDigest& digest)
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
    spawn_restarting_task(m_io, "suspect_write", [this] { return write_all(); });
}

asio::awaitable<void>
SuspectWriter::write_all()
{
    Micros delay = kFirstRetryDelay;
    co_await pause_for(m_io, kGatherTime);
    std::vector<DirectoryRecord> lost = m_directory.lost_suspects(m_prefix);
    // Records that could not be written are retried with the next report.
    (void)co_await write_again(std::move(lost));
    while (!m_outbox.empty()) {
        const SuspectOutbox::Entry& first = m_outbox.seal_first();
        DirectoryRecord entry {first.key, encode(first.record)};
        const auto written
            = co_await m_directory.write(DirectoryTopic::Suspects, std::move(entry));
        if (written) {
            m_directory.mark_suspects_written(first.key);
            m_outbox.drop_first();
            delay = kFirstRetryDelay;
            continue;
        }
        co_await pause_for(m_io, delay);
        delay = std::min(2 * delay, kMaxRetryDelay);
        if (const std::size_t dropped = m_outbox.trim(); dropped > 0)
            LogEvent("suspects_unwritten", LogLevel::Warn).kv("records", dropped);
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

/// The root reader rewrites lost records, also those of daemons that have ended, and
/// deletes outdated records for all daemons, so that the directory keeps no more records
/// than the daemons do.
asio::awaitable<void>
SuspectWriter::tidy()
{
    for (;;) {
        co_await pause_for(m_io, kCleanupInterval);
        std::vector<DirectoryRecord> lost = m_directory.lost_suspects_of_all();
        const bool all_written = co_await write_again(std::move(lost));
        if (!all_written)
            continue;
        for (const std::string& key :
             m_directory.outdated_suspects(kMaxDeletionsPerCleanup)) {
            DirectoryRecord deletion {key, {}};
            const auto deleted
                = co_await m_directory.write(DirectoryTopic::Suspects, std::move(deletion));
            if (!deleted)
                break;
        }
    }
}

} // namespace cypressford
