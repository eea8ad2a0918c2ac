// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <thread>

#include <doctest/doctest.h>

#include <cypressford/upstream.h>

namespace cypressford {
namespace {

Bundle
routes_of_one_host(std::size_t count)
{
    Bundle bundle;
    bundle.upstream_sets.emplace_back().name = "plain";
    for (std::size_t i = 0; i < count; ++i) {
        PipelineSpec spec;
        spec.name = "added-" + std::to_string(i);
        spec.relayed = true;
        spec.host = "h.example";
        spec.path_prefix = "/" + spec.name + "/";
        spec.weight = 1;
        spec.stages.emplace_back().upstream_set = "plain";
        bundle.pipelines.push_back(std::move(spec));
    }
    return bundle;
}

/// Processor time of this thread, in seconds.
double
processor_time()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(time.tv_sec)
        + static_cast<double>(time.tv_nsec) * nanosecond;
}

double
time_to_resolve(const Bundle& bundle)
{
    UpstreamTable table("hall", 1, {});
    const double started_at = processor_time();
    CHECK(table.resolve(bundle)->pipelines.size() == bundle.pipelines.size());
    return processor_time() - started_at;
}

/// Guards against resolving that compares every route with every other: a reader then does
/// not respond for as long as this takes.
TEST_CASE("the time to resolve a configuration grows linearly with the number of routes")
{
    constexpr std::size_t few_routes = 2000;
    constexpr std::size_t factor = 8;
    const double small = time_to_resolve(routes_of_one_host(few_routes));
    const double large = time_to_resolve(routes_of_one_host(few_routes * factor));
    CHECK(large < 3 * factor * small);
}

/// Guards against threads of requests that stand still while a configuration is resolved,
/// which takes weak nodes seconds.
TEST_CASE("a lookup of an upstream's hall does not wait while a bundle is resolved")
{
    using Clock = std::chrono::steady_clock;
    UpstreamTable table("hall", 1, {});
    const Bundle bundle = routes_of_one_host(100'000);
    std::atomic<bool> is_resolved {false};
    const auto started_at = Clock::now();
    std::thread control([&] {
        table.resolve(bundle);
        is_resolved = true;
    });
    Clock::duration longest {};
    while (!is_resolved) {
        const auto called_at = Clock::now();
        CHECK_FALSE(table.hall_at("127.0.0.1:1"));
        longest = std::max(longest, Clock::now() - called_at);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    control.join();
    CHECK(longest < (Clock::now() - started_at) / 2);
}

TEST_CASE("among thousands of routes the one with the longest prefix is matched")
{
    Bundle bundle = routes_of_one_host(5000);
    PipelineSpec deeper = bundle.pipelines[7];
    deeper.path_prefix = "/added-8/deeper/";
    bundle.pipelines.replace(7, deeper);
    UpstreamTable table("hall", 1, {});
    const ResolvedBundlePtr resolved = table.resolve(bundle);
    CHECK(resolved->match("h.example", "/added-4999/x", 0) == 4999);
    CHECK(resolved->match("h.example", "/added-8/x", 0) == 8);
    CHECK(resolved->match("h.example", "/added-8/deeper/x", 0) == 7);
    CHECK_FALSE(resolved->match("h.example", "/added-5000/x", 0));
    CHECK_FALSE(resolved->match("h.example", "", 0));
    CHECK_FALSE(resolved->match("other.example", "/added-8/x", 0));
}

} // namespace
} // namespace cypressford
