// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stateful fuzzing of relayed requests and their pieces: two schedulers over fake
/// upstreams that refuse, break off, stay silent, lose results, say that they leave, ask
/// for rest, start again or lapse from the platform's list, in any order, while operators
/// evacuate halls and some requests are bound to a region.  An oracle knows which results
/// exist, who released them, what ran, where nothing may go and what upstreams have said of
/// themselves.
///
///   cypressford_relay_fuzz               fixed cases
///   cypressford_relay_fuzz --mutations   each deliberate fault must be caught

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <rapidcheck.h>

#include <cypressford/mutation.h>

#include "relay_world.h"

ABSL_FLAG(int, cases, 20000, "cases to run");
ABSL_FLAG(std::uint64_t, seed, 20261202, "first seed");
ABSL_FLAG(bool, mutations, false, "check that each deliberate fault is caught");

namespace cypressford::fuzz {

namespace {

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

/// A daemon with calls for one upstream that names a limit.
struct LimitedSender {
    explicit LimitedSender(int number, std::shared_ptr<const SharerCount> sharers)
        : report(seed_of(number), std::move(sharers))
    {
        report.limit().set_has_leader(true);
    }

    /// Sends a call if it may, whose answer comes at once; true if it is one that counts.
    bool send(RatePart part, double limit, Micros now)
    {
        if (!report.limit().take(part, now))
            return false;
        const bool counts = told_at > 0 && now - told_at >= kTellingTime;
        report.record_limit(limit, now, now);
        if (told_at == 0)
            told_at = now;
        return counts;
    }

    /// A daemon that heard of a limit less long ago is not held to it.
    static constexpr Micros kTellingTime = 500 * kMillisecond;
    SelfReport report;
    Micros told_at = 0; ///< 0: not yet
};

/// Requests come to any daemons at any time; leaders change, daemons are cut off from the
/// list of daemons and send on, and others start again.  The limit holds for all together.
bool
run_limit_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 noshrink=1 seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("a limit holds over all daemons", [] {
        const double limit = *rc::gen::inRange(1, 40) / 4.0;
        const auto daemons = *rc::gen::inRange(1, 300);
        const auto gap = *rc::gen::inRange<Micros>(kMillisecond, 20 * kMillisecond);
        const auto leads_for = *rc::gen::inRange<Micros>(2 * kSecond, 20 * kSecond);
        const auto cut_at = *rc::gen::inRange<Micros>(4 * kSecond, 12 * kSecond);
        constexpr Micros time = 24 * kSecond;
        constexpr Micros contact = 3 * kSecond;
        constexpr Micros cut_for = SharerCount::kRemovalDelay - kSecond;
        const auto sharers = std::make_shared<SharerCount>();
        std::vector<std::unique_ptr<LimitedSender>> senders;
        senders.reserve(static_cast<std::size_t>(daemons));
        for (int i = 0; i < daemons; ++i)
            senders.push_back(std::make_unique<LimitedSender>(i, sharers));
        std::vector<Micros> sent;
        Micros named_at = 0;
        for (Micros now = kSecond; now < time; now += gap) {
            const bool is_cut = now >= cut_at && now < cut_at + cut_for;
            sharers->set(is_cut ? 1 : daemons, now);
            const auto turn = static_cast<std::size_t>(now / gap);
            const auto leader = static_cast<std::size_t>(now / leads_for * 5 % daemons);
            const auto starts = turn * 31 % (daemons * 64);
            if (starts < senders.size() && turn % 97 == 0)
                senders[starts]
                    = std::make_unique<LimitedSender>(static_cast<int>(turn), sharers);
            if (named_at == 0)
                named_at = now;
            for (const bool granted : {true, false}) {
                LimitedSender& sender = *senders[granted ? leader : turn * 7 % daemons];
                const RatePart part = granted ? RatePart::Granted : RatePart::Own;
                if (sender.send(part, limit, now) && now - named_at >= contact)
                    sent.push_back(now);
            }
        }
        const double bound = 1.5 * limit * 4 + 5;
        for (const Micros from : sent) {
            const auto in_span = std::count_if(sent.begin(), sent.end(), [&](Micros at) {
                return at >= from && at < from + 4 * kSecond;
            });
            RC_ASSERT(static_cast<double>(in_span) <= bound);
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
        {Mutation::SendToEvacuated, "SendToEvacuated"},
        {Mutation::SendToLeaving, "SendToLeaving"},
        {Mutation::SendToResting, "SendToResting"},
        {Mutation::AskBeforeQueueOnly, "AskBeforeQueueOnly"},
        {Mutation::ReportOutlivesRun, "ReportOutlivesRun"},
        {Mutation::LimitForEach, "LimitForEach"},
        {Mutation::UncountedRetry, "UncountedRetry"},
        {Mutation::LimitNeverRaised, "LimitNeverRaised"},
        {Mutation::LimitStays, "LimitStays"},
        {Mutation::ForgetSharers, "ForgetSharers"},
        {Mutation::ForgetUnlisted, "ForgetUnlisted"}};
    bool all = true;
    for (const auto& [fault, name] : faults) {
        g_mutation = fault;
        const bool caught = !run_cases(cases, seed) || !run_cold_cases(cases, seed)
            || !run_limit_cases(cases, seed);
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
            && cypressford::fuzz::run_cold_cases(cases, seed)
            && cypressford::fuzz::run_limit_cases(cases, seed);
    return good ? 0 : 1;
}
