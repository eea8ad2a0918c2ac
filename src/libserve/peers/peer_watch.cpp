// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/peers/peer_watch.h"

#include <algorithm>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// A daemon that did not answer an order leads no set for this time, and until it answers a
/// keepalive request.  The time doubles with each unanswered request.  It is short at first
/// because nodes that have all lost power start within 0.3 s of each other, and a daemon
/// that starts early would exclude the daemons that start late.
constexpr std::chrono::milliseconds kMinSuspectTime {200};
constexpr std::chrono::milliseconds kMaxSuspectTime {1600};
/// Minimum time between checks of the leaders.
constexpr Micros kLeaderCheckInterval = 500 * kMillisecond;
/// The leader of each set and its successor are checked.  With five halls, the failure of a
/// hall affects both of them in 1 of 25 cases.
constexpr std::size_t kCheckedLeadersPerSet = 2;

} // namespace

PeerWatch::PeerWatch(asio::io_context& io, Kernel& kernel, PeerLink& link)
    : m_io(io)
    , m_kernel(kernel)
    , m_link(link)
    , m_daemons(kernel.settings.node, record_timeout(1, kernel.settings.directory_writes))
{
    if (!kernel.settings.scheduler.switches.uses(Mechanism::StrongLeaders))
        m_daemons.allow_weak_leaders();
}

void
PeerWatch::apply_records(const std::vector<DaemonRecord>& records)
{
    const Micros now = monotonic_us();
    for (const DaemonRecord& record : records)
        if (record.incarnation == 0)
            m_daemons.drop(record.node);
        else
            m_daemons.apply(record, now);
    m_daemons.on_directory_read(now);
    m_daemons.set_record_timeout(
        record_timeout(m_daemons.alive(), m_kernel.settings.directory_writes));
    m_kernel.daemons_in_hall.store(std::max(1, m_daemons.alive_in(m_kernel.settings.hall)));
    m_kernel.daemons.store(std::max(1, m_daemons.alive()));
    m_kernel.upstreams.set_daemons(m_daemons.alive(), now);
    m_kernel.upstreams.set_own_index(m_daemons.own_index());
    publish_tunnel_peers();
}

std::string
PeerWatch::leader_of(std::string_view set_name)
{
    update_led_sets();
    std::string leader = m_daemons.leader_of(set_name);
    report_leader(set_name, leader);
    return leader;
}

void
PeerWatch::update_led_sets()
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot || snapshot->generation == m_sets_generation)
        return;
    m_sets_generation = snapshot->generation;
    std::vector<std::string> sets;
    for (const UpstreamSet& set : snapshot->sets)
        if (set.spec.has_leader())
            sets.push_back(set.spec.name);
    m_daemons.set_led_sets(std::move(sets));
}

void
PeerWatch::report_leader(std::string_view set_name, const std::string& leader)
{
    const auto known = m_reported_leaders.find(set_name);
    if (known != m_reported_leaders.end() && known->second == leader)
        return;
    LogEvent("leader_changed")
        .kv("set", set_name)
        .kv("leader", leader)
        .kv("before", known == m_reported_leaders.end() ? "" : known->second)
        .kv("capacity",
            leader.empty() ? m_kernel.settings.capacity : m_daemons.capacity_of(leader));
    m_reported_leaders.insert_or_assign(std::string(set_name), leader);
    const auto led = std::count_if(m_reported_leaders.begin(), m_reported_leaders.end(),
                                   [](const auto& item) { return item.second.empty(); });
    m_kernel.led_sets.store(static_cast<int>(led));
}

/// The list is copied only if it may have changed: keepalives arrive several times a
/// second.
void
PeerWatch::publish_tunnel_peers()
{
    const std::uint64_t revision = m_daemons.peers_revision();
    if (m_kernel.tunnel_peers.load() && revision == m_published_revision
        && m_daemons.alive() == m_published_alive)
        return;
    m_published_revision = revision;
    m_published_alive = m_daemons.alive();
    m_kernel.tunnel_peers.store(
        std::make_shared<const TunnelPeers>(m_daemons.tunnel_peers()));
}

void
PeerWatch::record_response(const std::string& address)
{
    m_daemons.record_response(address, monotonic_us());
}

void
PeerWatch::suspect(const std::string& address)
{
    if (!m_daemons.suspect(address))
        return;
    LogEvent("leader_suspected", LogLevel::Warn).kv("leader", address).kv("told", false);
    m_locally_suspected.insert(address);
    if (m_kernel.on_peer_unreachable)
        m_kernel.on_peer_unreachable(address);
    m_link.cancel_orders(address);
    spawn_restarting_task(m_io, "suspected_leader",
                          [this, address] { return watch_suspect(address); });
    check_leaders();
}

void
PeerWatch::set_unreachable(std::set<std::string> addresses)
{
    for (const std::string& address : addresses) {
        if (m_reported_unreachable.contains(address) || !m_daemons.suspect(address))
            continue;
        LogEvent("leader_suspected", LogLevel::Warn).kv("leader", address).kv("told", true);
        m_link.cancel_orders(address);
    }
    for (const std::string& address : m_reported_unreachable)
        if (!addresses.contains(address) && !m_locally_suspected.contains(address))
            m_daemons.trust(address);
    m_reported_unreachable = std::move(addresses);
}

/// Daemons often fail together.  The leaders and their successors are checked at once, so
/// that failures are not detected one by one through orders.  Other daemons are not
/// checked: when 295 daemons lose one leader, checking all daemons would take 86,700 calls,
/// which is 0.6 s of a node with 0.12 of a core.
void
PeerWatch::check_leaders()
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot || monotonic_us() - m_leaders_checked_at < kLeaderCheckInterval)
        return;
    m_leaders_checked_at = monotonic_us();
    update_led_sets();
    std::set<std::string> checked;
    for (const std::string& set : m_daemons.led_sets())
        for (std::string& address : m_daemons.next_leaders(set, kCheckedLeadersPerSet))
            checked.insert(std::move(address));
    for (const std::string& address : checked)
        spawn_task(m_io, "leader_check", check(address));
}

asio::awaitable<void>
PeerWatch::check(std::string address)
{
    // GCC 12 compiles the end of this coroutine wrongly if the call is in the condition.
    const bool answers = co_await m_link.is_alive(address);
    if (!answers)
        suspect(address);
}

asio::awaitable<void>
PeerWatch::watch_suspect(std::string address)
{
    BootTimer timer(m_io);
    std::chrono::milliseconds time = kMinSuspectTime;
    bool is_alive = false;
    // The loop also ends when the directory no longer lists the daemon.
    while (!is_alive && m_daemons.is_suspected(address)) {
        timer.expires_after(time);
        co_await timer.async_wait(kToTuple);
        time = std::min(2 * time, kMaxSuspectTime);
        is_alive = co_await m_link.is_alive(address);
    }
    m_locally_suspected.erase(address);
    if (!m_reported_unreachable.contains(address))
        m_daemons.trust(address);
}

} // namespace cypressford
