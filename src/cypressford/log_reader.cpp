// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "log_reader.h"

#include <algorithm>
#include <charconv>

#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

/// First key of each event; other text may precede it on the line.
constexpr std::string_view kFirstKey = "hlc=";

struct SplitLine {
    std::map<std::string, std::string, std::less<>> fields;
    bool complete = true; ///< false: the line ends within a quoted value
};

/// Splits key=value pairs; values may be quoted.
SplitLine
split_fields(std::string_view line)
{
    SplitLine split;
    std::size_t at = 0;
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string_view::npos)
            break;
        const std::string key(line.substr(at, equals - at));
        std::string value;
        at = equals + 1;
        if (at < line.size() && line[at] == '"') {
            for (++at; at < line.size() && line[at] != '"'; ++at) {
                if (line[at] == '\\' && at + 1 < line.size())
                    ++at;
                value += line[at];
            }
            split.complete = at < line.size();
            ++at;
        } else {
            const std::size_t end = std::min(line.find(' ', at), line.size());
            value = line.substr(at, end - at);
            at = end;
        }
        split.fields[key] = value;
        while (at < line.size() && line[at] == ' ')
            ++at;
    }
    return split;
}

} // namespace

std::string_view
LoggedEvent::text(std::string_view key) const
{
    const auto it = fields.find(key);
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

std::int64_t
LoggedEvent::number(std::string_view key) const
{
    const std::string_view value = text(key);
    std::int64_t result = 0;
    const auto [end, error]
        = std::from_chars(value.data(), value.data() + value.size(), result);
    return error == std::errc() && end == value.data() + value.size() ? result : 0;
}

std::int64_t
LoggedEvent::wall_ms() const
{
    return static_cast<std::int64_t>(stamp >> HybridClock::kCounterBits);
}

void
read_events(std::string_view text, std::vector<LoggedEvent>& events, LogFaults& faults)
{
    std::map<std::string, std::uint64_t, std::less<>> last_stamp_by_node;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const std::size_t start = line.find(kFirstKey);
        if (start == std::string_view::npos) {
            faults.foreign += line.empty() ? 0 : 1;
            continue;
        }
        SplitLine split = split_fields(line.substr(start));
        LoggedEvent event {0, std::string(line.substr(start)), std::move(split.fields)};
        event.stamp = parse_stamp(std::string(event.text("hlc")));
        const bool lacks_event = event.text("event").empty();
        if (event.stamp == 0 || lacks_event || !split.complete) {
            ++faults.cut;
            continue;
        }
        std::uint64_t& last = last_stamp_by_node[std::string(event.text("node"))];
        faults.clock_steps += event.stamp < last ? 1 : 0;
        last = event.stamp;
        events.push_back(std::move(event));
    }
}

void
sort_events(std::vector<LoggedEvent>& events)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.stamp < b.stamp; });
}

} // namespace cypressford
