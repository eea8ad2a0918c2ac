// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a daemon knows of upstreams, and the immutable snapshot of bundle and
/// upstreams that a request reads from its first byte to its last.

#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <cypressford/bundle.h>
#include <cypressford/cold.h>
#include <cypressford/hall_limit.h>
#include <cypressford/path_index.h>
#include <cypressford/self_report.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

/// Dense ids that stay the same over all snapshots of one process.
using SetId = std::uint32_t;
using StageId = std::uint32_t;

/// A load report, as an upstream gave it to some daemon of the hall.
struct LoadReport {
    int in_flight = 0;
    int queued = 0;
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Live state of one upstream.  Shared by all threads; every member is atomic
/// because it is read and written on the path of a request.
struct UpstreamState {
    /// `seed`: drawn by this daemon.
    UpstreamState(std::string address_, std::string hall_, std::string identity_ = {},
                  std::uint64_t seed = 0, std::int64_t born_ = 0,
                  std::shared_ptr<SelfReport> said_ = std::make_shared<SelfReport>())
        : address(std::move(address_))
        , hall(std::move(hall_))
        , identity(std::move(identity_))
        , born(born_)
        , said(std::move(said_))
        , cold(seed ^ address_hash ^ std::hash<std::string> {}(identity))
    {
    }

    const std::string address; ///< "ip:port"
    const std::string hall;
    const std::string identity; ///< if the platform tells; else empty
    const std::int64_t born; ///< start of this run of it; see UpstreamRun
    const std::shared_ptr<SelfReport> said; ///< by this run; never null
    const std::uint64_t address_hash = std::hash<std::string> {}(address);

    std::atomic<int> slots {0}; ///< calls it runs at a time; 0: as its set says
    std::atomic<int> in_flight {0}; ///< calls of this daemon
    std::atomic<int> others {
        0}; ///< calls of other daemons, queued ones too, as last reported
    std::atomic<int> queued {0}; ///< calls queued there, as last reported
    std::atomic<Micros> reported_at {-1}; ///< when the report was made; -1 for never
    std::atomic<std::uint64_t> incarnation {0};
    std::atomic<bool> leaving {false};
    std::atomic<bool> evacuated {false}; ///< operators have evacuated its hall
    std::atomic<Micros> ejected_until {0};
    std::atomic<int> failures {0}; ///< consecutive
    std::atomic<int> ejections {0}; ///< since the last success
    std::atomic<bool> probing {false}; ///< one trial call is under way
    std::atomic<Micros> latency {0}; ///< moving average; 0 while unknown
    std::atomic<Micros> answered_at {0}; ///< time of the last whole answer
    ColdState cold;

    /// True if the platform, a peer or the upstream itself says so.
    bool is_leaving(Micros now) const
    {
        return leaving.load(std::memory_order_relaxed) || said->may_be_leaving(now);
    }

    /// Which run of which upstream this is.
    UpstreamRun run() const { return {identity, born}; }

    /// What its set says of all its upstreams.
    void apply_spec(const UpstreamSetSpec& spec);

    /// Takes over a load report that was made at `at`.  Older ones are ignored.
    void apply_report(const LoadReport& report, Micros at);

    /// A whole answer came after `service_time`.
    void record_success(Micros service_time, Micros now);

    /// A call failed.  After `limit` of them in a row the upstream is taken out
    /// for a while that doubles each time; true if that happened now.
    bool record_failure(int limit, Micros now);

    /// Marks it as leaving in its present incarnation.  Only a report of a
    /// later incarnation takes the mark away again.
    void mark_leaving() { leaving.store(true, std::memory_order_relaxed); }
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// Live state of one client account's share on this daemon.
struct AccountState {
    std::atomic<Micros> next_allowed {0}; ///< theoretical arrival time (GCRA)
    std::atomic<double> share {1.0}; ///< part of the account's rate that is ours
    std::atomic<std::uint64_t> admitted {0};

