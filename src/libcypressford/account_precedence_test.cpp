// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Precedence of client accounts over pipelines.
///
/// Failures guarded against: an urgent pipeline of a later account is served before an
/// earlier account's requests; a deployment without the mechanism is served differently;
/// numbers beyond the lowest priority, by which queues are indexed.

#include <doctest/doctest.h>

#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

namespace cypressford {
namespace {

PipelineSpec
pipeline(std::string name, int priority)
{
    PipelineSpec spec;
    spec.name = std::move(name);
    spec.priority = priority;
    spec.relayed = true;
    spec.stages.emplace_back();
    spec.stages.front().upstream_set = "set";
    return spec;
}

AccountSpec
account(std::string name, int priority)
{
    AccountSpec spec;
    spec.name = std::move(name);
    spec.credential_sha256 = spec.name;
    spec.priority = priority;
    return spec;
}

/// Pipelines of priority 0 and 4, and accounts of priority 2 and 1, in this order.
Bundle
bundle()
{
    Bundle result;
    UpstreamSetSpec set;
    set.name = "set";
    result.upstream_sets.push_back(set);
    result.pipelines = {pipeline("urgent", 0), pipeline("patient", 4)};
    result.accounts = {account("later", 2), account("earlier", 1)};
    return result;
}

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kPatient = 1;
constexpr std::size_t kLater = 0;
constexpr std::size_t kEarlier = 1;

TEST_CASE("pairs of priorities are numbered without gaps, the account's priority first")
{
    UpstreamTable table("a");
    const auto resolved = table.resolve(bundle());
    CHECK(resolved->rank_of(kEarlier, kUrgent) == 0);
    CHECK(resolved->rank_of(kEarlier, kPatient) == 1);
    CHECK(resolved->rank_of(kLater, kUrgent) == 2);
    CHECK(resolved->rank_of(kLater, kPatient) == 3);
    // Leaving out the credential gives no precedence.
    CHECK(resolved->rank_of(resolved->anonymous_account, kUrgent) == 2);
}

TEST_CASE("numbers end at the lowest priority")
{
    Bundle many = bundle();
    for (int priority = 3; priority <= 20; ++priority)
        many.accounts.push_back(account("a" + std::to_string(priority), priority));
    UpstreamTable table("a");
    const auto resolved = table.resolve(many);
    CHECK(resolved->rank_of(4, kUrgent) == 8);
    CHECK(resolved->rank_of(4, kPatient) == kLowestPriority);
    CHECK(resolved->rank_of(5, kUrgent) == kLowestPriority);
    CHECK(resolved->rank_of(many.accounts.size() - 1, kPatient) == kLowestPriority);
}

/// The request that gets the only slot once it is free: 2, the urgent pipeline of the later
/// account, or 3, the patient pipeline of the earlier one.
RequestId
next_request(const SchedulerOptions& options)
{
    const auto router = Registry<Router>::instance().make("adaptive");
    const auto admission = Registry<Admission>::instance().make("budget");
    UpstreamTable table("a");
    Scheduler scheduler(options, *router, *admission, [] { return 0; });
    const SnapshotPtr snapshot
        = table.build(bundle(), {{"i1", "set", "10.0.0.1:1", "a", 0, false}});
    Actions actions;
    const auto arrive = [&](RequestId id, std::size_t of_account, std::size_t to) {
        RequestSpec spec;
        spec.id = id;
        spec.snapshot = snapshot;
        spec.account = of_account;
        spec.pipeline = to;
        spec.deadline = 4 * kSecond;
        scheduler.handle(RequestArrived {std::move(spec)}, 0, actions);
    };
    arrive(1, kEarlier, kUrgent);
    REQUIRE(actions.size() == 1);
    const SendAttempt first = std::get<SendAttempt>(actions.front());
    begin_call(*first.upstream, first.count, 0);
    arrive(2, kLater, kUrgent);
    arrive(3, kEarlier, kPatient);
    REQUIRE(actions.size() == 1);
    scheduler.handle(AttemptEnded {first.attempt, AttemptStatus::Ok}, kMillisecond,
                     actions);
    const auto* next = std::get_if<SendAttempt>(&actions.back());
    REQUIRE(next);
    return next->request;
}

TEST_CASE("the account's priority takes precedence if the mechanism is on, and only then")
{
    SchedulerOptions options;
    CHECK(next_request(options) == 2);
    options.switches.switch_on(Mechanism::AccountPrecedence);
    CHECK(next_request(options) == 3);
}

} // namespace
} // namespace cypressford
