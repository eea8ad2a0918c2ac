// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams that restart under the same identity.
///
/// Guards against an upstream that returns within seconds of a crash or a drain and gets no
/// work for minutes: its records count from one again and were taken for late records of
/// the previous run, and that run's state (leaving, cold, ejected, cached prompts) was
/// applied to the next run.

#include <cypressford/directory_view.h>
#include <cypressford/prompt_placer.h>

#include <algorithm>

#include <doctest/doctest.h>

#include "text_dialect.h"

namespace cypressford {
namespace {

UpstreamRecord
record_of(std::uint64_t sequence, std::int64_t born, bool leaving = false,
          Micros remaining_cold_time = 0)
{
    UpstreamRecord record;
    record.member.identity = "i";
    record.member.upstream_set = "set";
    record.member.address = "10.0.0.1:1";
    record.member.hall = "a";
    record.member.born = born;
    record.member.leaving = leaving;
    record.sequence = sequence;
    record.remaining_cold_time = remaining_cold_time;
    return record;
}

TEST_CASE(
    "a restarted upstream is in service at once, although its sequence numbers restart")
{
    DirectoryFold fold(0);
    fold.apply(record_of(900, 100));
    CHECK(fold.apply(record_of(1, 200)));
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().born == 200);
    // Records of the previous run arrive late or repeatedly.
    CHECK_FALSE(fold.apply(record_of(901, 100)));
    CHECK_FALSE(fold.apply(record_of(902, 100, true)));
    CHECK(fold.members().front().born == 200);
    CHECK_FALSE(fold.members().front().leaving);
    CHECK(fold.apply(record_of(2, 200, true)));
    CHECK(fold.members().front().leaving);
}

TEST_CASE("self-reported state ends with the run")
{
    DirectoryFold fold(0);
    fold.apply(record_of(5, 100, true, 30 * kSecond), 0);
    fold.apply(record_of(1, 200), kSecond);
    REQUIRE(fold.members().size() == 1);
    CHECK_FALSE(fold.members().front().leaving);
    CHECK(fold.members().front().cold_until == 0);
}

TEST_CASE("a run that starts at the sequence number of the expired one is listed again")
{
    DirectoryFold fold(0);
    fold.apply(record_of(1, 100));
    fold.drop("i", 0, false);
    fold.expire(kSecond);
    CHECK(fold.members().empty());
    CHECK_FALSE(fold.apply(record_of(1, 100), kSecond));
    CHECK(fold.apply(record_of(1, 200), kSecond));
    CHECK(fold.members().size() == 1);
}

TEST_CASE("a record without a start time is ignored once the start time is known")
{
    DirectoryFold fold(0);
    fold.apply(record_of(3, 100));
    CHECK_FALSE(fold.apply(record_of(4, 0, true)));
    CHECK_FALSE(fold.members().front().leaving);
}

TEST_CASE("a new run has a state of its own, and the previous run gets no more work")
{
    Bundle bundle;
    UpstreamSetSpec set;
    set.name = "set";
    bundle.upstream_sets.push_back(set);
    UpstreamTable table("a");
    const auto only = [&](std::int64_t born) {
        UpstreamMember member = record_of(1, born).member;
        return table.build(bundle, {member})->sets.front().own.front();
    };
    const auto before = only(100);
    before->record_failure(1, kSecond);
    before->in_flight = 3;
    const auto after = only(200);
    CHECK(after != before);
    CHECK(before->leaving);
    CHECK_FALSE(after->leaving);
    CHECK(after->failures == 0);
    CHECK(after->in_flight == 0);
    CHECK(only(200) == after);
}

TEST_CASE("prompts cached by one run are not looked up at the next run")
{
    UpstreamSet set;
    set.spec.memory_tokens = 100'000;
    const auto run_of = [](std::int64_t born) {
        return std::make_shared<UpstreamState>("10.0.0.1:1", "a", "i", 0, born);
    };
    set.own = {run_of(100)};
    PromptPlacer placer;
    PromptQuery query;
    query.tokens = 5000;
    query.parts = {{1, 4000}, {2, 1000}};
    query.reserve = true;
    query.attempt = "first";
    placer.place(set, query, 0);
    placer.record_ended("first");
    query.attempt = "second";
    placer.place(set, query, 0);
    CHECK(placer.last_read().unread == 0);
    placer.record_ended("second");
    set.own = {run_of(200)};
    query.attempt = "third";
    placer.place(set, query, 0);
    CHECK(placer.last_read().unread == 5000);
}

/// Keepalives are not forwarded, so a daemon that receives a new run from a reader must
/// accept it whatever it has recorded for the previous run.
TEST_CASE("daemons that follow a reader receive a new run")
{
    TextDialect dialect;
    const DirectoryTiming timing(2 * kSecond, 1200 * kMillisecond);
    const auto fresh = [&] {
        DirectoryView view(dialect, timing, 0, "own", "hall", 400, 0);
        for (const DirectoryTopic topic : DirectoryView::kTopics) {
            view.begin_listing(topic, 0);
            if (topic == DirectoryTopic::Upstreams)
                view.apply_listed(topic, {{"a", "7@100"}}, 0);
            view.end_listing(topic, 0, 0, 0);
        }
        return view;
    };
    DirectoryView reader = fresh();
    DirectoryView follower = fresh();
    reader.apply_page(DirectoryTopic::Upstreams, 0, {{"a", "8@100"}, {"a", "1@200"}}, 0, 0,
                      0);
    follower.apply_answer(reader.answer_to(follower.query(), 0), 0, 0);
    for (DirectoryView* view : {&reader, &follower}) {
        REQUIRE(view->fold().members().size() == 1);
        CHECK(view->fold().members().front().born == 200);
    }
}

TEST_CASE("an unreadable record removes no upstream and does not block its page")
{
    TextDialect dialect;
    const DirectoryTiming timing(2 * kSecond, 1200 * kMillisecond);
    DirectoryView view(dialect, timing, 0, "own", "hall", 400, 0);
    view.begin_listing(DirectoryTopic::Upstreams, 0);
    view.apply_listed(DirectoryTopic::Upstreams, {{"a", "1"}, {"b", "1"}}, 0);
    view.end_listing(DirectoryTopic::Upstreams, 2, 0, 0);
    const DirectoryChange change = view.apply_page(
        DirectoryTopic::Upstreams, 2, {{"a", "?"}, {"c", "?"}, {"d", "1"}}, 0, 0, 0);
    CHECK(change.invalid.size() == 2);
    CHECK(view.fold().members().size() == 3);
    // A listing with an unreadable record in place of the upstream's does not remove it
    // either.
    view.begin_listing(DirectoryTopic::Upstreams, 0);
    view.apply_listed(DirectoryTopic::Upstreams, {{"a", "?"}, {"b", "2"}, {"d", "2"}}, 0);
    view.end_listing(DirectoryTopic::Upstreams, 5, 0, 0);
    view.fold().expire(kSecond);
    CHECK(view.fold().members().size() == 3);
}

} // namespace
} // namespace cypressford
