// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Evacuations of halls: which are in force, how daemons receive them, and the routing of
/// calls.

#include <doctest/doctest.h>

#include "test_fleet.h"
#include "text_dialect.h"
#include <cypressford/directory_view.h>
#include <cypressford/evacuation.h>
#include <cypressford/pieces.h>
#include <cypressford/prompt_placer.h>

namespace cypressford {
namespace {

using Halls = std::vector<std::string>;

TEST_CASE("the record with the highest offset is in force")
{
    EvacuationTable table;
    CHECK(table.apply({"a", true}, 10));
    CHECK(table.halls() == Halls {"a"});
    CHECK(table.apply({"a", false}, 20));
    CHECK(table.halls().empty());
    // An older record that arrives late, from another daemon.
    CHECK_FALSE(table.apply({"a", true}, 10));
    CHECK(table.halls().empty());
    CHECK(table.apply({"b", true}, 21));
    CHECK(table.apply({"a", true}, 22));
    CHECK(table.halls() == Halls {"a", "b"});
}

TEST_CASE("a listing ends evacuations that it does not contain, an older listing does not")
{
    EvacuationTable table;
    table.apply({"a", true}, 10);
    table.apply({"b", true}, 30);
    table.begin_listing();
    CHECK(table.end_listing(20));
    CHECK(table.halls() == Halls {"b"});
    table.begin_listing();
    CHECK_FALSE(table.apply({"b", true}, 30));
    CHECK_FALSE(table.end_listing(40));
    CHECK(table.halls() == Halls {"b"});
}

TEST_CASE("a listing that is older than the end of an evacuation does not restore it")
{
    EvacuationTable table;
    table.apply({"a", true}, 10);
    table.apply({"a", false}, 20);
    table.begin_listing();
    CHECK_FALSE(table.apply({"a", true}, 10));
    CHECK_FALSE(table.end_listing(15));
    CHECK(table.halls().empty());
}

class Views {
public:
    Views()
        : reader(make("n0"))
        , follower(make("n1"))
    {
    }

    DirectoryView make(const std::string& node)
    {
        return {m_dialect, DirectoryTiming(2 * kSecond, 1200 * kMillisecond),
                0,         node,
                "hall",    400,
                0};
    }

    static void list(DirectoryView& view, const std::vector<DirectoryRecord>& records,
                     Offset end)
    {
        view.begin_listing(DirectoryTopic::Configuration, 0);
        view.apply_listed(DirectoryTopic::Configuration, records, 0);
        view.end_listing(DirectoryTopic::Configuration, end, 0, 0);
    }

    static bool read(DirectoryView& view, Offset from,
                     const std::vector<DirectoryRecord>& records)
    {
        return view.apply_page(DirectoryTopic::Configuration, from, records, 0, 0, 0)
            .must_notify;
    }

    static Halls halls(DirectoryView& view) { return view.fold().evacuations().halls(); }

    /// The follower reads the reader's feed.
    void sync_follower()
    {
        FeedQuery query = follower.query();
        query.cursors.resize(1);
        const auto answer = decode_feed_answer(encode(reader.answer_to(query, 0)));
        REQUIRE(answer);
        follower.apply_answer(*answer, 0, 0);
    }

