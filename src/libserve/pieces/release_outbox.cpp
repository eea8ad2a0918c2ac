// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/release_outbox.h"

#include <chrono>
#include <utility>

#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Time for which releases wait for others of the same set; limits the messages of one
/// daemon to a leader to 200 per second.
constexpr std::chrono::milliseconds kLinger {5};

} // namespace

ReleaseOutbox::ReleaseOutbox(asio::io_context& io, Send send)
    : m_io(io)
    , m_send(std::move(send))
{
}

void
ReleaseOutbox::add_result(const std::string& set_name, std::string handle)
{
    of(set_name).handles.push_back(std::move(handle));
}

void
ReleaseOutbox::add_started(const std::string& set_name, std::string attempt)
{
    of(set_name).started.push_back(std::move(attempt));
}

void
ReleaseOutbox::add_ended(const std::string& set_name, std::string attempt)
{
    of(set_name).ended.push_back(std::move(attempt));
}

void
ReleaseOutbox::add_unreachable(const std::string& set_name, std::string attempt)
{
    of(set_name).unreachable.push_back(std::move(attempt));
}

void
ReleaseOutbox::add_withdrawn(const std::string& set_name, std::string attempt)
{
    of(set_name).withdrawn.push_back(std::move(attempt));
}

Releases&
ReleaseOutbox::of(const std::string& set_name)
{
    if (!m_flushing) {
        m_flushing = true;
        spawn_restarting_task(m_io, "release_batches", [this] { return flush(); });
    }
    Releases& releases = m_releases[set_name];
    releases.upstream_set = set_name;
    return releases;
}

asio::awaitable<void>
ReleaseOutbox::flush()
{
    co_await pause_for(m_io, kLinger);
    m_flushing = false;
    for (auto& [set_name, releases] : std::exchange(m_releases, {}))
        m_send(std::move(releases));
}

} // namespace cypressford
