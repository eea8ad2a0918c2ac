// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "world.h"

#include <algorithm>
#include <cypressford/codec.h>
#include <cypressford/mutation.h>
#include <cypressford/registry.h>

namespace cypressford::fuzz {

namespace {

constexpr Micros kTick = 10 * kMillisecond;
constexpr Micros kListLag = 2 * kSecond;
constexpr Micros kLeavingBound = 3 * kSecond;
constexpr Micros kLogTimeout = 2 * kSecond;
constexpr WallMs kEpoch = 1'800'000'000'000;
constexpr int kMaxSkewMs = 1500;
constexpr int kWarmUpCalls = 12;

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

} // namespace

struct World::RequestData {
    std::string input;
    std::optional<RecordedAnswer> recorded;
};

struct World::Daemon {
    std::size_t index = 0;
    std::string hall;
    std::uint64_t incarnation = 0;
    bool alive = true;
    bool paused = false;
    bool stopping = false;
    int skew_ms = 0;
    std::deque<std::function<void(Daemon&)>> inbox; ///< what came during a pause
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<UpstreamTable> table;
    std::unique_ptr<Scheduler> scheduler;
    std::unique_ptr<Claimer> claimer;
    std::unique_ptr<BundleFold> bundles;
    SnapshotPtr snapshot;
    std::map<RequestId, RequestData> requests;
    std::map<AttemptId, std::pair<RequestId, bool>> attempts; ///< and whether cancelled
    std::set<std::string> told_leaving;
    Micros informed_since = -1; ///< reads the list without a break since then
    std::deque<std::pair<AttemptId, AttemptStatus>> last_ends;
};

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
    // Some worlds start with learned latencies, so that calls are hedged.
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
    deliver(index, incarnation, kTick, [this, index, incarnation](Daemon& d) {
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
    // A caller's clock is off as well.
    const WallMs key_time
        = kEpoch + m_time.now() / kMillisecond + static_cast<WallMs>(m_random() % 1000);
    if (pipeline == Label || pipeline == Alert || pipeline == Dedup) {
        key = "key" + std::to_string(m_next_body++);
        m_keys.push_back({key, pipeline, body, key_time});
    }
    issue(daemon, pipeline, key, body);
}

void
World::call_again(std::size_t daemon, std::size_t which, bool other_body)
{
    if (m_keys.empty())
        return;
    const UsedKey used = m_keys[m_keys.size() - 1 - which % m_keys.size()];
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
    m_facts[id] = {index, daemon.incarnation, pipeline, key, body, 0, false, false, 0};
    deliver(
        index, daemon.incarnation, transit(), [this, id, pipeline, key, body](Daemon& d) {
            RequestSpec spec;
            spec.id = id;
            spec.snapshot = d.snapshot;
            spec.pipeline = pipeline;
            spec.deadline = m_time.now() + d.snapshot->pipelines[pipeline].spec.deadline;
            spec.has_key = !key.empty();
            d.requests[id] = {body, std::nullopt};
            m_facts[id].deadline = spec.deadline;
            feed(d, RequestArrived {spec});
        });
}

void
World::set_behaviour(std::size_t upstream, Behaviour behaviour)
{
    m_upstreams[upstream].behaviour = behaviour;
}

/// The upstream refuses new work at once; the list says so later.
void
World::leave(std::size_t index)
{
    FakeUpstream& upstream = m_upstreams[index];
    if (upstream.leaving)
        return;
    upstream.leaving = true;
    upstream.leaving_since = m_time.now();
}

/// The node list, as it was some time ago.
void
World::read_list(Daemon& daemon)
{
    for (const FakeUpstream& upstream : m_upstreams) {
        const auto state = daemon.table->find(upstream.address);
        if (!state || !upstream.leaving || upstream.leaving_since + kListLag > m_time.now())
            continue;
        state->mark_leaving();
        daemon.told_leaving.insert(upstream.address);
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
    daemon.informed_since = -1;
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
    std::vector<BundleRecord> racers;
    for (const int priority : {1, 2}) {
        const Bundle bundle = make_bundle(version, base, priority);
        BundleRecord record;
        record.name = bundle.name;
        record.version = version;
        record.bundle = canonical_json(bundle);
        racers.push_back(*sign_record(record, m_operator.private_pem));
    }
    if (!first_wins)
        std::swap(racers[0], racers[1]);
    append_bundle(racers[0]);
    append_bundle(racers[1]);
    m_content[version] = racers[0].bundle;
    BundleRecord roll;
    roll.action = BundleAction::Roll;
    roll.name = racers[0].name;
    roll.version = version;
    append_bundle(*sign_record(roll, m_operator.private_pem));
    // A slow operator rolls the version before once more.
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

/// Late and duplicate answers: ends of attempts are told once more.
void
World::repeat_last_answers()
{
    for (auto& daemon : m_daemons)
        if (!daemon->paused)
            for (const auto& [attempt, status] : std::deque(daemon->last_ends))
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

// ---------------------------------------------------------------- daemons

void
World::feed(Daemon& daemon, const Event& event)
{
    Actions actions;
    daemon.scheduler->handle(event, m_time.now(), actions);
    for (const Action& action : actions)
        std::visit([&](const auto& a) { act(daemon, a); }, action);
}

void
World::feed_claims(Daemon& daemon, const ClaimEvent& event)
{
    ClaimActions actions;
    daemon.claimer->handle(event, {m_time.now(), wall(daemon)}, actions);
    for (ClaimAction& action : actions) {
        if (auto* start = std::get_if<StartAppend>(&action)) {
            append(daemon, start->batch);
            continue;
        }
        auto& decision = std::get<DecideClaim>(action);
        // Another thread hears of it a little later.
        deliver(daemon.index, daemon.incarnation, kMillisecond,
                [this, decision](Daemon& d) {
                    auto it = d.requests.find(decision.request);
                    if (it != d.requests.end())
                        it->second.recorded = decision.answer;
                    feed(d, ClaimDecided {decision.request, decision.result});
                });
    }
}

void
World::act(Daemon& daemon, const SendAttempt& action)
{
    auto upstream
        = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const FakeUpstream& u) {
              return u.address == action.upstream->address;
          });
    check_leaving(daemon, *upstream);
    daemon.attempts[action.attempt] = {action.request, false};
    const std::string input = daemon.requests.at(action.request).input;
    const std::size_t index = static_cast<std::size_t>(upstream - m_upstreams.begin());
    m_time.after(transit(),
                 [this, d = daemon.index, inc = daemon.incarnation, action, index, input] {
                     arrive(d, inc, action, index, input);
                 });
    const Micros patience = action.may_repeat ? 0 : SchedulerOptions {}.detached_limit;
    deliver(daemon.index, daemon.incarnation, action.deadline + patience - m_time.now(),
            [this, attempt = action.attempt](Daemon& d) {
                end_attempt(d, attempt, AttemptStatus::Lost, {});
            });
}

void
World::act(Daemon& daemon, const CancelAttempt& action)
{
    daemon.attempts[action.attempt].second = true;
    // A cancelled call ends some time later; its answer may come before that.
    deliver(daemon.index, daemon.incarnation, Micros(m_random() % 200) * kMillisecond,
            [this, attempt = action.attempt](Daemon& d) {
                end_attempt(d, attempt, AttemptStatus::Lost, {});
            });
}

void
World::act(Daemon& daemon, const BeginClaim& action)
{
    const CallFacts& facts = m_facts.at(action.request);
    ClaimWanted wanted;
    wanted.request = action.request;
    wanted.key = facts.key;
    wanted.fingerprint = fast_hash(facts.body);
    for (const UsedKey& used : m_keys)
        if (used.key == facts.key)
            wanted.key_time = used.time;
    wanted.deadline = action.deadline;
    deliver(daemon.index, daemon.incarnation, kMillisecond,
            [this, wanted](Daemon& d) { feed_claims(d, wanted); });
}

void
World::act(Daemon& daemon, const EndClaim& action)
{
    ClaimOver over {action.request, action.outcome, std::nullopt};
    if (action.outcome == ClaimOutcome::Done)
        over.answer = RecordedAnswer {"text", daemon.requests.at(action.request).input};
    deliver(daemon.index, daemon.incarnation, kMillisecond,
            [this, over](Daemon& d) { feed_claims(d, over); });
}

void
World::act(Daemon& daemon, const Reply& action)
{
    check_reply(daemon, action, m_facts.at(action.request));
}

void
World::act(Daemon& daemon, const Forget& action)
{
    daemon.requests.erase(action.request);
}

void
World::end_attempt(Daemon& daemon, AttemptId attempt, AttemptStatus status,
                   const std::string& output)
{
    auto it = daemon.attempts.find(attempt);
    if (it == daemon.attempts.end())
        return;
    const auto [request, cancelled] = it->second;
    daemon.attempts.erase(it);
    if (status == AttemptStatus::Ok && (!cancelled || mutated(Mutation::TrustLateAnswer)))
        daemon.requests.at(request).input = output;
    daemon.last_ends.emplace_back(attempt, status);
    if (daemon.last_ends.size() > 4)
        daemon.last_ends.pop_front();
    feed(daemon, AttemptEnded {attempt, status});
}

// -------------------------------------------------------------- upstreams

void
World::arrive(std::size_t daemon, std::uint64_t incarnation, const SendAttempt& send,
              std::size_t index, const std::string& input)
{
    FakeUpstream& upstream = m_upstreams[index];
    const auto answer = [&](Micros delay, AttemptStatus status,
                            const std::string& output = {}) {
        deliver(daemon, incarnation, delay, [this, send, status, output](Daemon& d) {
            if (status == AttemptStatus::Leaving && d.attempts.count(send.attempt) > 0)
                d.told_leaving.insert(send.upstream->address);
            end_attempt(d, send.attempt, status, output);
        });
    };
    if (upstream.leaving)
        return answer(transit(), AttemptStatus::Leaving);
    CallFacts& facts = m_facts.at(send.request);
    if (upstream.deduplicates && knows_other_body(facts.key, input))
        return answer(transit(), AttemptStatus::Rejected);
    switch (upstream.behaviour) {
    case Behaviour::Refuse:
        return answer(transit(), AttemptStatus::NotSent);
    case Behaviour::Overloaded:
        return answer(transit(), AttemptStatus::Overloaded);
    case Behaviour::FailUnrun:
        return answer(transit(), AttemptStatus::Failed);
    case Behaviour::Good:
        return answer(transit() + Micros(m_random() % 20) * kMillisecond, AttemptStatus::Ok,
                      run(upstream, send, facts, input));
    case Behaviour::Lagging:
        return answer(Micros(50 + m_random() % 100) * kMillisecond, AttemptStatus::Ok,
                      run(upstream, send, facts, input));
    case Behaviour::Slow:
        return answer(Micros(1 + m_random() % 6) * kSecond, AttemptStatus::Ok,
                      run(upstream, send, facts, input));
    case Behaviour::Silent:
        return answer(30 * kSecond, AttemptStatus::Ok, run(upstream, send, facts, input));
    case Behaviour::Fail:
        run(upstream, send, facts, input);
        return answer(transit(), AttemptStatus::Failed);
    case Behaviour::Cut:
        run(upstream, send, facts, input);
        return answer(transit(), AttemptStatus::Lost);
    }
}

/// A set that deduplicates refuses a key that comes with another body.
bool
World::knows_other_body(const std::string& key, const std::string& input) const
{
    auto it = m_deduplicated.find(key);
    return it != m_deduplicated.end() && it->second != input;
}

std::string
World::run(FakeUpstream& upstream, const SendAttempt& send, CallFacts& facts,
           const std::string& input)
{
    const std::string& stage = stages_of(facts.pipeline).at(send.stage);
    std::string output = output_of(stage, input);
    const bool once = stage == "print" || stage == "push" || stage == "notify";
    facts.ran = true;
    if (facts.said_not_run)
        violate("request ran after the answer said not run");
    if (!once)
        return output;
    if (upstream.deduplicates) {
        // The whole set deduplicates, as its spec promises.
        if (m_deduplicated.count(facts.key) > 0)
            return output;
        m_deduplicated[facts.key] = input;
    }
    if (++m_once_runs[facts.key] > 1)
        violate("key ran twice: " + facts.key);
    return output;
}

// --------------------------------------------------------------- platform

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
    const Micros there = m_log.slow ? Micros(m_random() % 5000) * kMillisecond : transit();
    const auto tell = [this, d, inc](Micros delay, bool stored) {
        deliver(d, inc, delay, [this, stored](Daemon& daemon_) {
            feed_claims(daemon_, AppendEnded {stored});
        });
    };
    // The client gives up at its timeout; the append may take effect after that.
    const bool in_time = there < kLogTimeout;
    if (!in_time)
        tell(kLogTimeout, false);
    m_time.after(there, [this, tell, in_time, record, hall = daemon.hall] {
        const bool reached = !m_log.outage && m_log.cut_halls.count(hall) == 0;
        if (reached)
            m_log.streams["claims"].records.push_back(record);
        if (in_time)
            tell(transit(), reached && !m_log.lose_answers);
    });
}

void
World::poll(Daemon& daemon)
{
    if (!can_reach_log(daemon) || m_log.slow)
        daemon.informed_since = -1;
    else if (daemon.informed_since < 0)
        daemon.informed_since = m_time.now();
    if (!can_reach_log(daemon) || (m_log.slow && m_random() % 50 != 0))
        return;
    read_claims(daemon);
    read_bundles(daemon);
    read_list(daemon);
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
        violate("bundle went back from " + std::to_string(before));
    if (after == before || !fold.in_force())
        return;
    if (canonical_json(*fold.in_force()) != m_content[after])
        violate("daemons differ on bundle " + std::to_string(after));
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

// ----------------------------------------------------------------- oracle

void
World::check_reply(Daemon& daemon, const Reply& action, CallFacts& facts)
{
    ++m_replies;
    if (++facts.replies > 1)
        violate("request answered twice");
    const auto& data = daemon.requests.at(action.request);
    if (!action.error) {
        const std::string answer
            = action.replayed && data.recorded ? data.recorded->body : data.input;
        if (answer != expected(facts.pipeline, facts.body))
            violate("wrong or partial answer");
        return;
    }
    if (action.ran != Ran::NotRun)
        return;
    if (facts.ran)
        violate("answer says not run of a request that ran");
    facts.said_not_run = true;
}

void
World::check_leaving(const Daemon& daemon, const FakeUpstream& upstream)
{
    if (!upstream.leaving)
        return;
    if (daemon.told_leaving.count(upstream.address) > 0)
        violate("new work for an upstream that is known to be leaving");
    const bool informed = can_reach_log(daemon) && !m_log.slow && daemon.informed_since >= 0
        && m_time.now() - daemon.informed_since > kLeavingBound;
    if (informed && m_time.now() - upstream.leaving_since > kLeavingBound)
        violate("new work for an upstream that left more than 3 s ago");
}

void
World::settle()
{
    m_log.outage = m_log.lose_answers = m_log.slow = false;
    m_log.cut_halls.clear();
    for (FakeUpstream& upstream : m_upstreams)
        upstream.behaviour = Behaviour::Good;
    for (std::size_t d = 0; d < kDaemons; ++d)
        resume(d);
    advance(kLeavingBound + SchedulerOptions {}.detached_limit + 30 * kSecond);
    for (const auto& [id, facts] : m_facts) {
        const Daemon& daemon = *m_daemons[facts.daemon];
        if (daemon.incarnation == facts.incarnation && facts.replies == 0)
            violate("request " + std::to_string(id) + " was never answered");
    }
    for (const auto& daemon : m_daemons) {
        if (daemon->scheduler->live() != 0)
            violate("a daemon holds on to ended requests");
        if (!daemon->claimer->idle())
            violate("a daemon never gets rid of a claim");
        if (daemon->bundles->in_force_version() != m_newest_version)
            violate("the newest bundle is not in force everywhere");
    }
    check_free_keys();
}

/// A key whose callers were all told "not run" must be free to be used.
void
World::check_free_keys()
{
    std::map<std::string, bool> free;
    for (const auto& [id, facts] : m_facts) {
        if (facts.key.empty())
            continue;
        const bool alive = m_daemons[facts.daemon]->incarnation == facts.incarnation;
        auto& all = free.try_emplace(facts.key, true).first->second;
        all = all && alive && facts.said_not_run;
    }
    for (const auto& daemon : m_daemons)
        for (const auto& [key, expect_free] : free) {
            const ClaimLedger& ledger = daemon->claimer->ledger();
            const auto* state = ledger.find(key);
            // The record that freed the key may be among those that are gone.
            const bool readable = state && state->key_time > ledger.floor();
            if (expect_free && readable && state->claimed)
                violate("a key that never ran is held for ever: " + key);
        }
}

Micros
World::transit()
{
    return 200 + static_cast<Micros>(m_random() % (5 * kMillisecond));
}

WallMs
World::wall(const Daemon& daemon) const
{
    return kEpoch + m_time.now() / kMillisecond + daemon.skew_ms;
}

void
World::violate(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

} // namespace cypressford::fuzz
