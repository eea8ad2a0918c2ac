// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0
#include <limits>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include <cypressford/daemon_table.h>

#include "test_daemons.h"

namespace cypressford {
namespace {

TEST_CASE("all daemons choose the same leader, and only its sets move when it is removed")
{
    constexpr Micros silent = 5 * kSecond;
    std::vector<DaemonTable> tables;
    for (const char* own : {"a", "b", "c"}) {
        DaemonTable table(own, silent);
        for (const char* node : {"a", "b", "c"})
            table.apply(daemon(node, 1), 0);
        tables.push_back(std::move(table));
    }
    int moved = 0;
    for (int i = 0; i < 60; ++i) {
        const std::string set = "set" + std::to_string(i);
        const std::string of_b = tables[1].leader_of(set);
        const std::string of_c = tables[2].leader_of(set);
        const std::string leader = of_b.empty() ? "b:1" : of_b;
        CHECK(leader == (of_c.empty() ? "c:1" : of_c));
        DaemonTable without_a = tables[1];
        without_a.suspect("a:1");
        const std::string next = without_a.leader_of(set);
        if (leader != "a:1")
            CHECK((next.empty() ? "b:1" : next) == leader);
        else
            ++moved;
    }
    CHECK(moved > 5);
}

TEST_CASE(
    "peers for tunnels are the other daemons that live, in the order of their addresses")
{
    DaemonTable table("b", 5 * kSecond);
    for (const char* node : {"d", "a", "c", "b"})
        table.apply(daemon(node, 1), 0);
    const auto addresses = [&table] {
        std::string all;
        for (const TunnelPeer& peer : table.tunnel_peers())
            all += peer.address + " ";
        return all;
    };
    CHECK(addresses() == "a:1 c:1 d:1 ");
    const std::uint64_t revision = table.peers_revision();
    DaemonRecord again = daemon("c", 1);
    again.sequence += 1;
    table.apply(again, 1);
    CHECK(table.peers_revision() == revision);
    again.sequence += 1;
    again.stopping = true;
    table.apply(again, 2);
    CHECK(table.peers_revision() > revision);
    CHECK(addresses() == "a:1 d:1 ");
    table.suspect("a:1");
    CHECK(addresses() == "d:1 ");
}

TEST_CASE("daemons that know the same records have different places among them")
{
    std::set<int> places;
    for (const char* own : {"a", "b", "c", "d"}) {
        DaemonTable table(own, 5 * kSecond);
        for (const char* node : {"d", "a", "c", "b"})
            table.apply(daemon(node, 1), 0);
        places.insert(table.own_index());
    }
    CHECK(places == std::set<int> {0, 1, 2, 3});
}

TEST_CASE("next_leaders() lists the daemons in the order in which they take over a set")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    constexpr int daemons = 300;
    for (int i = 0; i < daemons; ++i)
        table.apply(daemon("d" + std::to_string(i), 1), 0);
    for (const char* set : {"engines", "encoders", "rerankers"}) {
        const std::vector<std::string> next = table.next_leaders(set, 3);
        REQUIRE(next.size() == 3);
        DaemonTable later = table;
        for (const std::string& address : next) {
            if (later.leader_of(set).empty())
                break; // this daemon itself is the next leader
            CHECK(later.leader_of(set) == address);
            later.suspect(address);
        }
    }
    CHECK(table.next_leaders("engines", 2 * daemons).size() == daemons);
}

TEST_CASE("a daemon is not alive once expired, stopping or dropped, and leads no set if "
          "suspected")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    table.apply(daemon("other", 1), 0);
    CHECK(table.alive() == 2);
    table.on_directory_read(6 * kSecond);
    CHECK(table.alive() == 1);
    CHECK(table.apply(daemon("other", 2), 6 * kSecond));
    CHECK(table.alive() == 2);
    // An old record that is read again does not count as a keepalive.
    CHECK_FALSE(table.apply(daemon("other", 2), 12 * kSecond));
    table.on_directory_read(12 * kSecond);
    CHECK(table.alive() == 1);
    CHECK(table.apply(daemon("other", 1, 2), 12 * kSecond));
    CHECK(table.suspect("other:1"));
    CHECK_FALSE(table.suspect("other:1"));
    for (int i = 0; i < 20; ++i)
        CHECK(table.leader_of("set" + std::to_string(i)).empty());
    CHECK(table.is_suspected("other:1"));
    table.on_directory_read(18 * kSecond);
    CHECK_FALSE(table.is_suspected("other:1"));
    table.apply(daemon("other", 2, 2), 18 * kSecond);
    table.trust("other:1");
    CHECK(table.alive() == 2);
    table.drop("other");
    CHECK(table.alive() == 1);
    table.apply(daemon("other", 3, 2), 18 * kSecond);
    DaemonRecord stopping = daemon("other", 4, 2);
    stopping.stopping = true;
    table.apply(stopping, 12 * kSecond);
    CHECK(table.alive() == 1);
}

