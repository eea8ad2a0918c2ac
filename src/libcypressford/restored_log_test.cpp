// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The directory's log comes back from an older copy: what was written since is gone, and
/// its offsets are given out again.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/directory_view.h>

#include "test_daemons.h"
#include "text_dialect.h"

namespace cypressford {
namespace {

constexpr Micros kGrace = 2 * kSecond;
constexpr LogGeneration kBefore = 4;
constexpr LogGeneration kAfter = 5;

DirectoryView
view_of(const DirectoryDialect& dialect, const std::string& node)
{
    const DirectoryPace pace(2 * kSecond, 1200 * kMillisecond);
    return {dialect, pace, kGrace, node, "hall", 400, 0};
}

void
list(DirectoryView& view, DirectoryTopic topic, const std::vector<DirectoryRecord>& records,
     Offset end, Micros now = 0)
{
    view.begin_listing(topic, now);
    view.take_listed(topic, records, now);
    view.end_listing(topic, end, now, now);
}

void
list_all(DirectoryView& view, const char* version, Offset end)
{
    for (const DirectoryTopic topic : DirectoryView::kTopics) {
        const bool is_configuration = topic == DirectoryTopic::Configuration;
        list(view, topic,
             is_configuration ? std::vector<DirectoryRecord> {{"config", version, end - 1}}
                              : std::vector<DirectoryRecord> {},
             end);
    }
}

/// Asks the reader as a daemon does.
void
ask(DirectoryView& asker, DirectoryView& reader, Micros now = 0)
{
    const FeedQuery query = asker.query();
    reader.hear_generation(query.generation, now);
    const FeedAnswer answer = reader.answer_to(query, now);
    asker.hear_generation(answer.generation, now);
    asker.take_answer(answer, now, now);
}

std::uint64_t
version_of(DirectoryView& view)
{
    return view.fold().configuration()->version;
}

TEST_CASE(
    "a configuration at an offset given out again reaches the reader and its followers")
{
    const TextDialect dialect;
    DirectoryView reader = view_of(dialect, "reader");
    reader.note_generation(kBefore, 0);
    list_all(reader, "22", 7);
    DirectoryView follower = view_of(dialect, "follower");
    ask(follower, reader);
    REQUIRE(version_of(follower) == 22);
    // Three records are lost, and 24 takes the place of the first of them.
    CHECK(reader.note_generation(kAfter, 0));
    list(reader, DirectoryTopic::Configuration, {{"config", "13", 3}}, 4);
    reader.take_page(DirectoryTopic::Configuration, 4, {{"config", "24"}}, 0, 0, 0);
    CHECK(version_of(reader) == 24);
    ask(follower, reader);
    CHECK(version_of(follower) == 24);
    reader.take_page(DirectoryTopic::Configuration, 5, {{"config", "28"}}, 0, 0, 0);
    ask(follower, reader);
    CHECK(version_of(follower) == 28);
}

TEST_CASE("what the copy holds takes no configuration back, also at who starts after it")
{
    const TextDialect dialect;
    DirectoryView reader = view_of(dialect, "reader");
    reader.note_generation(kBefore, 0);
    list_all(reader, "22", 7);
    reader.note_generation(kAfter, 0);
    list(reader, DirectoryTopic::Configuration, {{"config", "13", 3}}, 4);
    CHECK(version_of(reader) == 22);
    DirectoryView fresh = view_of(dialect, "fresh");
    ask(fresh, reader);
    CHECK(version_of(fresh) == 22);
}

TEST_CASE(
    "who hears first that the log was restored tells its reader, whose word counts then")
{
    const TextDialect dialect;
    DirectoryView reader = view_of(dialect, "reader");
    reader.note_generation(kBefore, 0);
    list_all(reader, "22", 7);
    DirectoryView follower = view_of(dialect, "follower");
    ask(follower, reader);
    follower.note_generation(kAfter, 0);
    const FeedAnswer outdated = reader.answer_to(follower.query(), 0);
    CHECK(outdated.generation == kBefore);
    follower.take_answer(outdated, 0, 0);
    CHECK_FALSE(follower.of(DirectoryTopic::Configuration).next);
    ask(follower, reader);
    CHECK_FALSE(reader.of(DirectoryTopic::Configuration).next);
    list_all(reader, "24", 5);
    ask(follower, reader);
    CHECK(version_of(follower) == 24);
    CHECK(follower.of(DirectoryTopic::Configuration).next == 5);
}

TEST_CASE("a daemon that tells no generation is believed until the log was restored")
{
    const TextDialect dialect;
    DirectoryView reader = view_of(dialect, "reader");
    list_all(reader, "22", 7);
    DirectoryView follower = view_of(dialect, "follower");
    follower.note_generation(kBefore, 0);
    const auto ask_earlier_version = [&] {
        FeedQuery query = follower.query();
        query.generation = 0;
        follower.take_answer(reader.answer_to(query, 0), 0, 0);
    };
    ask_earlier_version();
    CHECK(version_of(follower) == 22);
    follower.note_generation(kAfter, 0);
    ask_earlier_version();
    CHECK_FALSE(follower.of(DirectoryTopic::Configuration).next);
}

TEST_CASE("an asker of an earlier version that is ahead of the restored log is told all")
{
    const TextDialect dialect;
    DirectoryView reader = view_of(dialect, "reader");
    reader.note_generation(kBefore, 0);
    list_all(reader, "22", 7);
    reader.note_generation(kAfter, 0);
    list_all(reader, "24", 5);
    FeedQuery query;
    query.cursors = {{DirectoryTopic::Configuration, 7, 0, true}};
    CHECK(reader.must_answer(query));
    CHECK_FALSE(reader.answer_to(query, 0).topics.front().listing.empty());
    query.cursors.front().from = 5;
    CHECK_FALSE(reader.must_answer(query));
    CHECK(reader.answer_to(query, 0).topics.front().listing.empty());
}

TEST_CASE("a daemon serves on, by new configurations too, while upstreams are listed again")
{
    const TextDialect dialect;
    DirectoryView view = view_of(dialect, "own");
    view.note_generation(kBefore, 0);
    list_all(view, "22", 7);
    REQUIRE(view.can_serve(0));
    view.note_generation(kAfter, 0);
    CHECK(view.can_serve(0));
    list(view, DirectoryTopic::Configuration, {{"config", "24", 4}}, 5);
    CHECK(view.can_serve(0));
    CHECK(version_of(view) == 24);
}

TEST_CASE("upstreams that the copy lacks are believed in, those that left stay gone")
{
    const TextDialect dialect;
    DirectoryView view = view_of(dialect, "own");
    view.note_generation(kBefore, 0);
    list(view, DirectoryTopic::Upstreams,
         {{"new", "1@9", 1}, {"leaving", "5@1!", 2}, {"gone", "6@1", 3}}, 4);
    view.take_page(DirectoryTopic::Upstreams, 4, {{"gone", ""}}, 0, 0, 0);
    view.fold().expire(0);
    view.note_generation(kAfter, 0);
    list(view, DirectoryTopic::Upstreams, {{"leaving", "4@1", 0}, {"gone", "6@1", 1}}, 2);
    const auto known = [&view](Micros now) {
        view.fold().expire(now);
        std::vector<std::string> names;
        for (const UpstreamMember& member : view.fold().members())
            names.push_back(member.identity + (member.leaving ? "!" : ""));
        return names;
    };
    CHECK(known(kGrace - 1) == std::vector<std::string> {"leaving!", "new"});
    view.take_page(DirectoryTopic::Upstreams, 2, {{"new", "2@9"}}, 0, 0, kSecond);
    CHECK(known(2 * kGrace) == std::vector<std::string> {"leaving!", "new"});
}

TEST_CASE("an upstream that is not written again is gone after the grace")
{
    const TextDialect dialect;
    DirectoryView view = view_of(dialect, "own");
    view.note_generation(kBefore, 0);
    list(view, DirectoryTopic::Upstreams, {{"new", "1@9", 1}}, 2);
    view.note_generation(kAfter, 0);
    list(view, DirectoryTopic::Upstreams, {}, 1);
    view.fold().expire(kGrace);
    CHECK(view.fold().members().empty());
}

TEST_CASE("an evacuation that the copy lacks holds on, and ends by a record at any offset")
{
    const TextDialect dialect;
    DirectoryView view = view_of(dialect, "own");
    view.note_generation(kBefore, 0);
    list(view, DirectoryTopic::Configuration, {}, 0);
    view.take_page(DirectoryTopic::Configuration, 6,
                   {{"evacuation/a", "{}"}, {"evacuation/b", "{}"}}, 0, 0, 0);
    view.note_generation(kAfter, 0);
    list(view, DirectoryTopic::Configuration, {}, 2);
    const auto halls = [&view](Micros now) {
        view.fold().expire(now);
        return view.fold().evacuations().halls();
    };
    CHECK(halls(kGrace - 1) == std::vector<std::string> {"a", "b"});
    view.take_page(DirectoryTopic::Configuration, 2, {{"evacuation/a", "{}"}}, 0, 0, 0);
    CHECK(halls(2 * kGrace) == std::vector<std::string> {"a"});
    view.take_page(DirectoryTopic::Configuration, 3, {{"evacuation/a", ""}}, 0, 0, 0);
    CHECK(halls(2 * kGrace).empty());
}

TEST_CASE("a daemon's record of before its last start changes nothing")
{
    const TextDialect dialect;
    DirectoryView view = view_of(dialect, "own");
    DaemonRecord daemon = fleet(2).back();
    const auto record = [&daemon] { return DirectoryRecord {daemon.node, encode(daemon)}; };
    const DirectoryRecord before = record();
    daemon.incarnation += 7;
    daemon.peers_address = "10.9.9.9:1";
    view.note_generation(kBefore, 0);
    list(view, DirectoryTopic::Daemons, {record()}, 1);
    view.note_generation(kAfter, 0);
    list(view, DirectoryTopic::Daemons, {before}, 1);
    CHECK(view.daemons().knows("10.9.9.9:1"));
    // Written now, it is of a start that came after.
    view.take_page(DirectoryTopic::Daemons, 1, {before}, 0, 0, 0);
    CHECK_FALSE(view.daemons().knows("10.9.9.9:1"));
}

class RestoredSuspects {
public:
    RestoredSuspects()
    {
        m_view.note_generation(kBefore, 0);
        list(m_view, DirectoryTopic::Suspects, {record_of("a.1", "e1")}, 1);
        m_view.suspects().apply_unwritten("own.1", ends("e2"));
        m_view.suspects().mark_written("own.1");
        m_view.suspects().apply_unwritten("own.2", ends("e3"));
        m_view.take_page(DirectoryTopic::Suspects, 1, {record_of("b.1", "e4")}, 0, 0, 0);
    }

