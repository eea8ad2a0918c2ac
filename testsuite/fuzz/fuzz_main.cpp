// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stateful fuzzing of the decision cores with RapidCheck's state machines.
///
///   cypressford_fuzz                      a fixed number of cases from a fixed seed
///   cypressford_fuzz --seconds=600        as many as fit, with new seeds
///   cypressford_fuzz --mutations          each deliberate fault must be caught

#include <array>
#include <chrono>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cypressford/mutation.h>

#include "world.h"

ABSL_FLAG(int, cases, 300, "cases to run");
ABSL_FLAG(int, seconds, 0, "run for this many seconds instead, with new seeds");
ABSL_FLAG(std::uint64_t, seed, 20261202, "first seed");
ABSL_FLAG(std::string, only, "", "check this mutation only");
ABSL_FLAG(bool, shrink, true, "shrink a failing case before it is printed");
ABSL_FLAG(bool, mutations, false, "check that each deliberate fault is caught");

namespace cypressford::fuzz {

namespace {

/// Kinds of steps.  Their names are printed with a shrunk failure.
enum class StepKind : unsigned char {
    Call,
    CallAgain,
    CallAgainOtherBody,
    Advance,
    Behave,
    Leave,
    Kill,
    Pause,
    Resume,
    Stop,
    LogOutage,
    LogLosesAnswers,
    LogSlow,
    LogHeals,
    CutHall,
    TrimClaims,
    RaceBundles,
    RepeatAnswers,
};
constexpr std::array<const char*, 18> kStepNames {
    "Call",       "CallAgain",   "CallAgainOtherBody",
    "Advance",    "Behave",      "Leave",
    "Kill",       "Pause",       "Resume",
    "Stop",       "LogOutage",   "LogLosesAnswers",
    "LogSlow",    "LogHeals",    "CutHall",
    "TrimClaims", "RaceBundles", "RepeatAnswers"};

/// The model: only the state that decides whether a step may run.
struct Model {
    int leaving_upstreams = 0; ///< number of upstreams that are leaving
};

struct Step : rc::state::Command<Model, World> {
    StepKind kind;
    int a;
    int b;

    explicit Step(const Model&)
        : kind(*rc::gen::weightedElement<StepKind>({{14, StepKind::Call},
                                                    {8, StepKind::CallAgain},
                                                    {1, StepKind::CallAgainOtherBody},
                                                    {14, StepKind::Advance},
                                                    {6, StepKind::Behave},
                                                    {1, StepKind::Leave},
                                                    {2, StepKind::Kill},
                                                    {2, StepKind::Pause},
                                                    {3, StepKind::Resume},
                                                    {1, StepKind::Stop},
                                                    {1, StepKind::LogOutage},
                                                    {2, StepKind::LogLosesAnswers},
                                                    {1, StepKind::LogSlow},
                                                    {3, StepKind::LogHeals},
                                                    {1, StepKind::CutHall},
                                                    {2, StepKind::TrimClaims},
                                                    {1, StepKind::RaceBundles},
                                                    {1, StepKind::RepeatAnswers}}))
        , a(*rc::gen::inRange(0, 60))
        , b(*rc::gen::inRange(0, 60))
    {
    }

    void checkPreconditions(const Model& model) const override
    {
        RC_PRE(kind != StepKind::Leave || model.leaving_upstreams < 2);
    }

    void apply(Model& model) const override
    {
        if (kind == StepKind::Leave)
            ++model.leaving_upstreams;
    }

    void run(const Model&, World& world) const override
    {
        const auto index = static_cast<std::size_t>(a);
        const std::size_t daemon = index % kDaemons;
        const auto other = static_cast<std::size_t>(b);
        switch (kind) {
        case StepKind::Call:
            world.call(daemon, other % kPipelines);
            break;
        case StepKind::CallAgain:
            world.repeat_call(daemon, other % 6, false);
            break;
        case StepKind::CallAgainOtherBody:
            world.repeat_call(daemon, other % 6, true);
            break;
        // From 1 ms to about 60 s; short times are the most frequent.
        case StepKind::Advance:
            world.advance((1 + a * a * a * b / 200) * kMillisecond);
            break;
        case StepKind::Behave:
            world.set_behaviour(index % world.upstream_count(),
                                static_cast<Behaviour>(b % kBehaviours));
            break;
        case StepKind::Leave:
            world.leave(index % world.upstream_count());
            break;
        case StepKind::Kill:
            world.kill(daemon);
            break;
        case StepKind::Pause:
            world.pause(daemon);
            break;
        case StepKind::Resume:
            world.resume(daemon);
            break;
        case StepKind::Stop:
            world.stop(daemon);
            break;
        case StepKind::LogOutage:
            world.log().outage = true;
            break;
        case StepKind::LogLosesAnswers:
            world.log().lose_answers = true;
            break;
        case StepKind::LogSlow:
            world.log().slow = true;
            break;
        case StepKind::LogHeals:
            world.log().outage = world.log().lose_answers = world.log().slow = false;
            world.log().cut_halls.clear();
            break;
        case StepKind::CutHall:
            world.log().cut_halls.insert(a % 2 == 0 ? "A" : "B");
            break;
        case StepKind::TrimClaims:
            world.trim_claims();
            break;
        case StepKind::RaceBundles:
            world.race_bundles(a % 2 == 0);
            break;
        case StepKind::RepeatAnswers:
            world.repeat_last_answers();
            break;
        }
        if (!world.violation_message().empty())
            RC_FAIL(world.violation_message());
    }

