// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/upstream.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>

#include "libutil/crypto.h"
#include "libutil/turn_giver.h"

namespace cypressford {

namespace {

constexpr Micros kFirstEjection = 500 * kMillisecond;
constexpr int kMaxDoublings = 5;
// Weight of a new sample in the moving average: 1 / kAverageWeight.
constexpr Micros kAverageWeight = 8;

} // namespace

void
UpstreamState::record_success(Micros service_time, Micros now)
{
    failures.store(0, std::memory_order_relaxed);
    ejections.store(0, std::memory_order_relaxed);
    const Micros old = latency.load(std::memory_order_relaxed);
    const Micros next
        = old == 0 ? service_time : old + (service_time - old) / kAverageWeight;
    latency.store(std::max<Micros>(1, next), std::memory_order_relaxed);
    answered_at.store(now, std::memory_order_relaxed);
}

bool
UpstreamState::record_failure(int limit, Micros now)
{
    const int in_row = failures.fetch_add(1, std::memory_order_relaxed) + 1;
    const int before = ejections.load(std::memory_order_relaxed);
    if (in_row < limit && before == 0)
        return false;
    if (ejected_until.load(std::memory_order_relaxed) > now)
        return false;
    const Micros span = kFirstEjection << std::min(before, kMaxDoublings);
    ejected_until.store(now + span, std::memory_order_relaxed);
    ejections.store(before + 1, std::memory_order_relaxed);
    return true;
}

void
UpstreamState::apply_report(const LoadReport& report, Micros at)
{
    if (at <= reported_at.load(std::memory_order_relaxed))
        return;
    const std::uint64_t known = incarnation.load(std::memory_order_relaxed);
    if (report.incarnation < known)
        return;
    if (report.incarnation > known) {
        if (known != 0)
            cold.assume_cold(at);
        incarnation.store(report.incarnation, std::memory_order_relaxed);
        leaving.store(report.leaving, std::memory_order_relaxed);
    } else if (report.leaving) {
        mark_leaving();
    }
    const int own = in_flight.load(std::memory_order_relaxed);
    // Queued calls wait for the same slots, whichever daemon sent them.
    const int all = report.in_flight + report.queued;
    others_in_flight.store(std::max(0, all - own), std::memory_order_relaxed);
    queued.store(report.queued, std::memory_order_relaxed);
    reported_at.store(at, std::memory_order_relaxed);
}

Micros
AccountState::take(const AccountSpec& spec, Micros now)
{
    const double rate = spec.rate * share.load(std::memory_order_relaxed);
    const auto gap
        = static_cast<Micros>(static_cast<double>(kSecond) / std::max(rate, 1e-6));
    const auto tolerance = static_cast<Micros>(
        static_cast<double>(gap) * std::max(0.0, spec.burst * share.load() - 1));
    Micros expected = next_allowed.load(std::memory_order_relaxed);
    for (;;) {
        const Micros wait = expected - tolerance - now;
        if (wait > 0)
            return wait;
        const Micros next = std::max(expected, now) + gap;
        if (next_allowed.compare_exchange_weak(expected, next, std::memory_order_relaxed)) {
            admitted.fetch_add(1, std::memory_order_relaxed);
            return 0;
        }
    }
}

std::string
UpstreamTable::key_of(const std::string& address, const UpstreamRun& run,
                      const std::string& version)
{
    if (run.identity.empty())
        return address;
    return address + "|" + run.identity + "|" + std::to_string(run.born) + "|" + version;
}

namespace {

/// Callers without a credential share an account without a name.  It has the last priority
/// among the accounts, so that nobody gains precedence by leaving out the credential.
void
add_anonymous_account(ResolvedBundle& bundle)
{
    constexpr double unbounded = 1e9;
    AccountSpec spec;
    for (const ResolvedAccount& account : bundle.accounts)
        spec.priority = std::max(spec.priority, account.spec.priority);
    spec.rate = unbounded;
    spec.burst = unbounded;
    bundle.anonymous_account = bundle.accounts.size();
    bundle.accounts.push_back({spec, std::make_shared<AccountState>()});
}

/// Chooses by weight; `pick` is uniform over the whole range of its type.
std::size_t
choose_by_weight(const ResolvedBundle& bundle, const std::vector<std::size_t>& pipelines,
                 std::uint64_t pick)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    double total = 0;
    for (const std::size_t index : pipelines)
        total += bundle.pipelines[index].spec.weight;
    double left = static_cast<double>(pick) / range * total;
    for (const std::size_t index : pipelines) {
        left -= bundle.pipelines[index].spec.weight;
        if (left < 0)
            return index;
    }
    return pipelines.back();
}

} // namespace