    /// Takes one request out of the share, or returns how long until it may come.
    Micros take(const AccountSpec& spec, Micros now);
};

/// What the daemon that leads a set of batched upstreams last said of it.
class SetLoad {
public:
    /// A piece of that priority that came at `now` would wait so long.
    void tell(int priority, Micros expected_wait, Micros now)
    {
        Told& told = m_told.at(static_cast<std::size_t>(priority));
        told.wait.store(expected_wait, std::memory_order_relaxed);
        told.at.store(now, std::memory_order_relaxed);
    }
    /// The wait as it must be by now: what waited then is worked off since.
    Micros wait_at(int priority, Micros now) const
    {
        const Told& told = m_told.at(static_cast<std::size_t>(priority));
        const Micros age = now - told.at.load(std::memory_order_relaxed);
        return std::max<Micros>(0, told.wait.load(std::memory_order_relaxed) - age);
    }

    /// Pieces of that priority took so much longer than their call alone takes.
    void record_delay(int priority, Micros delay)
    {
        auto& average = m_delays.at(static_cast<std::size_t>(priority));
        const Micros before = average.load(std::memory_order_relaxed);
        average.store(before + (delay - before) / kDelayWeight, std::memory_order_relaxed);
    }
    /// The same as it was of late.
    Micros typical_delay(int priority) const
    {
        return m_delays.at(static_cast<std::size_t>(priority))
            .load(std::memory_order_relaxed);
    }

private:
    /// One observation counts for this part of the average: some ten of them, less
    /// than a second's, replace what was.
    static constexpr Micros kDelayWeight = 8;

    struct Told {
        std::atomic<Micros> wait {0};
        std::atomic<Micros> at {0};
    };
    std::array<Told, kLowestPriority + 1> m_told;
    std::array<std::atomic<Micros>, kLowestPriority + 1> m_delays {};
};

/// The upstreams of one set, own hall first.
struct UpstreamSet {
    SetId id = 0;
    std::shared_ptr<SetLoad> load = std::make_shared<SetLoad>();
    UpstreamSetSpec spec;
    std::vector<std::shared_ptr<UpstreamState>> own; ///< in this daemon's hall
    std::vector<std::shared_ptr<UpstreamState>> remote; ///< in other halls
    /// Generation of the snapshot in which the two last changed.
    std::uint64_t revision = 0;
};

/// What is learned of one pipeline, shared by all threads.
struct PipelineState {
    std::atomic<Micros> first_byte {0}; ///< from sending to an answer's head; average

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
    PipelineSpec spec;
    std::shared_ptr<PipelineState> state;
    bool repeatable = true;
    std::vector<std::size_t> sets; ///< per stage: index into Snapshot::sets
    std::vector<StageId> stage_ids; ///< per stage: id for learned latencies
    std::vector<std::size_t> piece_sets; ///< per piece stage: index into Snapshot::sets
    std::vector<StageId> piece_stage_ids; ///< per piece stage
    HallLimit halls; ///< by its regions
};

/// One account with its live state.
struct ResolvedAccount {
    AccountSpec spec;
    std::shared_ptr<AccountState> state;
    HallLimit halls {}; ///< by its regions
};

/// A bundle with its pipelines and accounts resolved.  Never changes once made, and is
/// shared by all snapshots of the bundle: upstreams that are replaced make a snapshot a
/// second.
struct ResolvedBundle {
    std::string name;
    std::uint64_t version = 0;
    std::vector<UpstreamSetSpec> sets; ///< in the order of Snapshot::sets
    std::vector<ResolvedPipeline> pipelines;
    std::vector<ResolvedAccount> accounts;
    std::unordered_map<std::string, std::size_t> pipeline_by_name;
    std::unordered_map<std::string, std::size_t> account_by_digest;
    std::unordered_map<std::string, PathIndex> paths_by_host; ///< of relayed pipelines
    std::size_t nobody = 0; ///< index of the account of callers without a credential
    CallerLimits limits;

    /// The pipeline for a relayed request; `pick` chooses among those that
    /// share the longest prefix, by weight.  Nothing: there is none.
    std::optional<std::size_t> match(std::string_view host, std::string_view path,
                                     std::uint64_t pick) const;
};

using ResolvedBundlePtr = std::shared_ptr<const ResolvedBundle>;

/// Bundle in force and upstreams.  Never changes once made.
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
    int slots = 0; ///< 0: as its set says
    bool leaving = false;
    Micros cold_until = 0; ///< it has started lately, and is cold until then
    std::int64_t born = 0; ///< start of this run of it; see UpstreamRun

