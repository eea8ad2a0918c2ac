// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stateful fuzzing of relayed requests and their pieces: one scheduler over fake
/// upstreams that refuse, break off, stay silent or lose results, in any order, while
/// operators evacuate halls and some requests are bound to a region.  An oracle knows
/// which results exist, who released them, what ran and where nothing may go.
///
///   cypressford_relay_fuzz               fixed cases
///   cypressford_relay_fuzz --mutations   each deliberate fault must be caught

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <rapidcheck.h>

#include <cypressford/mutation.h>
#include <cypressford/pieces.h>
#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

ABSL_FLAG(int, cases, 20000, "cases to run");
ABSL_FLAG(std::uint64_t, seed, 20261202, "first seed");
ABSL_FLAG(bool, mutations, false, "check that each deliberate fault is caught");

namespace cypressford::fuzz {

namespace {

enum Pipeline : std::size_t { Once, Repeatable, kPipelines };
constexpr Micros kDeadline = 4 * kSecond;
constexpr int kMaxAttempts = 3;

/// A result at the upstream that made it.
struct Piece {
    bool lost = false; ///< its keeper died
    bool released = false; ///< by us
};

/// Pieces that are being made for a request.
struct Preparation {
    explicit Preparation(PiecePlan plan_)
        : plan(std::move(plan_))
    {
    }
    PiecePlan plan;
    std::set<std::size_t> running; ///< stages
};

/// A request as the driver and the oracle see it.
struct RequestFacts {
    std::size_t pipeline = 0;
    std::vector<int> counts;
    HallLimit halls;
    std::vector<std::string> inputs; ///< results that an attempt is sent with
    std::optional<Preparation> preparation;
    int preparations = 0;
    int sent = 0;
    int runs = 0; ///< attempts that an upstream has begun
    int replies = 0;
    bool forgotten = false;
};

/// An attempt at a fake upstream.
struct AttemptFacts {
    RequestId request = 0;
    bool may_repeat = true;
    bool cancelled = false;
    bool has_read = false;
};

enum class Step : unsigned char {
    Arrive,
    StartStages,
    MakeStage,
    FailStage,
    LosePiece,
    Refuse,
    Read,
    Finish,
    Lose,
    Fail,
    CallerLeaves,
    Evacuate,
    Wait,
    RepeatLast,
};
constexpr std::array<std::pair<Step, std::size_t>, 14> kWeights {{{Step::Arrive, 4},
                                                                  {Step::StartStages, 8},
                                                                  {Step::MakeStage, 10},
                                                                  {Step::FailStage, 1},
                                                                  {Step::LosePiece, 1},
                                                                  {Step::Refuse, 1},
                                                                  {Step::Read, 6},
                                                                  {Step::Finish, 3},
                                                                  {Step::Lose, 3},
                                                                  {Step::Fail, 1},
                                                                  {Step::CallerLeaves, 1},
                                                                  {Step::Evacuate, 1},
                                                                  {Step::Wait, 3},
                                                                  {Step::RepeatLast, 1}}};

constexpr std::size_t
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

class RelayWorld {
public:
    RelayWorld()
        : m_router(Registry<Router>::instance().make("adaptive"))
        , m_admission(Registry<Admission>::instance().make("budget"))
        , m_table("a", 0, {{"a", "north"}, {"b", "south"}})
        , m_scheduler(options(), *m_router, *m_admission, [] { return 0; })
    {
        publish();
    }

    void run(Step step, std::size_t number)
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
                handle(CallerClosed {it->first});
            break;
        case Step::Evacuate:
            evacuate(number);
            break;
        case Step::Wait:
            m_now += static_cast<Micros>(1 + number % 20) * 20 * kMillisecond;
            handle(Tick {});
            break;
        case Step::RepeatLast:
            if (m_last)
                handle(*m_last);
            break;
        }
    }

