// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Prompts at sets of hundreds and thousands of engines: the number of engines examined,
/// cache hits, and the distribution of the load.

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include <cypressford/prompt_placer.h>

namespace cypressford {
namespace {

constexpr int kHalls = 5;

UpstreamSet
engines(int count)
{
    UpstreamSet set;
    set.spec.name = "engines";
    set.spec.memory_tokens = 560'000;
    set.revision = 1;
    for (int i = 0; i < count; ++i) {
        const std::string name = "i" + std::to_string(i);
        const std::string hall = "h" + std::to_string(i % kHalls);
        const std::string address
            = "10." + std::to_string(i % kHalls) + ".0." + std::to_string(i) + ":1";
        auto& side = i % kHalls == 0 ? set.own : set.remote;
        side.push_back(std::make_shared<UpstreamState>(address, hall, name));
    }
    return set;
}

PromptQuery
prompt(int number, std::uint64_t subject)
{
    PromptQuery query;
    query.attempt = std::to_string(number);
    query.parts
        = {{subject, 13'000}, {1'000'000 + static_cast<std::uint64_t>(number), 4000}};
    query.tokens = 17'000;
    query.affinity = subject;
    query.reserve = true;
    return query;
}

TEST_CASE("the number of engines examined does not grow with the set")
{
    std::map<int, std::size_t> examined;
    for (const int count : {300, 1'500, 6'000, 12'000}) {
        const UpstreamSet set = engines(count);
        PromptPlacer placer;
        for (int number = 0; number < 500; ++number) {
            REQUIRE(placer.place(set,
                                 prompt(number, static_cast<std::uint64_t>(number % 50)),
                                 number * kMillisecond));
            examined[count] = std::max(examined[count], placer.last_candidate_count());
        }
        MESSAGE(count, " engines, examined ", examined[count]);
    }
    CHECK(examined[6'000] <= examined[300] + 32);
    CHECK(examined[12'000] <= examined[300] + 32);
}

TEST_CASE("in a set of thousands a prompt goes to the engine that has cached its parts")
{
    const UpstreamSet set = engines(3'000);
    PromptPlacer placer;
    for (std::uint64_t subject = 1; subject < 200; ++subject) {
        const int number = static_cast<int>(subject) * 2;
        const UpstreamPtr first = placer.place(set, prompt(number, subject), 0);
        placer.on_answer_started(std::to_string(number));
        placer.record_ended(std::to_string(number));
        CHECK(placer.place(set, prompt(number + 1, subject), 0) == first);
        CHECK(placer.last_read().unread == 4'000);
        CHECK(placer.last_read().reread == 0);
    }
}

TEST_CASE("in a set of thousands a new leader places prompts where the previous one did")
{
    const UpstreamSet set = engines(3'000);
    for (std::uint64_t subject = 1; subject < 200; ++subject) {
        PromptPlacer one;
        PromptPlacer two;
        CHECK(one.place(set, prompt(1, subject), 0)
              == two.place(set, prompt(2, subject), 0));
    }
}

TEST_CASE("prompts of different subjects are spread evenly over thousands of engines")
{
    constexpr int prompts = 3'000;
    const UpstreamSet set = engines(3'000);
    PromptPlacer placer;
    std::map<std::string, int> load;
    std::map<std::string, int> halls;
    for (int number = 0; number < prompts; ++number) {
        const UpstreamPtr engine
            = placer.place(set, prompt(number, static_cast<std::uint64_t>(number)), 0);
        ++load[engine->identity];
        ++halls[engine->hall];
    }
    int most = 0;
    for (const auto& [engine, count] : load)
        most = std::max(most, count);
    // No answer starts, so an engine with a prompt costs more than an engine without one.
    CHECK(most <= 4);
    for (const auto& [hall, count] : halls)
        CHECK(count > prompts / kHalls / 2);
}

TEST_CASE("falls back to the whole set if none of the first engines is usable")
{
    const UpstreamSet set = engines(1'000);
    std::set<std::string> spared {"i3", "i500"};
    for (const auto* side : {&set.own, &set.remote})
        for (const UpstreamPtr& engine : *side)
            if (!spared.contains(engine->identity))
                engine->mark_leaving();
    PromptPlacer placer;
    for (int number = 0; number < 20; ++number) {
        const UpstreamPtr engine
            = placer.place(set, prompt(number, static_cast<std::uint64_t>(number)), 0);
        REQUIRE(engine);
        CHECK(spared.contains(engine->identity));
    }
}

TEST_CASE("an engine that was removed from the set is not chosen any more")
{
    UpstreamSet set = engines(1'000);
    PromptPlacer placer;
    const UpstreamPtr engine = placer.place(set, prompt(1, 7), 0);
    placer.record_ended("1");
    for (auto* side : {&set.own, &set.remote})
        std::erase(*side, engine);
    engine->mark_leaving();
    set.revision = 2;
    CHECK(placer.place(set, prompt(2, 7), 0) != engine);
}

} // namespace
} // namespace cypressford
