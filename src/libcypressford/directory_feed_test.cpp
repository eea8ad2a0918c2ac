// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <cypressford/directory_feed.h>
#include <cypressford/directory_view.h>

#include "text_dialect.h"

namespace cypressford {
namespace {

constexpr Micros kGracePeriod = 1200 * kMillisecond;

TEST_CASE("a history returns the changes from an offset on, or nothing if it lacks some")
{
    RecordHistory history;
    CHECK_FALSE(history.since(0));
    history.restart(100);
    CHECK_FALSE(history.since(99));
    CHECK(history.since(100)->empty());
    CHECK_FALSE(history.has_changes(100));
    history.append(104, {"a", "1"});
    history.advance(110);
    history.append(112, {"b", ""});
    CHECK(history.next() == 113);
    CHECK(history.has_changes(112));
    CHECK_FALSE(history.has_changes(113));
    REQUIRE(history.since(100)->size() == 2);
    REQUIRE(history.since(105)->size() == 1);
    CHECK(history.since(105)->front().record.key == "b");
    // A cursor ahead of the reader gets no records and is not reset.
    CHECK(history.since(500)->empty());
    history.restart(200);
    CHECK_FALSE(history.since(113));
}

TEST_CASE("a history evicts its oldest records and no longer covers them")
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

TEST_CASE("of a state, the newest record is enough for a daemon that has an older one")
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
    // A record that replaced nothing here may still change the state of other daemons.
    history.append(5, {"config", "older"});
    REQUIRE(history.since(0)->size() == 2);
    CHECK(history.value_of(history.state_hash()) == std::string(700'000, 'e'));
    history.restart(9);
    CHECK(history.state_hash() == 0);
}

/// History of a daemon that received these configurations, from offset 0 on.
RecordHistory
history_of(const std::vector<std::string>& values)
{
    RecordHistory history;
    history.restart(0);
    for (std::size_t at = 0; at < values.size(); ++at)
        history.append_state(static_cast<Offset>(at), {"config", values[at]});
    return history;
}

TEST_CASE("a large value is sent as its difference from the requester's value")
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
        const RecordHistory requester = history_of({old_value});
        OffsetRecord sent = packer.pack(entry, reader, requester.state_hash());
        CHECK(sent.packed);
        CHECK(sent.record.value.size() < new_value.size() / 100);
        REQUIRE(RecordPacker::unpack(sent, requester));
        CHECK(sent.record.value == new_value);
        CHECK_FALSE(sent.packed);
    }
    SUBCASE("with no base, or one that the reader does not have")
    {
        for (const RecordHistory& requester : {RecordHistory(), history_of({"foreign"})}) {
            OffsetRecord sent = packer.pack(entry, reader, requester.state_hash());
            CHECK(sent.base == 0);
            CHECK(sent.record.value.size() < new_value.size());
            REQUIRE(RecordPacker::unpack(sent, requester));
            CHECK(sent.record.value == new_value);
        }
    }
    SUBCASE("to a requester that has received newer values meanwhile")
    {
        const RecordHistory at_request = history_of({old_value});
        OffsetRecord sent = packer.pack(entry, reader, at_request.state_hash());
        OffsetRecord again = sent;
        CHECK(RecordPacker::unpack(sent, history_of({old_value, "next"})));
        CHECK_FALSE(RecordPacker::unpack(again, history_of({"next", "and next"})));
    }
    SUBCASE("small values are sent uncompressed")
    {
        const RecordHistory small = history_of({"a", "b"});
        const OffsetRecord sent
            = packer.pack(small.since(1)->front(), small, history_of({"a"}).state_hash());
        CHECK_FALSE(sent.packed);
        CHECK(sent.record.value == "b");
    }
}

TEST_CASE("compressed records of two topics at the same offset are not confused")
{
    const TextDialect dialect;
    const DirectoryTiming timing(2 * kSecond, kSecond);
    DirectoryView reader(dialect, timing, kGracePeriod, "reader", "hall", 400, 0);
    DirectoryView follower(dialect, timing, kGracePeriod, "follower", "hall", 400, 0);
    for (DirectoryView* view : {&reader, &follower})
        for (const DirectoryTopic topic : DirectoryView::kTopics)
            view->end_listing(topic, 0, 0, 0);
    const std::string filler(10'000, ' ');
    reader.apply_page(DirectoryTopic::Configuration, 0, {{"config", "7" + filler}}, 0, 0,
                      0);
    reader.apply_page(DirectoryTopic::Upstreams, 0, {{"a", "3" + filler + "!"}}, 0, 0, 0);
    const FeedAnswer answer = reader.answer_to(follower.query(), 0);
    REQUIRE(answer.topics.at(0).records.size() == 1);
    CHECK(answer.topics[0].records[0].packed);
    follower.apply_answer(answer, 0, 0);
    REQUIRE(follower.fold().configuration());
    CHECK(follower.fold().configuration()->version == 7);
    const auto members = follower.fold().members();
    REQUIRE(members.size() == 1);
    CHECK(members[0].leaving);
}

TEST_CASE("a daemon that does not accept compressed values is sent uncompressed ones")
{
    const TextDialect dialect;
    const DirectoryTiming timing(2 * kSecond, kSecond);
    DirectoryView reader(dialect, timing, kGracePeriod, "reader", "hall", 400, 0);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        reader.end_listing(topic, 0, 0, 0);
    const std::string value = "7" + std::string(10'000, ' ');
    reader.apply_page(DirectoryTopic::Configuration, 0, {{"config", value}}, 0, 0, 0);
    FeedQuery query;
    query.cursors = {{DirectoryTopic::Configuration, 0}};
    const FeedAnswer answer = reader.answer_to(query, 0);
    REQUIRE(answer.topics.at(0).records.size() == 1);
    CHECK_FALSE(answer.topics[0].records[0].packed);
    CHECK(answer.topics[0].records[0].record.value == value);
}

TEST_CASE("a reader reports at once which daemons are unreachable for it")
{
    const TextDialect dialect;
    const DirectoryTiming timing(2 * kSecond, kSecond);
    DirectoryView reader(dialect, timing, kGracePeriod, "reader", "hall", 400, 0);
    DirectoryView follower(dialect, timing, kGracePeriod, "follower", "hall", 400, 0);
    for (DirectoryView* view : {&reader, &follower})
        for (const DirectoryTopic topic : DirectoryView::kTopics)
            view->end_listing(topic, 0, 0, 0);
    FeedQuery query = follower.query();
    query.accepts_unreachable_list = true;
    CHECK_FALSE(reader.must_answer(query));
    UnreachablePeers& peers = reader.unreachable();
    CHECK(peers.begin_check("10.0.0.1:1"));
    CHECK_FALSE(peers.begin_check("10.0.0.1:1"));
    CHECK_FALSE(reader.must_answer(query));
    CHECK(peers.record_check("10.0.0.1:1", false));
    CHECK_FALSE(peers.record_check("10.0.0.1:1", false));
    CHECK(reader.must_answer(query));
    const auto answer = decode_feed_answer(encode(reader.answer_to(query, 0)));
    REQUIRE(answer);
    REQUIRE(answer->unreachable);
    CHECK(answer->unreachable->addresses == std::set<std::string> {"10.0.0.1:1"});
    // The list is sent once, and never to a daemon of an earlier version, which does not
    // send the revision that it has.
    query.unreachable_revision = answer->unreachable->revision;
    CHECK_FALSE(reader.must_answer(query));
    CHECK_FALSE(reader.answer_to(query, 0).unreachable);
    CHECK_FALSE(reader.must_answer(follower.query()));
    CHECK(peers.record_check("10.0.0.1:1", true));
    CHECK(reader.must_answer(query));
    CHECK(reader.answer_to(query, 0).unreachable->addresses.empty());
    CHECK(peers.begin_check("10.0.0.1:1"));
}

TEST_CASE("a change that is passed on by readers is in force within the bound")
{
    for (const Micros bound : {1000, 2000, 3000, 4000, 10000}) {
        const DirectoryTiming timing(bound * kMillisecond, 1200 * kMillisecond);
        // A reader's state is as old as its request; its answer to a query may be held.
        const Micros of_root = std::max(timing.read_wait, timing.read_interval);
        const Micros of_reader = of_root + timing.reader_hold;
        CHECK(of_reader < timing.reader_stale_after);
        CHECK(of_reader + timing.hold < timing.stale_after);
        // A reader that loses the root reader refreshes its state before its followers
        // query the directory themselves.
        CHECK(timing.reader_stale_after + timing.hold < timing.stale_after);
        CHECK(timing.stale_after < bound * kMillisecond);
        CHECK(timing.stale_after <= timing.outage);
    }
}

TEST_CASE("queries and answers of the feed can be decoded after encoding")
{
    FeedQuery query;
    query.cursors = {{DirectoryTopic::Upstreams, 77, 12345},
                     {DirectoryTopic::Daemons, FeedQuery::kNothing, 0, true}};
    query.wait = 250 * kMillisecond;
    query.accepts_packed = true;
    query.unreachable = {"10.0.0.1:1"};
    query.accepts_unreachable_list = true;
    query.unreachable_revision = 7;
    const auto decoded_query = decode_feed_query(encode(query));
    REQUIRE(decoded_query);
    REQUIRE(decoded_query->cursors.size() == 2);
    CHECK(decoded_query->cursors[0].topic == DirectoryTopic::Upstreams);
    CHECK(decoded_query->cursors[0].from == 77);
    CHECK(decoded_query->cursors[0].base == 12345);
    CHECK_FALSE(decoded_query->cursors[0].accepts_listing);
    CHECK(decoded_query->cursors[1].from == FeedQuery::kNothing);
    CHECK(decoded_query->cursors[1].accepts_listing);
    CHECK(decoded_query->accepts_packed);
    CHECK(decoded_query->wait == 250 * kMillisecond);
    CHECK(decoded_query->unreachable == query.unreachable);
    CHECK(decoded_query->accepts_unreachable_list);
    CHECK(decoded_query->unreachable_revision == 7);
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
    const auto decoded = decode_feed_answer(encode(answer));
    REQUIRE(decoded);
    REQUIRE(decoded->topics.size() == 1);
    CHECK(decoded->topics[0].covered);
    CHECK(decoded->topics[0].next == 90);
    CHECK(decoded->topics[0].age == 400 * kMillisecond);
    CHECK(decoded->topics[0].records.at(0).offset == 88);
    CHECK(decoded->topics[0].records.at(0).record.value == std::string("\0\xff", 2));
    CHECK(decoded->topics[0].records.at(0).packed);
    CHECK(decoded->topics[0].records.at(0).base == 1ULL << 63);
    CHECK(decoded->topics[0].pending);
    CHECK(decoded->topics[0].listing_end == 80);
    REQUIRE(decoded->topics[0].listing.size() == 2);
    const auto listed = unpack_listing(decoded->topics[0].listing[0]);
    REQUIRE(listed);
    CHECK(listed->at(0).offset == 88);
    CHECK(listed->at(0).record.value == std::string("\0\xff", 2));
    CHECK(unpack_listing(decoded->topics[0].listing[1])->empty());
    CHECK_FALSE(unpack_listing("not a part of a listing"));
    CHECK_FALSE(decode_feed_answer("not an answer"));
}

} // namespace
} // namespace cypressford