    bool operator==(const UpstreamMember&) const = default;
};

/// What became of one upstream that the platform lists.
struct MemberChange {
    std::optional<UpstreamMember> before; ///< nothing: it is new
    std::optional<UpstreamMember> now; ///< nothing: it is listed no more
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Makes snapshots and carries live state over from one to the next.
class UpstreamTable {
public:
    /// Region of each hall.
    using Regions = std::map<std::string, std::string>;

    /// `hall`: of this daemon.  `seed`: drawn by it.
    explicit UpstreamTable(std::string hall, std::uint64_t seed = 0, Regions regions = {})
        : m_hall(std::move(hall))
        , m_seed(seed)
        , m_regions(std::move(regions))
        , m_reports(seed, m_sharers)
    {
    }

    /// So many daemons are alive in all halls; they share what upstreams bear.  Called by
    /// one thread.
    void set_daemons(int count, Micros now) { m_sharers->set(count, now); }

    /// Resolves a bundle.  Not on the path of a request, as all of these.
    ResolvedBundlePtr resolve(const Bundle& bundle);

    /// A snapshot of the bundle with the upstreams that it names and those that the
    /// platform lists.  One that is listed no more gets nothing new from now on, also
    /// under older snapshots.
    SnapshotPtr build(ResolvedBundlePtr bundle, const std::vector<UpstreamMember>& members);

    /// The snapshot `before` with these changes, in time that follows their number.  Null:
    /// the bundle has other sets, so that a snapshot must be built.
    SnapshotPtr update(const Snapshot& before, ResolvedBundlePtr bundle,
                       const std::vector<MemberChange>& changes);

    /// Both in one.
    SnapshotPtr build(const Bundle& bundle,
                      const std::vector<UpstreamMember>& members = {});

    /// These halls are evacuated and no others: their upstreams get nothing new from now
    /// on, also under older snapshots.  A hall that comes back comes back cold: its
    /// upstreams may have been started while they got nothing.
    void set_evacuated(std::vector<std::string> halls, Micros now);

    /// The upstream with that address, or null.
    std::shared_ptr<UpstreamState> find(std::string_view address) const;

    /// All upstreams met so far.
    std::vector<std::shared_ptr<UpstreamState>> all() const;

private:
    std::shared_ptr<UpstreamState> upstream(const std::string& address,
                                            const std::string& hall,
                                            const UpstreamRun& run = {});
    std::uint32_t id_of(const std::string& name);
    /// A reused address with another identity, or one that started again, is another one.
    static std::string key_of(const std::string& address, const UpstreamRun& run);
    UpstreamSet resolve_set(const UpstreamSetSpec& spec);
    ResolvedPipeline resolve_pipeline(const PipelineSpec& spec,
                                      const std::map<std::string, std::size_t>& set_index);
    void add_accounts(ResolvedBundle& resolved, const std::vector<AccountSpec>& accounts);
    void add_members(Snapshot& snapshot, const std::vector<UpstreamMember>& members);
    void add_member(UpstreamSet& set, const UpstreamMember& member);
    void remove_member(Snapshot& snapshot, const UpstreamMember& member);
    void retire_unlisted(const std::vector<UpstreamMember>& members);
    void retire(UpstreamState& upstream);

    bool is_evacuated(const std::string& hall) const;

    /// Halls of these regions; all if there are none.
    HallLimit halls_of(const std::vector<std::string>& regions) const;

    const std::string m_hall;
    const std::uint64_t m_seed;
    const Regions m_regions;
    const std::shared_ptr<SharerCount> m_sharers = std::make_shared<SharerCount>();
    std::vector<std::string> m_evacuated; ///< halls
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<UpstreamState>, std::less<>> m_upstreams;
    SelfReports m_reports; ///< of upstreams with an identity
    std::map<std::string, std::shared_ptr<AccountState>> m_accounts;
    std::map<std::string, std::uint32_t> m_ids;
    std::map<SetId, std::shared_ptr<SetLoad>> m_loads;
    std::map<std::string, std::shared_ptr<PipelineState>> m_pipelines;
    std::uint64_t m_generation = 0;
};

} // namespace cypressford
