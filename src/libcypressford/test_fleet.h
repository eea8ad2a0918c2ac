// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A scheduler over two halls, for tests of routing.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

namespace cypressford {

/// Parameters that tests vary.
struct FleetSpec {
    ColdSpec cold;
    std::vector<std::string> pipeline_regions;
    std::vector<std::string> account_regions;
    int daemons = 1;
    SchedulerOptions options = {};
    Micros target_latency = 0;
};

/// Hall "a" of region "north", where the scheduler is, has the upstream "ia"; hall "b" of
/// region "south" has "ib".  One relayed pipeline and one client account.
class Fleet {
public:
    explicit Fleet(
        FleetSpec spec = {}, const Scheduler::RandomBits& random = [] { return 0; })
        : m_router(Registry<Router>::instance().make("adaptive"))
        , m_admission(Registry<Admission>::instance().make("budget"))
        , table("a", 5, {{"a", "north"}, {"b", "south"}})
        , m_scheduler(spec.options, *m_router, *m_admission, random)
    {
        m_scheduler.set_daemons(spec.daemons, true);
        snapshot = table.build(bundle_of(std::move(spec)), members());
        ia = snapshot->sets[0].own[0];
        ib = snapshot->sets[0].remote[0];
    }

    static std::vector<UpstreamMember> members()
    {
        return {{"ia", "set", "10.0.0.1:1", "a", 0, false},
                {"ib", "set", "10.0.0.2:1", "b", 0, false}};
    }

    const Scheduler& scheduler() const { return m_scheduler; }
    /// Id of the latest request.
    RequestId last_request() const { return m_last_request; }

    /// The upstream to which the next request is sent at once, or null.
    const UpstreamState* arrive()
    {
        RequestSpec request;
        request.id = ++m_last_request;
        request.snapshot = snapshot;
        request.deadline = now + 10 * kSecond;
        const ResolvedBundle& bundle = *snapshot->bundle;
        request.halls = bundle.pipelines[0].halls & bundle.accounts[0].halls;
        handle(RequestArrived {std::move(request)});
        const auto* send = find<SendAttempt>();
        return send ? send->upstream.get() : nullptr;
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

private:
    static Bundle bundle_of(FleetSpec spec)
    {
        Bundle bundle;
        bundle.name = "b";
        bundle.version = 1;
        UpstreamSetSpec set;
        set.name = "set";
        set.slots = 4;
        set.cold = spec.cold;
        bundle.upstream_sets.push_back(set);
        PipelineSpec pipeline;
        pipeline.name = "p";
        pipeline.relayed = true;
        pipeline.host = "h";
        pipeline.path_prefix = "/";
        pipeline.max_attempts = 3;
        pipeline.target_latency = spec.target_latency;
        if (!spec.pipeline_regions.empty())
            pipeline.regions = std::move(spec.pipeline_regions);
        pipeline.stages.emplace_back();
        pipeline.stages[0].upstream_set = "set";
        bundle.pipelines.push_back(pipeline);
        AccountSpec account;
        account.name = "account";
        account.credential_sha256 = std::string(64, 'a');
        account.rate = account.burst = 1e9; // unlimited: other tests cover account limits
        if (!spec.account_regions.empty())
            account.regions = std::move(spec.account_regions);
        bundle.accounts.push_back(account);
        return bundle;
    }

    std::unique_ptr<Router> m_router;
    std::unique_ptr<Admission> m_admission;

public:
    UpstreamTable table;
    SnapshotPtr snapshot;
    std::shared_ptr<UpstreamState> ia;
    std::shared_ptr<UpstreamState> ib;
    Micros now = 0;
    Actions actions; ///< of the last event

private:
    Scheduler m_scheduler;
    RequestId m_last_request = 0;
};

} // namespace cypressford
