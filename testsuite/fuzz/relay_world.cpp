// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "relay_world.h"

#include <algorithm>

#include <rapidcheck.h>

#include <cypressford/mutation.h>
#include <cypressford/upstream_use.h>

namespace cypressford::fuzz {

namespace {

enum Pipeline : std::size_t { Once, Repeatable, kPipelines };
constexpr Micros kDeadline = 4 * kSecond;
constexpr int kMaxAttempts = 3;

constexpr std::array<std::pair<Step, std::size_t>, 20> kWeights {
    {{Step::Arrive, 4},    {Step::StartStages, 8}, {Step::MakeStage, 10},
     {Step::FailStage, 1}, {Step::LosePiece, 1},   {Step::Connect, 6},
     {Step::Refuse, 1},    {Step::Read, 6},        {Step::Finish, 3},
     {Step::Lose, 3},      {Step::Fail, 1},        {Step::CallerLeaves, 1},
     {Step::Evacuate, 1},  {Step::SayLeaving, 1},  {Step::AskForRest, 1},
     {Step::NameLimit, 1}, {Step::StartAgain, 1},  {Step::LapseOrReturn, 1},
     {Step::Wait, 3},      {Step::RepeatLast, 1}}};

/// The one with that number among the keys, counted round and round.
template <class Map>
auto
pick(Map& map, std::size_t number)
{
    auto it = map.begin();
    if (!map.empty())
        std::advance(it, static_cast<std::ptrdiff_t>(number % map.size()));
    return it;
}

SchedulerOptions
options()
{
    SchedulerOptions options;
    options.retry_burst = 1000; // the limit has tests of its own
    return options;
}

AttemptStatus
refusal(std::size_t number)
{
    constexpr std::array<AttemptStatus, 4> kinds {
        AttemptStatus::NotSent, AttemptStatus::Overloaded, AttemptStatus::Leaving,
        AttemptStatus::Quarantined};
    return kinds.at(number / 7 % kinds.size());
}

} // namespace

std::size_t
sum_of_weights()
{
    std::size_t sum = 0;
    for (const auto& [step, weight] : kWeights)
        sum += weight;
    return sum;
}

Step
step_at(std::size_t position)
{
    for (const auto& [step, weight] : kWeights) {
        if (position < weight)
            return step;
        position -= weight;
    }
    return Step::Wait;
}

RelayWorld::RelayWorld()
    : m_router(Registry<Router>::instance().make("adaptive"))
    , m_admission(Registry<Admission>::instance().make("budget"))
    , m_table("a", 0, {{"a", "north"}, {"b", "south"}})
{
    for (std::size_t i = 0; i < kSchedulers; ++i)
        m_schedulers.push_back(std::make_unique<Scheduler>(options(), *m_router,
                                                           *m_admission, [] { return 0; }));
    publish();
}

void
RelayWorld::run(Step step, std::size_t number)
{
    switch (step) {
    case Step::Arrive:
        arrive(number);
        break;
    case Step::StartStages:
        start_stages(number);
        break;
    case Step::MakeStage:
        end_stage(number, true);
        break;
    case Step::FailStage:
        end_stage(number, false);
        break;
    case Step::LosePiece:
        if (const auto it = pick(m_pieces, number); it != m_pieces.end())
            it->second.lost = true;
        break;
    case Step::Connect:
        connect(number);
        break;
    case Step::Refuse:
        end_attempt(number, refusal(number));
        break;
    case Step::Read:
        read_inputs(number);
        break;
    case Step::Finish:
        end_attempt(number, AttemptStatus::Ok);
        break;
    case Step::Lose:
        end_attempt(number, AttemptStatus::Lost);
        break;
    case Step::Fail:
        end_attempt(number, AttemptStatus::Failed);
        break;
    case Step::CallerLeaves:
        if (const auto it = pick(m_requests, number); it != m_requests.end())
            handle(it->first, CallerClosed {it->first});
        break;
    case Step::Evacuate:
        evacuate(number);
        break;
    case Step::SayLeaving:
        say_leaving(number);
        break;
    case Step::AskForRest:
        ask_for_rest(number);
        break;
    case Step::NameLimit:
        name_limit(number);
        break;
    case Step::StartAgain:
        start_again(number);
        break;
    case Step::LapseOrReturn:
        lapse_or_return(number);
        break;
    case Step::Wait:
        m_now += static_cast<Micros>(1 + number % 20) * 20 * kMillisecond;
        tick();
        break;
    case Step::RepeatLast:
        if (m_last)
            handle(m_last->first, m_last->second);
        break;
    }
}

void
RelayWorld::settle()
{
    m_now += kDeadline + kSecond;
    tick();
    while (!m_attempts.empty())
        end_attempt(0,
                    m_attempts.begin()->second.connected ? AttemptStatus::Lost
                                                         : AttemptStatus::NotSent);
    tick();
    for (const auto& [id, facts] : m_requests) {
        RC_ASSERT(facts.replies == 1 || facts.forgotten);
        RC_ASSERT(facts.forgotten);
    }
    for (const auto& [handle, piece] : m_pieces)
        RC_ASSERT(piece.released);
    for (const auto& scheduler : m_schedulers)
        RC_ASSERT(scheduler->live() == 0);
}

/// Two stages of pieces, the second of which reads the first, and one that only
/// the upstream reads.
void
RelayWorld::publish()
{
    m_bundle.name = "b";
    m_bundle.version = 1;
    UpstreamSetSpec set;
    set.name = "set";
    set.slots = 100;
    m_bundle.upstream_sets.push_back(set);
    UpstreamSetSpec pool;
    pool.name = "pool";
    pool.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
    m_bundle.upstream_sets.push_back(pool);
    for (const bool repeatable : {false, true}) {
        PipelineSpec pipeline;
        pipeline.name = repeatable ? "repeatable" : "once";
        pipeline.relayed = true;
        pipeline.host = pipeline.name;
        pipeline.path_prefix = "/p/";
        pipeline.deadline = kDeadline;
        pipeline.max_attempts = kMaxAttempts;
        pipeline.stages.emplace_back();
        pipeline.stages[0].upstream_set = "set";
        pipeline.stages[0].repeatable = repeatable;
        pipeline.piece_stages = {{"pool", {}, 100}, {"pool", {0}, 100}, {"pool", {}, 100}};
        m_bundle.pipelines.push_back(pipeline);
    }
    m_upstreams = {{{"i1", "set", "10.0.0.1:1", "a", 0, false, 0, 1}},
                   {{"i2", "set", "10.0.0.2:1", "a", 0, false, 0, 1}},
                   {{"i3", "set", "10.0.0.3:1", "b", 0, false, 0, 1}},
                   {{"s1", "pool", "10.0.0.4:1", "a", 0, false, 0, 1}}};
    list_upstreams();
}

void
RelayWorld::list_upstreams()
{
    std::vector<UpstreamMember> members;
    for (const UpstreamFacts& facts : m_upstreams)
        if (facts.listed)
            members.push_back(facts.member);
    m_snapshot = m_table.build(m_bundle, members);
    check_reports();
}

/// Any set of the two halls is evacuated now.
void
RelayWorld::evacuate(std::size_t number)
{
    m_evacuated.clear();
    if (number % 2 == 1)
        m_evacuated.push_back("a");
    if (number / 2 % 2 == 1)
        m_evacuated.push_back("b");
    m_table.set_evacuated(m_evacuated, m_now);
}

void
RelayWorld::arrive(std::size_t number)
{
    const RequestId id = m_next_request++;
    RequestFacts facts;
    facts.pipeline = number % kPipelines;
    const bool needs_pieces = number % 5 != 0;
    facts.counts = needs_pieces ? std::vector<int> {1, static_cast<int>(number % 3), 1}
                                : std::vector<int> {0, 0, 0};
    RequestSpec spec;
    spec.id = id;
    spec.snapshot = m_snapshot;
    spec.pipeline = facts.pipeline;
    spec.account = m_snapshot->bundle->nobody;
    spec.deadline = m_now + kDeadline;
    spec.pieces = facts.counts;
    if (number % 4 == 0)
        facts.halls = HallLimit({number % 8 == 0 ? "a" : "b"});
    spec.halls = facts.halls;
    m_requests.emplace(id, std::move(facts));
    handle(id, RequestArrived {std::move(spec)});
}

void
RelayWorld::start_stages(std::size_t number)
{
    const auto it = pick(m_preparing, number);
    if (it == m_preparing.end())
        return;
    RequestFacts& facts = m_requests.at(*it);
    for (const std::size_t stage : facts.preparation->plan.take_ready()) {
        for (const std::string& input : facts.preparation->plan.inputs_of(stage))
            RC_ASSERT(!m_pieces.at(input).released);
        facts.preparation->running.insert(stage);
    }
}

void
RelayWorld::end_stage(std::size_t number, bool made)
{
    const auto it = pick(m_preparing, number);
    if (it == m_preparing.end())
        return;
    const RequestId id = *it;
    RequestFacts& facts = m_requests.at(id);
    auto& [plan, running] = *facts.preparation;
    if (running.empty())
        return;
    const std::size_t stage = *running.begin();
    running.erase(running.begin());
    for (const std::string& input : plan.inputs_of(stage))
        made = made && !m_pieces.at(input).lost;
    if (!made) {
        end_preparation(id, false);
        return;
    }
    plan.set_stage_results(stage, make_pieces(facts.counts[stage]));
    release(plan.take_releasable());
    if (plan.is_done())
        end_preparation(id, true);
}

std::vector<std::string>
RelayWorld::make_pieces(int count)
{
    std::vector<std::string> handles;
    for (int i = 0; i < count; ++i) {
        handles.push_back("h" + std::to_string(m_pieces.size()));
        m_pieces[handles.back()] = {};
    }
    return handles;
}

void
RelayWorld::end_preparation(RequestId id, bool made)
{
    RequestFacts& facts = m_requests.at(id);
    m_preparing.erase(id);
    if (made)
        facts.inputs = facts.preparation->plan.final_inputs();
    else
        release(facts.preparation->plan.unreleased());
    facts.preparation.reset();
    m_last = {id, PreparationEnded {id, made, "a", ""}};
    handle(id, m_last->second);
}

void
RelayWorld::release(const std::vector<std::string>& handles)
{
    for (const std::string& handle : handles) {
        RC_ASSERT(!m_pieces.at(handle).released);
        m_pieces.at(handle).released = true;
    }
}

// ------------------------------------------------------------ attempts

/// The connection is there; the call goes out unless the upstream takes none any more.
void
RelayWorld::connect(std::size_t number)
{
    const auto it = pick(m_attempts, number);
    if (it == m_attempts.end() || it->second.connected)
        return;
    if (!begin_call(*it->second.upstream, it->second.count, m_now)) {
        end_attempt(number, AttemptStatus::Withheld);
        return;
    }
    it->second.connected = true;
    check_arrival(it->second);
    count_arrival(it->second);
}

/// The upstream fetches what it is to read and begins to answer.
void
RelayWorld::read_inputs(std::size_t number)
{
    const auto it = pick(m_attempts, number);
    if (it == m_attempts.end() || !it->second.connected || it->second.has_read)
        return;
    const AttemptId id = it->first.second;
    AttemptFacts& attempt = it->second;
    RequestFacts& facts = m_requests.at(attempt.request);
    for (const std::string& input : facts.inputs) {
        const Piece& piece = m_pieces.at(input);
        // One that was given up may find them released.
        RC_ASSERT(!piece.released || attempt.cancelled || facts.forgotten);
        if (piece.lost || piece.released) {
            end_attempt(number, AttemptStatus::InputGone);
            return;
        }
    }
    attempt.has_read = true;
    ++facts.runs;
    RC_ASSERT(attempt.may_repeat || facts.runs == 1);
    const RequestId request = attempt.request;
    const bool cancelled = attempt.cancelled;
    handle(request, AttemptBegun {id});
    if (!cancelled) {
        m_last = {request, InputsRead {id}};
        handle(request, m_last->second);
    }
}

void
RelayWorld::end_attempt(std::size_t number, AttemptStatus status)
{
    const auto it = pick(m_attempts, number);
    if (it == m_attempts.end())
        return;
    const auto [key, attempt] = *it;
    RequestFacts& facts = m_requests.at(attempt.request);
    const bool unsent = status == AttemptStatus::NotSent
        || status == AttemptStatus::Withheld || status == AttemptStatus::Quarantined;
    // What has left may be answered, what has not may not.
    if (attempt.connected == unsent)
        return;
    const bool refused = status != AttemptStatus::Ok && status != AttemptStatus::Lost
        && status != AttemptStatus::Failed;
    // What has begun is not refused, and a whole answer has begun.
    if (attempt.has_read ? refused : status == AttemptStatus::Ok)
        return;
    if (!attempt.has_read && !refused) {
        ++facts.runs; // nobody can tell
        RC_ASSERT(attempt.may_repeat || facts.runs == 1);
    }
    m_attempts.erase(it);
    if (attempt.cancelled && status == AttemptStatus::Ok)
        status = AttemptStatus::Lost;
    m_last = {attempt.request, AttemptEnded {key.second, status}};
    handle(attempt.request, m_last->second);
}

// -------------------------------------------------- events and actions

Scheduler&
RelayWorld::scheduler_of(RequestId request)
{
    return *m_schedulers[request % kSchedulers];
}

void
RelayWorld::handle(RequestId request, const Event& event)
{
    Actions actions;
    scheduler_of(request).handle(event, m_now, actions);
    m_acting = request % kSchedulers;
    for (const Action& action : actions)
        std::visit([this](const auto& a) { act(a); }, action);
}

void
RelayWorld::tick()
{
    for (std::size_t i = 0; i < kSchedulers; ++i)
        handle(i, Tick {});
}

void
RelayWorld::act(const SendAttempt& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    ++facts.sent;
    RC_ASSERT(!facts.forgotten);
    const std::string& hall = action.upstream->hall;
    RC_ASSERT(facts.halls.allows(hall));
    const bool needs_pieces = facts.counts.front() > 0;
    RC_ASSERT(!needs_pieces || !facts.inputs.empty());
    for (const std::string& input : facts.inputs)
        RC_ASSERT(!m_pieces.at(input).released);
    RC_ASSERT(m_now < action.deadline);
    AttemptFacts attempt;
    attempt.request = action.request;
    attempt.upstream = action.upstream;
    attempt.may_repeat = action.may_repeat;
    attempt.count = action.count;
    // It is not chosen against what is known at this moment, either.
    check_arrival(attempt);
    m_attempts[{m_acting, action.attempt}] = std::move(attempt);
}

void
RelayWorld::act(const CancelAttempt& action)
{
    const auto it = m_attempts.find({m_acting, action.attempt});
    if (it != m_attempts.end())
        it->second.cancelled = true;
}

void
RelayWorld::act(const BeginPreparation& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    RC_ASSERT(!facts.preparation);
    RC_ASSERT(action.again == (facts.preparations > 0));
    // A second set of results is made only when the first is of no use.
    for (const std::string& input : facts.inputs)
        RC_ASSERT(m_pieces.at(input).released || m_pieces.at(input).lost
                  || has_lost(facts.inputs));
    release_unreleased(facts.inputs);
    ++facts.preparations;
    const auto& pipeline = m_snapshot->bundle->pipelines[facts.pipeline];
    facts.preparation.emplace(PiecePlan(pipeline.spec.piece_stages, facts.counts));
    m_preparing.insert(action.request);
}

void
RelayWorld::act(const CancelPreparation& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    m_preparing.erase(action.request);
    if (facts.preparation)
        release(facts.preparation->plan.unreleased());
    facts.preparation.reset();
}

void
RelayWorld::act(const ReleaseInputs& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    // No attempt that is still to read them is under way.
    for (const auto& [id, attempt] : m_attempts)
        RC_ASSERT(attempt.request != action.request || attempt.has_read
                  || attempt.cancelled);
    release_unreleased(facts.inputs);
}

void
RelayWorld::act(const ReportUnreached& action)
{
    // Of a request that an upstream has, nothing may be told.
    RC_ASSERT(!m_requests.at(action.request).forgotten);
}

void
RelayWorld::act(const Reply& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    ++facts.replies;
    RC_ASSERT(facts.replies == 1);
    RC_ASSERT(action.ran != Ran::NotRun || facts.runs == 0);
}

void
RelayWorld::act(const Forget& action)
{
    RequestFacts& facts = m_requests.at(action.request);
    RC_ASSERT(!facts.forgotten);
    facts.forgotten = true;
    release_unreleased(facts.inputs);
}

void
RelayWorld::act(const BeginClaim&)
{
    RC_FAIL("a relayed request needs no claim");
}

void
RelayWorld::act(const EndClaim&)
{
    RC_FAIL("a relayed request has no claim");
}

bool
RelayWorld::has_lost(const std::vector<std::string>& handles) const
{
    return std::any_of(handles.begin(), handles.end(), [this](const std::string& handle) {
        return m_pieces.at(handle).lost;
    });
}

/// The driver keeps what it holds; what it has released it does not hold.
void
RelayWorld::release_unreleased(const std::vector<std::string>& handles)
{
    for (const std::string& handle : handles)
        m_pieces.at(handle).released = true;
}

} // namespace cypressford::fuzz