    DirectoryView& view() { return m_view; }
    bool is_quarantined() { return m_view.suspects().view()->is_quarantined(m_digest); }

    std::vector<std::string> lost(std::string_view prefix)
    {
        std::vector<std::string> keys;
        for (const DirectoryRecord& record : m_view.lost_suspects(prefix))
            keys.push_back(record.key);
        return keys;
    }

    SuspectRecord ends(const std::string& upstream) const
    {
        return {{{{upstream, 1}, {m_digest}}}, {}, 0};
    }

    DirectoryRecord record_of(const std::string& key, const std::string& upstream) const
    {
        return {key, encode(ends(upstream)), 0};
    }

private:
    const TextDialect m_dialect;
    const RequestDigest m_digest = digest_of({"POST", "h", "/", "desk", "x"});
    DirectoryView m_view = view_of(m_dialect, "own");
};

TEST_CASE(
    "a quarantine holds on although the log lost its records, until it has them again")
{
    RestoredSuspects suspects;
    REQUIRE(suspects.is_quarantined());
    CHECK(suspects.lost("").empty());
    suspects.view().note_generation(kAfter, 0);
    CHECK(suspects.is_quarantined());
    // Before the log is listed nobody knows what it lost.
    CHECK(suspects.lost("").empty());
    list(suspects.view(), DirectoryTopic::Suspects, {suspects.record_of("a.1", "e1")}, 1);
    CHECK(suspects.is_quarantined());
    CHECK(suspects.lost("own.") == std::vector<std::string> {"own.1"});
    CHECK(suspects.lost("") == std::vector<std::string> {"b.1", "own.1"});
    suspects.view().suspects().mark_written("own.1");
    suspects.view().take_page(DirectoryTopic::Suspects, 1,
                              {suspects.record_of("b.1", "e4")}, 0, 0, 0);
    CHECK(suspects.lost("").empty());
    CHECK_FALSE(suspects.view().suspects().has_lost());
    CHECK(suspects.is_quarantined());
}

TEST_CASE("a record that was written again and lost once more is named again")
{
    RestoredSuspects suspects;
    for (const LogGeneration generation : {kAfter, kAfter + 1}) {
        suspects.view().note_generation(generation, 0);
        list(suspects.view(), DirectoryTopic::Suspects, {}, 0);
        CHECK(suspects.lost("own.") == std::vector<std::string> {"own.1"});
        suspects.view().suspects().mark_written("own.1");
    }
}

} // namespace
} // namespace cypressford
