// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// State of upstreams in one daemon, and the immutable snapshot of bundle and upstreams
/// that a request uses from its first byte to its last.

#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <cypressford/bundle.h>
#include <cypressford/cold.h>
#include <cypressford/hall_limit.h>
#include <cypressford/path_index.h>
#include <cypressford/policy.h>
#include <cypressford/self_report.h>
#include <cypressford/upstream_run.h>
#include <cypressford/upstream_speed.h>

namespace cypressford {

/// Dense ids, stable across all snapshots of one process.
using SetId = std::uint32_t;
using StageId = std::uint32_t;

/// A load report that an upstream sent to some daemon of the hall.
struct LoadReport {
    int in_flight = 0;
    int queued = 0;
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Live state of one upstream.  Shared by all threads; its variable members are atomic
/// because they are read and written on the request path.
struct UpstreamState {
    /// `seed`: random, one per daemon.
    UpstreamState(std::string address_, std::string hall_, std::string identity_ = {},
                  std::uint64_t seed = 0, std::int64_t born_ = 0,
                  std::shared_ptr<SelfReport> self_report_ = std::make_shared<SelfReport>(),
                  std::string version_ = {})
        : address(std::move(address_))
        , hall(std::move(hall_))
        , identity(std::move(identity_))
        , born(born_)
        , version(std::move(version_))
        , self_report(std::move(self_report_))
        , cold(seed ^ address_hash ^ std::hash<std::string> {}(identity))
    {
    }

    const std::string address; ///< "ip:port"
    const std::string hall;
    const std::string identity; ///< empty if the platform gives none
    const std::int64_t born; ///< start time of this run; see UpstreamRun
    /// Software version, by the platform's list; versions have no order.  Empty: not given.
    const std::string version;
    const std::shared_ptr<SelfReport> self_report; ///< self-report of this run; never null
    const std::uint64_t address_hash = std::hash<std::string> {}(address);

    std::atomic<int> slots {0}; ///< concurrent calls; 0: as configured for its set
    std::atomic<int> configured_slots {0}; ///< of its set
    std::atomic<int> in_flight {0}; ///< calls of this daemon
    std::atomic<int> others_in_flight {
        0}; ///< calls of other daemons, including queued ones, as last reported
    std::atomic<int> queued {0}; ///< calls queued at the upstream, as last reported
    std::atomic<Micros> reported_at {-1}; ///< when the report was made; -1 for never
    std::atomic<std::uint64_t> incarnation {0};
    std::atomic<bool> leaving {false};
    std::atomic<bool> evacuated {false}; ///< operators have evacuated its hall
    std::atomic<Micros> ejected_until {0};
    std::atomic<int> failures {0}; ///< consecutive
    std::atomic<int> ejections {0}; ///< since the last success
    std::atomic<bool> probing {false}; ///< one trial call is in progress
    std::atomic<Micros> latency {0}; ///< moving average; 0 while unknown
    std::atomic<Micros> answered_at {0}; ///< time of the last complete answer
    ColdState cold;
    ReportedSpeed speed;

    /// True if the platform, a peer or the upstream itself reports it as leaving.
    bool is_leaving(Micros now) const
    {
        return leaving.load(std::memory_order_relaxed) || self_report->may_be_leaving(now);
    }

    /// Concurrent calls that it serves.
    int slot_count() const
    {
        const int own = slots.load(std::memory_order_relaxed);
        return own > 0 ? own : configured_slots.load(std::memory_order_relaxed);
    }

    /// The run of the upstream that this state belongs to.
    UpstreamRun run() const { return {identity, born}; }

    /// Applies the settings that its set has for all its upstreams.
    void apply_spec(const UpstreamSetSpec& spec);

    /// Applies a load report made at `at`; ignored if older than the last one.
    void apply_report(const LoadReport& report, Micros at);

    /// Records a complete answer received after `service_time`.
    void record_success(Micros service_time, Micros now);

    /// Records a failed call.  After `limit` consecutive failures the upstream is ejected
    /// for a period that doubles with each ejection; true if this call ejected it.
    bool record_failure(int limit, Micros now);

    /// Marks it as leaving in its present incarnation.  Only a report of a
    /// later incarnation clears the mark.
    void mark_leaving() { leaving.store(true, std::memory_order_relaxed); }
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// Live state of one client account's share on this daemon.
struct AccountState {
    std::atomic<Micros> next_allowed {0}; ///< theoretical arrival time (GCRA)
    std::atomic<double> share {1.0}; ///< this daemon's part of the account's rate
    std::atomic<std::uint64_t> admitted {0};

