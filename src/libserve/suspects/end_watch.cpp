// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/suspects/end_watch.h"

#include <chrono>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include <cypressford/bundle.h>

#include "libserve/links/tunnel_protocol.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/http_client.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Time to collect the broken runs of an upstream.  When its process ends, all its
/// connections close: its runs from one daemon break off within 2 ms of each other.
constexpr std::chrono::milliseconds kCollectionTime {20};
/// A reachable node, even of another hall, answers within a few milliseconds.
constexpr Micros kProbeTimeout = 250 * kMillisecond;
/// Daemons that are asked whether an upstream that refuses this daemon accepts them.  With
/// one, five of eight daemons that lose their links at the same moment would often confirm
/// each other.
constexpr std::size_t kAskedPeers = 3;
constexpr Micros kPeerTimeout = 300 * kMillisecond;

} // namespace

void
EndWatch::record_broken_run(BrokenRun run)
{
    asio::post(m_io, [this, run = std::move(run)]() mutable { add(std::move(run)); });
}

void
EndWatch::record_answer(const RequestDigest& digest)
{
    asio::post(m_io, [this, digest] {
        if (m_on_answered)
            m_on_answered(digest);
    });
}

void
EndWatch::add(BrokenRun run)
{
    const auto [it, is_first] = m_broken.try_emplace(run.upstream);
    if (is_first)
        spawn_task(m_io, "upstream_end_check", check_ended(run.upstream, run.address),
                   [this, upstream = run.upstream] { m_broken.erase(upstream); });
    it->second.push_back(std::move(run));
}

/// `state`: of the port, as this daemon sees it, which is no evidence while its links are
/// cut.
asio::awaitable<bool>
EndWatch::has_ended(std::string address, PortState state)
{
    const bool may_have_ended = state == PortState::Refused
        || (state == PortState::Unresponsive && m_kernel.is_cut_off.load());
    if (!may_have_ended)
        co_return false;
    const auto peers = m_kernel.tunnel_peers.load();
    TunnelPeerChoice choice;
    std::vector<std::string> asked;
    bool is_confirmed = false;
    while (peers && asked.size() < kAskedPeers) {
        const Micros now = monotonic_us();
        const auto peer = choice.choose(*peers, asked, random_u64(), now);
        if (!peer)
            break;
        asked.push_back(peer->address);
        boost::asio::ip::tcp::socket socket(m_io);
        const TunnelAnswer answer
            = (co_await open_tunnel(socket, peer->address, address, now + kPeerTimeout))
                  .answer;
        if (answer == TunnelAnswer::Opened)
            co_return false;
        is_confirmed |= answer == TunnelAnswer::UpstreamRefused;
    }
    co_return is_confirmed || !m_kernel.is_cut_off.load();
}

asio::awaitable<void>
EndWatch::check_ended(UpstreamRun upstream, std::string address)
{
    co_await pause_for(m_io, kCollectionTime);
    const PortState state
        = co_await probe_port(m_io, address, monotonic_us() + kProbeTimeout);
    const bool ended = co_await has_ended(address, state);
    const std::vector<BrokenRun> broken = std::exchange(m_broken[upstream], {});
    m_broken.erase(upstream);
    LogEvent(ended ? "upstream_ended" : "upstream_not_ended", LogLevel::Warn)
        .kv("identity", upstream.identity)
        .kv("born", upstream.born)
        .kv("address", address)
        .kv("port", to_string(state))
        .kv("runs", broken.size());
    if (!ended || !m_on_end)
        co_return;
    UpstreamEnd end;
    end.upstream = upstream;
    end.at
        = static_cast<WallMs>(HybridClock::instance().tick() >> HybridClock::kCounterBits);
    std::set<RequestDigest> parts;
    for (const BrokenRun& run : broken) {
        end.running.push_back(run.digest);
        parts.insert(run.parts.begin(), run.parts.end());
    }
    end.parts.assign(parts.begin(), parts.end());
    m_on_end(std::move(end));
}

} // namespace cypressford