    /// Lets all deadlines pass; then nothing may be left over.
    void settle()
    {
        m_now += kDeadline + kSecond;
        handle(Tick {});
        while (!m_attempts.empty())
            end_attempt(0, AttemptStatus::Lost);
        handle(Tick {});
        for (const auto& [id, facts] : m_requests) {
            RC_ASSERT(facts.replies == 1 || facts.forgotten);
            RC_ASSERT(facts.forgotten);
        }
        for (const auto& [handle, piece] : m_pieces)
            RC_ASSERT(piece.released);
        RC_ASSERT(m_scheduler.live() == 0);
    }

private:
    static SchedulerOptions options()
    {
        SchedulerOptions options;
        options.retry_burst = 1000; // the limit has tests of its own
        return options;
    }

    /// Two stages of pieces, the second of which reads the first, and one that only
    /// the upstream reads.
    void publish()
    {
        Bundle bundle;
        bundle.name = "b";
        bundle.version = 1;
        UpstreamSetSpec set;
        set.name = "set";
        set.slots = 100;
        bundle.upstream_sets.push_back(set);
        UpstreamSetSpec pool;
        pool.name = "pool";
        pool.batch = BatchSpec {8, 2, 150 * kMillisecond, 16 * kMillisecond, 0, 0};
        bundle.upstream_sets.push_back(pool);
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
            pipeline.piece_stages
                = {{"pool", {}, 100}, {"pool", {0}, 100}, {"pool", {}, 100}};
            bundle.pipelines.push_back(pipeline);
        }
        m_snapshot = m_table.build(bundle,
                                   {{"i1", "set", "10.0.0.1:1", "a", 0, false},
                                    {"i2", "set", "10.0.0.2:1", "a", 0, false},
                                    {"i3", "set", "10.0.0.3:1", "b", 0, false},
                                    {"s1", "pool", "10.0.0.4:1", "a", 0, false}});
    }

    /// Any set of the two halls is evacuated now.
    void evacuate(std::size_t number)
    {
        m_evacuated.clear();
        if (number % 2 == 1)
            m_evacuated.push_back("a");
        if (number / 2 % 2 == 1)
            m_evacuated.push_back("b");
        m_table.set_evacuated(m_evacuated, m_now);
    }

    void arrive(std::size_t number)
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
        handle(RequestArrived {std::move(spec)});
    }

    // ------------------------------------------------------------ pieces

    void start_stages(std::size_t number)
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

    void end_stage(std::size_t number, bool made)
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
        plan.stage_made(stage, make_pieces(facts.counts[stage]));
        release(plan.take_releasable());
        if (plan.is_done())
            end_preparation(id, true);
    }

    std::vector<std::string> make_pieces(int count)
    {
        std::vector<std::string> handles;
        for (int i = 0; i < count; ++i) {
            handles.push_back("h" + std::to_string(m_pieces.size()));
            m_pieces[handles.back()] = {};
        }
        return handles;
    }

    void end_preparation(RequestId id, bool made)
    {
        RequestFacts& facts = m_requests.at(id);
        m_preparing.erase(id);
        if (made)
            facts.inputs = facts.preparation->plan.final_inputs();
        else
            release(facts.preparation->plan.unreleased());
        facts.preparation.reset();
        m_last = PreparationEnded {id, made, "a", ""};
        handle(*m_last);
    }

    void release(const std::vector<std::string>& handles)
    {
        for (const std::string& handle : handles) {
            RC_ASSERT(!m_pieces.at(handle).released);
            m_pieces.at(handle).released = true;
        }
    }

    // ---------------------------------------------------------- attempts

    static AttemptStatus refusal(std::size_t number)
    {
        constexpr std::array<AttemptStatus, 3> kinds {
            AttemptStatus::NotSent, AttemptStatus::Overloaded, AttemptStatus::Leaving};
        return kinds.at(number / 7 % kinds.size());
    }

    /// The upstream fetches what it is to read and begins to answer.
    void read_inputs(std::size_t number)
    {
        const auto it = pick(m_attempts, number);
        if (it == m_attempts.end() || it->second.has_read)
            return;
        const AttemptId id = it->first;
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
        handle(AttemptBegun {id});
        if (!attempt.cancelled) {
            m_last = InputsRead {id};
            handle(*m_last);
        }
    }

    void end_attempt(std::size_t number, AttemptStatus status)
    {
        const auto it = pick(m_attempts, number);
        if (it == m_attempts.end())
            return;
        const auto [id, attempt] = *it;
        RequestFacts& facts = m_requests.at(attempt.request);
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
        m_last = AttemptEnded {id, status};
        handle(*m_last);
    }

    // ----------------------------------------------------------- actions

    void handle(const Event& event)
    {
        Actions actions;
        m_scheduler.handle(event, m_now, actions);
        for (const Action& action : actions)
            std::visit([this](const auto& a) { act(a); }, action);
    }

    void act(const SendAttempt& action)
    {
        RequestFacts& facts = m_requests.at(action.request);
        ++facts.sent;
        RC_ASSERT(!facts.forgotten);
        const std::string& hall = action.upstream->hall;
        RC_ASSERT(facts.halls.allows(hall));
        RC_ASSERT(std::find(m_evacuated.begin(), m_evacuated.end(), hall)
                  == m_evacuated.end());
        const bool needs_pieces = facts.counts.front() > 0;
        RC_ASSERT(!needs_pieces || !facts.inputs.empty());
        for (const std::string& input : facts.inputs)
            RC_ASSERT(!m_pieces.at(input).released);
        RC_ASSERT(m_now < action.deadline);
        m_attempts[action.attempt] = {action.request, action.may_repeat, false, false};
    }

    void act(const CancelAttempt& action)
    {
        if (const auto it = m_attempts.find(action.attempt); it != m_attempts.end())
            it->second.cancelled = true;
    }

    void act(const BeginPreparation& action)
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

    void act(const CancelPreparation& action)
    {
        RequestFacts& facts = m_requests.at(action.request);
        m_preparing.erase(action.request);
        if (facts.preparation)
            release(facts.preparation->plan.unreleased());
        facts.preparation.reset();
    }

    void act(const ReleaseInputs& action)
    {
        RequestFacts& facts = m_requests.at(action.request);
        // No attempt that is still to read them is under way.
        for (const auto& [id, attempt] : m_attempts)
            RC_ASSERT(attempt.request != action.request || attempt.has_read
                      || attempt.cancelled);
        release_unreleased(facts.inputs);
    }

    void act(const ReportUnreached& action)
    {
        // Of a request that an upstream has, nothing may be told.
        RC_ASSERT(!m_requests.at(action.request).forgotten);
    }

    void act(const Reply& action)
    {
        RequestFacts& facts = m_requests.at(action.request);
        ++facts.replies;
        RC_ASSERT(facts.replies == 1);
        RC_ASSERT(action.ran != Ran::NotRun || facts.runs == 0);
    }

    void act(const Forget& action)
    {
        RequestFacts& facts = m_requests.at(action.request);
        RC_ASSERT(!facts.forgotten);
        facts.forgotten = true;
        release_unreleased(facts.inputs);
    }

    void act(const BeginClaim&) { RC_FAIL("a relayed request needs no claim"); }
    void act(const EndClaim&) { RC_FAIL("a relayed request has no claim"); }

    bool has_lost(const std::vector<std::string>& handles) const
    {
        for (const std::string& handle : handles)
            if (m_pieces.at(handle).lost)
                return true;
        return false;
    }

    /// The driver keeps what it holds; what it has released it does not hold.
    void release_unreleased(const std::vector<std::string>& handles)
    {
        for (const std::string& handle : handles)
            m_pieces.at(handle).released = true;
    }

    std::unique_ptr<Router> m_router;
    std::unique_ptr<Admission> m_admission;
    UpstreamTable m_table;
    Scheduler m_scheduler;
    SnapshotPtr m_snapshot;
    std::vector<std::string> m_evacuated; ///< halls
    Micros m_now = kSecond;
    std::map<RequestId, RequestFacts> m_requests;
    std::set<RequestId> m_preparing;
    std::map<AttemptId, AttemptFacts> m_attempts;
    std::map<std::string, Piece> m_pieces;
    std::optional<Event> m_last; ///< to be told once more
    RequestId m_next_request = 1;
};

