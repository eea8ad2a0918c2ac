// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The fuzzer's world: its timeline, the start of its daemons, and the steps.

#include "world_impl.h"

namespace cypressford::fuzz {

std::string
output_of(const std::string& stage, const std::string& input)
{
    return to_hex(sha256(stage + "|" + input)).substr(0, 12);
}

const std::vector<std::string>&
stages_of(std::size_t pipeline)
{
    static const std::vector<std::vector<std::string>> stages {
        {"lookup"},
        {"print"},
        {"draft", "push"},
        {"encode", "retrieve", "rerank"},
        {"notify"}};
    return stages.at(pipeline);
}

std::string
expected(std::size_t pipeline, const std::string& body)
{
    std::string value = body;
    for (const std::string& stage : stages_of(pipeline))
        value = output_of(stage, value);
    return value;
}

std::string
hall_of(std::size_t daemon)
{
    return daemon < 2 ? "A" : "B";
}

void
Timeline::at(Micros time, std::function<void()> action)
{
    m_entries.push({std::max(time, m_now), m_next++, std::move(action)});
}

void
Timeline::run_for(Micros span)
{
    const Micros until = m_now + span;
    while (!m_entries.empty() && m_entries.top().time <= until) {
        const Entry entry = m_entries.top();
        m_entries.pop();
        m_now = entry.time;
        entry.action();
    }
    m_now = until;
}

World::World(std::uint64_t seed)
    : m_random(seed)
    , m_operator(*make_key_pair())
{
    for (const char* set : {"plain", "once", "dedup"})
        for (const char* hall : {"A", "A", "B"})
            m_upstreams.push_back({std::string(set) + std::to_string(m_upstreams.size()),
                                   hall, std::string(set) == "dedup", Behaviour::Good,
                                   false, 0});
    race_bundles(true);
    for (std::size_t i = 0; i < kDaemons; ++i) {
        m_daemons.push_back(std::make_unique<Daemon>());
        start_daemon(i);
    }
    advance(kSecond);
    // Some worlds start with recorded latencies, so that calls are hedged.
    for (int i = 0; seed % 3 == 0 && i < kWarmUpCalls; ++i) {
        call(0, Lookup);
        call(0, Summary);
        advance(50 * kMillisecond);
    }
}

World::~World() = default;

void
World::start_daemon(std::size_t index)
{
    auto& slot = m_daemons[index];
    slot = std::make_unique<Daemon>();
    Daemon& d = *slot;
    d.index = index;
    d.hall = hall_of(index);
    d.incarnation = m_next_incarnation++;
    d.skew_ms = static_cast<int>(m_random() % (2 * kMaxSkewMs)) - kMaxSkewMs;
    d.router = Registry<Router>::instance().make("adaptive");
    d.admission = Registry<Admission>::instance().make("budget");
    d.table = std::make_unique<UpstreamTable>(d.hall);
    SchedulerOptions options;
    options.daemons_in_hall = 2;
    d.scheduler = std::make_unique<Scheduler>(options, *d.router, *d.admission,
                                              [this] { return m_random(); });
    d.claimer = std::make_unique<Claimer>(d.incarnation, ClaimOptions {});
    d.bundles = std::make_unique<BundleFold>(
        BundleTrust {{m_operator.public_hex}, std::string(32, 'k')});
    tick(index, d.incarnation);
}

void
World::deliver(std::size_t index, std::uint64_t incarnation, Micros delay,
               std::function<void(Daemon&)> action)
{
    m_time.after(delay, [this, index, incarnation, action = std::move(action)] {
        Daemon& daemon = *m_daemons[index];
        if (!daemon.alive || daemon.incarnation != incarnation)
            return;
        if (daemon.paused)
            daemon.inbox.push_back(action);
        else
            action(daemon);
    });
}

void
World::tick(std::size_t index, std::uint64_t incarnation)
{
    deliver(index, incarnation, kTickInterval, [this, index, incarnation](Daemon& d) {
        feed(d, Tick {});
        feed_claims(d, ClaimTick {});
        poll(d);
        tick(index, incarnation);
    });
}

// ------------------------------------------------------------------ steps

void
World::call(std::size_t daemon, std::size_t pipeline)
{
    const std::string body = "body" + std::to_string(m_next_body++);
    std::string key;
    // A caller's clock may be up to 1 s ahead.
    const WallMs key_time
        = kEpoch + m_time.now() / kMillisecond + static_cast<WallMs>(m_random() % 1000);
    if (pipeline == Label || pipeline == Alert || pipeline == Dedup) {
        key = "key" + std::to_string(m_next_body++);
        m_keys.push_back({key, pipeline, body, key_time});
    }
    issue(daemon, pipeline, key, body);
}

void
World::repeat_call(std::size_t daemon, std::size_t key_index, bool other_body)
{
    if (m_keys.empty())
        return;
    const UsedKey used = m_keys[m_keys.size() - 1 - key_index % m_keys.size()];
    const std::string body = other_body ? used.body + "x" : used.body;
    issue(daemon, used.pipeline, used.key, body);
}

void
World::issue(std::size_t index, std::size_t pipeline, const std::string& key,
             const std::string& body)
{
    Daemon& daemon = *m_daemons[index];
    const RequestId id = m_next_request++;
    if (!daemon.alive || daemon.stopping || !daemon.snapshot)
        return;
    m_request_models[id]
        = {index, daemon.incarnation, pipeline, key, body, 0, false, false, 0};
    deliver(index, daemon.incarnation, random_delay(),
            [this, id, pipeline, key, body](Daemon& d) {
                RequestSpec spec;
                spec.id = id;
                spec.snapshot = d.snapshot;
                spec.pipeline = pipeline;
                spec.deadline
                    = m_time.now() + d.snapshot->bundle->pipelines[pipeline].spec.deadline;
                spec.has_key = !key.empty();
                d.requests[id] = {body, std::nullopt};
                m_request_models[id].deadline = spec.deadline;
                feed(d, RequestArrived {spec});
            });
}

void
World::set_behaviour(std::size_t upstream, Behaviour behaviour)
{
    m_upstreams[upstream].behaviour = behaviour;
}

/// The upstream refuses new work at once; the node list reports it kListDelay later.
void
World::leave(std::size_t index)
{
    FakeUpstream& upstream = m_upstreams[index];
    if (upstream.leaving)
        return;
    upstream.leaving = true;
    upstream.leaving_since = m_time.now();
}

/// Reads the node list as it was kListDelay ago.
void
World::read_node_list(Daemon& daemon)
{
    for (const FakeUpstream& upstream : m_upstreams) {
        const auto state = daemon.table->find(upstream.address);
        if (!state || !upstream.leaving
            || upstream.leaving_since + kListDelay > m_time.now())
            continue;
        state->mark_leaving();
        daemon.known_leaving.insert(upstream.address);
    }
}

void
World::kill(std::size_t daemon)
{
    m_daemons[daemon]->alive = false;
    start_daemon(daemon);
}

void
World::pause(std::size_t daemon)
{
    m_daemons[daemon]->paused = true;
}

void
World::resume(std::size_t index)
{
    Daemon& daemon = *m_daemons[index];
    daemon.paused = false;
    daemon.node_list_current_since = -1;
    const std::uint64_t incarnation = daemon.incarnation;
    while (!daemon.inbox.empty() && daemon.incarnation == incarnation) {
        const auto action = std::move(daemon.inbox.front());
        daemon.inbox.pop_front();
        action(daemon);
    }
}

void
World::stop(std::size_t daemon)
{
    m_daemons[daemon]->stopping = true;
}

void
World::race_bundles(bool first_wins)
{
    const std::uint64_t base = m_newest_version;
    const std::uint64_t version = base + 1;
    std::vector<BundleRecord> candidates;
    for (const int priority : {1, 2}) {
        const Bundle bundle = make_bundle(version, base, priority);
        BundleRecord record;
        record.name = bundle.name;
        record.version = version;
        record.bundle = canonical_json(bundle);
        candidates.push_back(*sign_record(record, m_operator.private_pem));
    }
    if (!first_wins)
        std::swap(candidates[0], candidates[1]);
    append_bundle(candidates[0]);
    append_bundle(candidates[1]);
    m_bundle_bytes[version] = candidates[0].bundle;
    BundleRecord roll;
    roll.action = BundleAction::Roll;
    roll.name = candidates[0].name;
    roll.version = version;
    append_bundle(*sign_record(roll, m_operator.private_pem));
    // A delayed operator rolls out the previous version again.
    roll.version = base;
    if (base > 0)
        append_bundle(*sign_record(roll, m_operator.private_pem));
    m_newest_version = version;
}

void
World::append_bundle(const BundleRecord& record)
{
    m_log.streams["bundles"].records.push_back(encode(record));
}

/// Late and duplicate answers: the last attempts' ends are delivered again.
void
World::repeat_last_answers()
{
    for (auto& daemon : m_daemons)
        if (!daemon->paused)
            for (const auto& [attempt, status] : std::deque(daemon->last_results))
                feed(*daemon, AttemptEnded {attempt, status});
}

void
World::trim_claims()
{
    auto& stream = m_log.streams["claims"];
    const std::size_t half = stream.records.size() / 2;
    for (std::size_t i = 0; i < half; ++i)
        stream.records.pop_front();
    stream.first += static_cast<Offset>(half);
}

} // namespace cypressford::fuzz
