// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The life of relayed requests in the scheduler.

#include <doctest/doctest.h>

#include <deque>
#include <random>

#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

namespace cypressford {
namespace {

/// One scheduler over two upstreams, with its actions collected.
class Bench {
public:
    explicit Bench(SchedulerOptions options = {})
        : m_router(Registry<Router>::instance().make("adaptive"))
        , m_admission(Registry<Admission>::instance().make("budget"))
        , m_table("a")
        , m_scheduler(options, *m_router, *m_admission, [] { return 0; })
    {
    }

    /// A bundle with one relayed pipeline.
    void publish(PipelineSpec pipeline, bool with_pieces = false)
    {
        Bundle bundle;
        bundle.name = "b";
        bundle.version = ++m_version;
        UpstreamSetSpec set;
        set.name = "set";
        set.slots = 4;
        bundle.upstream_sets.push_back(set);
        UpstreamSetSpec pool;
        pool.name = "pool";
        pool.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
        bundle.upstream_sets.push_back(pool);
        pipeline.relayed = true;
        pipeline.host = "h";
        pipeline.path_prefix = "/p/";
        if (pipeline.stages.empty())
            pipeline.stages.emplace_back();
        pipeline.stages[0].upstream_set = "set";
        if (with_pieces)
            pipeline.piece_stages.push_back({"pool", {}, 100});
        bundle.pipelines.push_back(pipeline);
        snapshot = m_table.build(bundle,
                                 {{"i1", "set", "10.0.0.1:1", "a", 0, false},
                                  {"i2", "set", "10.0.0.2:1", "a", 0, false},
                                  {"s1", "pool", "10.0.0.3:1", "a", 0, false}});
    }

    void arrive(RequestId id, Micros deadline, std::vector<int> pieces = {},
                bool asks_leader = false)
    {
        RequestSpec spec;
        spec.id = id;
        spec.snapshot = snapshot;
        spec.account = snapshot->bundle->nobody;
        spec.deadline = deadline;
        spec.pieces = std::move(pieces);
        spec.asks_leader = asks_leader;
        handle(RequestArrived {std::move(spec)});
    }

    void handle(const Event& event)
    {
        actions.clear();
        m_scheduler.handle(event, now, actions);
    }

    template <class A> const A* find() const
    {
        for (const Action& action : actions)
            if (const A* found = std::get_if<A>(&action))
                return found;
        return nullptr;
    }

    const Scheduler& scheduler() const { return m_scheduler; }

    Micros now = 0;
    Actions actions;
    SnapshotPtr snapshot;

private:
    std::unique_ptr<Router> m_router;
    std::unique_ptr<Admission> m_admission;
    UpstreamTable m_table;
    Scheduler m_scheduler;
    std::uint64_t m_version = 0;
};

PipelineSpec
pipeline(bool repeatable)
{
    PipelineSpec spec;
    spec.name = "p";
    spec.stages.emplace_back();
    spec.stages[0].repeatable = repeatable;
    spec.max_attempts = 3;
    return spec;
}

TEST_CASE("a relayed request that may not be repeated needs no key and is sent once")
{
    Bench bench;
    bench.publish(pipeline(false));
    bench.arrive(1, kSecond);
    CHECK_FALSE(bench.find<BeginClaim>());
    const auto* send = bench.find<SendAttempt>();
    REQUIRE(send);
    CHECK_FALSE(send->may_repeat);
    bench.handle(AttemptEnded {send->attempt, AttemptStatus::Lost});
    CHECK_FALSE(bench.find<SendAttempt>());
    const auto* reply = bench.find<Reply>();
    REQUIRE(reply);
    CHECK(*reply->error == ErrorKind::OutcomeUnknown);
    CHECK(reply->ran == Ran::Unknown);
}

TEST_CASE("one that was proven unrun goes to another upstream")
{
    for (const AttemptStatus status :
         {AttemptStatus::NotSent, AttemptStatus::Overloaded, AttemptStatus::Leaving}) {
        Bench bench;
        bench.publish(pipeline(false));
        bench.arrive(1, kSecond);
        const auto first = *bench.find<SendAttempt>();
        bench.handle(AttemptEnded {first.attempt, status});
        const auto* second = bench.find<SendAttempt>();
        REQUIRE(second);
        CHECK(second->upstream != first.upstream);
    }
}

TEST_CASE("a request that is quarantined while it is in hand goes to nobody else")
{
    Bench bench;
    bench.publish(pipeline(true));
    bench.arrive(1, kSecond);
    bench.handle(
        AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::Quarantined});
    CHECK_FALSE(bench.find<SendAttempt>());
    REQUIRE(bench.find<Reply>());
    CHECK(*bench.find<Reply>()->error == ErrorKind::Quarantined);
    CHECK(bench.find<Reply>()->ran == Ran::NotRun);