    /// Takes one request from the share: 0, or the time until the next one is allowed.
    Micros take(const AccountSpec& spec, Micros now);
};

/// Load of a set of batched upstreams, as last reported by the daemon that leads it.
class SetLoad {
public:
    /// Sets the expected wait of a piece of that priority that arrives at `now`.
    void set_expected_wait(int priority, Micros expected_wait, Micros now)
    {
        WaitEstimate& estimate = m_waits.at(static_cast<std::size_t>(priority));
        estimate.wait.store(expected_wait, std::memory_order_relaxed);
        estimate.at.store(now, std::memory_order_relaxed);
    }
    /// The reported wait less the time passed since, in which the queue was worked off.
    Micros wait_at(int priority, Micros now) const
    {
        const WaitEstimate& estimate = m_waits.at(static_cast<std::size_t>(priority));
        const Micros age = now - estimate.at.load(std::memory_order_relaxed);
        return std::max<Micros>(0, estimate.wait.load(std::memory_order_relaxed) - age);
    }

    /// Records by how much pieces of that priority took longer than their call alone.
    void record_delay(int priority, Micros delay)
    {
        auto& average = m_delays.at(static_cast<std::size_t>(priority));
        const Micros before = average.load(std::memory_order_relaxed);
        average.store(before + (delay - before) / kDelayWeight, std::memory_order_relaxed);
    }
    /// Moving average of the recorded delays.
    Micros typical_delay(int priority) const
    {
        return m_delays.at(static_cast<std::size_t>(priority))
            .load(std::memory_order_relaxed);
    }

private:
    /// Weight of one delay in the moving average: 1 / kDelayWeight.  About ten delays,
    /// which arrive in less than a second, replace the old value.
    static constexpr Micros kDelayWeight = 8;

    struct WaitEstimate {
        std::atomic<Micros> wait {0};
        std::atomic<Micros> at {0};
    };
    std::array<WaitEstimate, kLowestPriority + 1> m_waits;
    std::array<std::atomic<Micros>, kLowestPriority + 1> m_delays {};
};

/// The upstreams of one set, by hall.
struct UpstreamSet {
    SetId id = 0;
    std::shared_ptr<SetLoad> load = std::make_shared<SetLoad>();
    UpstreamSetSpec spec;
    std::vector<std::shared_ptr<UpstreamState>> own; ///< in this daemon's hall
    std::vector<std::shared_ptr<UpstreamState>> remote; ///< in other halls
    /// Generation of the snapshot in which `own` or `remote` last changed.
    std::uint64_t revision = 0;
    /// Number of upstreams that the platform lists, by software version.
    std::map<std::string, int> versions;

    /// False: no upstream of the set has a software version.
    bool names_versions() const
    {
        return versions.size() > 1 || (versions.size() == 1 && !versions.contains(""));
    }
};

/// Learned state of one pipeline, shared by all threads.
struct PipelineState {
    std::atomic<Micros> first_byte {0}; ///< moving average, from request to response head

    void record_first_byte(Micros time)
    {
        constexpr Micros weight = 8;
        const Micros old = first_byte.load(std::memory_order_relaxed);
        first_byte.store(old == 0 ? time : old + (time - old) / weight,
                         std::memory_order_relaxed);
    }
};

/// One pipeline with its stages resolved.
struct ResolvedPipeline {
    explicit ResolvedPipeline(PipelineSpecPtr spec_)
        : source(std::move(spec_))
        , spec(*source)
    {
    }

    const PipelineSpecPtr source;
    const PipelineSpec& spec; ///< part of `source`
    std::shared_ptr<PipelineState> state;
    bool repeatable = true;
    std::vector<std::size_t> sets; ///< per stage: index into Snapshot::sets
    std::vector<StageId> stage_ids; ///< per stage: id for learned latencies
    std::vector<std::size_t> piece_sets; ///< per piece stage: index into Snapshot::sets
    std::vector<StageId> piece_stage_ids; ///< per piece stage
    HallLimit halls; ///< halls of its regions
};

using ResolvedPipelinePtr = std::shared_ptr<const ResolvedPipeline>;

/// Pipelines by numbers that stay the same from one version of a bundle to the next.
class PipelineSlots {
public:
    using Number = PathIndex::Pipeline;

    Number add(ResolvedPipelinePtr pipeline);
    void remove(Number number);

