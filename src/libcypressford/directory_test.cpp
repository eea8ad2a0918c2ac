// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <map>
#include <set>

#include <doctest/doctest.h>

#include <cypressford/daemon_table.h>
#include <cypressford/directory.h>
#include <cypressford/directory_feed.h>
#include <cypressford/directory_view.h>

#include "text_dialect.h"

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

TEST_CASE("the next leaders of a set are those that take it over, one after the other")
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
                break; // this daemon itself comes in between
            CHECK(later.leader_of(set) == address);
            later.suspect(address);
        }
    }
    CHECK(table.next_leaders("engines", 2 * daemons).size() == daemons);
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

TEST_CASE("strong nodes lead, and weak ones when no strong one is left")
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
    "all daemons of a hall name the same reader, and another one when it is suspected")
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

/// `daemons` in five halls, three strong ones in each.
std::vector<DaemonRecord>
fleet(int daemons)
{
    constexpr int halls = 5;
    constexpr int strong = 15;
    std::vector<DaemonRecord> records;
    for (int i = 0; i < daemons; ++i) {
        records.push_back(daemon("d" + std::to_string(i), 1));
        records.back().hall = "h" + std::to_string(i % halls);
        records.back().feed_address = records.back().node + ":2";
        records.back().capacity = i < strong ? 0.5 : 0.12;
    }
    return records;
}

/// Whom each daemon of the fleet asks, by its node; those in `cut` can't be reached.
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

TEST_CASE("one daemon of the fleet reads the directory, others ask it in two steps")
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
        // Nobody asks one that asks somebody who asks back.
        const DirectorySource& asked = all.at(source.daemon->node);
        CHECK(asked.role != DirectoryRole::Follower);
    }
    // If it goes, all agree on another one.
    std::set<std::string> next;
    for (const auto& [node, source] : sources(records, roots))
        if (source.role == DirectoryRole::HallReader)
            next.insert(source.daemon->node);
    REQUIRE(next.size() == 1);
    CHECK_FALSE(roots.contains(*next.begin()));
}

TEST_CASE(
    "a fresh daemon takes no requests before it knows who leads and which requests are "
    "refused, if it can know")
{
    TextDialect dialect;
    const DirectoryPace pace(4 * kSecond, 1200 * kMillisecond);
    const auto list = [](DirectoryView& view, DirectoryTopic topic) {
        view.begin_listing(topic, 0);
        if (topic == DirectoryTopic::Configuration)
            view.take_listed(topic, {{"config", "1"}}, 0);
        view.end_listing(topic, 1, 0, 0);
    };
    DirectoryView view(dialect, pace, 0, "own", "hall", 400, 0);
    list(view, DirectoryTopic::Configuration);
    CHECK_FALSE(view.can_serve(kSecond));
    list(view, DirectoryTopic::Upstreams);
    CHECK_FALSE(view.can_serve(10 * kMillisecond));
    CHECK(view.can_serve(kSecond));
    list(view, DirectoryTopic::Daemons);
    CHECK_FALSE(view.can_serve(10 * kMillisecond));
    list(view, DirectoryTopic::Suspects);
    CHECK(view.can_serve(10 * kMillisecond));
}

TEST_CASE("a reader asks a directory that is away at the same pace all along")
{
    TextDialect dialect;
    const DirectoryPace pace(2 * kSecond, 1200 * kMillisecond);
    std::map<DirectoryRole, Micros> longest;
    const std::vector<DaemonRecord> records = fleet(40);
    for (const DaemonRecord& own : records) {
        DirectoryView view(dialect, pace, 0, own.node, own.hall, 400, 0);
        CHECK(view.retry_pause(9) < 500 * kMillisecond);
        for (const DirectoryTopic topic : DirectoryView::kTopics) {
            view.begin_listing(topic, 0);
            if (topic == DirectoryTopic::Configuration)
                view.take_listed(topic, {{"config", "1"}}, 0);
            view.end_listing(topic, 1, 0, 0);
        }
        for (const DaemonRecord& record : records)
            view.daemons().apply(record, 0);
        longest[view.source().role] = view.retry_pause(9);
    }
    REQUIRE(longest.size() == 3);
    CHECK(longest[DirectoryRole::Root] == 500 * kMillisecond);
    CHECK(longest[DirectoryRole::HallReader] == 500 * kMillisecond);
    CHECK(longest[DirectoryRole::Follower] == 2 * kSecond);
}

