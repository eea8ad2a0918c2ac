// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// cypressford-load: sends a bounded open-loop load and reports violations and
/// attainment from the callers' answers and the stand-ins' counters.

#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <yaml-cpp/yaml.h>

#include "caller.h"
#include "libutil/hybrid_clock.h"
#include "libutil/json_fields.h"
#include "libutil/task.h"
#include "report.h"

ABSL_FLAG(std::string, config, "", "YAML file that describes the load");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(double, wait_ready_s, 20, "time to wait until all daemons are ready");

namespace cypressford::load {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kPollInterval {20};
/// Limit of requests in flight; bounds this process's memory if the system under
/// test does not answer.  Requests beyond it are not sent.
constexpr std::size_t kMaxInFlight = 20'000;

template <class T>
T
value_or(const YAML::Node& node, const char* key, T fallback)
{
    return node[key] ? node[key].as<T>() : fallback;
}

PipelineLoad
read_pipeline(const YAML::Node& node)
{
    PipelineLoad load;
    load.name = node["name"].as<std::string>();
    load.credential = node["credential"].as<std::string>();
    load.rate = node["rate"].as<double>();
    load.deadline_ms = value_or(node, "deadline_ms", load.deadline_ms);
    load.keyed = value_or(node, "keyed", false);
    load.stream = value_or(node, "stream", false);
    load.urgent = value_or(node, "urgent", false);
    load.sessions = value_or(node, "sessions", 0);
    load.tokens = value_or(node, "tokens", std::size_t {0});
    load.stages = node["stages"].as<std::vector<std::string>>();
    for (const auto& phase : node["phases"])
        load.phases.push_back({phase["from_s"].as<double>(), phase["to_s"].as<double>(),
                               phase["factor"].as<double>()});
    return load;
}

double
rate_at(const PipelineLoad& load, double seconds)
{
    double rate = load.rate;
    for (const Phase& phase : load.phases)
        if (seconds >= phase.from_s && seconds < phase.to_s)
            rate *= phase.factor;
    return rate;
}

/// One load run.
class Run {
public:
    explicit Run(const LoadConfig& config)
        : m_config(config)
        , m_balancer(m_io, config.daemons)
        , m_caller(m_io, config, m_balancer)
        , m_client(m_io)
    {
    }

    bool execute(double wait_ready_s)
    {
        spawn_task(m_io, "readiness_poll", m_balancer.poll_readiness());
        spawn_task(m_io, "load_run", drive(wait_ready_s));
        m_io.run();
        return m_was_ready;
    }

    const std::vector<Record>& records() const { return m_records; }
    const StandinCounts& counts() const { return m_counts; }

private:
    asio::awaitable<void> drive(double wait_ready_s)
    {
        m_was_ready = co_await wait_until_ready(wait_ready_s);
        if (m_was_ready) {
            m_started_us = monotonic_us();
            for (std::size_t i = 0; i < m_config.pipelines.size(); ++i)
                spawn_task(m_io, "load_generator", generate(i));
            co_await wait_until_done();
            co_await collect_counts();
        }
        m_balancer.stop();
    }

    asio::awaitable<bool> wait_until_ready(double seconds)
    {
        const std::int64_t until
            = monotonic_us() + static_cast<std::int64_t>(seconds * 1e6);
        asio::steady_timer timer(m_io);
        while (m_balancer.ready_count() < m_config.daemons.size()
               && monotonic_us() < until) {
            timer.expires_after(kPollInterval);
            co_await timer.async_wait(kToTuple);
        }
        co_return m_balancer.ready_count() > 0;
    }

    /// Sends the requests of one pipeline at exponentially distributed intervals,
    /// independent of their answers (open loop).
    asio::awaitable<void> generate(std::size_t index)
    {
        const PipelineLoad& load = m_config.pipelines[index];
        std::mt19937_64 random(m_config.seed * 1000 + index);
        asio::steady_timer timer(m_io);
        double at_s = 0;
        std::uint64_t number = 0;
        for (;;) {
            at_s += std::exponential_distribution<double>(rate_at(load, at_s))(random);
            if (at_s >= m_config.duration_s)
                break;
            timer.expires_at(
                std::chrono::steady_clock::time_point(std::chrono::microseconds(
                    m_started_us + static_cast<std::int64_t>(at_s * 1e6))));
            co_await timer.async_wait(kToTuple);
            if (m_in_flight < kMaxInFlight)
                spawn_task(m_io, "load_request", send_request(index, number++));
        }
        ++m_generators_done;
    }

    asio::awaitable<void> send_request(std::size_t index, std::uint64_t number)
    {
        ++m_in_flight;
        m_records.push_back(co_await m_caller.request(index, number));
        --m_in_flight;
    }

    asio::awaitable<void> wait_until_done()
    {
        asio::steady_timer timer(m_io);
        while (m_in_flight > 0 || m_generators_done < m_config.pipelines.size()) {
            timer.expires_after(kPollInterval);
            co_await timer.async_wait(kToTuple);
        }
    }

    asio::awaitable<void> collect_counts()
    {
        for (const auto& [set, addresses] : m_config.standins) {
            for (const std::string& address : addresses) {
                HttpRequest request;
                request.target = "/control";
                CallOptions options;
                options.deadline_us = monotonic_us() + 2'000'000;
                const CallResult result = co_await m_client.call(address, request, options);
                const auto body = parse_json_object(result.response.body);
                if (!body)
                    continue;
                m_counts.busy_ms[set] += json_number(*body, "busy_ms", 0);
                if (const auto* keys = body->if_contains("runs_by_key"))
                    for (const auto& [key, runs] : keys->as_object())
                        m_counts.runs_by_key[std::string(key)] += runs.to_number<int>();
            }
        }
    }

    const LoadConfig& m_config;
    asio::io_context m_io;
    Balancer m_balancer;
    Caller m_caller;
    HttpClient m_client;
    std::vector<Record> m_records;
    StandinCounts m_counts;
    std::int64_t m_started_us = 0;
    std::size_t m_in_flight = 0;
    std::size_t m_generators_done = 0;
    bool m_was_ready = false;
};

} // namespace

LoadConfig
read_config(const std::string& path)
{
    const YAML::Node root = YAML::LoadFile(path);
    LoadConfig config;
    config.daemons = root["daemons"].as<std::vector<std::string>>();
    config.seed = value_or(root, "seed", config.seed);
    config.retry_lost = value_or(root, "retry_lost", config.retry_lost);
    config.duration_s = value_or(root, "duration_s", config.duration_s);
    for (const auto& node : root["pipelines"])
        config.pipelines.push_back(read_pipeline(node));
    if (root["standins"])
        config.standins = root["standins"].as<decltype(config.standins)>();
    return config;
}

} // namespace cypressford::load

int
main(int argc, char** argv)
{
    using namespace cypressford::load;
    absl::SetProgramUsageMessage("Sends a bounded open-loop load and checks the answers.\n"
                                 "Example: cypressford-load --config=load.yaml");
    absl::ParseCommandLine(argc, argv);
    try {
        const LoadConfig config = read_config(absl::GetFlag(FLAGS_config));
        Run run(config);
        if (!run.execute(absl::GetFlag(FLAGS_wait_ready_s))) {
            std::cerr << "cypressford-load: no daemon became ready within --wait_ready_s\n";
            return 3;
        }
        const Report report = make_report(config, run.records(), run.counts());
        const bool json = absl::GetFlag(FLAGS_output) == "json";
        std::cout << (json ? format_json(report) + "\n" : format_text(report));
        return report.violations.none() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "cypressford-load: " << error.what() << '\n';
        return 2;
    }
}