    const ResolvedPipeline& operator[](std::size_t number) const
    {
        return *m_slots[number];
    }
    /// Number of pipelines.
    std::size_t size() const { return m_slots.size() - m_free.size(); }

private:
    std::vector<ResolvedPipelinePtr> m_slots; ///< null: free
    std::vector<Number> m_free;
};

/// One account with its live state.
struct ResolvedAccount {
    AccountSpec spec;
    std::shared_ptr<AccountState> state;
    HallLimit halls {}; ///< halls of its regions
    int first_rank = 0; ///< see ResolvedBundle::rank_of()
};

/// A bundle with its pipelines and accounts resolved.  Immutable, and shared by all
/// snapshots of the bundle: changes of upstreams make about one snapshot a second.
struct ResolvedBundle {
    std::string name;
    std::uint64_t version = 0;
    std::vector<UpstreamSetSpec> sets; ///< in the order of Snapshot::sets
    PipelineSlots pipelines;
    std::vector<PipelineSlots::Number> order; ///< of the pipelines in the bundle
    std::vector<ResolvedAccount> accounts;
    SharedIndex pipelines_by_name; ///< by hash; see find_pipeline()
    std::unordered_map<std::string, std::size_t> account_by_digest;
    PathIndex paths; ///< of relayed pipelines
    std::map<int, std::size_t> pipelines_by_priority; ///< number of pipelines
    std::map<int, int> rank_offsets; ///< by priority of pipelines; see rank_of()
    std::size_t anonymous_account
        = 0; ///< index of the account of callers without a credential
    bool requires_credential = false; ///< see Bundle::requires_credential
    CallerLimits limits;

    /// The pipeline with that name.
    std::optional<std::size_t> find_pipeline(std::string_view pipeline_name) const;

    /// Among the pipelines that share the longest prefix, the one whose first set has that
    /// name.
    std::optional<std::size_t> match_set(std::string_view host, std::string_view path,
                                         std::string_view set_name) const;

    /// The pipeline for a relayed request; `pick` chooses by weight among those that
    /// share the longest prefix.  Nothing if none matches.
    std::optional<std::size_t> match(std::string_view host, std::string_view path,
                                     std::uint64_t pick) const;

    /// Precedence of requests of this account to this pipeline, 0 for the first, up to
    /// kLowestPriority.  The distinct pairs of an account's and a pipeline's priority are
    /// numbered in ascending order, the account's first; all pairs from kLowestPriority on
    /// share that number.  Daemons with the same bundle compute the same numbers.
    int rank_of(std::size_t account, std::size_t pipeline) const;

    /// Priority of these requests in queues, admission and calls, up to kLowestPriority:
    /// rank_of() with Mechanism::AccountPrecedence, otherwise the pipeline's own.
    int priority_of(std::size_t account, std::size_t pipeline,
                    const PolicySwitches& switches) const;

private:
    /// The pipelines of that host with the longest prefix of the path.
    std::vector<std::size_t> match_all(std::string_view host, std::string_view path) const;
};

using ResolvedBundlePtr = std::shared_ptr<const ResolvedBundle>;

/// Bundle in force and upstreams.  Immutable.
struct Snapshot {
    ResolvedBundlePtr bundle;
    std::uint64_t generation = 0; ///< counts snapshots of this process
    std::vector<UpstreamSet> sets;
};

/// An upstream as the platform lists it.
struct UpstreamMember {
    std::string identity;
    std::string upstream_set;
    std::string address; ///< "ip:port"
    std::string hall;
    int slots = 0; ///< 0: as configured for its set
    bool leaving = false;
    Micros cold_until = 0; ///< end of the cold period after its start
    std::int64_t born = 0; ///< start time of this run; see UpstreamRun
    std::string version {}; ///< of its software; empty: not given

    bool operator==(const UpstreamMember&) const = default;
};

/// Software versions of upstreams, by set.
using VersionsBySet = std::map<std::string, std::set<std::string>>;

/// Change of one upstream in the platform's list.
struct MemberChange {
    std::optional<UpstreamMember> before; ///< nothing: it is new
    std::optional<UpstreamMember> now; ///< nothing: it is no longer listed
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Makes snapshots and carries live state over from each to the next.
class UpstreamTable {
public:
    /// Region of each hall.
    using Regions = std::map<std::string, std::string>;

    /// `hall`: of this daemon.  `seed`: random, one per daemon.
    explicit UpstreamTable(std::string hall, std::uint64_t seed = 0, Regions regions = {})
        : m_hall(std::move(hall))
        , m_seed(seed)
        , m_regions(std::move(regions))
        , m_reports(seed, m_sharers)
    {
    }