    // After a run that may have ended an upstream, "not run" would be false.
    Bench again;
    again.publish(pipeline(true));
    again.arrive(1, kSecond);
    again.handle(AttemptEnded {again.find<SendAttempt>()->attempt, AttemptStatus::Lost});
    REQUIRE(again.find<SendAttempt>());
    again.handle(
        AttemptEnded {again.find<SendAttempt>()->attempt, AttemptStatus::Quarantined});
    CHECK_FALSE(again.find<SendAttempt>());
    REQUIRE(again.find<Reply>());
    CHECK(*again.find<Reply>()->error == ErrorKind::UpstreamFailed);
    CHECK(again.find<Reply>()->ran == Ran::Unknown);
}

TEST_CASE("a repeatable request is sent again only as often as its pipeline allows")
{
    PipelineSpec spec = pipeline(true);
    spec.max_attempts = 2;
    Bench bench;
    bench.publish(spec);
    bench.arrive(1, kSecond);
    bench.handle(AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::Failed});
    REQUIRE(bench.find<SendAttempt>());
    bench.handle(AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::Failed});
    CHECK_FALSE(bench.find<SendAttempt>());
    CHECK(*bench.find<Reply>()->error == ErrorKind::UpstreamFailed);
}

TEST_CASE("an upstream that can't be reached is reported to the leader that chose it")
{
    const auto begin = [](Bench& bench, Micros deadline) {
        PipelineSpec spec = pipeline(true);
        spec.stages[0].kind = StageKind::Generate;
        bench.publish(spec);
        bench.arrive(1, deadline, {}, true);
        bench.handle(PreparationEnded {1, true, "a", "i2"});
        REQUIRE(bench.find<SendAttempt>());
        REQUIRE(bench.find<SendAttempt>()->upstream->identity == "i2");
    };
    Bench bench;
    begin(bench, 10 * kSecond);
    bench.handle(AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    CHECK(bench.find<ReportUnreached>());
    // The next one was the router's choice.
    const auto* second = bench.find<SendAttempt>();
    REQUIRE(second);
    CHECK(second->upstream->identity == "i1");
    bench.handle(AttemptEnded {second->attempt, AttemptStatus::NotSent});
    CHECK_FALSE(bench.find<ReportUnreached>());

    Bench refused;
    begin(refused, 10 * kSecond);
    refused.handle(
        AttemptEnded {refused.find<SendAttempt>()->attempt, AttemptStatus::Overloaded});
    CHECK_FALSE(refused.find<ReportUnreached>());

    // With too little time left for a connection, its end says nothing.
    Bench late;
    begin(late, 100 * kMillisecond);
    late.handle(AttemptEnded {late.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    CHECK_FALSE(late.find<ReportUnreached>());

    Bench silent;
    begin(silent, 20 * kSecond);
    silent.now = 10 * kSecond;
    silent.handle(Tick {});
    CHECK(silent.find<ReportUnreached>());
}

TEST_CASE("what never reached an upstream is not paid for, what did is")
{
    SchedulerOptions options;
    options.retry_ratio = 0;
    options.retry_burst = 0;
    Bench bench(options);
    bench.publish(pipeline(true));
    bench.arrive(1, kSecond);
    bench.handle(AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::NotSent});
    REQUIRE(bench.find<SendAttempt>());
    bench.handle(
        AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::Overloaded});
    CHECK_FALSE(bench.find<SendAttempt>());
    REQUIRE(bench.find<Reply>());
    CHECK(bench.find<Reply>()->ran == Ran::NotRun);
}

/// Sums of one kind of event over a sliding window.
class Window {
public:
    void add(int at) { m_times.push_back(at); }
    int count(int now, int length)
    {
        while (!m_times.empty() && m_times.front() <= now - length)
            m_times.pop_front();
        return static_cast<int>(m_times.size());
    }

private:
    std::deque<int> m_times;
};

TEST_CASE("retries of all daemons stay under the limit, also while herds are killed")
{
    constexpr int daemons = 9;
    constexpr int window = 10'000; // ms
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        const auto fresh = [&] {
            return RetryBudget(RetryLimit::kForRetries * limit.ratio,
                               limit.burst(RetryLimit::kForRetries, daemons),
                               limit.at_start(daemons));
        };
        std::vector<RetryBudget> budgets(daemons, fresh());
        Window first;
        Window again;
        const int rate = 1 + static_cast<int>(random() % 40); // ms between requests
        int worst = 0;
        for (int now = 0; now < 60'000; ++now) {
            if (now % rate == 0) {
                RetryBudget& budget = budgets[random() % daemons];
                budget.earn();
                first.add(now);
                // Everything fails, and is tried again as often as it may be.
                while (budget.spend())
                    again.add(now);
            }
            if (random() % 2000 == 0)
                for (RetryBudget& budget : budgets)
                    if (random() % 2 == 0)
                        budget = fresh();
            const double allowed = limit.ratio * first.count(now, window) + limit.extra;
            worst = std::max(worst, static_cast<int>(again.count(now, window) - allowed));
        }
        CHECK(worst <= 0);
    }
}