std::optional<std::size_t>
ResolvedBundle::match(std::string_view host, std::string_view path,
                      std::uint64_t pick) const
{
    const std::vector<std::size_t> found = match_all(host, path);
    if (found.empty())
        return std::nullopt;
    return choose_by_weight(*this, found, pick);
}

std::optional<std::size_t>
ResolvedBundle::match_set(std::string_view host, std::string_view path,
                          std::string_view set_name) const
{
    for (const std::size_t index : match_all(host, path))
        if (sets[pipelines[index].sets.front()].name == set_name)
            return index;
    return std::nullopt;
}

std::vector<std::size_t>
ResolvedBundle::match_all(std::string_view host, std::string_view path) const
{
    std::vector<std::size_t> found;
    std::size_t found_length = 0;
    paths.visit(host, path, [&](std::size_t number, std::size_t length) {
        if (!found.empty() && length != found_length)
            return true;
        const PipelineSpec& spec = pipelines[number].spec;
        if (spec.host == host && path.starts_with(spec.path_prefix)
            && spec.path_prefix.size() == length) {
            found.push_back(number);
            found_length = length;
        }
        return false;
    });
    return found;
}

std::optional<std::size_t>
ResolvedBundle::find_pipeline(std::string_view pipeline_name) const
{
    std::optional<std::size_t> found;
    pipelines_by_name.visit(fast_hash(pipeline_name), [&](std::size_t number) {
        if (pipelines[number].spec.name == pipeline_name)
            found = number;
        return found.has_value();
    });
    return found;
}

int
ResolvedBundle::rank_of(std::size_t account, std::size_t pipeline) const
{
    const int offset = rank_offsets.at(pipelines[pipeline].spec.priority);
    return std::min(accounts[account].first_rank + offset, kLowestPriority);
}

int
ResolvedBundle::priority_of(std::size_t account, std::size_t pipeline,
                            const PolicySwitches& switches) const
{
    return switches.uses(Mechanism::AccountPrecedence) ? rank_of(account, pipeline)
                                                       : pipelines[pipeline].spec.priority;
}

namespace {

/// Position of each distinct value in ascending order.
std::map<int, int>
positions_of(const std::set<int>& values)
{
    std::map<int, int> positions;
    for (const int value : values)
        positions.emplace(value, static_cast<int>(positions.size()));
    return positions;
}

/// Every account may call every pipeline, so the ordered pairs of priorities are the
/// accounts' priorities in order, each with all priorities of pipelines.
void
assign_ranks(ResolvedBundle& bundle)
{
    std::set<int> of_accounts;
    std::set<int> of_pipelines;
    for (const ResolvedAccount& account : bundle.accounts)
        of_accounts.insert(account.spec.priority);
    for (const auto& [priority, count] : bundle.pipelines_by_priority)
        of_pipelines.insert(priority);
    const auto account_position = positions_of(of_accounts);
    bundle.rank_offsets = positions_of(of_pipelines);
    const int pipeline_priorities = static_cast<int>(bundle.rank_offsets.size());
    for (ResolvedAccount& account : bundle.accounts)
        account.first_rank
            = account_position.at(account.spec.priority) * pipeline_priorities;
}

std::map<std::string, std::size_t>
index_sets(const std::vector<UpstreamSetSpec>& sets)
{
    std::map<std::string, std::size_t> index;
    for (std::size_t at = 0; at < sets.size(); ++at)
        index[sets[at].name] = at;
    return index;
}

} // namespace

PipelineSlots::Number
PipelineSlots::add(ResolvedPipelinePtr pipeline)
{
    if (m_free.empty()) {
        m_slots.push_back(std::move(pipeline));
        return static_cast<Number>(m_slots.size() - 1);
    }
    const Number number = m_free.back();
    m_free.pop_back();
    m_slots[number] = std::move(pipeline);
    return number;
}

void
PipelineSlots::remove(Number number)
{
    m_slots[number] = nullptr;
    m_free.push_back(number);
}

SnapshotPtr
UpstreamTable::build(const Bundle& bundle, const std::vector<UpstreamMember>& members)
{
    return build(resolve(bundle), members);
}