    /// Sets the number of live daemons in all halls, which share the rates of
    /// upstreams.  Called by one thread.
    void set_daemons(int count, Micros now) { m_sharers->set(count, now); }
    /// Sets this daemon's place in the list of live daemons, from 0.
    void set_own_index(int index) { m_sharers->set_own_index(index); }

    /// Resolves a bundle.  Like all functions here, not on the request path.  `before`: the
    /// version before, with which pipelines are shared; null: none.
    ResolvedBundlePtr resolve(const Bundle& bundle,
                              const ResolvedBundlePtr& before = nullptr);

    /// A snapshot of the bundle with the upstreams that it names and those that the
    /// platform lists.  An upstream that is no longer listed gets no new work, not even
    /// by way of older snapshots.
    SnapshotPtr build(ResolvedBundlePtr bundle, const std::vector<UpstreamMember>& members);

    /// The snapshot `before` with these changes, in time proportional to their number.
    /// Null if the bundle has other sets; a snapshot must then be built.
    SnapshotPtr update(const Snapshot& before, ResolvedBundlePtr bundle,
                       const std::vector<MemberChange>& changes);

    /// Resolves the bundle and builds the snapshot.
    SnapshotPtr build(const Bundle& bundle,
                      const std::vector<UpstreamMember>& members = {});

    /// Sets the evacuated halls.  Their upstreams get no new work, not even by way of
    /// older snapshots.  Upstreams of a hall that returns to service are taken to be
    /// cold: they may have been started during the evacuation.
    void set_evacuated(std::vector<std::string> halls, Micros now);

    /// The upstream with that address, or null.
    std::shared_ptr<UpstreamState> find(std::string_view address) const;

    /// Hall of the upstreams, of any identity, at that address; nothing if there are none.
    std::optional<std::string> hall_at(std::string_view address) const;

    /// All upstreams known to this table.
    std::vector<std::shared_ptr<UpstreamState>> all() const;

private:
    std::shared_ptr<UpstreamState> upstream(const std::string& address,
                                            const std::string& hall,
                                            const UpstreamRun& run = {},
                                            const std::string& version = {});
    std::uint32_t id_of(const std::string& name);
    /// The key includes the run and the version: a reused address with another identity, or
    /// a restarted upstream, has a state of its own.
    static std::string key_of(const std::string& address, const UpstreamRun& run,
                              const std::string& version);
    static std::string key_of(const UpstreamMember& member)
    {
        return key_of(member.address, {member.identity, member.born}, member.version);
    }
    UpstreamSet resolve_set(const UpstreamSetSpec& spec);
    ResolvedPipelinePtr
    resolve_pipeline(const PipelineSpecPtr& source,
                     const std::map<std::string, std::size_t>& set_index);
    void resolve_pipelines(ResolvedBundle& resolved, const PipelineList& pipelines);
    void add_accounts(ResolvedBundle& resolved, const std::vector<AccountSpec>& accounts);
    void add_members(Snapshot& snapshot, const std::vector<UpstreamMember>& members);
    void add_member(UpstreamSet& set, const UpstreamMember& member);
    void remove_member(Snapshot& snapshot, const UpstreamMember& member);
    void retire_unlisted(const std::vector<UpstreamMember>& members);
    void retire(UpstreamState& upstream, bool is_run_listed);

    bool is_evacuated(const std::string& hall) const;

    /// Halls of these regions; all halls if no regions are configured.
    HallLimit halls_of(const std::optional<std::vector<std::string>>& regions) const;

    const std::string m_hall;
    const std::uint64_t m_seed;
    const Regions m_regions;
    const std::shared_ptr<SharerCount> m_sharers = std::make_shared<SharerCount>();
    std::vector<std::string> m_evacuated; ///< halls
    /// Held while a bundle is resolved; locked before m_mutex.
    std::mutex m_resolve_mutex;
    /// Threads of requests wait for it, so it is not held while a bundle is resolved.
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<UpstreamState>, std::less<>> m_upstreams;
    SelfReports m_reports; ///< of upstreams with an identity
    std::uint64_t m_generation = 0;
    // Guarded by m_resolve_mutex.
    std::map<std::string, std::shared_ptr<AccountState>> m_accounts;
    std::map<std::string, std::uint32_t> m_ids;
    std::map<SetId, std::shared_ptr<SetLoad>> m_loads;
    std::map<std::string, std::shared_ptr<PipelineState>> m_pipelines;
};

} // namespace cypressford