TEST_CASE("a daemon's part of the limit shrinks when others come")
{
    RetryLimit limit;
    limit.ratio = 0.2;
    limit.extra = 58;
    CHECK(limit.burst(RetryLimit::kForRetries, 1) > 30);
    CHECK(limit.burst(RetryLimit::kForRetries, 9) < 4);
    CHECK(limit.burst(RetryLimit::kForRetries, 700) == 1);
    RetryBudget budget(0.1, 30, 30);
    budget.set_burst(2);
    CHECK(budget.spend());
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
}

TEST_CASE("a caller that leaves takes its attempt along, whatever its kind")
{
    for (const bool repeatable : {true, false}) {
        Bench bench;
        bench.publish(pipeline(repeatable));
        bench.arrive(1, kSecond);
        const auto send = *bench.find<SendAttempt>();
        bench.handle(CallerClosed {1});
        REQUIRE(bench.find<CancelAttempt>());
        CHECK(bench.find<CancelAttempt>()->attempt == send.attempt);
        bench.handle(AttemptEnded {send.attempt, AttemptStatus::Lost});
        CHECK(bench.find<Forget>());
        CHECK(bench.scheduler().live() == 0);
    }
}

TEST_CASE("nothing is sent before the pieces are made")
{
    Bench bench;
    bench.publish(pipeline(true), true);
    bench.arrive(1, 4 * kSecond, {2});
    CHECK_FALSE(bench.find<SendAttempt>());
    REQUIRE(bench.find<BeginPreparation>());
    bench.handle(PreparationEnded {1, true, "a", "i2"});
    REQUIRE(bench.find<SendAttempt>());
    CHECK(bench.find<SendAttempt>()->upstream->identity == "i2");
}

TEST_CASE("pieces that can't be made end the request as not run")
{
    Bench bench;
    bench.publish(pipeline(false), true);
    bench.arrive(1, 4 * kSecond, {2});
    bench.handle(PreparationEnded {1, false, "", ""});
    REQUIRE(bench.find<Reply>());
    CHECK(bench.find<Reply>()->ran == Ran::NotRun);
    CHECK(error_row(*bench.find<Reply>()->error).http_status == 503);
}

TEST_CASE(
    "a stop that ends answers what waits for pieces or a place, and nothing that runs")
{
    Bench waiting;
    waiting.publish(pipeline(false), true);
    waiting.arrive(1, 20 * kSecond, {2});
    waiting.handle(StopEnds {});
    REQUIRE(waiting.find<Reply>());
    CHECK(waiting.find<Reply>()->error == ErrorKind::Stopping);
    CHECK(waiting.find<Reply>()->ran == Ran::NotRun);
    CHECK(waiting.find<Reply>()->retry_after > 0);
    waiting.handle(PreparationEnded {1, true, "a", ""});
    CHECK_FALSE(waiting.find<SendAttempt>());
    CHECK(waiting.scheduler().live() == 0);

    // Sent before, it may have run: the answer must not promise that it has not.
    Bench again;
    again.publish(pipeline(true), true);
    again.arrive(1, 20 * kSecond, {2});
    again.handle(PreparationEnded {1, true, "a", ""});
    const AttemptId first = again.find<SendAttempt>()->attempt;
    again.handle(InputsRead {first});
    again.handle(AttemptEnded {first, AttemptStatus::Lost});
    REQUIRE(again.find<BeginPreparation>());
    again.handle(StopEnds {});
    REQUIRE(again.find<Reply>());
    CHECK(again.find<Reply>()->ran != Ran::NotRun);

    Bench running;
    running.publish(pipeline(false));
    running.arrive(1, 20 * kSecond);
    REQUIRE(running.find<SendAttempt>());
    running.handle(StopEnds {});
    CHECK_FALSE(running.find<Reply>());
    CHECK_FALSE(running.find<CancelAttempt>());
}

