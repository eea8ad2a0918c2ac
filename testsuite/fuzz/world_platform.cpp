// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform of the fuzzer's world: its log, and the daemons' reads of it.

#include "world_impl.h"

namespace cypressford::fuzz {

bool
World::can_reach_log(const Daemon& daemon) const
{
    return !m_log.outage && m_log.cut_halls.count(daemon.hall) == 0;
}

void
World::append(Daemon& daemon, const ClaimBatch& batch)
{
    const std::size_t d = daemon.index;
    const std::uint64_t inc = daemon.incarnation;
    const std::string record = encode(batch);
    const Micros delay_there
        = m_log.slow ? Micros(m_random() % 5000) * kMillisecond : random_delay();
    const auto report_end = [this, d, inc](Micros delay, bool stored) {
        deliver(d, inc, delay, [this, stored](Daemon& daemon_) {
            feed_claims(daemon_, AppendEnded {stored});
        });
    };
    // The client's call ends at its timeout; the append may take effect after that.
    const bool in_time = delay_there < kLogTimeout;
    if (!in_time)
        report_end(kLogTimeout, false);
    m_time.after(delay_there, [this, report_end, in_time, record, hall = daemon.hall] {
        const bool reached = !m_log.outage && m_log.cut_halls.count(hall) == 0;
        if (reached)
            m_log.streams["claims"].records.push_back(record);
        if (in_time)
            report_end(random_delay(), reached && !m_log.lose_answers);
    });
}

void
World::poll(Daemon& daemon)
{
    if (!can_reach_log(daemon) || m_log.slow)
        daemon.node_list_current_since = -1;
    else if (daemon.node_list_current_since < 0)
        daemon.node_list_current_since = m_time.now();
    if (!can_reach_log(daemon) || (m_log.slow && m_random() % 50 != 0))
        return;
    read_claims(daemon);
    read_bundles(daemon);
    read_node_list(daemon);
}

void
World::read_claims(Daemon& daemon)
{
    const auto& stream = m_log.streams["claims"];
    feed_claims(daemon, FirstRetained {stream.first});
    for (Offset at = std::max(daemon.claimer->ledger().next(), stream.first);
         at < stream.next(); ++at) {
        const auto batch = decode_claims(stream.records[std::size_t(at - stream.first)]);
        feed_claims(daemon, ClaimRecordRead {at, *batch});
    }
}

void
World::read_bundles(Daemon& daemon)
{
    const auto& stream = m_log.streams["bundles"];
    BundleFold& fold = *daemon.bundles;
    const std::uint64_t before = fold.in_force_version();
    while (fold.next() < stream.next())
        fold.apply(fold.next(), stream.records[std::size_t(fold.next())]);
    const std::uint64_t after = fold.in_force_version();
    if (after < before)
        report_violation("bundle version decreased from " + std::to_string(before));
    if (after == before || !fold.in_force())
        return;
    if (canonical_json(*fold.in_force()) != m_bundle_bytes[after])
        report_violation("daemons have different contents of bundle "
                         + std::to_string(after));
    daemon.snapshot = daemon.table->build(*fold.in_force());
}

Bundle
World::make_bundle(std::uint64_t version, std::uint64_t builds_on, int priority) const
{
    Bundle bundle;
    bundle.name = "fuzz";
    bundle.version = version;
    bundle.builds_on = builds_on;
    for (const FakeUpstream& upstream : m_upstreams) {
        const std::string name = upstream.address.substr(0, upstream.address.size() - 1);
        if (bundle.upstream_sets.empty() || bundle.upstream_sets.back().name != name) {
            UpstreamSetSpec set;
            set.name = name;
            set.kind = "service";
            set.slots = 4;
            set.deduplicates = upstream.deduplicates;
            bundle.upstream_sets.push_back(set);
        }
        bundle.upstream_sets.back().halls[upstream.hall].push_back(upstream.address);
    }
    for (std::size_t p = 0; p < kPipelines; ++p) {
        PipelineSpec pipeline;
        pipeline.name = "p" + std::to_string(p);
        pipeline.priority = priority;
        for (const std::string& name : stages_of(p)) {
            StageSpec stage;
            stage.name = name;
            const bool once = name == "print" || name == "push" || name == "notify";
            stage.repeatable = !once;
            stage.upstream_set = name == "notify" ? "dedup" : once ? "once" : "plain";
            pipeline.stages.push_back(stage);
        }
        bundle.pipelines.push_back(pipeline);
    }
    bundle.accounts.push_back({"callers", std::string(64, 'a'), 1e6, 1e6});
    return bundle;
}

} // namespace cypressford::fuzz
