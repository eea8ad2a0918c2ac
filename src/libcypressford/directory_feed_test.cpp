// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <cypressford/directory_feed.h>
#include <cypressford/directory_view.h>

#include "text_dialect.h"

namespace cypressford {
namespace {

constexpr Micros kGrace = 1200 * kMillisecond;

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

TEST_CASE("whoever asks a reader hears at once which daemons don't answer it")
{
    const TextDialect dialect;
    const DirectoryPace pace(2 * kSecond, kSecond);
    DirectoryView reader(dialect, pace, kGrace, "reader", "hall", 400, 0);
    DirectoryView follower(dialect, pace, kGrace, "follower", "hall", 400, 0);
    for (DirectoryView* view : {&reader, &follower})
        for (const DirectoryTopic topic : DirectoryView::kTopics)
            view->end_listing(topic, 0, 0, 0);
    FeedQuery query = follower.query();
    query.takes_unreachable = true;
    CHECK_FALSE(reader.must_answer(query));
    UnreachablePeers& peers = reader.unreachable();
    CHECK(peers.begin_check("10.0.0.1:1"));
    CHECK_FALSE(peers.begin_check("10.0.0.1:1"));
    CHECK_FALSE(reader.must_answer(query));
    CHECK(peers.record_check("10.0.0.1:1", false));
    CHECK_FALSE(peers.record_check("10.0.0.1:1", false));
    CHECK(reader.must_answer(query));
    const auto told = decode_feed_answer(encode(reader.answer_to(query, 0)));
    REQUIRE(told);
    REQUIRE(told->unreachable);
    CHECK(told->unreachable->addresses == std::set<std::string> {"10.0.0.1:1"});
    // It is told once; a daemon of an earlier version, which does not say what it has,
    // never.
    query.unreachable_revision = told->unreachable->revision;
    CHECK_FALSE(reader.must_answer(query));
    CHECK_FALSE(reader.answer_to(query, 0).unreachable);
    CHECK_FALSE(reader.must_answer(follower.query()));
    CHECK(peers.record_check("10.0.0.1:1", true));
    CHECK(reader.must_answer(query));
    CHECK(reader.answer_to(query, 0).unreachable->addresses.empty());
    CHECK(peers.begin_check("10.0.0.1:1"));
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
    query.cursors = {{DirectoryTopic::Upstreams, 77, 12345},
                     {DirectoryTopic::Daemons, FeedQuery::kNothing, 0, true}};
    query.wait = 250 * kMillisecond;
    query.takes_packed = true;
    query.lost = {"10.0.0.1:1"};
    query.takes_unreachable = true;
    query.unreachable_revision = 7;
    const auto asked = decode_feed_query(encode(query));
    REQUIRE(asked);
    REQUIRE(asked->cursors.size() == 2);
    CHECK(asked->cursors[0].topic == DirectoryTopic::Upstreams);
    CHECK(asked->cursors[0].from == 77);
    CHECK(asked->cursors[0].base == 12345);
    CHECK_FALSE(asked->cursors[0].takes_listing);
    CHECK(asked->cursors[1].from == FeedQuery::kNothing);
    CHECK(asked->cursors[1].takes_listing);
    CHECK(asked->takes_packed);
    CHECK(asked->wait == 250 * kMillisecond);
    CHECK(asked->lost == query.lost);
    CHECK(asked->takes_unreachable);
    CHECK(asked->unreachable_revision == 7);
    FeedAnswer answer;
    answer.held = 20 * kMillisecond;
    const OffsetRecord record {88, {"key", std::string("\0\xff", 2)}, true, 1ULL << 63};
    answer.topics.push_back({.topic = DirectoryTopic::Configuration,
                             .covered = true,
                             .pending = true,
                             .next = 90,
                             .age = 400 * kMillisecond,
                             .records = {record},
                             .listing = {pack_listing({record}), pack_listing({})},
                             .listing_end = 80});
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
    CHECK(told->topics[0].pending);
    CHECK(told->topics[0].listing_end == 80);
    REQUIRE(told->topics[0].listing.size() == 2);
    const auto listed = unpack_listing(told->topics[0].listing[0]);
    REQUIRE(listed);
    CHECK(listed->at(0).offset == 88);
    CHECK(listed->at(0).record.value == std::string("\0\xff", 2));
    CHECK(unpack_listing(told->topics[0].listing[1])->empty());
    CHECK_FALSE(unpack_listing("not a part of a listing"));
    CHECK_FALSE(decode_feed_answer("not an answer"));
}

} // namespace
} // namespace cypressford
