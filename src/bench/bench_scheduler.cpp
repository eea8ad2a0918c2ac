// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cost of scheduling a request, from its arrival to its last answer.

#include <benchmark/benchmark.h>

#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

Bundle
make_bundle(int upstreams, int accounts, int stages)
{
    Bundle bundle;
    bundle.name = "bench";
    bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "pool";
    set.kind = "pool";
    set.slots = 64;
    for (int i = 0; i < upstreams; ++i)
        set.halls["h"].push_back("127.0.0.1:" + std::to_string(10000 + i));
    bundle.upstream_sets.push_back(set);
    PipelineSpec pipeline;
    pipeline.name = "p";
    pipeline.priority = 1;
    for (int i = 0; i < stages; ++i) {
        StageSpec stage;
        stage.name = "s" + std::to_string(i);
        stage.kind = StageKind::Encode;
        stage.upstream_set = "pool";
        pipeline.stages.push_back(stage);
    }
    bundle.pipelines.push_back(pipeline);
    for (int i = 0; i < accounts; ++i)
        bundle.accounts.push_back(
            {"a" + std::to_string(i), std::string(64, 'a'), 1e6, 1e12});
    return bundle;
}

/// State shared by all threads: one table of upstreams, as in a daemon.
struct Shared {
    Shared(int upstreams, int accounts)
        : table("h")
        , snapshot(table.build(make_bundle(upstreams, accounts, 1)))
        , router(Registry<Router>::instance().make("adaptive"))
        , admission(Registry<Admission>::instance().make("budget"))
    {
    }
    UpstreamTable table;
    SnapshotPtr snapshot;
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
};

Shared&
shared_for(int upstreams, int accounts)
{
    static Shared small(20, 5);
    static Shared large(300, 1600);
    return upstreams == 20 && accounts == 5 ? small : large;
}

} // namespace

/// Admits, routes and completes one single-stage request.
static void
BM_AdmitRouteSettle(benchmark::State& state)
{
    Shared& shared
        = shared_for(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    std::uint64_t random
        = 88172645463325252ULL + static_cast<std::uint64_t>(state.thread_index());
    SchedulerOptions options;
    options.hedging = false;
    Scheduler scheduler(options, *shared.router, *shared.admission, [&random] {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        return random;
    });
    RequestSpec spec;
    spec.snapshot = shared.snapshot;
    Actions actions;
    Micros now = 1;
    for (auto _ : state) {
        now += 10;
        ++spec.id;
        spec.deadline = now + 4 * kSecond;
        spec.account = spec.id % shared.snapshot->bundle->accounts.size();
        actions.clear();
        scheduler.handle(RequestArrived {spec}, now, actions);
        const auto* send = std::get_if<SendAttempt>(&actions.front());
        if (!send) {
            const auto* reply = std::get_if<Reply>(&actions.front());
            const ErrorKind kind
                = reply && reply->error ? *reply->error : ErrorKind::Internal;
            state.SkipWithError(std::string(error_row(kind).name).c_str());
            break;
        }
        const AttemptId attempt = send->attempt;
        actions.clear();
        scheduler.handle(AttemptEnded {attempt, AttemptStatus::Ok}, now + 5, actions);
        if (spec.id % 256 == 0)
            scheduler.handle(Tick {}, now, actions);
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_AdmitRouteSettle)
    ->Args({20, 5})
    ->Args({300, 1600})
    ->ThreadRange(1, 8)
    ->UseRealTime();

} // namespace cypressford