TEST_CASE(
    "no record expires during a directory outage, and an answer counts as a keepalive")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    table.apply(daemon("other", 1), 0);
    table.apply(daemon("third", 1), 0);
    table.on_directory_read(0);
    // Nothing is read for a minute, and other daemons can't write either.
    CHECK(table.alive() == 3);
    table.record_response("other:1", 58 * kSecond);
    table.on_directory_read(60 * kSecond);
    CHECK(table.alive() == 2);
}

TEST_CASE("strong nodes lead, and weak ones if no strong one is left")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    for (const char* node : {"big", "weak1", "weak2"}) {
        DaemonRecord record = daemon(node, 1);
        record.capacity = node == std::string("big") ? 4 : 1;
        table.apply(record, 0);
    }
    for (int i = 0; i < 30; ++i)
        CHECK(table.leader_of("set" + std::to_string(i)) == "big:1");
    table.suspect("big:1");
    std::set<std::string> leaders;
    for (int i = 0; i < 60; ++i)
        leaders.insert(table.leader_of("set" + std::to_string(i)));
    CHECK(leaders.size() == 3);
}

TEST_CASE(
    "all daemons of a hall choose the same reader, and another one when it is suspected")
{
    std::vector<DaemonTable> tables;
    for (const char* own : {"a", "b", "c"}) {
        DaemonTable table(own, 5 * kSecond);
        for (const char* node : {"a", "b", "c", "far", "closed"}) {
            DaemonRecord record = daemon(node, 1);
            if (node == std::string("far"))
                record.hall = "other";
            if (node != std::string("closed"))
                record.feed_address = std::string(node) + ":2";
            table.apply(record, 0);
        }
        tables.push_back(std::move(table));
    }
    const auto name_at = [&](int i) {
        const auto reader = tables[static_cast<std::size_t>(i)].reader_of("hall");
        return reader ? reader->node : std::string(1, static_cast<char>('a' + i));
    };
    const std::string reader = name_at(0);
    CHECK(name_at(1) == reader);
    CHECK(name_at(2) == reader);
    for (DaemonTable& table : tables)
        table.suspect(reader + ":1");
    CHECK(name_at(0) != reader);
    CHECK(name_at(0) == name_at(1));
}

/// The source of each daemon of the fleet, by its node; those in `cut` are unreachable.
std::map<std::string, DirectorySource>
sources(const std::vector<DaemonRecord>& records, const std::set<std::string>& cut = {})
{
    std::map<std::string, DirectorySource> result;
    for (const DaemonRecord& own : records) {
        DaemonTable table(own.node, 5 * kSecond);
        for (const DaemonRecord& record : records)
            table.apply(record, 0);
        for (const std::string& node : cut)
            table.suspect(node + ":1");
        result[own.node] = table.source_for(own.hall);
    }
    return result;
}

