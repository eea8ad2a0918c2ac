// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/upstream_links.h>

#include <algorithm>

namespace cypressford {

std::string_view
to_string(TunnelAnswer answer)
{
    switch (answer) {
    case TunnelAnswer::Opened:
        return "opened";
    case TunnelAnswer::UpstreamRefused:
        return "upstream_refused";
    case TunnelAnswer::UpstreamUnresponsive:
        return "upstream_unresponsive";
    case TunnelAnswer::PeerUnable:
        return "peer_unable";
    case TunnelAnswer::Unsupported:
        return "unsupported";
    case TunnelAnswer::NoAnswer:
        break;
    }
    return "no_answer";
}

void
UpstreamLinks::record_connected(const std::string& address, Micros now)
{
    m_failed.clear();
    m_cut_at.reset();
    m_connected_at = now;
    std::erase(m_connected, address);
    m_connected.push_back(address);
    if (m_connected.size() > kMaxRemembered)
        m_connected.pop_front();
}

void
UpstreamLinks::record_failure(const std::string& address, Micros now)
{
    if (is_cut_off())
        return;
    std::erase_if(m_failed,
                  [now](const auto& item) { return now - item.second > kFailureLifetime; });
    m_failed[address] = now;
    if (m_failed.size() >= kCutThreshold)
        m_cut_at = now;
}

bool
UpstreamLinks::take_probe(Micros now)
{
    if (now - m_probed_at < kProbeInterval)
        return false;
    m_probed_at = now;
    return true;
}

bool
UpstreamLinks::is_silent_since(Micros since) const
{
    return std::max(m_answered_at, m_connected_at) < since;
}

std::optional<std::string>
UpstreamLinks::other_upstream(const std::string& than) const
{
    const auto usable = [&](const std::string& address) {
        return address != than && !m_failed.contains(address);
    };
    const auto found = std::find_if(m_connected.rbegin(), m_connected.rend(), usable);
    if (found == m_connected.rend())
        return std::nullopt;
    return *found;
}

const TunnelPeer*
find_peer(const TunnelPeers& peers, const std::string& address)
{
    const auto by_address
        = [](const TunnelPeer& peer, const std::string& key) { return peer.address < key; };
    const auto it = std::lower_bound(peers.begin(), peers.end(), address, by_address);
    return it != peers.end() && it->address == address ? &*it : nullptr;
}

bool
TunnelPeerChoice::may_ask(const TunnelPeer& peer, const Query& query) const
{
    if (query.allowed && !query.allowed(peer))
        return false;
    const auto known = m_known.find(peer.address);
    if (known != m_known.end() && known->second.avoid_until > query.now)
        return false;
    return std::find(query.tried.begin(), query.tried.end(), peer.address)
        == query.tried.end();
}

double
TunnelPeerChoice::load_of(const TunnelPeer& peer) const
{
    constexpr double least_capacity = 1e-3;
    const auto known = m_known.find(peer.address);
    const int open = known == m_known.end() ? 0 : known->second.open;
    return (open + 1) / std::max(peer.capacity, least_capacity);
}

const TunnelPeer*
TunnelPeerChoice::choose_proven(const Query& query)
{
    std::erase_if(m_proven, [&](const std::string& address) {
        return m_known[address].proven_until <= query.now
            || !find_peer(query.peers, address);
    });
    const TunnelPeer* best = nullptr;
    for (const std::string& address : m_proven) {
        const TunnelPeer* peer = find_peer(query.peers, address);
        if (may_ask(*peer, query) && (!best || load_of(*peer) < load_of(*best)))
            best = peer;
    }
    return best;
}

const TunnelPeer*
TunnelPeerChoice::choose_any(const Query& query) const
{
    constexpr int half_word = 32;
    const std::size_t count = query.peers.size();
    const std::size_t start = query.random % count;
    // Neighbours in the list are often of one hall, which may be cut off as a whole.
    const std::size_t stride = 1 + (query.random >> half_word) % count;
    for (std::size_t i = 0; i < std::min(kSampleSize, count); ++i)
        if (const TunnelPeer& peer = query.peers[(start + i * stride) % count];
            may_ask(peer, query))
            return &peer;
    for (std::size_t i = 0; i < count; ++i)
        if (const TunnelPeer& peer = query.peers[(start + i) % count]; may_ask(peer, query))
            return &peer;
    return nullptr;
}

std::optional<TunnelPeer>
TunnelPeerChoice::choose(const TunnelPeers& peers, std::span<const std::string> tried,
                         std::uint64_t random, Micros now, const Allowed& allowed)
{
    if (peers.empty())
        return std::nullopt;
    const Query query {peers, tried, random, now, allowed};
    const TunnelPeer* proven = choose_proven(query);
    const bool wants_another = m_proven.size() < kWantedProven && (random & 1) != 0;
    const TunnelPeer* other = !proven || wants_another ? choose_any(query) : nullptr;
    const TunnelPeer* chosen = other ? other : proven;
    return chosen ? std::optional(*chosen) : std::nullopt;
}

void
TunnelPeerChoice::record(const std::string& peer, TunnelAnswer answer, Micros now)
{
    Known& state = m_known[peer];
    switch (answer) {
    case TunnelAnswer::Opened:
        ++state.open;
        ++m_open;
        state.proven_until = now + kProvenTime;
        state.avoid_until = 0;
        std::erase(m_proven, peer);
        m_proven.push_back(peer);
        if (m_proven.size() > kMaxProven)
            m_proven.erase(m_proven.begin());
        break;
    case TunnelAnswer::UpstreamRefused:
    case TunnelAnswer::UpstreamUnresponsive:
        break;
    case TunnelAnswer::PeerUnable:
    case TunnelAnswer::NoAnswer:
        state.proven_until = 0;
        state.avoid_until = now + kUnableTime;
        break;
    case TunnelAnswer::Unsupported:
        state.proven_until = 0;
        state.avoid_until = now + kUnsupportedTime;
        break;
    }
}

void
TunnelPeerChoice::record_closed(const std::string& peer)
{
    const auto it = m_known.find(peer);
    if (it == m_known.end() || it->second.open == 0)
        return;
    --it->second.open;
    --m_open;
}

} // namespace cypressford
