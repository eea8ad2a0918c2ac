// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// cypressford-standin: stand-ins for upstreams and the platform, for tests and demos.

#include <csignal>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <yaml-cpp/yaml.h>

#include "libutil/event_log.h"
#include "platform.h"
#include "upstream.h"

ABSL_FLAG(std::string, config, "", "YAML file that lists the stand-ins to run");
ABSL_FLAG(std::string, log_file, "", "event log; standard error if empty");

namespace cypressford::standin {

namespace {

template <class T>
T
value_or(const YAML::Node& node, const char* key, T fallback)
{
    return node[key] ? node[key].as<T>() : fallback;
}

UpstreamConfig
read_upstream(const YAML::Node& node)
{
    UpstreamConfig config;
    config.address = node["address"].as<std::string>();
    config.role = node["role"].as<std::string>();
    config.slots = value_or(node, "slots", config.slots);
    config.service_ms = value_or(node, "service_ms", config.service_ms);
    config.jitter = value_or(node, "jitter", config.jitter);
    config.queue_limit = value_or(node, "queue_limit", config.queue_limit);
    config.max_tokens = value_or(node, "max_tokens", config.max_tokens);
    config.prefill_ms = value_or(node, "prefill_ms", config.prefill_ms);
    config.deduplicates = value_or(node, "deduplicates", config.deduplicates);
    config.checks_fence = value_or(node, "checks_fence", config.checks_fence);
    config.report_lag_ms = value_or(node, "report_lag_ms", config.report_lag_ms);
    config.seed = value_or(node, "seed", config.seed);
    return config;
}

PlatformConfig
read_platform(const YAML::Node& node)
{
    PlatformConfig config;
    config.address = node["address"].as<std::string>();
    config.appends_per_s = value_or(node, "appends_per_s", config.appends_per_s);
    config.append_ms = value_or(node, "append_ms", config.append_ms);
    config.retained = value_or(node, "retained", config.retained);
    config.list_lag_ms = value_or(node, "list_lag_ms", config.list_lag_ms);
    return config;
}

int
run(const std::string& path)
{
    boost::asio::io_context io;
    const YAML::Node root = YAML::LoadFile(path);
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::string> addresses;
    for (const auto& node : root["upstreams"]) {
        UpstreamConfig config = read_upstream(node);
        addresses.push_back(config.address);
        upstreams.push_back(config.role == "engine" ? make_engine(io, config)
                                                    : make_pool(io, config));
        if (auto port = upstreams.back()->listen(); !port) {
            std::cerr << port.error().detail << '\n';
            return 1;
        }
    }
    std::unique_ptr<Platform> platform;
    if (root["platform"]) {
        PlatformConfig config = read_platform(root["platform"]);
        config.nodes = addresses;
        platform = std::make_unique<Platform>(io, std::move(config));
        if (auto port = platform->listen(); !port) {
            std::cerr << port.error().detail << '\n';
            return 1;
        }
    }
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](auto, auto) { io.stop(); });
    LogEvent("ready").kv("upstreams", upstreams.size());
    io.run();
    return 0;
}

} // namespace

} // namespace cypressford::standin

int
main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs stand-ins for upstreams and the platform.\n"
                                 "Example: cypressford-standin --config=standin.yaml");
    absl::ParseCommandLine(argc, argv);
    cypressford::open_log({"-", "standin"}, absl::GetFlag(FLAGS_log_file),
                          cypressford::LogLevel::Info);
    try {
        const int code = cypressford::standin::run(absl::GetFlag(FLAGS_config));
        cypressford::close_log();
        return code;
    } catch (const std::exception& error) {
        std::cerr << "cypressford-standin: " << error.what() << '\n';
        return 2;
    }
}