TEST_CASE("one daemon of the fleet reads the directory, the others query it in two steps")
{
    const std::vector<DaemonRecord> records = fleet(295);
    std::map<std::string, DirectorySource> all = sources(records);
    std::set<std::string> roots;
    std::set<std::string> readers;
    for (const auto& [node, source] : all) {
        if (source.role == DirectoryRole::Root)
            roots.insert(node);
        if (source.role == DirectoryRole::HallReader)
            readers.insert(node);
    }
    REQUIRE(roots.size() == 1);
    CHECK(readers.size() >= 5);
    CHECK(readers.size() <= 10);
    for (const auto& [node, source] : all) {
        if (source.role == DirectoryRole::HallReader)
            CHECK(source.daemon->node == *roots.begin());
        if (source.role != DirectoryRole::Follower)
            continue;
        // There are no cycles: a follower's source is never a follower.
        const DirectorySource& next = all.at(source.daemon->node);
        CHECK(next.role != DirectoryRole::Follower);
    }
    // If the root reader is unreachable, all others agree on another one.
    std::set<std::string> new_roots;
    for (const auto& [node, source] : sources(records, roots))
        if (source.role == DirectoryRole::HallReader)
            new_roots.insert(source.daemon->node);
    REQUIRE(new_roots.size() == 1);
    CHECK_FALSE(roots.contains(*new_roots.begin()));
}

TEST_CASE("a daemon without others reads the directory itself")
{
    const std::vector<DaemonRecord> alone = fleet(1);
    CHECK(sources(alone).begin()->second.role == DirectoryRole::Root);
    CHECK_FALSE(sources(alone).begin()->second.daemon);
}

TEST_CASE("daemons of a large hall are divided among several readers")
{
    std::map<std::string, int> followers;
    constexpr int daemons = 100;
    std::vector<DaemonRecord> records;
    for (int i = 0; i < daemons; ++i) {
        records.push_back(daemon("d" + std::to_string(i), 1));
        records.back().feed_address = records.back().node + ":2";
    }
    for (const DaemonRecord& own : records) {
        DaemonTable table(own.node, 5 * kSecond);
        for (const DaemonRecord& record : records)
            table.apply(record, 0);
        const auto reader = table.reader_of("hall");
        ++followers[reader ? reader->node : own.node];
    }
    CHECK(followers.size() >= 3);
    for (const auto& [node, count] : followers)
        CHECK(count <= 50);
}

TEST_CASE("records of many daemons take a bounded part of the directory's writes")
{
    for (const int daemons : {3, 9, 86, 710, 5000}) {
        const double writes = 400;
        const Micros interval = publish_interval(daemons, writes);
        CHECK(interval >= 3 * kSecond);
        const double per_second = daemons / (static_cast<double>(interval) / kSecond);
        CHECK(per_second <= 0.01 * writes + 1e-6);
        CHECK(record_timeout(daemons, writes) >= 3 * interval);
    }
    // Each call to the directory costs its time, and a leader or reader that fails is
    // detected by missing answers long before its record expires.  A large fleet therefore
    // writes few records: 8 a second for 295 daemons.
    CHECK(publish_interval(9, 400) == 4500 * kMillisecond);
    CHECK(publish_interval(295, 3200) >= 36 * kSecond);
}

TEST_CASE("a daemon's record can be decoded after encoding")
{
    const DaemonRecord before = daemon("n", 7, 42);
    const auto after = decode_daemon(encode(before));
    REQUIRE(after);
    CHECK(after->node == "n");
    CHECK(after->incarnation == 42);
    CHECK(after->sequence == 7);
    CHECK_FALSE(decode_daemon("not a record"));
    DaemonRecord odd = before;
    for (const double capacity : {std::numeric_limits<double>::quiet_NaN(), -1.0}) {
        odd.capacity = capacity;
        CHECK(decode_daemon(encode(odd))->capacity == 0);
    }
    odd.capacity = std::numeric_limits<double>::infinity();
    CHECK(decode_daemon(encode(odd))->capacity == 1e6);
}

} // namespace
} // namespace cypressford
