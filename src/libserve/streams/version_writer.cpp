// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/streams/version_writer.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/stream_origin.h>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Interval of the checks whether a record must be read or written; no calls are made while
/// all are as they must be.
constexpr Micros kCheckInterval = 500 * kMillisecond;
/// How much longer each daemon waits than the one that ranks before it, so that in general
/// only the first one writes.
constexpr Micros kRankDelay = 500 * kMillisecond;
/// Delay after a call that failed; doubles after each failure, up to the maximum.
constexpr Micros kFirstRetryDelay = 500 * kMillisecond;
constexpr Micros kMaxRetryDelay = 4 * kSecond;

/// Not behind the clock of any daemon that this one has heard from: a time that is too
/// early would make a version look older than it is.
std::int64_t
hybrid_ms()
{
    return static_cast<std::int64_t>(HybridClock::instance().tick()
                                     >> HybridClock::kCounterBits);
}

} // namespace

VersionWriter::VersionWriter(asio::io_context& io, Kernel& kernel,
                             DirectoryWatch& directory)
    : m_io(io)
    , m_kernel(kernel)
    , m_directory(directory)
    , m_link(io, kernel)
    , m_timer(io)
{
}

void
VersionWriter::start()
{
    m_directory.on_versions(
        [this](const Snapshot& snapshot, const std::set<std::string>& brief_sets) {
            observe(snapshot, brief_sets);
        });
    spawn_restarting_task(m_io, "version_write", [this] { return run(); });
}

void
VersionWriter::observe(const Snapshot& snapshot, const std::set<std::string>& brief_sets)
{
    PresentVersions several;
    for (const std::string& set_name : brief_sets)
        several[set_name] = std::nullopt;
    const std::int64_t now = hybrid_ms();
    const bool differed = m_records.observe(several, now);
    const bool changed = m_records.observe(present_versions(snapshot), now);
    if (!differed && !changed)
        return;
    publish();
    m_timer.cancel();
}

void
VersionWriter::publish()
{
    const auto before = m_kernel.recorded_versions.load();
    RecordedVersions now = m_records.sole();
    if (!before || *before != now)
        m_kernel.recorded_versions.store(
            std::make_shared<const RecordedVersions>(std::move(now)));
}

/// A keeper checks each set after a start and after a change; a deputy only acts on a
/// change that it has seen, at once.
std::vector<VersionWriter::DueSet>
VersionWriter::due_sets()
{
    const auto others = m_kernel.tunnel_peers.load();
    if (!others || !m_kernel.knows_all_daemons.load())
        return {};
    const Settings& settings = m_kernel.settings;
    const TunnelPeer own {settings.announced_peers, settings.hall};
    const Micros now = monotonic_us();
    std::map<std::string, Micros> unconfirmed_since;
    std::vector<DueSet> due;
    const LogGeneration generation = m_directory.generation();
    for (const std::string& set_name : m_records.unconfirmed(generation)) {
        const std::size_t rank = holder_rank(*others, own, set_name);
        if (rank >= kVersionKeepers) {
            const bool is_deputy = rank < kVersionKeepers + kVersionDeputies;
            if (is_deputy && m_records.missing_record(set_name, generation))
                due.push_back({set_name, rank});
            continue;
        }
        const auto at = m_unconfirmed_since.find(set_name);
        const Micros since = at == m_unconfirmed_since.end() ? now : at->second;
        unconfirmed_since[set_name] = since;
        if (now - since >= static_cast<Micros>(rank) * kRankDelay)
            due.push_back({set_name, rank});
    }
    m_unconfirmed_since = std::move(unconfirmed_since);
    return due;
}

/// True if a daemon that ranks before this one answers: it sees the change as well.
asio::awaitable<bool>
VersionWriter::is_kept_by_another(DueSet set)
{
    const auto others = m_kernel.tunnel_peers.load();
    if (!others)
        co_return false;
    const Settings& settings = m_kernel.settings;
    const TunnelPeer own {settings.announced_peers, settings.hall};
    const std::vector<std::string> before
        = origin_holders(*others, own, set.name, set.rank, 0);
    for (const std::string& address : before) {
        const bool is_alive = co_await m_link.is_alive(address);
        if (is_alive)
            co_return true;
    }
    LogEvent("version_keepers_silent", LogLevel::Warn)
        .kv("set", set.name)
        .kv("asked", before.size());
    co_return false;
}

asio::awaitable<std::vector<std::string>>
VersionWriter::sets_to_check()
{
    std::vector<std::string> names;
    const std::vector<DueSet> due = due_sets();
    for (const DueSet& set : due) {
        const auto record = m_records.missing_record(set.name, m_directory.generation());
        bool is_kept = false;
        if (set.rank >= kVersionKeepers)
            is_kept = co_await is_kept_by_another(set);
        // A later change differs from the record, and is checked on its own.
        if (is_kept && record)
            m_records.mark_written(set.name, *record);
        else
            names.push_back(set.name);
    }
    co_return names;
}

asio::awaitable<void>
VersionWriter::run()
{
    Micros retry_delay = kFirstRetryDelay;
    for (;;) {
        std::vector<std::string> due = co_await sets_to_check();
        if (due.empty()) {
            m_timer.expires_after(std::chrono::microseconds(kCheckInterval));
            co_await m_timer.async_wait(kToTuple);
            continue;
        }
        const bool is_confirmed = co_await check(std::move(due));
        if (is_confirmed) {
            retry_delay = kFirstRetryDelay;
            continue;
        }
        co_await pause_for(m_io, retry_delay);
        retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
    }
}

/// Reads the records, which gives this daemon what they say, and writes those that are
/// missing.  False if a call failed.
asio::awaitable<bool>
VersionWriter::check(std::vector<std::string> set_names)
{
    const LogGeneration before = m_directory.generation();
    const auto records = co_await m_directory.list(DirectoryTopic::Versions);
    const LogGeneration generation = m_directory.generation();
    // The first answer of a log names its generation.
    if (!records || (before != 0 && before != generation))
        co_return false;
    m_records.apply_listing(*records, generation, hybrid_ms());
    publish();
    for (const std::string& set_name : set_names) {
        const auto record = m_records.missing_record(set_name, generation);
        if (!record)
            continue;
        DirectoryRecord entry {set_name, encode(*record)};
        const auto written
            = co_await m_directory.write(DirectoryTopic::Versions, std::move(entry));
        if (!written)
            co_return false;
        m_records.mark_written(set_name, *record);
        LogEvent("version_recorded")
            .kv("set", set_name)
            .kv("several", !record->version)
            .kv("software", record->version.value_or(""))
            .kv("since_ms", record->since_ms)
            .kv("generation", generation);
    }
    co_return true;
}

} // namespace cypressford