TEST_CASE("a configuration that is written again reaches who listed an older one")
{
    TextDialect dialect;
    const DirectoryPace pace(2 * kSecond, 1200 * kMillisecond);
    const auto list = [](DirectoryView& view, const char* version, Offset end) {
        view.begin_listing(DirectoryTopic::Configuration, 0);
        view.take_listed(DirectoryTopic::Configuration, {{"config", version}}, 0);
        view.end_listing(DirectoryTopic::Configuration, end, 0, 0);
    };
    // 7, then 3 written late, then 7 again.
    DirectoryView reader(dialect, pace, 0, "reader", "hall", 400, 0);
    list(reader, "7", 1);
    reader.take_page(DirectoryTopic::Configuration, 1, {{"config", "3"}}, 0, 0, 0);
    DirectoryView fresh(dialect, pace, 0, "fresh", "hall", 400, 0);
    list(fresh, "3", 2);
    CHECK(fresh.fold().configuration()->version == 3);
    reader.take_page(DirectoryTopic::Configuration, 2, {{"config", "7"}}, 0, 0, 0);
    fresh.take_answer(reader.answer_to(fresh.query(), 0), 0, 0);
    CHECK(fresh.fold().configuration()->version == 7);
}

TEST_CASE("a daemon that is alone reads the directory itself")
{
    const std::vector<DaemonRecord> alone = fleet(1);
    CHECK(sources(alone).begin()->second.role == DirectoryRole::Root);
    CHECK_FALSE(sources(alone).begin()->second.daemon);
}

TEST_CASE("daemons of a large hall are spread over several readers")
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
        const Micros pace = publish_pace(daemons, writes);
        CHECK(pace >= 3 * kSecond);
        const double per_second = daemons / (static_cast<double>(pace) / kSecond);
        CHECK(per_second <= 0.01 * writes + 1e-6);
        CHECK(silent_after(daemons, writes) >= 3 * pace);
    }
    // Each call to the directory has its price, and who leads or reads is found silent by
    // its answers long before its record is: a large fleet does not fill the directory
    // with records: 8 a second for 295 daemons.
    CHECK(publish_pace(9, 400) == 4500 * kMillisecond);
    CHECK(publish_pace(295, 3200) >= 36 * kSecond);
}

TEST_CASE("a history tells what changed behind an offset, or that it does not know")
{
    RecordHistory history;
    CHECK_FALSE(history.since(0));
    history.restart(100);
    CHECK_FALSE(history.since(99));
    CHECK(history.since(100)->empty());
    CHECK_FALSE(history.has_news(100));
    history.append(104, {"a", "1"});
    history.advance(110);
    history.append(112, {"b", ""});
    CHECK(history.next() == 113);
    CHECK(history.has_news(112));
    CHECK_FALSE(history.has_news(113));
    REQUIRE(history.since(100)->size() == 2);
    REQUIRE(history.since(105)->size() == 1);
    CHECK(history.since(105)->front().record.key == "b");
    // One that knows more than the reader is told nothing, not sent back.
    CHECK(history.since(500)->empty());
    history.restart(200);
    CHECK_FALSE(history.since(113));
}