    TextDialect m_dialect;
    DirectoryView reader;
    DirectoryView follower;
};

TEST_CASE("an evacuation is read from the directory beside the configuration")
{
    Views views;
    const DirectoryRecord configuration {"config", "7", 0};
    Views::list(views.reader, {configuration}, 1);
    Views::list(views.follower, {configuration}, 1);
    const auto before = views.reader.fold().revision();
    CHECK(Views::read(views.reader, 1, {{"evacuation/b", "{}"}}));
    CHECK(Views::halls(views.reader) == Halls {"b"});
    CHECK(views.reader.fold().revision() == before + 1);
    // A newer configuration does not replace the evacuation.
    CHECK(Views::read(views.reader, 2, {{"config", "8"}}));
    views.sync_follower();
    CHECK(Views::halls(views.follower) == Halls {"b"});
    CHECK(views.follower.fold().configuration()->version == 8);
    CHECK(Views::read(views.reader, 3, {{"evacuation/b", ""}}));
    views.sync_follower();
    CHECK(Views::halls(views.follower).empty());
    CHECK(views.follower.fold().configuration()->version == 8);
}

TEST_CASE("a daemon that starts reads evacuations from its listing")
{
    Views views;
    Views::list(views.reader, {{"config", "7", 3}, {"evacuation/c", "{}", 5}}, 6);
    CHECK(Views::halls(views.reader) == Halls {"c"});
    // The log has lost its history, and the evacuation has ended meanwhile.
    Views::list(views.reader, {{"config", "7", 3}}, 9);
    CHECK(Views::halls(views.reader).empty());
}

TEST_CASE("no new call goes to an evacuated hall, also under an older snapshot")
{
    Fleet fleet;
    CHECK(fleet.arrive() == fleet.ia.get());
    fleet.table.set_evacuated({"a"}, fleet.now);
    fleet.arrive();
    REQUIRE(fleet.find<SendAttempt>());
    const SendAttempt first = *fleet.find<SendAttempt>();
    CHECK(first.upstream->identity == "ib");
    // Nor does a second attempt after the first upstream failed.
    fleet.handle(AttemptEnded {first.attempt, AttemptStatus::Failed});
    REQUIRE(fleet.find<SendAttempt>());
    CHECK(fleet.find<SendAttempt>()->upstream->identity == "ib");
}

TEST_CASE("with all halls evacuated a request is refused at once with a retry time")
{
    Fleet fleet;
    fleet.table.set_evacuated({"a", "b"}, fleet.now);
    fleet.arrive();
    CHECK_FALSE(fleet.find<SendAttempt>());
    const auto* reply = fleet.find<Reply>();
    REQUIRE(reply);
    CHECK(reply->error == ErrorKind::NoUpstream);
    CHECK(reply->ran == Ran::NotRun);
    CHECK(reply->retry_after > 0);
    fleet.now += 2 * kMillisecond;
    fleet.table.set_evacuated({}, fleet.now);
    fleet.arrive();
    CHECK(fleet.find<SendAttempt>());
}

TEST_CASE("an upstream that is added in an evacuated hall receives no calls")
{
    Fleet fleet;
    fleet.table.set_evacuated({"b"}, fleet.now);
    auto members = Fleet::members();
    members.push_back({"ic", "set", "10.0.0.3:1", "b", 0, false});
    const SnapshotPtr snapshot = fleet.table.build(fleet.snapshot->bundle, members);
    for (const auto& upstream : snapshot->sets[0].remote)
        CHECK(upstream->evacuated.load());
}

UpstreamSet
pool(std::vector<std::shared_ptr<UpstreamState>> own)
{
    UpstreamSet set;
    set.spec.name = "pool";
    set.spec.slots = 1;
    set.spec.batch = BatchSpec {8, 2, 150 * kMillisecond, kMillisecond, 0, 0};
    set.own = std::move(own);
    return set;
}

TEST_CASE("pieces that are queued for an evacuated hall go elsewhere")
{
    auto a = std::make_shared<UpstreamState>("10.0.0.1:1", "a", "ia");
    auto b = std::make_shared<UpstreamState>("10.0.0.2:1", "b", "ib");
    const UpstreamSet set = pool({a, b});
    PieceQueue queue;
    WaitingPiece piece;
    piece.id = 1;
    piece.group = 1;
    piece.due = kSecond;
    piece.deadline = 2 * kSecond;
    piece.near = "a";
    queue.add(piece);
    a->evacuated = true;
    const auto call = queue.next_call(set, 0);
    REQUIRE(call);
    CHECK(call->upstream->identity == "ib");
}

TEST_CASE("a prompt is not placed on evacuated engines, also if one holds its parts")
{
    auto a = std::make_shared<UpstreamState>("10.0.0.1:1", "a", "ia");
    auto b = std::make_shared<UpstreamState>("10.0.0.2:1", "b", "ib");
    UpstreamSet set = pool({a, b});
    set.spec.memory_tokens = 100'000;
    PromptPlacer placer;
    PromptQuery query;
    query.attempt = "r1";
    query.parts = {{17, 9000}, {18, 100}};
    query.tokens = 9100;
    query.affinity = 17;
    query.reserve = true;
    const auto engine = placer.place(set, query, 0);
    REQUIRE(engine);
    engine->evacuated = true;
    query.attempt = "r2";
    const auto other = placer.place(set, query, 0);
    REQUIRE(other);
    CHECK(other->identity != engine->identity);
    other->evacuated = true;
    query.attempt = "r3";
    CHECK_FALSE(placer.place(set, query, 0));
}

} // namespace
} // namespace cypressford