TEST_CASE("a result that is gone sends the request back to its preparation")
{
    Bench bench;
    bench.publish(pipeline(false), true);
    bench.arrive(1, 4 * kSecond, {2});
    bench.handle(PreparationEnded {1, true, "a", ""});
    bench.handle(
        AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::InputGone});
    CHECK(bench.find<BeginPreparation>());
    CHECK_FALSE(bench.find<SendAttempt>());
}

TEST_CASE("results are released when they are read, and made again for a retry")
{
    Bench bench;
    bench.publish(pipeline(true), true);
    bench.arrive(1, 4 * kSecond, {2});
    CHECK_FALSE(bench.find<BeginPreparation>()->again);
    bench.handle(PreparationEnded {1, true, "a", ""});
    const AttemptId first = bench.find<SendAttempt>()->attempt;
    CHECK_FALSE(bench.find<ReleaseInputs>());
    bench.handle(InputsRead {first});
    REQUIRE(bench.find<ReleaseInputs>());
    // Told twice, they are released once.
    bench.handle(InputsRead {first});
    CHECK_FALSE(bench.find<ReleaseInputs>());
    bench.handle(AttemptEnded {first, AttemptStatus::Lost});
    CHECK_FALSE(bench.find<SendAttempt>());
    REQUIRE(bench.find<BeginPreparation>());
    CHECK(bench.find<BeginPreparation>()->again);
    CHECK(bench.find<BeginPreparation>()->deadline == 4 * kSecond);
    bench.handle(PreparationEnded {1, true, "a", ""});
    CHECK(bench.find<SendAttempt>());
}

TEST_CASE("a retry that finds its results unread uses them")
{
    Bench bench;
    bench.publish(pipeline(true), true);
    bench.arrive(1, 4 * kSecond, {2});
    bench.handle(PreparationEnded {1, true, "a", ""});
    bench.handle(AttemptEnded {bench.find<SendAttempt>()->attempt, AttemptStatus::Lost});
    CHECK_FALSE(bench.find<BeginPreparation>());
    CHECK(bench.find<SendAttempt>());
}

TEST_CASE("a request that ends while it is prepared gives the preparation up")
{
    Bench bench;
    bench.publish(pipeline(true), true);
    bench.arrive(1, 4 * kSecond, {2});
    bench.handle(CallerClosed {1});
    CHECK(bench.find<CancelPreparation>());
    CHECK(bench.scheduler().live() == 0);
    bench.handle(PreparationEnded {1, true, "a", ""});
    CHECK(bench.actions.empty());
}

TEST_CASE("a silent upstream gets nothing more, and what may be repeated goes elsewhere")
{
    for (const bool repeatable : {true, false}) {
        Bench bench;
        bench.publish(pipeline(repeatable));
        bench.arrive(1, 8 * kSecond);
        const auto send = *bench.find<SendAttempt>();
        bench.now = kSecond - 1;
        bench.handle(Tick {});
        CHECK(bench.actions.empty());
        bench.now = kSecond;
        bench.handle(Tick {});
        CHECK((bench.find<CancelAttempt>() != nullptr) == repeatable);
        CHECK(send.upstream->ejected_until > bench.now);
        bench.arrive(2, 8 * kSecond);
        CHECK(bench.find<SendAttempt>()->upstream != send.upstream);
        bench.handle(AttemptEnded {send.attempt, AttemptStatus::Lost});
        CHECK((bench.find<SendAttempt>() != nullptr) == repeatable);
    }
}

TEST_CASE("an upstream that answers others meanwhile is not silent")
{
    Bench bench;
    bench.publish(pipeline(true));
    bench.arrive(1, 8 * kSecond);
    const auto first = *bench.find<SendAttempt>();
    bench.now = 500 * kMillisecond;
    RequestId id = 2;
    for (;; ++id) {
        bench.arrive(id, 8 * kSecond);
        const auto other = *bench.find<SendAttempt>();
        bench.handle(AttemptBegun {other.attempt});
        if (other.upstream == first.upstream)
            break;
        REQUIRE(id < 9);
    }
    bench.now = kSecond;
    bench.handle(Tick {});
    CHECK_FALSE(bench.find<CancelAttempt>());
    CHECK(first.upstream->ejected_until <= bench.now);
}