    void show(std::ostream& out) const override
    {
        out << kStepNames.at(static_cast<std::size_t>(kind)) << '(' << a << ", " << b
            << ')';
    }
};

struct Outcome {
    bool passed = true;
    int cases = 0;
    std::size_t replies = 0;
};

/// Runs cases until one fails; the failure is shrunk and printed.
Outcome
run_cases(std::uint64_t seed, int cases)
{
    Outcome outcome;
    rc::detail::TestParams test_params;
    test_params.seed = seed;
    test_params.maxSuccess = cases;
    test_params.maxSize = 120;
    // A caught mutation is not shrunk.
    test_params.disableShrinking
        = absl::GetFlag(FLAGS_mutations) || !absl::GetFlag(FLAGS_shrink);
    const auto property = [&outcome] {
        World world(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        ++outcome.cases;
        rc::state::check(Model {}, world, rc::state::gen::execOneOfWithArgs<Step>());
        world.settle();
        outcome.replies += world.replies();
        if (!world.violation_message().empty())
            RC_FAIL(world.violation_message());
    };
    const auto result
        = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, test_params);
    outcome.passed = result.template is<rc::detail::SuccessResult>();
    if (!outcome.passed && !absl::GetFlag(FLAGS_mutations))
        rc::detail::printResultMessage(result, std::cout);
    return outcome;
}

constexpr std::array<std::pair<Mutation, const char*>, 12> kMutations {{
    {Mutation::SendUnclaimed, "SendUnclaimed"},
    {Mutation::LastClaimWins, "LastClaimWins"},
    {Mutation::RetryOnce, "RetryOnce"},
    {Mutation::ReleaseAfterLost, "ReleaseAfterLost"},
    {Mutation::IgnoreFloor, "IgnoreFloor"},
    {Mutation::IgnoreReleased, "IgnoreReleased"},
    {Mutation::SendToLeaving, "SendToLeaving"},
    {Mutation::TrustLateAnswer, "TrustLateAnswer"},
    {Mutation::FalseNotRun, "FalseNotRun"},
    {Mutation::BundleGoesBack, "BundleGoesBack"},
    {Mutation::SkipStage, "SkipStage"},
    {Mutation::DoubleReply, "DoubleReply"},
}};

int
check_mutations(std::uint64_t seed, int cases)
{
    int missed = 0;
    for (const auto& [mutation, name] : kMutations) {
        const std::string only = absl::GetFlag(FLAGS_only);
        if (!only.empty() && only != name)
            continue;
        g_mutation = mutation;
        const Outcome outcome = run_cases(seed, cases);
        g_mutation = Mutation::None;
        missed += outcome.passed;
        std::cout << "mutation=" << name << (outcome.passed ? " MISSED" : " caught")
                  << " cases=" << outcome.cases << '\n';
    }
    std::cout << kMutations.size() - static_cast<std::size_t>(missed) << " passed, "
              << missed << " failed\n";
    return missed == 0 ? 0 : 1;
}

int
run_for_seconds(std::uint64_t seed, int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    int cases = 0;
    while (std::chrono::steady_clock::now() < end) {
        const Outcome outcome = run_cases(seed++, 100);
        cases += outcome.cases;
        if (!outcome.passed) {
            std::cout << "failed with --seed=" << seed - 1 << " --cases=100\n";
            return 1;
        }
    }
    std::cout << cases << " cases passed\n";
    return 0;
}

} // namespace

} // namespace cypressford::fuzz

int
main(int argc, char** argv)
{
    using namespace cypressford::fuzz;
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    if (absl::GetFlag(FLAGS_mutations))
        return check_mutations(seed, absl::GetFlag(FLAGS_cases));
    if (absl::GetFlag(FLAGS_seconds) > 0)
        return run_for_seconds(seed, absl::GetFlag(FLAGS_seconds));
    const Outcome outcome = run_cases(seed, absl::GetFlag(FLAGS_cases));
    std::cout << outcome.cases << " cases, " << outcome.replies
              << " answers: " << (outcome.passed ? "passed" : "FAILED") << '\n';
    return outcome.passed ? 0 : 1;
}
