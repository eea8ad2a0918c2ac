// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

namespace cypressford {

/// A scheduler over two upstreams that collects the actions of the last event.
class RelayFixture {
public:
    explicit RelayFixture(SchedulerOptions options = {})
        : m_router(Registry<Router>::instance().make("adaptive"))
        , m_admission(Registry<Admission>::instance().make("budget"))
        , m_table("a")
        , m_scheduler(options, *m_router, *m_admission, [] { return 0; })
    {
    }

    /// A bundle with one relayed pipeline.  `versions`: software versions of its two
    /// upstreams.
    void publish(PipelineSpec pipeline, const std::array<std::string, 2>& versions,
                 bool with_pieces = false)
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
        snapshot
            = m_table.build(bundle,
                            {{"i1", "set", "10.0.0.1:1", "a", 0, false, 0, 0, versions[0]},
                             {"i2", "set", "10.0.0.2:1", "a", 0, false, 0, 0, versions[1]},
                             {"s1", "pool", "10.0.0.3:1", "a", 0, false}});
    }

    void publish(PipelineSpec pipeline, bool with_pieces = false)
    {
        publish(std::move(pipeline), {}, with_pieces);
    }

    /// `version`: of the stream that the request continues, if it does.
    void arrive(RequestId id, Micros deadline, std::vector<int> pieces = {},
                bool asks_leader = false, std::optional<std::string> version = std::nullopt)
    {
        RequestSpec spec;
        spec.id = id;
        spec.snapshot = snapshot;
        spec.account = snapshot->bundle->anonymous_account;
        spec.deadline = deadline;
        spec.pieces = std::move(pieces);
        spec.asks_leader = asks_leader;
        spec.resumes_stream = version.has_value();
        spec.version = std::move(version);
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

    void set_daemons(int count, bool knows_all)
    {
        m_scheduler.set_daemons(count, knows_all);
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

inline PipelineSpec
pipeline(bool repeatable)
{
    PipelineSpec spec;
    spec.name = "p";
    spec.stages.emplace_back();
    spec.stages[0].repeatable = repeatable;
    spec.max_attempts = 3;
    return spec;
}

} // namespace cypressford
