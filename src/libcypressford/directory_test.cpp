// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include <cypressford/daemon_table.h>
#include <cypressford/directory.h>

namespace cypressford {
namespace {

constexpr Micros kGrace = 1200 * kMillisecond;

Bundle
version(std::uint64_t number)
{
    Bundle bundle;
    bundle.version = number;
    return bundle;
}

UpstreamRecord
record(const std::string& identity, std::uint64_t sequence, bool leaving = false)
{
    UpstreamRecord result;
    result.member = {identity, "set", "10.0.0.1:80", "hall", 1, leaving};
    result.sequence = sequence;
    return result;
}

TEST_CASE("a configuration never goes back")
{
    DirectoryFold fold(kGrace);
    CHECK(fold.offer_configuration(version(4)));
    CHECK_FALSE(fold.offer_configuration(version(4)));
    CHECK_FALSE(fold.offer_configuration(version(3)));
    CHECK(fold.configuration()->version == 4);
    CHECK(fold.offer_configuration(version(9)));
    CHECK(fold.configuration()->version == 9);
}

TEST_CASE("an upstream that is leaving does not come back by a late record")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 5));
    fold.apply(record("a", 7, true));
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().leaving);
    fold.apply(record("a", 6));
    CHECK(fold.members().front().leaving);
    // Nor does a newer record of the same run undo it.
    fold.apply(record("a", 8));
    CHECK(fold.members().front().leaving);
}

TEST_CASE("a dropped upstream stays away until a newer record of its own")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 5));
    fold.drop("a", 10, false);
    fold.expire(10);
    CHECK(fold.members().empty());
    fold.apply(record("a", 5));
    CHECK(fold.members().empty());
    fold.apply(record("a", 4));
    CHECK(fold.members().empty());
    fold.apply(record("a", 6));
    CHECK(fold.members().size() == 1);
}

TEST_CASE("what vanished in an outage is believed in for the grace, not longer")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 5));
    fold.apply(record("b", 5, true));
    fold.drop("a", 0, true);
    fold.drop("b", 0, true);
    fold.expire(0);
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().identity == "a");
    fold.expire(kGrace - 1);
    CHECK(fold.members().size() == 1);
    fold.expire(kGrace);
    CHECK(fold.members().empty());
}

TEST_CASE("a record within the grace keeps an upstream")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 5));
    fold.drop("a", 0, true);
    fold.apply(record("a", 6));
    fold.expire(2 * kGrace);
    CHECK(fold.members().size() == 1);
}

TEST_CASE("a listing drops what it does not name")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 1));
    fold.apply(record("b", 1));
    fold.begin_listing();
    fold.apply(record("b", 1));
    fold.end_listing(0, false);
    fold.expire(0);
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().identity == "b");
}

TEST_CASE("revision counts changes only, not signs of life")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 1));
    const auto before = fold.revision();
    fold.apply(record("a", 2));
    CHECK(fold.revision() == before);
    fold.apply(record("a", 3, true));
    CHECK(fold.revision() == before + 1);
}

DaemonRecord
daemon(const std::string& node, std::uint64_t sequence, std::uint64_t incarnation = 1)
{
    DaemonRecord result;
    result.node = node;
    result.hall = "hall";
    result.peers_address = node + ":1";
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

TEST_CASE("all daemons name the same leader, and only its sets move when it goes")
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

TEST_CASE("a daemon is gone when it is silent, stopping or suspected")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    table.apply(daemon("other", 1), 0);
    CHECK(table.alive() == 2);
    table.note_read(6 * kSecond);
    CHECK(table.alive() == 1);
    CHECK(table.apply(daemon("other", 2), 6 * kSecond));
    CHECK(table.alive() == 2);
    // An old record, read once more, is no sign of life.
    CHECK_FALSE(table.apply(daemon("other", 2), 12 * kSecond));
    table.note_read(12 * kSecond);
    CHECK(table.alive() == 1);
    CHECK(table.apply(daemon("other", 1, 2), 12 * kSecond));
    CHECK(table.suspect("other:1"));
    CHECK_FALSE(table.suspect("other:1"));
    for (int i = 0; i < 20; ++i)
        CHECK(table.leader_of("set" + std::to_string(i)).empty());
    CHECK(table.is_suspected("other:1"));
    table.note_read(18 * kSecond);
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

TEST_CASE("an outage of the directory silences nobody, and an answer is a sign of life")
{
    DaemonTable table("own", 5 * kSecond);
    table.apply(daemon("own", 1), 0);
    table.apply(daemon("other", 1), 0);
    table.apply(daemon("third", 1), 0);
    table.note_read(0);
    // Nothing is read for a minute; others can write nothing either.
    CHECK(table.alive() == 3);
    table.note_answer("other:1", 58 * kSecond);
    table.note_read(60 * kSecond);
    CHECK(table.alive() == 2);
}

TEST_CASE("a daemon's record survives its encoding")
{
    const DaemonRecord before = daemon("n", 7, 42);
    const auto after = decode_daemon(encode(before));
    REQUIRE(after);
    CHECK(after->node == "n");
    CHECK(after->incarnation == 42);
    CHECK(after->sequence == 7);
    CHECK_FALSE(decode_daemon("not a record"));
}

} // namespace
} // namespace cypressford
