// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cost of a daemon's control work, by the size of its input.

#include <fstream>

#include <benchmark/benchmark.h>

#include <cypressford/bundle_fold.h>
#include <cypressford/claims.h>
#include <cypressford/codec.h>
#include <cypressford/membership.h>
#include <cypressford/session_token.h>

#include "libutil/crypto.h"

namespace cypressford {

namespace {

ClaimBatch
make_batch(int claims, std::uint64_t first)
{
    ClaimBatch batch;
    batch.maker = 1;
    for (int i = 0; i < claims; ++i) {
        const std::uint64_t number = first + static_cast<std::uint64_t>(i);
        const std::string key = "couriers/0190f3a2-7b1c-7000-8000-"
            + to_hex(sha256(std::to_string(number))).substr(0, 12);
        batch.claims.push_back({{1, number}, key, number, static_cast<WallMs>(number)});
        batch.ends.push_back(
            {{1, number},
             key,
             static_cast<WallMs>(number),
             ClaimOutcome::Done,
             RecordedAnswer {"application/json", R"({"output":"0123456789abcdef"})"}});
    }
    return batch;
}

/// Resident memory of this process, in bytes.
std::size_t
resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    constexpr std::size_t page = 4096;
    return resident * page;
}

Bundle
make_bundle(int upstreams)
{
    Bundle bundle;
    bundle.name = "bench";
    bundle.version = 1;
    bundle.models = {{"m", {"a", "b"}}};
    UpstreamSetSpec set;
    set.name = "pool";
    set.kind = "pool";
    for (int i = 0; i < upstreams; ++i)
        set.halls["hall-" + std::to_string(i % 35)].push_back("10.0.0.1:"
                                                              + std::to_string(i + 1));
    bundle.upstream_sets.push_back(set);
    for (int i = 0; i < 16; ++i) {
        PipelineSpec pipeline;
        pipeline.name = "pipeline-" + std::to_string(i);
        pipeline.stages.resize(4);
        for (std::size_t s = 0; s < pipeline.stages.size(); ++s) {
            pipeline.stages[s].name = "stage-" + std::to_string(s);
            pipeline.stages[s].kind = StageKind::Encode;
            pipeline.stages[s].upstream_set = "pool";
        }
        bundle.pipelines.push_back(pipeline);
    }
    for (int i = 0; i < upstreams / 6; ++i)
        bundle.accounts.push_back(
            {"account-" + std::to_string(i), std::string(64, 'a'), 100, 100});
    return bundle;
}

} // namespace

/// Applies one record of claims and their outcomes to a claimer's ledger, by the number of
/// claims.
static void
BM_ClaimRecord(benchmark::State& state)
{
    const int claims = static_cast<int>(state.range(0));
    ClaimOptions options;
    options.max_keys = 20'000;
    ClaimLedger ledger(options);
    Offset offset = 0;
    std::uint64_t first = 1;
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const std::string record = encode(make_batch(claims, first));
        first += static_cast<std::uint64_t>(claims);
        bytes += record.size();
        state.ResumeTiming();
        ledger.apply(offset++, *decode_claims(record), 0);
    }
    state.SetItemsProcessed(state.iterations() * claims);
    state.counters["bytes_per_claim"]
        = static_cast<double>(bytes) / static_cast<double>(state.iterations() * claims);
}
BENCHMARK(BM_ClaimRecord)->Arg(1)->Arg(10)->Arg(100)->Arg(1000)->Iterations(200);

/// Brings a new bundle into force, from its log record to the snapshot that workers read.
static void
BM_BundleInForce(benchmark::State& state)
{
    const Bundle bundle = make_bundle(static_cast<int>(state.range(0)));
    const KeyPair keys = *make_key_pair();
    BundleRecord publish;
    publish.name = bundle.name;
    publish.version = 1;
    publish.bundle = canonical_json(bundle);
    BundleRecord roll;
    roll.action = BundleAction::Roll;
    roll.name = bundle.name;
    roll.version = 1;
    const std::string first = encode(*sign_record(publish, keys.private_pem));
    const std::string second = encode(*sign_record(roll, keys.private_pem));
    UpstreamTable table("hall-1");
    for (auto _ : state) {
        BundleFold fold({{keys.public_hex}, std::string(32, 'k')});
        fold.apply(0, first);
        fold.apply(1, second);
        benchmark::DoNotOptimize(table.build(*fold.in_force()));
    }
    state.counters["bytes"] = static_cast<double>(first.size());
}
BENCHMARK(BM_BundleInForce)
    ->Arg(30)
    ->Arg(300)
    ->Arg(3000)
    ->Arg(10000)
    ->Unit(benchmark::kMillisecond);

/// Computation of one gossip round, by the number of daemons in the hall.
static void
BM_MembershipRound(benchmark::State& state)
{
    const auto members = static_cast<int>(state.range(0));
    Membership view({"self", "n", 1, 1, 0, false}, {});
    Micros now = 0;
    std::uint64_t beat = 0;
    for (auto _ : state) {
        now += kSecond;
        ++beat;
        view.advance_heartbeat(now);
        for (int i = 0; i < members; ++i)
            view.on_member_info({"10.0.0." + std::to_string(i), "n", 1, 1, beat, false},
                                now);
        int chosen = 0;
        for (int i = 0; i < 285; ++i)
            chosen += view.is_chosen("upstream" + std::to_string(i), 1, now);
        benchmark::DoNotOptimize(chosen);
    }
}
BENCHMARK(BM_MembershipRound)
    ->Arg(2)
    ->Arg(20)
    ->Arg(64)
    ->Arg(200)
    ->Unit(benchmark::kMicrosecond);

/// Memory of the ledger per key, by the number of keys.
static void
BM_LedgerMemory(benchmark::State& state)
{
    const int keys = static_cast<int>(state.range(0));
    for (auto _ : state) {
        const std::size_t before = resident_bytes();
        ClaimLedger ledger {ClaimOptions {}};
        for (int i = 0; i < keys; i += 100)
            ledger.apply(i / 100, make_batch(100, static_cast<std::uint64_t>(i) + 1), 0);
        const std::size_t after = resident_bytes();
        state.counters["bytes_per_key"]
            = static_cast<double>(after - before) / static_cast<double>(keys);
    }
}
BENCHMARK(BM_LedgerMemory)
    ->Arg(20'000)
    ->Arg(200'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Seals the session token that is sent with each streamed piece, on the data path.
static void
BM_SealToken(benchmark::State& state)
{
    const SessionTokens tokens(std::string(32, 'k'));
    SessionState session;
    session.engine = "127.0.0.1:7101";
    session.stream = session.account = session.pipeline = session.request = ~0ULL;
    std::size_t bytes = 0;
    for (auto _ : state) {
        ++session.delivered;
        const std::string token = tokens.seal(session);
        bytes = token.size();
        benchmark::DoNotOptimize(token);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_SealToken);

} // namespace cypressford