SnapshotPtr
UpstreamTable::build(ResolvedBundlePtr bundle, const std::vector<UpstreamMember>& members)
{
    const std::scoped_lock lock(m_resolve_mutex, m_mutex);
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->bundle = std::move(bundle);
    snapshot->generation = ++m_generation;
    for (const UpstreamSetSpec& spec : snapshot->bundle->sets)
        snapshot->sets.push_back(resolve_set(spec));
    add_members(*snapshot, members);
    retire_unlisted(members);
    for (UpstreamSet& set : snapshot->sets)
        set.revision = snapshot->generation;
    return snapshot;
}

ResolvedBundlePtr
UpstreamTable::resolve(const Bundle& bundle, const ResolvedBundlePtr& before)
{
    const std::lock_guard lock(m_resolve_mutex);
    auto resolved = std::make_shared<ResolvedBundle>();
    resolved->name = bundle.name;
    resolved->version = bundle.version;
    resolved->sets = bundle.upstream_sets;
    resolved->limits = bundle.limits;
    resolved->requires_credential = bundle.requires_credential;
    // Resolved pipelines refer to sets by their positions.
    if (before && before->sets == bundle.upstream_sets) {
        resolved->pipelines = before->pipelines;
        resolved->order = before->order;
        resolved->pipelines_by_name = before->pipelines_by_name;
        resolved->paths = before->paths;
        resolved->pipelines_by_priority = before->pipelines_by_priority;
    }
    resolve_pipelines(*resolved, bundle.pipelines);
    add_accounts(*resolved, bundle.accounts);
    add_anonymous_account(*resolved);
    assign_ranks(*resolved);
    return resolved;
}

namespace {

void
add_pipeline(ResolvedBundle& bundle, PipelineSlots::Number number)
{
    const PipelineSpec& spec = bundle.pipelines[number].spec;
    bundle.pipelines_by_name.add(fast_hash(spec.name), number);
    ++bundle.pipelines_by_priority[spec.priority];
    if (spec.relayed)
        bundle.paths.add(spec.host, spec.path_prefix, number);
}

void
remove_pipeline(ResolvedBundle& bundle, PipelineSlots::Number number)
{
    const PipelineSpec& spec = bundle.pipelines[number].spec;
    bundle.pipelines_by_name.remove(fast_hash(spec.name), number);
    const auto count = bundle.pipelines_by_priority.find(spec.priority);
    if (--count->second == 0)
        bundle.pipelines_by_priority.erase(count);
    if (spec.relayed)
        bundle.paths.remove(spec.host, spec.path_prefix, number);
    bundle.pipelines.remove(number);
}

} // namespace

/// Replaces the pipelines of `resolved`, which are those of the version before, in time
/// proportional to what differs and a small part that is proportional to all.
void
UpstreamTable::resolve_pipelines(ResolvedBundle& resolved, const PipelineList& pipelines)
{
    const PipelineList::Items& items = pipelines.items();
    const std::vector<PipelineSlots::Number> before = std::move(resolved.order);
    const auto is_same = [&](const PipelineSpecPtr& item, PipelineSlots::Number number) {
        return resolved.pipelines[number].source == item;
    };
    const auto first
        = std::mismatch(items.begin(), items.end(), before.begin(), before.end(), is_same);
    const auto last
        = std::mismatch(items.rbegin(), std::make_reverse_iterator(first.first),
                        before.rbegin(), std::make_reverse_iterator(first.second), is_same);
    std::unordered_map<PipelineSpecPtr, PipelineSlots::Number> between;
    for (auto at = first.second; at != last.second.base(); ++at)
        between.emplace(resolved.pipelines[*at].source, *at);
    resolved.order.assign(before.begin(), first.second);
    resolved.order.reserve(items.size());
    const auto set_index = index_sets(resolved.sets);
    TurnGiver turn_giver;
    for (auto at = first.first; at != last.first.base(); ++at) {
        const auto known = between.find(*at);
        if (known != between.end()) {
            resolved.order.push_back(known->second);
            between.erase(known);
            continue;
        }
        turn_giver.on_step();
        const auto number = resolved.pipelines.add(resolve_pipeline(*at, set_index));
        add_pipeline(resolved, number);
        resolved.order.push_back(number);
    }
    resolved.order.insert(resolved.order.end(), last.second.base(), before.end());
    for (const auto& [source, number] : between)
        remove_pipeline(resolved, number);
}

