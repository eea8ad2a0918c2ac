// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Merges the logs of all processes into one timeline, ordered by the hybrid logical clock:
/// a cause always precedes its effects.

#include "commands.h"

#include <algorithm>
#include <iostream>
#include <map>

#include <boost/json.hpp>

#include "libutil/hybrid_clock.h"
#include "log_reader.h"

namespace cypressford {

namespace json = boost::json;

namespace {

/// True if the event concerns the request, alone or among others.
bool
concerns_request(const LoggedEvent& event, const std::string& request)
{
    for (const char* key : {"request", "requests"}) {
        const auto it = event.fields.find(key);
        if (it == event.fields.end())
            continue;
        const std::string listed = "," + it->second + ",";
        if (listed.find("," + request + ",") != std::string::npos)
            return true;
    }
    return false;
}

/// Converts the events to the Trace Event Format, which trace viewers of browsers can open.
json::object
to_trace(const std::vector<LoggedEvent>& events)
{
    json::array trace;
    std::map<std::string, int> processes;
    for (const LoggedEvent& event : events) {
        const auto& fields = event.fields;
        const auto get = [&fields](const char* key) {
            auto it = fields.find(key);
            return it == fields.end() ? std::string {} : it->second;
        };
        const std::string process = get("hall") + "/" + get("node");
        const auto [it, fresh] = processes.emplace(process, int(processes.size()) + 1);
        if (fresh)
            trace.push_back(json::object {{"name", "process_name"},
                                          {"ph", "M"},
                                          {"pid", it->second},
                                          {"args", json::object {{"name", process}}}});
        json::object args;
        for (const auto& [key, value] : fields)
            args[key] = value;
        const double end_us
            = static_cast<double>(event.stamp >> HybridClock::kCounterBits) * 1000;
        const double duration_us = std::strtod(get("us").c_str(), nullptr);
        // An event with a duration is logged at its end.
        trace.push_back(json::object {{"name", get("event")},
                                      {"ph", duration_us > 0 ? "X" : "i"},
                                      {"ts", end_us - duration_us},
                                      {"dur", duration_us},
                                      {"pid", it->second},
                                      {"tid", 1},
                                      {"s", "p"},
                                      {"args", std::move(args)}});
    }
    return {{"traceEvents", std::move(trace)}, {"displayTimeUnit", "ms"}};
}

} // namespace

int
timeline_command(const std::vector<std::string>& files, const CommandOptions& options)
{
    std::vector<LoggedEvent> events;
    LogFaults faults;
    if (!read_logs(files, events, faults))
        return kExitUsage;
    if (!options.request.empty())
        std::erase_if(events, [&options](const LoggedEvent& event) {
            return !concerns_request(event, options.request);
        });
    sort_events(events);
    if (options.json) {
        std::cout << json::serialize(to_trace(events)) << '\n';
        return kExitOk;
    }
    for (const LoggedEvent& event : events)
        std::cout << event.line << '\n';
    return kExitOk;
}

} // namespace cypressford
