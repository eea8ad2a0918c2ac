// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stateful fuzzing of relayed requests and their pieces: two schedulers over fake
/// upstreams that refuse, break off, do not respond, lose results, report that they leave,
/// request backoff, restart or expire from the platform's list, in any order, while
/// operators evacuate halls and some requests are bound to a region.  An oracle records
/// which results exist and which were released, which attempts ran, where requests may not
/// be sent and what upstreams have reported of themselves.
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

/// Cases of the last call of run_cases(), including those that shrank a failure.
int g_cases = 0;

bool
run_cases(int cases, std::uint64_t seed)
{
    g_cases = 0;
    const std::string parameters = "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 noshrink="
        + (g_mutation == Mutation::None ? "0" : "1") + " seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("relayed requests keep the oracle's invariants", [] {
        constexpr std::size_t arguments_per_step = 1000;
        RelayWorld world;
        ++g_cases;
        const auto steps = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, sum_of_weights() * arguments_per_step));
        for (const std::size_t step : steps)
            world.run(step_at(step % sum_of_weights()), step / sum_of_weights());
        world.settle();
    });
}

/// Requests come to any number of daemons at any time; together, the daemons and the leader
/// of the set send a cold upstream no more requests than its cold-start limit allows.
bool
run_cold_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 noshrink=1 seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("cold upstreams get no more requests than their limit", [] {
        const auto per_s = static_cast<double>(*rc::gen::inRange(1, 20));
        const auto daemons = *rc::gen::inRange(1, 300);
        const auto gap = *rc::gen::inRange<Micros>(kMillisecond, 40 * kMillisecond);
        constexpr Micros time = 3 * kSecond;
        std::vector<std::unique_ptr<ColdState>> states;
        for (int i = 0; i < daemons; ++i) {
            states.push_back(std::make_unique<ColdState>(seed_of(i)));
            states.back()->set_spec({time, per_s});
            states.back()->mark_cold_until(time);
        }
        std::vector<Micros> sent;
        for (Micros now = 0; now < time; now += gap) {
            const auto daemon = static_cast<std::size_t>(now / gap * 7 % daemons);
            // The first daemon leads; every second request may get a grant from it.
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

/// A daemon with calls for one upstream that reports a limit.
struct LimitedSender {
    explicit LimitedSender(int number, const std::shared_ptr<const SharerCount>& sharers)
        : report(seed_of(number), sharers)
    {
        report.limit().set_has_leader(true);
    }

    /// Sends a call if allowed; the answer arrives at once.  True if the call is
    /// counted against the limit.
    bool send(RatePart part, double limit, Micros now)
    {
        if (!report.limit().take(part, now))
            return false;
        const bool counts
            = limit_known_since > 0 && now - limit_known_since >= kReportingTime;
        report.record_limit(limit, now, now);
        if (limit_known_since == 0)
            limit_known_since = now;
        return counts;
    }

    /// Delay from a daemon's first receipt of the limit until its calls are held to it.
    static constexpr Micros kReportingTime = 500 * kMillisecond;
    SelfReport report;
    Micros limit_known_since = 0; ///< 0: no limit received yet
};

/// Requests come to any daemons at any time; leaders change, daemons lose the list of
/// daemons but continue to send, and others restart.  The limit holds for all of them
/// together.
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
        const auto leader_term = *rc::gen::inRange<Micros>(2 * kSecond, 20 * kSecond);
        const auto disconnected_at = *rc::gen::inRange<Micros>(4 * kSecond, 12 * kSecond);
        constexpr Micros time = 24 * kSecond;
        constexpr Micros settling_time = 3 * kSecond;
        constexpr Micros disconnect_time = SharerCount::kRemovalDelay - kSecond;
        const auto sharers = std::make_shared<SharerCount>();
        std::vector<std::unique_ptr<LimitedSender>> senders;
        senders.reserve(static_cast<std::size_t>(daemons));
        for (int i = 0; i < daemons; ++i)
            senders.push_back(std::make_unique<LimitedSender>(i, sharers));
        std::vector<Micros> sent;
        Micros limit_reported_at = 0;
        for (Micros now = kSecond; now < time; now += gap) {
            const bool is_disconnected
                = now >= disconnected_at && now < disconnected_at + disconnect_time;
            sharers->set(is_disconnected ? 1 : daemons, now);
            const auto turn = static_cast<std::size_t>(now / gap);
            const auto leader = static_cast<std::size_t>(now / leader_term * 5 % daemons);
            const auto restarted = turn * 31 % (daemons * 64);
            if (restarted < senders.size() && turn % 97 == 0)
                senders[restarted]
                    = std::make_unique<LimitedSender>(static_cast<int>(turn), sharers);
            if (limit_reported_at == 0)
                limit_reported_at = now;
            for (const bool granted : {true, false}) {
                LimitedSender& sender = *senders[granted ? leader : turn * 7 % daemons];
                const RatePart part = granted ? RatePart::Granted : RatePart::Own;
                if (sender.send(part, limit, now)
                    && now - limit_reported_at >= settling_time)
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
        {Mutation::ContinueAtAnyVersion, "ContinueAtAnyVersion"},
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
