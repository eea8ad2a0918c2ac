// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stateful fuzzing of DirectoryView: three daemons of a hall read a log themselves
/// and query each other, in any order and with any delay, while upstreams start, drain,
/// end and restart, older records are written late, configurations change, halls are
/// evacuated, and the log is truncated or restored from an older copy.  A simple oracle has
/// the whole log.
///
///   cypressford_directory_fuzz               fixed cases
///   cypressford_directory_fuzz --mutations   each deliberate fault must be caught

#include <array>
#include <iostream>
#include <map>
#include <set>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <rapidcheck.h>

#include <cypressford/directory_view.h>
#include <cypressford/mutation.h>

#include "directory_world.h"

ABSL_FLAG(int, cases, 20000, "cases to run");
ABSL_FLAG(std::uint64_t, seed, 20261202, "first seed");
ABSL_FLAG(bool, mutations, false, "check that each deliberate fault is caught");

namespace cypressford::fuzz {

namespace {

std::string
case_parameters(int cases, std::uint64_t seed)
{
    return "max_success=" + std::to_string(cases)
        + " max_size=200 verbose_progress=0 seed=" + std::to_string(seed);
}

bool
run_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = case_parameters(cases, seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("daemons agree with the log", [] {
        constexpr std::size_t kinds = sum_of_weights();
        constexpr std::size_t arguments = 60;
        DirectoryWorld world;
        const auto numbers = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, kinds * arguments * arguments));
        for (const std::size_t number : numbers)
            world.run({kind_at(number % kinds), number / kinds % arguments,
                       number / kinds / arguments});
    });
}

/// Records of evacuations reach a daemon over several paths and in any order; the newest
/// record of a hall decides.
bool
run_evacuation_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = case_parameters(cases, seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("the newest record of a hall is in force in any order", [] {
        const auto offsets
            = *rc::gen::container<std::vector<Offset>>(rc::gen::inRange<Offset>(0, 12));
        EvacuationTable table;
        Offset newest = -1;
        for (const Offset at : offsets) {
            table.apply({"hall", at % 2 == 0}, at);
            newest = std::max(newest, at);
        }
        RC_ASSERT(table.halls().empty() == (newest % 2 != 0));
    });
}

/// Records of upstreams' ends and of whole answers reach a daemon in any order, some twice;
/// a daemon that has all of them quarantines the same requests as the log.  Requests that
/// share no end are checked against a simple oracle, requests that ran together against a
/// table that read the log in order.
bool
run_suspect_cases(int cases, std::uint64_t seed)
{
    const std::string parameters = case_parameters(cases, seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    return rc::check("daemons quarantine the same requests as the log, in any order", [] {
        const bool shares_upstreams = *rc::gen::arbitrary<bool>();
        constexpr std::size_t requests = 3;
        constexpr std::size_t upstreams = 4;
        const auto digest = [](std::size_t number) {
            return digest_of({"POST", "h", std::to_string(number), "desk", "x"});
        };
        const auto log = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, requests * upstreams + requests));
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, log.size() + 1));
        std::array<std::set<std::size_t>, requests> ended;
        std::vector<SuspectRecord> records;
        for (const std::size_t number : log) {
            const std::size_t request = number % requests;
            const std::size_t upstream = number / requests;
            SuspectRecord record;
            if (upstream == upstreams)
                record.answered.push_back(digest(request));
            else
                record.ends.push_back(
                    {{std::to_string(upstream),
                      shares_upstreams ? 1 : 1 + static_cast<std::int64_t>(request)},
                     {digest(request)}});
            records.push_back(record);
            if (upstream == upstreams)
                ended.at(request).clear();
            else
                ended.at(request).insert(upstream);
        }
        SuspectTable table;
        const auto take = [&](std::size_t at) {
            table.apply(std::to_string(at), records[at], static_cast<Offset>(at));
        };
        for (const std::size_t at : order)
            if (at < records.size())
                take(at);
        for (std::size_t at = 0; at < records.size(); ++at)
            take(at);
        SuspectTable in_order;
        for (std::size_t at = 0; at < records.size(); ++at)
            in_order.apply(std::to_string(at), records[at], static_cast<Offset>(at));
        for (std::size_t request = 0; request < requests; ++request) {
            const bool refused = table.view()->is_quarantined(digest(request));
            RC_ASSERT(refused == in_order.view()->is_quarantined(digest(request)));
            if (!shares_upstreams)
                RC_ASSERT(refused
                          == (ended.at(request).size() >= SuspectTable::kEndsToQuarantine));
        }
    });
}

/// True if each deliberate fault was caught.
bool
check_mutations(int cases, std::uint64_t seed)
{
    const std::map<Mutation, const char*> faults {
        {Mutation::ForgetLastRecord, "ForgetLastRecord"},
        {Mutation::ForgetTransit, "ForgetTransit"},
        {Mutation::GapInHistory, "GapInHistory"},
        {Mutation::ConfigurationGoesBack, "ConfigurationGoesBack"},
        {Mutation::EvacuationGoesBack, "EvacuationGoesBack"},
        {Mutation::TakeOlderRun, "TakeOlderRun"},
        {Mutation::TakeOlderListing, "TakeOlderListing"},
        {Mutation::IgnoreWholeAnswers, "IgnoreWholeAnswers"},
        {Mutation::KeepOffsets, "KeepOffsets"},
        {Mutation::TakeOlderGeneration, "TakeOlderGeneration"},
        {Mutation::ReturnOfGone, "ReturnOfGone"}};
    bool all = true;
    for (const auto& [fault, name] : faults) {
        g_mutation = fault;
        const bool caught = !run_cases(cases, seed) || !run_evacuation_cases(cases, seed)
            || !run_suspect_cases(cases, seed);
        std::cout << name << (caught ? ": caught" : ": NOT CAUGHT") << '\n';
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
            && cypressford::fuzz::run_evacuation_cases(cases, seed)
            && cypressford::fuzz::run_suspect_cases(cases, seed);
    return good ? 0 : 1;
}
