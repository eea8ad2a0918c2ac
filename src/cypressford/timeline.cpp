// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Merges the logs of all processes into one time line, ordered by the hybrid
/// logical clock: what caused something always stands before it.

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

/// True if the line is about the request, alone or among others.
bool
names_request(const LoggedEvent& event, const std::string& request)
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

/// Trace Event Format, which browsers' trace viewers open.
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
        const double took = std::strtod(get("us").c_str(), nullptr);
        // An event with a duration is logged at its end.
        trace.push_back(json::object {{"name", get("event")},
                                      {"ph", took > 0 ? "X" : "i"},
                                      {"ts", end_us - took},
                                      {"dur", took},
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
            return !names_request(event, options.request);
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
