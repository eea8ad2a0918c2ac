// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Memory of one daemon's directory, by component and number of upstreams.

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

constexpr std::size_t kRecordBytes = 250; ///< approximate size of an upstream's record
constexpr int kHalls = 5;
constexpr Micros kRemovalGracePeriod = 3 * kSecond;

/// Bytes in allocated blocks, without memory that the allocator holds in reserve.
std::size_t
allocated_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

DirectoryRecord
make_record(int upstream, int sequence)
{
    std::string value = std::to_string(sequence);
    value.resize(kRecordBytes, ' ');
    return {"i-" + std::to_string(1'000'000'000 + upstream), value + "@1",
            static_cast<Offset>(upstream)};
}

std::vector<DirectoryRecord>
make_records(int upstreams)
{
    std::vector<DirectoryRecord> records;
    records.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i)
        records.push_back(make_record(i, 1));
    return records;
}

Bundle
make_single_set_bundle()
{
    const TextDialect dialect;
    return *dialect.decode_configuration({"config", "1"}, nullptr);
}

/// Builds an object and reports its memory in bytes, in total and per upstream.
template <class Build>
void
measure_memory(benchmark::State& state, Build&& build)
{
    const auto upstreams = static_cast<double>(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = allocated_bytes();
        const auto holder = build();
        bytes = allocated_bytes() - before;
        benchmark::DoNotOptimize(holder);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_per_upstream"] = static_cast<double>(bytes) / upstreams;
}

/// Newest record of each key, as a root reader passes it to followers.
void
newest_records(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    measure_memory(state, [&] {
        auto listing = std::make_unique<TopicListing>();
        for (const DirectoryRecord& record : records)
            listing->put(record, record.offset);
        return listing;
    });
}

/// As newest_records, with the compressed form of the listing.
void
newest_records_packed(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    RecordHistory history;
    history.restart(state.range(0));
    measure_memory(state, [&] {
        auto listing = std::make_unique<TopicListing>();
        for (const DirectoryRecord& record : records)
            listing->put(record, record.offset);
        benchmark::DoNotOptimize(listing->packed(history));
        return listing;
    });
}

/// History of the latest records that changed a value.
void
history(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    measure_memory(state, [&] {
        auto records_history = std::make_unique<RecordHistory>();
        records_history->restart(0);
        for (const DirectoryRecord& record : records)
            records_history->append(record.offset, record);
        return records_history;
    });
}

std::unique_ptr<DirectoryFold>
make_fold(const std::vector<DirectoryRecord>& records)
{
    const TextDialect dialect;
    auto fold = std::make_unique<DirectoryFold>(kRemovalGracePeriod);
    for (const DirectoryRecord& record : records)
        fold->apply(*dialect.decode_upstream(record));
    benchmark::DoNotOptimize(fold->take_changes());
    return fold;
}

/// Upstreams as folded from records, with the last reported change of each.
void
fold(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    measure_memory(state, [&] { return make_fold(records); });
}

/// Upstreams as requests use them: their states, and one snapshot.
void
snapshot(benchmark::State& state)
{
    std::vector<UpstreamMember> members
        = make_fold(make_records(static_cast<int>(state.range(0))))->members();
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].address = "10.0.0.1:" + std::to_string(i + 1);
        members[i].hall = "hall-" + std::to_string(i % kHalls);
    }
    const Bundle bundle = make_single_set_bundle();
    measure_memory(state, [&] {
        auto table = std::make_unique<UpstreamTable>("hall-0");
        SnapshotPtr built = table->build(bundle, members);
        return std::make_pair(std::move(table), std::move(built));
    });
}

/// A complete view after listing the directory, without the snapshot.
void
whole_view(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    const TextDialect dialect;
    const DirectoryTiming timing(4 * kSecond, 1200 * kMillisecond);
    measure_memory(state, [&] {
        auto view = std::make_unique<DirectoryView>(dialect, timing, kRemovalGracePeriod,
                                                    "n", "hall-0", 400, 0);
        view->begin_listing(DirectoryTopic::Upstreams, 0);
        view->apply_listed(DirectoryTopic::Upstreams, records, 0);
        view->end_listing(DirectoryTopic::Upstreams, state.range(0), 0, 0);
        benchmark::DoNotOptimize(view->fold().take_changes());
        return view;
    });
}

/// Time to apply one new record of an upstream.
void
one_record(benchmark::State& state)
{
    const auto records = make_records(static_cast<int>(state.range(0)));
    const TextDialect dialect;
    const DirectoryTiming timing(4 * kSecond, 1200 * kMillisecond);
    DirectoryView view(dialect, timing, kRemovalGracePeriod, "n", "hall-0", 400, 0);
    view.begin_listing(DirectoryTopic::Upstreams, 0);
    view.apply_listed(DirectoryTopic::Upstreams, records, 0);
    view.end_listing(DirectoryTopic::Upstreams, state.range(0), 0, 0);
    Offset next = state.range(0);
    int sequence = 1;
    for (auto _ : state) {
        const std::vector<DirectoryRecord> page {make_record(0, ++sequence)};
        benchmark::DoNotOptimize(
            view.apply_page(DirectoryTopic::Upstreams, next++, page, 0, 0, 0));
    }
}

void
set_sizes(benchmark::internal::Benchmark* bench)
{
    for (const int upstreams : {300, 3000, 10'000, 25'000})
        bench->Arg(upstreams);
}

BENCHMARK(newest_records)->Apply(set_sizes);
BENCHMARK(newest_records_packed)->Apply(set_sizes);
BENCHMARK(history)->Apply(set_sizes);
BENCHMARK(fold)->Apply(set_sizes);
BENCHMARK(snapshot)->Apply(set_sizes);
BENCHMARK(whole_view)->Apply(set_sizes);
BENCHMARK(one_record)->Apply(set_sizes);

} // namespace

} // namespace cypressford
