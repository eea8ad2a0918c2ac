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
    {{Step::Arrive, 4},
     {Step::StartStages, 8},
     {Step::CompleteStage, 10},
     {Step::FailStage, 1},
     {Step::LosePiece, 1},
     {Step::Connect, 6},
     {Step::Refuse, 1},
     {Step::Read, 6},
     {Step::Finish, 3},
     {Step::Lose, 3},
     {Step::Fail, 1},
     {Step::CallerDisconnects, 1},
     {Step::Evacuate, 1},
     {Step::ReportLeaving, 1},
     {Step::RequestBackoff, 1},
     {Step::ReportLimit, 1},
     {Step::RestartUpstream, 1},
     {Step::ToggleListing, 1},
     {Step::Wait, 3},
     {Step::RepeatLast, 1}}};

/// The element with this number, modulo the size of the map; the end if the map is empty.
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
    options.retry_burst = 1000; // the retry limit has tests of its own
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
    case Step::CompleteStage:
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
    case Step::CallerDisconnects:
        if (const auto it = pick(m_requests, number); it != m_requests.end())
            handle(it->first, CallerClosed {it->first});
        break;
    case Step::Evacuate:
        evacuate(number);
        break;
    case Step::ReportLeaving:
        report_leaving(number);
        break;
    case Step::RequestBackoff:
        request_backoff(number);
        break;
    case Step::ReportLimit:
        report_limit(number);
        break;
    case Step::RestartUpstream:
        restart_upstream(number);
        break;
    case Step::ToggleListing:
        toggle_listing(number);
        break;
    case Step::Wait:
        m_now += static_cast<Micros>(1 + number % 20) * 20 * kMillisecond;
        tick();
        break;
    case Step::RepeatLast:
        if (m_last_event)
            handle(m_last_event->first, m_last_event->second);
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
    for (const auto& [id, model] : m_requests) {
        RC_ASSERT(model.replies == 1 || model.forgotten);
        RC_ASSERT(model.forgotten);
    }
    for (const auto& [handle, piece] : m_pieces)
        RC_ASSERT(piece.released);
    for (const auto& scheduler : m_schedulers)
        RC_ASSERT(scheduler->live() == 0);
}

/// Three piece stages: the second reads the results of the first; the third has results
/// that only the upstream reads.
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
    m_upstreams = {{{"i1", "set", "10.0.0.1:1", "a", 0, false, 0, 1, "v1"}},
                   {{"i2", "set", "10.0.0.2:1", "a", 0, false, 0, 1, "v2"}},
                   {{"i3", "set", "10.0.0.3:1", "b", 0, false, 0, 1, "v1"}},
                   {{"s1", "pool", "10.0.0.4:1", "a", 0, false, 0, 1}}};
    list_upstreams();
}

void
RelayWorld::list_upstreams()
{
    std::vector<UpstreamMember> members;
    for (const UpstreamModel& model : m_upstreams)
        if (model.listed)
            members.push_back(model.member);
    m_snapshot = m_table.build(m_bundle, members);
    check_reports();
}

/// Any combination of the two halls is evacuated from now on.
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
    RequestModel model;
    model.pipeline = number % kPipelines;
    const bool needs_pieces = number % 5 != 0;
    model.counts = needs_pieces ? std::vector<int> {1, static_cast<int>(number % 3), 1}
                                : std::vector<int> {0, 0, 0};
    RequestSpec spec;
    spec.id = id;
    spec.snapshot = m_snapshot;
    spec.pipeline = model.pipeline;
    spec.account = m_snapshot->bundle->anonymous_account;
    spec.deadline = m_now + kDeadline;
    spec.pieces = model.counts;
    if (number % 4 == 0)
        model.halls = HallLimit({number % 8 == 0 ? "a" : "b"});
    spec.halls = model.halls;
    // The caller resumes a stream that began at some version, which may have ended since.
    constexpr std::array<const char*, 3> versions {"v1", "v2", "v0"};
    if (number % 7 == 0)
        model.version = versions.at(number / 7 % versions.size());
    spec.version = model.version;
    m_requests.emplace(id, std::move(model));
    handle(id, RequestArrived {std::move(spec)});
}

