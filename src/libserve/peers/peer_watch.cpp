// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/peers/peer_watch.h"

#include <algorithm>
#include <set>

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
/// A daemon that lost an order leads nothing for so long, and until it gives a sign
/// of life.  Doubles with each that it does not give: after all nodes have lost power they
/// start within 0.3 s of each other, and who came first would shun who came last.
constexpr std::chrono::milliseconds kFirstSuspectTime {200};
constexpr std::chrono::milliseconds kLongestSuspectTime {1600};
/// Between checks of those that lead.
constexpr Micros kCheckPace = 500 * kMillisecond;
/// Of each set its leader and the next are checked: a hall that goes takes both with it
/// in 1 of 25 cases where there are five halls.
constexpr std::size_t kCheckedOfSet = 2;

} // namespace

PeerWatch::PeerWatch(asio::io_context& io, Kernel& kernel, PeerLink& link)
    : m_io(io)
    , m_kernel(kernel)
    , m_link(link)
    , m_daemons(kernel.settings.node, silent_after(1, kernel.settings.directory_writes))
{
    if (!kernel.settings.scheduler.switches.uses(Mechanism::StrongLeaders))
        m_daemons.let_weak_nodes_lead();
}

void
PeerWatch::take(const std::vector<DaemonRecord>& records)
{
    const Micros now = monotonic_us();
    for (const DaemonRecord& record : records)
        if (record.incarnation == 0)
            m_daemons.drop(record.node);
        else
            m_daemons.apply(record, now);
    m_daemons.note_read(now);
    m_daemons.set_silent_after(
        silent_after(m_daemons.alive(), m_kernel.settings.directory_writes));
    m_kernel.daemons_in_hall.store(std::max(1, m_daemons.alive_in(m_kernel.settings.hall)));
    m_kernel.daemons.store(std::max(1, m_daemons.alive()));
    m_kernel.upstreams.set_daemons(m_daemons.alive(), now);
}

void
PeerWatch::note_answer(const std::string& address)
{
    m_daemons.note_answer(address, monotonic_us());
}

void
PeerWatch::suspect(const std::string& address)
{
    if (!m_daemons.suspect(address))
        return;
    LogEvent("leader_suspected", LogLevel::Warn).kv("leader", address).kv("told", false);
    m_watched.insert(address);
    if (m_kernel.on_peer_unreachable)
        m_kernel.on_peer_unreachable(address);
    m_link.cancel_orders(address);
    asio::co_spawn(m_io, watch_suspect(address), asio::detached);
    check_leaders();
}

void
PeerWatch::take_unreachable(std::set<std::string> addresses)
{
    for (const std::string& address : addresses) {
        if (m_told.contains(address) || !m_daemons.suspect(address))
            continue;
        LogEvent("leader_suspected", LogLevel::Warn).kv("leader", address).kv("told", true);
        m_link.cancel_orders(address);
    }
    for (const std::string& address : m_told)
        if (!addresses.contains(address) && !m_watched.contains(address))
            m_daemons.trust(address);
    m_told = std::move(addresses);
}

/// Daemons often go together.  Those that lead, or would next, are asked at once, so that
/// orders do not find out one daemon after the other.  No others: when 295 daemons lose one
/// leader, asking everybody is 86,700 calls, 0.6 s of a node of 0.12 of a core.
void
PeerWatch::check_leaders()
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot || monotonic_us() - m_checked_at < kCheckPace)
        return;
    m_checked_at = monotonic_us();
    std::set<std::string> checked;
    for (const UpstreamSet& set : snapshot->sets)
        for (std::string& address : m_daemons.next_leaders(set.spec.name, kCheckedOfSet))
            checked.insert(std::move(address));
    for (const std::string& address : checked)
        asio::co_spawn(m_io, check(address), asio::detached);
}

asio::awaitable<void>
PeerWatch::check(std::string address)
{
    // GCC 12 ends this function wrongly if the call stands in the condition.
    const bool answers = co_await m_link.is_alive(address);
    if (!answers)
        suspect(address);
}

asio::awaitable<void>
PeerWatch::watch_suspect(std::string address)
{
    BootTimer timer(m_io);
    std::chrono::milliseconds time = kFirstSuspectTime;
    bool is_alive = false;
    // Of one that is gone the directory tells; it is not asked for ever.
    while (!is_alive && m_daemons.is_suspected(address)) {
        timer.expires_after(time);
        co_await timer.async_wait(kToTuple);
        time = std::min(2 * time, kLongestSuspectTime);
        is_alive = co_await m_link.is_alive(address);
    }
    m_watched.erase(address);
    if (!m_told.contains(address))
        m_daemons.trust(address);
}

} // namespace cypressford
