// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/streams/origin_writer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include <cypressford/version_records.h>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Interval of the checks whether this daemon ranks among the keepers of another set.
constexpr Micros kRankInterval = 100 * kMillisecond;
/// Delay after a call that failed; doubles after each failure, up to the maximum.
constexpr Micros kFirstRetryDelay = 250 * kMillisecond;
constexpr Micros kMaxRetryDelay = 4 * kSecond;

} // namespace

OriginWriter::OriginWriter(asio::io_context& io, Kernel& kernel, DirectoryWatch& directory)
    : m_io(io)
    , m_kernel(kernel)
    , m_directory(directory)
{
}

void
OriginWriter::start()
{
    spawn_restarting_task(m_io, "origin_read", [this] { return read_all(); });
}

void
OriginWriter::add(RequestsByOrigin origins)
{
    asio::post(m_io, [this, origins = std::move(origins)] {
        if (const std::size_t dropped = m_outbox.add(origins); dropped > 0)
            LogEvent("stream_origins_unwritten", LogLevel::Warn).kv("origins", dropped);
        if (m_outbox.empty() || std::exchange(m_writing, true))
            return;
        spawn_restarting_task(m_io, "origin_write", [this] { return write_all(); });
    });
}

asio::awaitable<void>
OriginWriter::write_all()
{
    Micros delay = kFirstRetryDelay;
    while (!m_outbox.empty()) {
        co_await pause_for(m_io, OriginOutbox::kGatherTime);
        while (auto record = m_outbox.take(wall_ms(), monotonic_us())) {
            const auto written
                = co_await m_directory.write(DirectoryTopic::Origins, *std::move(record));
            if (written) {
                m_outbox.drop_taken();
                delay = kFirstRetryDelay;
                continue;
            }
            co_await pause_for(m_io, delay);
            delay = std::min(2 * delay, kMaxRetryDelay);
        }
    }
    m_writing = false;
}

asio::awaitable<void>
OriginWriter::read_all()
{
    Micros delay = kFirstRetryDelay;
    for (;;) {
        const std::string set_name = unread_set();
        if (set_name.empty()) {
            co_await pause_for(m_io, kRankInterval);
            continue;
        }
        if (co_await read(set_name)) {
            delay = kFirstRetryDelay;
            continue;
        }
        co_await pause_for(m_io, delay);
        delay = std::min(2 * delay, kMaxRetryDelay);
    }
}

std::string
OriginWriter::unread_set() const
{
    const auto others = m_kernel.tunnel_peers.load();
    const auto snapshot = m_kernel.snapshot.load();
    if (!others || !snapshot || !m_kernel.knows_all_daemons.load())
        return {};
    const TunnelPeer own {m_kernel.settings.announced_peers, m_kernel.settings.hall};
    for (const UpstreamSet& set : snapshot->sets)
        if (set.names_versions() && !m_read_sets.contains(set.spec.name)
            && holder_rank(*others, own, set.spec.name) < kVersionKeepers)
            return set.spec.name;
    return {};
}

asio::awaitable<bool>
OriginWriter::read(const std::string& set_name)
{
    const auto records
        = co_await m_directory.list(DirectoryTopic::Origins, origin_key_prefix(set_name));
    if (!records)
        co_return false;
    m_read_sets.insert(set_name);
    std::size_t count = 0;
    for (RequestsByOrigin& origins : stored_origins(*records, set_name, wall_ms())) {
        for (const auto& [origin, requests] : origins)
            count += requests.size();
        m_on_read(std::move(origins));
    }
    LogEvent("stream_origins_read")
        .kv("set", set_name)
        .kv("records", records->size())
        .kv("origins", count);
    co_return true;
}

} // namespace cypressford