TEST_CASE("a history forgets its oldest records and says so")
{
    RecordHistory history;
    history.restart(0);
    for (Offset at = 0; at < 5000; ++at)
        history.append(at, {"key", "value"});
    CHECK_FALSE(history.since(0));
    CHECK(history.since(4999)->size() == 1);
    RecordHistory large;
    large.restart(0);
    large.append(0, {"a", std::string(700'000, 'x')});
    large.append(1, {"b", std::string(700'000, 'x')});
    CHECK_FALSE(large.since(0));
    CHECK(large.since(1)->size() == 1);
}

TEST_CASE("a history keeps its newest record, however large")
{
    RecordHistory history;
    history.restart(0);
    history.append(0, {"a", "1"});
    history.append(1, {"b", std::string(3'000'000, 'x')});
    CHECK_FALSE(history.since(0));
    REQUIRE(history.since(1)->size() == 1);
    CHECK(history.since(1)->front().record.value.size() == 3'000'000);
}

TEST_CASE("of a state the newest record is enough for whoever knows an older one")
{
    RecordHistory history;
    history.restart(0);
    for (Offset at = 0; at < 5; ++at)
        history.append_state(at,
                             {"config", std::string(700'000, static_cast<char>('a' + at))});
    REQUIRE(history.since(0));
    REQUIRE(history.since(0)->size() == 1);
    CHECK(history.since(0)->front().offset == 4);
    CHECK(history.value_of(history.state_hash()) == std::string(700'000, 'e'));
    // One that took the place of nothing here may still be news elsewhere.
    history.append(5, {"config", "older"});
    REQUIRE(history.since(0)->size() == 2);
    CHECK(history.value_of(history.state_hash()) == std::string(700'000, 'e'));
    history.restart(9);
    CHECK(history.state_hash() == 0);
}

/// A daemon's history after these configurations, from offset 0 on.
RecordHistory
history_of(const std::vector<std::string>& values)
{
    RecordHistory history;
    history.restart(0);
    for (std::size_t at = 0; at < values.size(); ++at)
        history.append_state(static_cast<Offset>(at), {"config", values[at]});
    return history;
}

TEST_CASE("a large value is sent as what differs from the one that the asker has")
{
    std::string old_value;
    for (int i = 0; i < 5000; ++i)
        old_value += "route " + std::to_string(i * 7919 % 100003) + "\n";
    const std::string new_value = old_value + "one route more\n";
    const RecordHistory reader = history_of({old_value, new_value});
    const OffsetRecord entry = reader.since(1)->front();
    RecordPacker packer;
    SUBCASE("with the same base")
    {
        const RecordHistory asker = history_of({old_value});
        OffsetRecord sent = packer.pack(entry, reader, asker.state_hash());
        CHECK(sent.packed);
        CHECK(sent.record.value.size() < new_value.size() / 100);
        REQUIRE(RecordPacker::unpack(sent, asker));
        CHECK(sent.record.value == new_value);
        CHECK_FALSE(sent.packed);
    }
    SUBCASE("with none, or one that the reader does not have")
    {
        for (const RecordHistory& asker : {RecordHistory(), history_of({"foreign"})}) {
            OffsetRecord sent = packer.pack(entry, reader, asker.state_hash());
            CHECK(sent.base == 0);
            CHECK(sent.record.value.size() < new_value.size());
            REQUIRE(RecordPacker::unpack(sent, asker));
            CHECK(sent.record.value == new_value);
        }
    }
    SUBCASE("to an asker that has gone on meanwhile")
    {
        const RecordHistory asked = history_of({old_value});
        OffsetRecord sent = packer.pack(entry, reader, asked.state_hash());
        OffsetRecord again = sent;
        CHECK(RecordPacker::unpack(sent, history_of({old_value, "next"})));
        CHECK_FALSE(RecordPacker::unpack(again, history_of({"next", "and next"})));
    }
    SUBCASE("small ones go as they are")
    {
        const RecordHistory small = history_of({"a", "b"});
        const OffsetRecord sent
            = packer.pack(small.since(1)->front(), small, history_of({"a"}).state_hash());
        CHECK_FALSE(sent.packed);
        CHECK(sent.record.value == "b");
    }
}

TEST_CASE("large records of two topics that have the same offset keep apart")
{
    const TextDialect dialect;
    const DirectoryPace pace(2 * kSecond, kSecond);
    DirectoryView reader(dialect, pace, kGrace, "reader", "hall", 400, 0);
    DirectoryView follower(dialect, pace, kGrace, "follower", "hall", 400, 0);
    for (DirectoryView* view : {&reader, &follower})
        for (const DirectoryTopic topic : DirectoryView::kTopics)
            view->end_listing(topic, 0, 0, 0);
    const std::string filler(10'000, ' ');
    reader.take_page(DirectoryTopic::Configuration, 0, {{"config", "7" + filler}}, 0, 0, 0);
    reader.take_page(DirectoryTopic::Upstreams, 0, {{"a", "3" + filler + "!"}}, 0, 0, 0);
    const FeedAnswer answer = reader.answer_to(follower.query(), 0);
    REQUIRE(answer.topics.at(0).records.size() == 1);
    CHECK(answer.topics[0].records[0].packed);
    follower.take_answer(answer, 0, 0);
    REQUIRE(follower.fold().configuration());
    CHECK(follower.fold().configuration()->version == 7);
    const auto members = follower.fold().members();
    REQUIRE(members.size() == 1);
    CHECK(members[0].leaving);
}

TEST_CASE("a daemon that can't unpack is sent whole values")
{
    const TextDialect dialect;
    const DirectoryPace pace(2 * kSecond, kSecond);
    DirectoryView reader(dialect, pace, kGrace, "reader", "hall", 400, 0);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        reader.end_listing(topic, 0, 0, 0);
    const std::string value = "7" + std::string(10'000, ' ');
    reader.take_page(DirectoryTopic::Configuration, 0, {{"config", value}}, 0, 0, 0);
    FeedQuery query;
    query.cursors = {{DirectoryTopic::Configuration, 0}};
    const FeedAnswer answer = reader.answer_to(query, 0);
    REQUIRE(answer.topics.at(0).records.size() == 1);
    CHECK_FALSE(answer.topics[0].records[0].packed);
    CHECK(answer.topics[0].records[0].record.value == value);
}

TEST_CASE("what goes through a reader is in force within the bound")
{
    for (const Micros bound : {1000, 2000, 3000, 4000, 10000}) {
        const DirectoryPace pace(bound * kMillisecond, 1200 * kMillisecond);
        // A reader's knowledge is as old as its question; an answer may be held.
        const Micros of_root = std::max(pace.read_wait, pace.read_pause);
        const Micros of_reader = of_root + pace.reader_hold;
        CHECK(of_reader < pace.reader_stale_after);
        CHECK(of_reader + pace.hold < pace.stale_after);
        // A reader that loses the root reader renews what it knows before its followers
        // ask the directory themselves.
        CHECK(pace.reader_stale_after + pace.hold < pace.stale_after);
        CHECK(pace.stale_after < bound * kMillisecond);
        CHECK(pace.stale_after <= pace.outage);
    }
}

TEST_CASE("questions and answers about the directory survive their encoding")
{
    FeedQuery query;
    query.cursors = {{DirectoryTopic::Upstreams, 77, 12345}, {DirectoryTopic::Daemons, 3}};
    query.wait = 250 * kMillisecond;
    query.takes_packed = true;
    const auto asked = decode_feed_query(encode(query));
    REQUIRE(asked);
    REQUIRE(asked->cursors.size() == 2);
    CHECK(asked->cursors[0].topic == DirectoryTopic::Upstreams);
    CHECK(asked->cursors[0].from == 77);
    CHECK(asked->cursors[0].base == 12345);
    CHECK(asked->takes_packed);
    CHECK(asked->wait == 250 * kMillisecond);
    FeedAnswer answer;
    answer.held = 20 * kMillisecond;
    answer.topics.push_back({DirectoryTopic::Configuration,
                             true,
                             90,
                             400 * kMillisecond,
                             {{88, {"key", std::string("\0\xff", 2)}, true, 1ULL << 63}}});
    const auto told = decode_feed_answer(encode(answer));
    REQUIRE(told);
    REQUIRE(told->topics.size() == 1);
    CHECK(told->topics[0].covered);
    CHECK(told->topics[0].next == 90);
    CHECK(told->topics[0].age == 400 * kMillisecond);
    CHECK(told->topics[0].records.at(0).offset == 88);
    CHECK(told->topics[0].records.at(0).record.value == std::string("\0\xff", 2));
    CHECK(told->topics[0].records.at(0).packed);
    CHECK(told->topics[0].records.at(0).base == 1ULL << 63);
    CHECK_FALSE(decode_feed_answer("not an answer"));
}

TEST_CASE("a record that is written again behind the end of its upstream changes nothing")
{
    DirectoryFold fold(kGrace);
    fold.apply(record("a", 3));
    fold.drop("a", 0, false);
    CHECK_FALSE(fold.apply(record("a", 3)));
    fold.expire(0);
    CHECK(fold.members().empty());
}

TEST_CASE("only what is news to others changes the fold")
{
    DirectoryFold fold(kGrace);
    CHECK(fold.apply(record("a", 1)));
    CHECK_FALSE(fold.apply(record("a", 2)));
    CHECK(fold.apply(record("a", 3, true)));
    CHECK(fold.apply(record("b", 1)));
    fold.drop("b", 0, true);
    // It comes back within its grace.
    CHECK(fold.apply(record("b", 2)));
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