std::uint64_t
seed_of(int daemon)
{
    return 0x51ed270b0a1f39c1ULL * static_cast<std::uint64_t>(daemon + 1);
}

/// Cases that the last call of run_cases() took, those that made a failure smaller
/// included.
int g_cases = 0;

bool
run_cases(int cases, std::uint64_t seed)
{
    g_cases = 0;
    const std::string parameters = "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 noshrink="
        + (g_mutation == Mutation::None ? "0" : "1") + " seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("relayed requests keep their promises", [] {
        constexpr std::size_t numbers_of_step = 1000;
        RelayWorld world;
        ++g_cases;
        const auto steps = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, sum_of_weights() * numbers_of_step));
        for (const std::size_t step : steps)
            world.run(step_at(step % sum_of_weights()), step / sum_of_weights());
        world.settle();
    });
}

/// Requests come to any number of daemons at any time; a cold upstream gets no more than
/// it bears from all of them and the leader of its set together.
bool
run_cold_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 noshrink=1 seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("cold upstreams get what they bear", [] {
        const auto per_s = static_cast<double>(*rc::gen::inRange(1, 20));
        const auto daemons = *rc::gen::inRange(1, 300);
        const auto gap = *rc::gen::inRange<Micros>(kMillisecond, 40 * kMillisecond);
        constexpr Micros time = 3 * kSecond;
        std::vector<std::unique_ptr<ColdState>> states;
        for (int i = 0; i < daemons; ++i) {
            states.push_back(std::make_unique<ColdState>(seed_of(i)));
            states.back()->set_spec({time, per_s});
            states.back()->note(time);
        }
        std::vector<Micros> sent;
        for (Micros now = 0; now < time; now += gap) {
            const auto daemon = static_cast<std::size_t>(now / gap * 7 % daemons);
            // The first leads, and the others reach it every other time.
            const bool granted = now / gap % 2 == 0 && states.front()->take_grant(now);
            if (granted || states[daemon]->take_send(daemons, now))
                sent.push_back(now);
        }
        const double bound = 1.5 * per_s + 5;
        for (const Micros from : sent) {
            const auto in_window = std::count_if(sent.begin(), sent.end(), [&](Micros at) {
                return at >= from && at < from + kSecond;
            });
            RC_ASSERT(static_cast<double>(in_window) <= bound);
        }
    });
}

