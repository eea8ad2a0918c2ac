// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/membership.h>

#include <doctest/doctest.h>

using namespace cypressford;

namespace {

const MembershipOptions kOptions {3 * kSecond, 15 * kSecond, 600 * kSecond};

MemberInfo
info(const std::string& address, std::uint64_t heartbeat, std::uint64_t incarnation = 1,
     std::uint64_t started = 100)
{
    return {address, "n", incarnation, started, heartbeat, false};
}

} // namespace

TEST_CASE(
    "an unresponsive member is suspected before it is considered dead, and may recover")
{
    Membership view(info("a", 0), kOptions);
    view.advance_heartbeat(0);
    view.on_member_info(info("b", 5), 0);
    CHECK(view.state("b", 2 * kSecond) == MemberState::Alive);
    CHECK(view.state("b", 4 * kSecond) == MemberState::Suspect);
    CHECK(view.serving_count(4 * kSecond) == 1);
    CHECK(view.other_members(4 * kSecond).size() == 1);
    // An old heartbeat that a peer passes on is not a keepalive.
    view.on_member_info(info("b", 5), 5 * kSecond);
    CHECK(view.state("b", 5 * kSecond) == MemberState::Suspect);
    // The member was only suspended.
    view.on_member_info(info("b", 6), 8 * kSecond);
    CHECK(view.state("b", 8 * kSecond) == MemberState::Alive);
    CHECK(view.state("b", 24 * kSecond) == MemberState::Dead);
    CHECK(view.other_members(24 * kSecond).empty());
}

TEST_CASE("a process that was suspended itself does not consider the others dead")
{
    Membership view(info("a", 0), kOptions);
    view.advance_heartbeat(0);
    view.on_member_info(info("b", 5), 0);
    view.advance_heartbeat(kSecond);
    view.advance_heartbeat(61 * kSecond);
    CHECK(view.state("b", 61 * kSecond) == MemberState::Alive);
}

TEST_CASE("a later process replaces an earlier one, never the reverse")
{
    Membership view(info("a", 0), kOptions);
    view.advance_heartbeat(0);
    view.on_member_info(info("b", 900, 1, 100), 0);
    view.on_member_info(info("b", 1, 2, 200), kSecond);
    view.on_member_info(info("b", 901, 1, 100), 2 * kSecond);
    CHECK(view.all(2 * kSecond).at(1).incarnation == 2);
    CHECK(view.state("b", kSecond + 3 * kSecond) == MemberState::Suspect);
}

TEST_CASE("a keepalive applies only to the process that it names")
{
    Membership view(info("a", 0), kOptions);
    view.advance_heartbeat(0);
    const MemberInfo first = info("b", 1, 1, 100);
    CHECK_FALSE(view.on_keepalive(Membership::id_of(first), 2, false, 0));
    view.on_member_info(first, 0);
    CHECK(view.on_keepalive(Membership::id_of(first), 2, true, 2 * kSecond));
    CHECK(view.state("b", 4 * kSecond) == MemberState::Alive);
    CHECK(view.serving_count(4 * kSecond) == 1);
    view.on_member_info(info("b", 1, 2, 200), 4 * kSecond);
    CHECK(view.serving_count(4 * kSecond) == 2);
    // Late keepalives of the replaced process change nothing.
    CHECK(view.on_keepalive(Membership::id_of(first), 9, true, 5 * kSecond));
    CHECK(view.serving_count(5 * kSecond) == 2);
}

TEST_CASE(
    "exactly one daemon is chosen for a task, and another one if it becomes unresponsive")
{
    std::vector<Membership> views;
    const std::vector<std::string> names {"a", "b", "c", "d", "e"};
    for (const auto& self : names) {
        views.emplace_back(info(self, 0), kOptions);
        views.back().advance_heartbeat(0);
        for (const auto& other : names)
            views.back().on_member_info(info(other, 1), 0);
    }
    for (int task = 0; task < 50; ++task) {
        const std::string name = "task" + std::to_string(task);
        int chosen = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < views.size(); ++i)
            if (views[i].is_chosen(name, 1, 0)) {
                ++chosen;
                first = i;
            }
        CHECK(chosen == 1);
        // The chosen daemon becomes unresponsive; exactly one other daemon takes over.
        int successors = 0;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (i == first)
                continue;
            Membership later = views[i];
            later.advance_heartbeat(2 * kSecond);
            for (const auto& other : names)
                if (other != names[first])
                    later.on_member_info(info(other, 2), 4 * kSecond);
            successors += later.is_chosen(name, 1, 4 * kSecond);
        }
        CHECK(successors == 1);
    }
}

TEST_CASE("shares of an account stay below one and a half times its rate")
{
    CHECK(account_share(0, 0, 4) == doctest::Approx(0.25));
    for (int busy = 1; busy <= 8; ++busy) {
        double sum = 0;
        for (int d = 0; d < 8; ++d)
            sum += account_share(d < busy ? 10.0 : 0.0, 10.0 * busy, 8);
        CAPTURE(busy);
        CHECK(sum <= 1.5);
        CHECK(sum >= 1.0);
    }
}
