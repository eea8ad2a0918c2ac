// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whether this daemon can open connections to upstreams, and through which other daemon it
/// opens them if it can't.  No I/O, no clock and no source of randomness.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/bundle.h>

namespace cypressford {

/// Another daemon, which may open connections to upstreams for this one.
struct TunnelPeer {
    std::string address; ///< "ip:port" for other daemons
    std::string hall;
    double capacity = 1; ///< processor power of its node, relative to the others

    bool operator==(const TunnelPeer&) const = default;
};
using TunnelPeers = std::vector<TunnelPeer>; ///< sorted by address

/// The peer with that address; null if there is none.
const TunnelPeer* find_peer(const TunnelPeers& peers, const std::string& address);

/// Answer of a peer that was asked for a connection to an upstream.
enum class TunnelAnswer : unsigned char {
    Opened,
    UpstreamRefused, ///< the peer reaches the upstream's node, but no process listens there
    UpstreamUnresponsive, ///< the peer got no answer from the upstream
    PeerUnable, ///< the peer reaches no upstream itself, is stopping or has no room
    Unsupported, ///< the peer's build opens no tunnels
    NoAnswer
};

/// For logs.
std::string_view to_string(TunnelAnswer answer);

/// Evidence on the links between this daemon and all upstreams.  Not thread-safe.
///
/// The daemon counts as cut off once direct connections to kCutThreshold different
/// upstreams have failed and none has been established in between: a single upstream may
/// itself be down.  Only connections count: an upstream that is slow or silent still
/// accepts them, and in some cuts open connections stay usable while new ones are refused.
/// A daemon that is taken for cut off by mistake still reaches upstreams through peers, and
/// its next tunnel triggers the probe that ends the state.
class UpstreamLinks {
public:
    static constexpr std::size_t kCutThreshold = 2;
    /// Failures of a daemon that is not cut off are forgotten after this time.
    static constexpr Micros kFailureLifetime = 10 * kSecond;
    /// Minimum time between probes of direct connections.
    static constexpr Micros kProbeInterval = 200 * kMillisecond;
    /// Number of upstreams that are remembered for probes.
    static constexpr std::size_t kMaxRemembered = 8;

    /// A direct connection to the upstream was established; ends the cut.
    void record_connected(const std::string& address, Micros now);
    /// A direct connection to the upstream could not be established.
    void record_failure(const std::string& address, Micros now);
    /// The upstream answered on a direct connection.
    void record_answer(Micros now) { m_answered_at = now; }

    bool is_cut_off() const { return m_cut_at.has_value(); }
    /// Start of the cut; only valid while cut off.
    Micros cut_at() const { return m_cut_at.value_or(0); }

    /// True if a probe may start now; the next one may then start after kProbeInterval.
    bool take_probe(Micros now);
    /// True if no upstream has answered or accepted a connection since `since`.
    bool is_silent_since(Micros since) const;
    /// Another upstream that recently accepted a direct connection and has not failed
    /// since.
    std::optional<std::string> other_upstream(const std::string& than) const;

private:
    std::map<std::string, Micros> m_failed; ///< time of the last failure by address
    std::deque<std::string> m_connected; ///< addresses, newest last
    std::optional<Micros> m_cut_at;
    Micros m_answered_at = 0;
    Micros m_connected_at = 0;
    Micros m_probed_at = -kSecond;
};

/// Chooses the peers to ask for tunnels by their earlier answers.  Not thread-safe.
class TunnelPeerChoice {
public:
    /// A peer that could not help is not asked again for this time; cuts last for seconds.
    static constexpr Micros kUnableTime = 500 * kMillisecond;
    /// The same for a peer whose build opens no tunnels; it may be upgraded.
    static constexpr Micros kUnsupportedTime = 60 * kSecond;
    /// A peer that opened a tunnel is preferred for this time.
    static constexpr Micros kProvenTime = 10 * kSecond;
    /// Number of peers that are known to help; the tunnels are spread over them.
    static constexpr std::size_t kMaxProven = 8;
    /// While fewer are known, every second choice is another peer.
    static constexpr std::size_t kWantedProven = 3;
    /// Peers looked at for one choice, so that the cost does not grow with the fleet.
    static constexpr std::size_t kSampleSize = 8;

    /// True for peers that may forward the bytes; empty: all may.
    using Allowed = std::function<bool(const TunnelPeer&)>;

    /// The peer to ask next, none of `tried`; nothing if all are tried or avoided.
    /// `random`: uniform bits.
    std::optional<TunnelPeer> choose(const TunnelPeers& peers,
                                     std::span<const std::string> tried,
                                     std::uint64_t random, Micros now,
                                     const Allowed& allowed = {});

    void record(const std::string& peer, TunnelAnswer answer, Micros now);
    void record_closed(const std::string& peer);
    /// Tunnels of this daemon that are open.
    int open() const { return m_open; }

private:
    struct Known {
        int open = 0; ///< tunnels of this daemon
        Micros proven_until = 0;
        Micros avoid_until = 0;
    };
    struct Query {
        const TunnelPeers& peers;
        std::span<const std::string> tried;
        std::uint64_t random;
        Micros now;
        const Allowed& allowed;
    };

    bool may_ask(const TunnelPeer& peer, const Query& query) const;
    /// Of those that opened tunnels, the one with the fewest tunnels for its capacity.
    const TunnelPeer* choose_proven(const Query& query);
    const TunnelPeer* choose_any(const Query& query) const;
    double load_of(const TunnelPeer& peer) const;

    std::map<std::string, Known> m_known; ///< by address, only of peers that were asked
    std::vector<std::string> m_proven; ///< addresses, newest last
    int m_open = 0;
};

} // namespace cypressford
