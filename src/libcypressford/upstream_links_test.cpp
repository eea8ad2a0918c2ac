// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/upstream_links.h>

using namespace cypressford;

namespace {

constexpr Micros kNow = 100 * kSecond;

TunnelPeers
peers_of(int count)
{
    TunnelPeers peers;
    for (int i = 0; i < count; ++i)
        peers.push_back({"10.0.0." + std::to_string(i + 100) + ":1", "a", 1});
    return peers;
}

} // namespace

TEST_CASE("an upstream that is down is not taken for a lost link")
{
    UpstreamLinks links;
    for (int i = 0; i < 10; ++i)
        links.record_failure("down", kNow + i);
    CHECK_FALSE(links.is_cut_off());
    links.record_failure("other", kNow + 10);
    CHECK(links.is_cut_off());
}

TEST_CASE("failures of several upstreams show a lost link, unless one connects in between")
{
    UpstreamLinks links;
    links.record_failure("first", kNow);
    links.record_connected("second", kNow + 1);
    links.record_failure("third", kNow + 2);
    CHECK_FALSE(links.is_cut_off());
    links.record_failure("fourth", kNow + 3);
    CHECK(links.is_cut_off());
    CHECK(links.cut_at() == kNow + 3);
    links.record_connected("third", kNow + 4);
    CHECK_FALSE(links.is_cut_off());
}

TEST_CASE("failures that lie far apart are not taken for a lost link")
{
    UpstreamLinks links;
    links.record_failure("first", kNow);
    links.record_failure("second", kNow + UpstreamLinks::kFailureLifetime + 1);
    CHECK_FALSE(links.is_cut_off());
}

TEST_CASE("answers on open connections do not end a cut in which new ones are refused")
{
    UpstreamLinks links;
    links.record_failure("first", kNow);
    links.record_failure("second", kNow);
    links.record_answer(kNow + 1);
    CHECK(links.is_cut_off());
}

TEST_CASE("an upstream that is silent while others answer is not probed")
{
    UpstreamLinks links;
    links.record_answer(kNow);
    CHECK_FALSE(links.is_silent_since(kNow - 1));
    CHECK(links.is_silent_since(kNow + 1));
}

TEST_CASE("probes keep their distance, and go to another upstream than the one that failed")
{
    UpstreamLinks links;
    CHECK(links.take_probe(kNow));
    CHECK_FALSE(links.take_probe(kNow + UpstreamLinks::kProbeInterval - 1));
    CHECK(links.take_probe(kNow + UpstreamLinks::kProbeInterval));
    links.record_connected("first", kNow);
    links.record_connected("second", kNow);
    CHECK(links.other_upstream("second") == "first");
    links.record_failure("first", kNow);
    CHECK(links.other_upstream("second") == std::nullopt);
}

TEST_CASE("remembered upstreams are bounded")
{
    UpstreamLinks links;
    for (int i = 0; i < 100; ++i)
        links.record_connected(std::to_string(i), kNow);
    CHECK(links.other_upstream("99") == "98");
}

TEST_CASE("each peer is asked once for a connection")
{
    TunnelPeerChoice choice;
    const TunnelPeers peers = peers_of(5);
    std::vector<std::string> tried;
    for (std::uint64_t random = 7; tried.size() < peers.size(); random = random * 31 + 5) {
        const auto peer = choice.choose(peers, tried, random, kNow);
        REQUIRE(peer);
        tried.push_back(peer->address);
    }
    CHECK(std::set<std::string>(tried.begin(), tried.end()).size() == peers.size());
    CHECK_FALSE(choice.choose(peers, tried, 3, kNow));
    CHECK_FALSE(choice.choose({}, {}, 3, kNow));
}

TEST_CASE("a peer that is cut off itself is not asked again for a while")
{
    TunnelPeerChoice choice;
    const TunnelPeers peers = peers_of(2);
    choice.record(peers[0].address, TunnelAnswer::PeerUnable, kNow);
    for (std::uint64_t random = 0; random < 20; ++random)
        CHECK(choice.choose(peers, {}, random, kNow)->address == peers[1].address);
    choice.record(peers[1].address, TunnelAnswer::NoAnswer, kNow);
    CHECK_FALSE(choice.choose(peers, {}, 1, kNow));
    CHECK(choice.choose(peers, {}, 1, kNow + TunnelPeerChoice::kUnableTime));
}

TEST_CASE("an older build that opens no tunnels is left alone")
{
    TunnelPeerChoice choice;
    const TunnelPeers peers = peers_of(1);
    choice.record(peers[0].address, TunnelAnswer::Unsupported, kNow);
    CHECK_FALSE(choice.choose(peers, {}, 1, kNow + 10 * kSecond));
    CHECK(choice.choose(peers, {}, 1, kNow + TunnelPeerChoice::kUnsupportedTime));
}

TEST_CASE("peers that an upstream refuses stay eligible")
{
    TunnelPeerChoice choice;
    const TunnelPeers peers = peers_of(1);
    choice.record(peers[0].address, TunnelAnswer::UpstreamRefused, kNow);
    CHECK(choice.choose(peers, {}, 1, kNow));
}

TEST_CASE("tunnels are spread over the peers that open them, by their capacity")
{
    TunnelPeerChoice choice;
    TunnelPeers peers = peers_of(100);
    peers[0].capacity = 4;
    for (std::uint64_t random = 1; random <= 700; ++random) {
        const auto peer = choice.choose(peers, {}, random * 0x9e3779b97f4a7c15ULL, kNow);
        REQUIRE(peer);
        choice.record(peer->address, TunnelAnswer::Opened, kNow);
    }
    CHECK(choice.open() == 700);
    std::set<std::string> used;
    int most = 0;
    for (const TunnelPeer& peer : peers) {
        int open = 0;
        for (int before = choice.open(); before > 0; before = choice.open()) {
            choice.record_closed(peer.address);
            if (choice.open() == before)
                break;
            ++open;
        }
        if (open > 0)
            used.insert(peer.address);
        most = std::max(most, open);
    }
    CHECK(used.size() >= TunnelPeerChoice::kWantedProven);
    CHECK(most <= 500);
    CHECK(choice.open() == 0);
}

TEST_CASE(
    "only peers that may forward the bytes are asked, also if others opened tunnels before")
{
    TunnelPeerChoice choice;
    TunnelPeers peers = peers_of(20);
    peers[7].hall = "b";
    choice.record(peers[3].address, TunnelAnswer::Opened, kNow);
    const auto allowed = [](const TunnelPeer& peer) { return peer.hall == "b"; };
    for (std::uint64_t random = 0; random < 40; ++random)
        CHECK(choice.choose(peers, {}, random, kNow, allowed)->address == peers[7].address);
    const std::vector<std::string> tried {peers[7].address};
    CHECK_FALSE(choice.choose(peers, tried, 1, kNow, allowed));
}

TEST_CASE("a peer that has left the list is not asked")
{
    TunnelPeerChoice choice;
    const TunnelPeers peers = peers_of(2);
    choice.record(peers[0].address, TunnelAnswer::Opened, kNow);
    const TunnelPeers left {peers[1]};
    for (std::uint64_t random = 0; random < 20; ++random)
        CHECK(choice.choose(left, {}, random, kNow)->address == peers[1].address);
}
