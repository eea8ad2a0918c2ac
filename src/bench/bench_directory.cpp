// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one daemon keeps of the directory, by holder and by the number of upstreams.

#include <malloc.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include <cypressford/directory_view.h>

#include "../libcypressford/text_dialect.h"

namespace cypressford {

namespace {

constexpr std::size_t kRecordBytes = 250; ///< of an upstream's record, about
constexpr int kHalls = 5;
constexpr Micros kGrace = 3 * kSecond;

/// Bytes that are allocated now, whatever the allocator keeps besides.
std::size_t
live_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

DirectoryRecord
record_of(int upstream, int sequence)
{
    std::string value = std::to_string(sequence);
    value.resize(kRecordBytes, ' ');
    return {"i-" + std::to_string(1'000'000'000 + upstream), value + "@1",
            static_cast<Offset>(upstream)};
}

std::vector<DirectoryRecord>
records_of(int upstreams)
{
    std::vector<DirectoryRecord> records;
    records.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i)
        records.push_back(record_of(i, 1));
    return records;
}

Bundle
one_set()
{
    const TextDialect dialect;
    return *dialect.decode_configuration({"config", "1"});
}

/// Builds a holder and notes what it takes, for each upstream and in all.
template <class Build>
void
measure(benchmark::State& state, Build&& build)
{
    const auto upstreams = static_cast<double>(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = live_bytes();
        const auto holder = build();
        bytes = live_bytes() - before;
        benchmark::DoNotOptimize(holder);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_per_upstream"] = static_cast<double>(bytes) / upstreams;
}

/// The newest record of each key, as a reader hands it on.
void
newest_records(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    measure(state, [&] {
        auto listing = std::make_unique<TopicListing>();
        for (const DirectoryRecord& record : records)
            listing->put(record, record.offset);
        return listing;
    });
}

/// The same with its compressed form.
void
newest_records_packed(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    RecordHistory history;
    history.restart(state.range(0));
    measure(state, [&] {
        auto listing = std::make_unique<TopicListing>();
        for (const DirectoryRecord& record : records)
            listing->put(record, record.offset);
        benchmark::DoNotOptimize(listing->packed(history));
        return listing;
    });
}

/// The last records that changed something.
void
history(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    measure(state, [&] {
        auto kept = std::make_unique<RecordHistory>();
        kept->restart(0);
        for (const DirectoryRecord& record : records)
            kept->append(record.offset, record);
        return kept;
    });
}

std::unique_ptr<DirectoryFold>
fold_of(const std::vector<DirectoryRecord>& records)
{
    const TextDialect dialect;
    auto fold = std::make_unique<DirectoryFold>(kGrace);
    for (const DirectoryRecord& record : records)
        fold->apply(*dialect.decode_upstream(record));
    benchmark::DoNotOptimize(fold->take_changes());
    return fold;
}

/// Upstreams as records make them, and what was last told of each.
void
fold(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    measure(state, [&] { return fold_of(records); });
}

/// Upstreams as requests see them: their states, and one snapshot.
void
snapshot(benchmark::State& state)
{
    std::vector<UpstreamMember> members
        = fold_of(records_of(static_cast<int>(state.range(0))))->members();
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].address = "10.0.0.1:" + std::to_string(i + 1);
        members[i].hall = "hall-" + std::to_string(i % kHalls);
    }
    const Bundle bundle = one_set();
    measure(state, [&] {
        auto table = std::make_unique<UpstreamTable>("hall-0");
        SnapshotPtr built = table->build(bundle, members);
        return std::make_pair(std::move(table), std::move(built));
    });
}

/// A whole view that has listed the directory, without the snapshot.
void
whole_view(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    const TextDialect dialect;
    const DirectoryPace pace(4 * kSecond, 1200 * kMillisecond);
    measure(state, [&] {
        auto view
            = std::make_unique<DirectoryView>(dialect, pace, kGrace, "n", "hall-0", 400, 0);
        view->begin_listing(DirectoryTopic::Upstreams, 0);
        view->apply_listed(DirectoryTopic::Upstreams, records, 0);
        view->end_listing(DirectoryTopic::Upstreams, state.range(0), 0, 0);
        benchmark::DoNotOptimize(view->fold().take_changes());
        return view;
    });
}

/// One upstream's record comes: the time that a daemon takes for it.
void
one_record(benchmark::State& state)
{
    const auto records = records_of(static_cast<int>(state.range(0)));
    const TextDialect dialect;
    const DirectoryPace pace(4 * kSecond, 1200 * kMillisecond);
    DirectoryView view(dialect, pace, kGrace, "n", "hall-0", 400, 0);
    view.begin_listing(DirectoryTopic::Upstreams, 0);
    view.apply_listed(DirectoryTopic::Upstreams, records, 0);
    view.end_listing(DirectoryTopic::Upstreams, state.range(0), 0, 0);
    Offset next = state.range(0);
    int sequence = 1;
    for (auto _ : state) {
        const std::vector<DirectoryRecord> page {record_of(0, ++sequence)};
        benchmark::DoNotOptimize(
            view.apply_page(DirectoryTopic::Upstreams, next++, page, 0, 0, 0));
    }
}

void
sizes(benchmark::internal::Benchmark* bench)
{
    for (const int upstreams : {300, 3000, 10'000, 25'000})
        bench->Arg(upstreams);
}

BENCHMARK(newest_records)->Apply(sizes);
BENCHMARK(newest_records_packed)->Apply(sizes);
BENCHMARK(history)->Apply(sizes);
BENCHMARK(fold)->Apply(sizes);
BENCHMARK(snapshot)->Apply(sizes);
BENCHMARK(whole_view)->Apply(sizes);
BENCHMARK(one_record)->Apply(sizes);

} // namespace

} // namespace cypressford