/// True if each deliberate fault was caught.
bool
check_mutations(int cases, std::uint64_t seed)
{
    const std::map<Mutation, const char*> faults {
        {Mutation::SendFreedInputs, "SendFreedInputs"},
        {Mutation::FreeBeforeRead, "FreeBeforeRead"},
        {Mutation::RetryOnce, "RetryOnce"},
        {Mutation::FalseNotRun, "FalseNotRun"},
        {Mutation::ColdBoundForEach, "ColdBoundForEach"},
        {Mutation::LeaveRegionOnRetry, "LeaveRegionOnRetry"},
        {Mutation::SendToEvacuated, "SendToEvacuated"}};
    bool all = true;
    for (const auto& [fault, name] : faults) {
        g_mutation = fault;
        const bool caught = !run_cases(cases, seed) || !run_cold_cases(cases, seed);
        std::cout << name << (caught ? ": caught, cases " : ": NOT CAUGHT, cases ")
                  << g_cases << '\n';
        all = all && caught;
    }
    g_mutation = Mutation::None;
    return all;
}

} // namespace

} // namespace cypressford::fuzz

int
main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const int cases = absl::GetFlag(FLAGS_cases);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const bool good = absl::GetFlag(FLAGS_mutations)
        ? cypressford::fuzz::check_mutations(cases, seed)
        : cypressford::fuzz::run_cases(cases, seed)
            && cypressford::fuzz::run_cold_cases(cases, seed);
    return good ? 0 : 1;
}
