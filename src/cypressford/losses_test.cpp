// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include "losses.h"

namespace cypressford {
namespace {

Losses
losses_of(std::string_view text)
{
    std::vector<LoggedEvent> events;
    LogFaults faults;
    read_events(text, events, faults);
    sort_events(events);
    return find_losses(events, faults);
}

constexpr std::string_view kLog
    = "hlc=0000000000010000 node=n1 event=daemon_start peers=10.0.0.1:1\n"
      "hlc=0000000000020000 node=n1 event=request_begin request=a pipeline=p\n"
      "hlc=0000000000030000 node=n1 event=pieces request=a set=s count=2 made=true "
      "why=made leader=10.0.0.2:1 us=300000\n"
      "hlc=0000000000040000 node=n1 event=pieces request=a set=t count=6 made=false "
      "why=memory leader=\"\" us=100\n"
      "hlc=0000000000040001 node=n1 event=pieces request=a set=u count=1 made=false "
      "why=other_stage leader=\"\" us=200\n"
      "hlc=0000000000050000 node=n1 event=request_end request=a pipeline=p "
      "outcome=no_upstream ran=not_run first_us=0 aim_us=1000 us=400000\n"
      "hlc=0000000000060000 node=n1 event=piece_call set=s identity=i pieces=3 bound=8 "
      "left_waiting=9 whole=true input_gone=0 no_memory=1 memory_kb=40 us=2000\n"
      "hlc=0000000000070000 node=n1 event=pieces request=b set=s count=1 made=true "
      "why=made leader=\"\" us=900000\n"
      "hlc=0000000000080000 node=n1 event=prompt_placed request=b set=e tokens=100 "
      "unread=60 again=20\n"
      "hlc=0000000000090000 node=n1 event=attempt_end request=b status=ok "
      "first_byte_us=50000\n"
      "hlc=00000000000a0000 node=n1 event=request_end request=b pipeline=p outcome=ok "
      "ran=ran first_us=1000000 aim_us=500000 us=2000000\n";

TEST_CASE("a refused request has its failed stage as reason, a late one its slowest stage")
{
    const Losses losses = losses_of(kLog);
    const RequestCounts& counts = losses.by_pipeline.at("p");
    CHECK(counts.asked == 2);
    CHECK(counts.refused == 1);
    CHECK(counts.late == 1);
    CHECK(counts.reasons
          == std::map<std::string, int> {{"pieces t memory", 1}, {"late pieces s", 1}});
    CHECK(losses.by_second.at(0).asked == 2);
}

TEST_CASE("upstream sets and engines report their scarce resources")
{
    const Losses losses = losses_of(kLog);
    const SetLosses& set = losses.sets.at("s");
    CHECK(set.made == 3);
    CHECK(set.unused == 2);
    CHECK(set.no_memory == 1);
    CHECK(set.calls_with_waiting == 1);
    CHECK(set.pieces_with_waiting == 3);
    CHECK(set.bound == 8);
    const EngineLosses& engine = losses.engines.at("e");
    CHECK(engine.tokens_read == 60);
    CHECK(engine.tokens_again == 20);
    CHECK(engine.first_event_us == std::vector<std::int64_t> {50000});
}

TEST_CASE("invalid lines are counted, and a daemon without a log is named")
{
    std::string text(kLog);
    text += "Segmentation fault\n";
    text += "hlc=00000000000b0000 node=n1 event=request_end pipeline=\"cut in the mid";
    const Losses losses = losses_of(text);
    CHECK(losses.faults.foreign == 1);
    CHECK(losses.faults.cut == 1);
    CHECK(losses.missing == std::set<std::string> {"10.0.0.2:1"});
    CHECK(losses.by_pipeline.at("p").asked == 2);
}

TEST_CASE("a clock that steps back is counted and does not affect request counts")
{
    std::string text(kLog);
    text += "hlc=0000000000010000 node=n1 event=request_end request=c pipeline=p "
            "outcome=ok ran=ran first_us=1 aim_us=5 us=9\n";
    const Losses losses = losses_of(text);
    CHECK(losses.faults.clock_steps == 1);
    CHECK(losses.by_pipeline.at("p").in_time == 1);
}

TEST_CASE("an empty log gives valid empty reports")
{
    const Losses losses = losses_of("");
    CHECK(losses.events == 0);
    CHECK_FALSE(losses_as_text(losses).empty());
    CHECK(losses_as_json(losses).front() == '{');
}

TEST_CASE("a log truncated at any place is read and reported without failure")
{
    for (std::size_t length = 0; length < kLog.size(); length += 7) {
        const Losses losses = losses_of(kLog.substr(0, length));
        CHECK_FALSE(losses_as_text(losses).empty());
    }
}

} // namespace
} // namespace cypressford
