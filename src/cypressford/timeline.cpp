// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Merges the logs of all processes into one time line, ordered by the hybrid
/// logical clock: what caused something always stands before it.

#include "commands.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

#include <boost/json.hpp>

#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace json = boost::json;

namespace {

struct TimelineEvent {
    std::uint64_t stamp = 0;
    std::string line;
    std::map<std::string, std::string> fields;
};

/// Splits one line of key=value pairs; values may be quoted.
std::map<std::string, std::string>
split_fields(const std::string& line)
{
    std::map<std::string, std::string> fields;
    std::size_t at = 0;
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string key = line.substr(at, equals - at);
        std::string value;
        at = equals + 1;
        if (at < line.size() && line[at] == '"') {
            for (++at; at < line.size() && line[at] != '"'; ++at) {
                if (line[at] == '\\' && at + 1 < line.size())
                    ++at;
                value += line[at];
            }
            ++at;
        } else {
            const std::size_t end = std::min(line.find(' ', at), line.size());
            value = line.substr(at, end - at);
            at = end;
        }
        fields[key] = value;
        while (at < line.size() && line[at] == ' ')
            ++at;
    }
    return fields;
}

void
read_events(const std::string& text, std::vector<TimelineEvent>& events)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        TimelineEvent event;
        event.fields = split_fields(line);
        event.stamp = parse_stamp(event.fields["hlc"]);
        event.line = line;
        if (event.stamp != 0)
            events.push_back(std::move(event));
    }
}

/// True if the line is about the request, alone or among others.
bool
names_request(const TimelineEvent& event, const std::string& request)
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
to_trace(const std::vector<TimelineEvent>& events)
{
    json::array trace;
    std::map<std::string, int> processes;
    for (const TimelineEvent& event : events) {
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
    std::vector<TimelineEvent> events;
    for (const std::string& path : files) {
        std::string text;
        if (!read_file(path, text)) {
            std::cerr << "can't read '" << path << "'\n";
            return kExitUsage;
        }
        read_events(text, events);
    }
    if (!options.request.empty())
        std::erase_if(events, [&options](const TimelineEvent& event) {
            return !names_request(event, options.request);
        });
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.stamp < b.stamp; });
    if (options.json) {
        std::cout << json::serialize(to_trace(events)) << '\n';
        return kExitOk;
    }
    for (const TimelineEvent& event : events)
        std::cout << event.line << '\n';
    return kExitOk;
}

} // namespace cypressford