ResolvedPipelinePtr
UpstreamTable::resolve_pipeline(const PipelineSpecPtr& source,
                                const std::map<std::string, std::size_t>& set_index)
{
    const PipelineSpec& spec = *source;
    auto resolved = std::make_shared<ResolvedPipeline>(source);
    ResolvedPipeline& pipeline = *resolved;
    pipeline.repeatable = spec.repeatable();
    pipeline.halls = halls_of(spec.regions);
    auto& learned = m_pipelines[spec.name];
    if (!learned)
        learned = std::make_shared<PipelineState>();
    pipeline.state = learned;
    for (const auto& stage : spec.stages) {
        pipeline.sets.push_back(set_index.at(stage.upstream_set));
        pipeline.stage_ids.push_back(id_of("stage/" + spec.name + "/" + stage.name));
    }
    for (std::size_t at = 0; at < spec.piece_stages.size(); ++at) {
        pipeline.piece_sets.push_back(set_index.at(spec.piece_stages[at].upstream_set));
        pipeline.piece_stage_ids.push_back(
            id_of("piece/" + spec.name + "/" + std::to_string(at)));
    }
    return resolved;
}

void
UpstreamTable::add_accounts(ResolvedBundle& resolved,
                            const std::vector<AccountSpec>& accounts)
{
    for (const AccountSpec& spec : accounts) {
        auto& state = m_accounts[spec.name];
        if (!state)
            state = std::make_shared<AccountState>();
        for (const auto& digest : spec.additional_credentials)
            resolved.account_by_digest[digest] = resolved.accounts.size();
        resolved.account_by_digest[spec.credential_sha256] = resolved.accounts.size();
        resolved.accounts.push_back({spec, state, halls_of(spec.regions)});
    }
}

UpstreamSet
UpstreamTable::resolve_set(const UpstreamSetSpec& spec)
{
    UpstreamSet set;
    set.id = id_of("set/" + spec.name);
    set.load = m_loads.try_emplace(set.id, set.load).first->second;
    set.spec = spec;
    for (const auto& [hall, addresses] : spec.halls)
        for (const auto& address : addresses)
            (hall == m_hall ? set.own : set.remote).push_back(upstream(address, hall));
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& state : *side)
            state->apply_spec(spec);
    return set;
}

std::shared_ptr<UpstreamState>
UpstreamTable::upstream(const std::string& address, const std::string& hall,
                        const UpstreamRun& run, const std::string& version)
{
    auto& state = m_upstreams[key_of(address, run, version)];
    if (!state) {
        auto self_report = run.identity.empty()
            ? m_reports.make_unregistered(std::hash<std::string> {}(address))
            : m_reports.of(run);
        state = std::make_shared<UpstreamState>(address, hall, run.identity, m_seed,
                                                run.born, std::move(self_report), version);
        state->evacuated.store(is_evacuated(hall), std::memory_order_relaxed);
    }
    return state;
}

HallLimit
UpstreamTable::halls_of(const std::optional<std::vector<std::string>>& regions) const
{
    if (!regions)
        return {};
    std::vector<std::string> halls;
    for (const auto& [hall, region] : m_regions)
        if (std::find(regions->begin(), regions->end(), region) != regions->end())
            halls.push_back(hall);
    return HallLimit(std::move(halls));
}

bool
UpstreamTable::is_evacuated(const std::string& hall) const
{
    return std::find(m_evacuated.begin(), m_evacuated.end(), hall) != m_evacuated.end();
}

void
UpstreamTable::set_evacuated(std::vector<std::string> halls, Micros now)
{
    const std::lock_guard lock(m_mutex);
    m_evacuated = std::move(halls);
    for (const auto& [key, state] : m_upstreams) {
        const bool evacuated = is_evacuated(state->hall);
        const bool before = state->evacuated.exchange(evacuated, std::memory_order_relaxed);
        if (before && !evacuated)
            state->cold.assume_cold(now);
    }
}

std::uint32_t
UpstreamTable::id_of(const std::string& name)
{
    return m_ids.emplace(name, static_cast<std::uint32_t>(m_ids.size())).first->second;
}

std::shared_ptr<UpstreamState>
UpstreamTable::find(std::string_view address) const
{
    const std::lock_guard lock(m_mutex);
    auto it = m_upstreams.find(address);
    return it == m_upstreams.end() ? nullptr : it->second;
}

std::optional<std::string>
UpstreamTable::hall_at(std::string_view address) const
{
    const std::lock_guard lock(m_mutex);
    // Keys begin with the address; see key_of().
    const auto it = m_upstreams.lower_bound(address);
    if (it == m_upstreams.end() || it->second->address != address)
        return std::nullopt;
    return it->second->hall;
}

std::vector<std::shared_ptr<UpstreamState>>
UpstreamTable::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<UpstreamState>> result;
    result.reserve(m_upstreams.size());
    for (const auto& [address, state] : m_upstreams)
        result.push_back(state);
    return result;
}

} // namespace cypressford