void
RelayWorld::start_stages(std::size_t number)
{
    const auto it = pick(m_preparing, number);
    if (it == m_preparing.end())
        return;
    RequestModel& model = m_requests.at(*it);
    for (const std::size_t stage : model.preparation->plan.take_ready()) {
        for (const std::string& input : model.preparation->plan.inputs_of(stage))
            RC_ASSERT(!m_pieces.at(input).released);
        model.preparation->running.insert(stage);
    }
}

void
RelayWorld::end_stage(std::size_t number, bool succeeded)
{
    const auto it = pick(m_preparing, number);
    if (it == m_preparing.end())
        return;
    const RequestId id = *it;
    RequestModel& model = m_requests.at(id);
    auto& [plan, running] = *model.preparation;
    if (running.empty())
        return;
    const std::size_t stage = *running.begin();
    running.erase(running.begin());
    for (const std::string& input : plan.inputs_of(stage))
        succeeded = succeeded && !m_pieces.at(input).lost;
    if (!succeeded) {
        end_preparation(id, false);
        return;
    }
    plan.set_stage_results(stage, make_pieces(model.counts[stage]));
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
RelayWorld::end_preparation(RequestId id, bool succeeded)
{
    RequestModel& model = m_requests.at(id);
    m_preparing.erase(id);
    if (succeeded)
        model.inputs = model.preparation->plan.final_inputs();
    else
        release(model.preparation->plan.unreleased());
    // A leader refuses only the first preparation, and before a piece is made.
    const bool refused = !succeeded && model.preparations == 1
        && model.preparation->plan.unreleased().empty();
    if (refused)
        model.refused_for = 1 + static_cast<Micros>(id);
    model.preparation.reset();
    m_last_event = {
        id, PreparationEnded {id, succeeded, "a", "", false, refused, model.refused_for}};
    handle(id, m_last_event->second);
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

/// The connection is established; the call is sent unless the upstream accepts no more
/// calls.
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

/// The upstream fetches its inputs and starts to answer.
void
RelayWorld::read_inputs(std::size_t number)
{
    const auto it = pick(m_attempts, number);
    if (it == m_attempts.end() || !it->second.connected || it->second.has_read)
        return;
    const AttemptId id = it->first.second;
    AttemptModel& attempt = it->second;
    RequestModel& model = m_requests.at(attempt.request);
    for (const std::string& input : model.inputs) {
        const Piece& piece = m_pieces.at(input);
        // The inputs of a cancelled attempt may be released already.
        RC_ASSERT(!piece.released || attempt.cancelled || model.forgotten);
        if (piece.lost || piece.released) {
            end_attempt(number, AttemptStatus::InputGone);
            return;
        }
    }
    attempt.has_read = true;
    ++model.runs;
    RC_ASSERT(attempt.may_repeat || model.runs == 1);
    const RequestId request = attempt.request;
    const bool cancelled = attempt.cancelled;
    handle(request, ResponseStarted {id});
    if (!cancelled) {
        m_last_event = {request, InputsRead {id}};
        handle(request, m_last_event->second);
    }
    begin_stream(request, id, number);
}

void
RelayWorld::end_attempt(std::size_t number, AttemptStatus status)
{
    const auto it = pick(m_attempts, number);
    if (it == m_attempts.end())
        return;
    const auto [key, attempt] = *it;
    RequestModel& model = m_requests.at(attempt.request);
    const bool unsent = status == AttemptStatus::NotSent
        || status == AttemptStatus::Withheld || status == AttemptStatus::Quarantined;
    // A status of an unsent call doesn't fit a call that was sent, nor the other way round.
    if (attempt.connected == unsent)
        return;
    const bool refused = status != AttemptStatus::Ok && status != AttemptStatus::Lost
        && status != AttemptStatus::Failed;
    // A call that has started is not refused, and a whole answer implies that it has
    // started.
    if (attempt.has_read ? refused : status == AttemptStatus::Ok)
        return;
    if (!attempt.has_read && !refused) {
        ++model.runs; // whether the call ran is unknown; the oracle assumes it did
        RC_ASSERT(attempt.may_repeat || model.runs == 1);
    }
    m_attempts.erase(it);
    if (attempt.cancelled && status == AttemptStatus::Ok)
        status = AttemptStatus::Lost;
    m_last_event = {attempt.request, AttemptEnded {key.second, status}};
    handle(attempt.request, m_last_event->second);
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
    RequestModel& model = m_requests.at(action.request);
    ++model.sent;
    RC_ASSERT(!model.forgotten);
    const std::string& hall = action.upstream->hall;
    RC_ASSERT(model.halls.allows(hall));
    const bool continues = !model.version || *model.version == action.upstream->version;
    RC_ASSERT(continues);
    const bool needs_pieces = model.counts.front() > 0;
    RC_ASSERT(!needs_pieces || !model.inputs.empty());
    for (const std::string& input : model.inputs)
        RC_ASSERT(!m_pieces.at(input).released);
    RC_ASSERT(m_now < action.deadline);
    AttemptModel attempt;
    attempt.request = action.request;
    attempt.upstream = action.upstream;
    attempt.may_repeat = action.may_repeat;
    attempt.count = action.count;
    // The choice of the upstream, too, respects the reports at this time.
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
    RequestModel& model = m_requests.at(action.request);
    RC_ASSERT(!model.preparation);
    RC_ASSERT(action.is_retry == (model.preparations > 0));
    // A second set of results is made only if the first can't be used.
    for (const std::string& input : model.inputs)
        RC_ASSERT(m_pieces.at(input).released || m_pieces.at(input).lost
                  || has_lost(model.inputs));
    release_unreleased(model.inputs);
    ++model.preparations;
    const auto& pipeline = m_snapshot->bundle->pipelines[model.pipeline];
    model.preparation.emplace(PiecePlan(pipeline.spec.piece_stages, model.counts));
    m_preparing.insert(action.request);
}

void
RelayWorld::act(const CancelPreparation& action)
{
    RequestModel& model = m_requests.at(action.request);
    m_preparing.erase(action.request);
    if (model.preparation)
        release(model.preparation->plan.unreleased());
    model.preparation.reset();
}

void
RelayWorld::act(const ReleaseInputs& action)
{
    RequestModel& model = m_requests.at(action.request);
    // All attempts that are under way have read their inputs.
    for (const auto& [id, attempt] : m_attempts)
        RC_ASSERT(attempt.request != action.request || attempt.has_read
                  || attempt.cancelled);
    release_unreleased(model.inputs);
}

void
RelayWorld::act(const ReportUnreachable& action)
{
    // A request that the scheduler has dropped while an upstream still has it is not
    // reported as unreachable.
    RC_ASSERT(!m_requests.at(action.request).forgotten);
}

void
RelayWorld::act(const Reply& action)
{
    RequestModel& model = m_requests.at(action.request);
    ++model.replies;
    RC_ASSERT(model.replies == 1);
    RC_ASSERT(action.ran != Ran::NotRun || model.runs == 0);
    if (model.refused_for > 0) {
        RC_ASSERT(action.error == ErrorKind::DeadlineUnreachable);
        RC_ASSERT(action.ran == Ran::NotRun);
        RC_ASSERT(action.retry_after == model.refused_for);
    }
}

void
RelayWorld::act(const Forget& action)
{
    RequestModel& model = m_requests.at(action.request);
    RC_ASSERT(!model.forgotten);
    model.forgotten = true;
    release_unreleased(model.inputs);
}

void
RelayWorld::act(const BeginClaim&)
{
    RC_FAIL("a relayed request requires no claim");
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

/// Marks results as released, including any that were released before.
void
RelayWorld::release_unreleased(const std::vector<std::string>& handles)
{
    for (const std::string& handle : handles)
        m_pieces.at(handle).released = true;
}

} // namespace cypressford::fuzz