TEST_CASE("an upstream that has begun to answer is not silent")
{
    Bench bench;
    bench.publish(pipeline(true));
    bench.arrive(1, 8 * kSecond);
    const auto send = *bench.find<SendAttempt>();
    bench.handle(AttemptBegun {send.attempt});
    bench.now = 2 * kSecond;
    bench.handle(Tick {});
    CHECK(bench.actions.empty());
    CHECK(send.upstream->ejected_until <= bench.now);
}

TEST_CASE("at the deadline a request is answered, run or not")
{
    Bench bench;
    bench.publish(pipeline(false));
    bench.arrive(1, kSecond);
    bench.now = kSecond;
    bench.handle(Tick {});
    REQUIRE(bench.find<Reply>());
    CHECK(bench.find<Reply>()->ran == Ran::Unknown);
    CHECK(error_row(*bench.find<Reply>()->error).http_status == 504);
    CHECK(bench.find<CancelAttempt>());
}

TEST_CASE("an upstream that leaves the list gets nothing, also under older snapshots")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.name = "b";
    bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "set";
    bundle.upstream_sets.push_back(set);
    const auto old = table.build(bundle,
                                 {{"i1", "set", "10.0.0.1:1", "a", 0, false},
                                  {"i2", "set", "10.0.0.2:1", "a", 0, false}});
    const auto fresh = table.build(bundle,
                                   {{"i2", "set", "10.0.0.2:1", "a", 0, false},
                                    {"i9", "set", "10.0.0.1:1", "a", 0, false}});
    CHECK(old->sets[0].own[0]->leaving);
    CHECK_FALSE(old->sets[0].own[1]->leaving);
    // The address has another upstream now.
    REQUIRE(fresh->sets[0].own.size() == 2);
    CHECK(fresh->sets[0].own[1]->identity == "i9");
    CHECK_FALSE(fresh->sets[0].own[1]->leaving);
}

TEST_CASE("the longest prefix of the host decides, and weights split it")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.name = "b";
    bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "set";
    bundle.upstream_sets.push_back(set);
    const auto add = [&](const char* name, const char* prefix, double weight) {
        PipelineSpec spec = pipeline(true);
        spec.name = name;
        spec.relayed = true;
        spec.host = "h";
        spec.path_prefix = prefix;
        spec.weight = weight;
        spec.stages[0].upstream_set = "set";
        bundle.pipelines.push_back(spec);
    };
    add("short", "/a/", 1);
    add("long", "/a/b/", 1);
    add("many", "/c/", 90);
    add("few", "/c/", 10);
    const auto snapshot = table.build(bundle);
    const auto name = [&](const char* path, std::uint64_t pick) {
        return snapshot->bundle->pipelines[*snapshot->bundle->match("h", path, pick)]
            .spec.name;
    };
    CHECK(name("/a/x", 0) == "short");
    CHECK(name("/a/b/x", 0) == "long");
    CHECK_FALSE(snapshot->bundle->match("h", "/b/", 0));
    CHECK_FALSE(snapshot->bundle->match("other", "/a/", 0));
    CHECK(name("/c/", 0) == "many");
    CHECK(name("/c/", ~std::uint64_t {0}) == "few");
    CHECK(name("/c/", 1ULL << 63) == "many");
}

TEST_CASE("a call that hangs does not hold up the next where a share is less than a slot")
{
    SchedulerOptions options;
    options.daemons_in_hall = 60;
    Bench bench(options);
    bench.publish(pipeline(false));
    bench.arrive(1, 10 * kSecond);
    REQUIRE(bench.find<SendAttempt>());
    // It is not answered, and the next request goes all the same.
    bench.now = 100 * kMillisecond;
    bench.arrive(2, bench.now + kSecond);
    const auto* second = bench.find<SendAttempt>();
    REQUIRE(second);
    // Of 8 slots 60 daemons have 0.13 each; more than two calls would be too many.
    bench.arrive(3, bench.now + kSecond);
    CHECK_FALSE(bench.find<SendAttempt>());
    bench.handle(AttemptEnded {second->attempt, AttemptStatus::Ok});
    CHECK(bench.find<SendAttempt>());
}

} // namespace
} // namespace cypressford
