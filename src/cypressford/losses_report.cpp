// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Formats losses as text and as JSON.

#include "losses.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace cypressford {

namespace json = boost::json;

namespace {

constexpr double kUsPerMs = 1000;
constexpr double kSpanUsPerMs = 1000; ///< for a time span in ms
constexpr std::size_t kMaxReasonsPerLine = 4;
constexpr double kMinPrintedLossRatio = 0.1; ///< lost part of a second's requests

double
ratio(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// 0 if there are no values.
std::int64_t
percentile(std::vector<std::int64_t> values, double part)
{
    if (values.empty())
        return 0;
    const auto at
        = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

double
busy_part(const SetLosses& set, const Losses& losses)
{
    const double span_us
        = static_cast<double>(losses.last_ms - losses.first_ms) * kSpanUsPerMs;
    const double all = span_us * static_cast<double>(set.upstreams.size());
    return all <= 0 ? 0 : static_cast<double>(set.busy_us) / all;
}

std::string
reasons_as_text(const std::map<std::string, int>& reasons)
{
    std::vector<std::pair<int, std::string>> sorted;
    sorted.reserve(reasons.size());
    for (const auto& [reason, count] : reasons)
        sorted.emplace_back(count, reason);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string text;
    for (std::size_t i = 0; i < std::min(sorted.size(), kMaxReasonsPerLine); ++i)
        text += (i == 0 ? "" : "; ") + sorted[i].second + " "
            + std::to_string(sorted[i].first);
    return text;
}

void
write_counts(std::ostream& out, const std::string& name, const RequestCounts& counts)
{
    out << std::left << std::setw(24) << name << std::right << std::setw(7) << counts.asked
        << std::setw(8) << counts.in_time << std::setw(7) << counts.late << std::setw(8)
        << counts.refused << std::setw(7) << counts.failed << std::setw(6) << counts.left
        << "  " << reasons_as_text(counts.reasons) << '\n';
}

constexpr const char* kCountsHead
    = "                          asked in time   late refused failed  left  reasons\n";

void
write_faults(std::ostream& out, const Losses& losses)
{
    out << losses.events << " events of " << losses.nodes.size() << " nodes in "
        << (losses.last_ms - losses.first_ms) / kUsPerMs
        << " s; lines left out: " << losses.faults.foreign << " foreign, "
        << losses.faults.cut << " cut; clock steps: " << losses.faults.clock_steps << '\n';
    for (const std::string& address : losses.missing)
        out << "no log of the daemon at " << address << ", which led a set\n";
}

void
write_sets(std::ostream& out, const Losses& losses)
{
    out << "\nupstream sets          calls  busy pieces/call when others wait   of  "
           "p50 ms  p90 ms  mem p50 KB  p10 KB  no mem  made unused input gone broken\n";
    for (const auto& [name, set] : losses.sets) {
        out << std::left << std::setw(20) << name << std::right << std::setw(8) << set.calls
            << std::fixed << std::setprecision(2) << std::setw(6) << busy_part(set, losses)
            << std::setprecision(1) << std::setw(12) << ratio(set.pieces, set.calls)
            << std::setw(17) << ratio(set.pieces_with_waiting, set.calls_with_waiting)
            << std::setw(5) << set.bound << std::setprecision(0) << std::setw(8)
            << static_cast<double>(percentile(set.took_us, 0.5)) / kUsPerMs << std::setw(8)
            << static_cast<double>(percentile(set.took_us, 0.9)) / kUsPerMs << std::setw(12)
            << percentile(set.memory_kb, 0.5) << std::setw(8)
            << percentile(set.memory_kb, 0.1) << std::setw(8) << set.no_memory
            << std::setw(6) << set.made << std::setw(7) << set.unused << std::setw(11)
            << set.input_gone << std::setw(7) << set.broken_calls << '\n';
    }
}

void
write_engines(std::ostream& out, const Losses& losses)
{
    out << "\nengine sets          prompts    tokens      read     again  first event p50 "
           "ms"
           "  p99 ms\n";
    for (const auto& [name, engine] : losses.engines)
        out << std::left << std::setw(20) << name << std::right << std::setw(8)
            << engine.prompts << std::setw(10) << engine.tokens << std::setw(10)
            << engine.tokens_read << std::setw(10) << engine.tokens_again << std::setw(20)
            << static_cast<double>(percentile(engine.first_event_us, 0.5)) / kUsPerMs
            << std::setw(8)
            << static_cast<double>(percentile(engine.first_event_us, 0.99)) / kUsPerMs
            << '\n';
}

json::object
to_json(const RequestCounts& counts)
{
    json::object reasons;
    for (const auto& [reason, count] : counts.reasons)
        reasons[reason] = count;
    return {{"asked", counts.asked},        {"in_time", counts.in_time},
            {"late", counts.late},          {"refused", counts.refused},
            {"failed", counts.failed},      {"left", counts.left},
            {"reasons", std::move(reasons)}};
}

json::object
to_json(const SetLosses& set, const Losses& losses)
{
    return {{"upstreams", set.upstreams.size()},
            {"calls", set.calls},
            {"busy_part", busy_part(set, losses)},
            {"pieces", set.pieces},
            {"bound", set.bound},
            {"calls_with_waiting", set.calls_with_waiting},
            {"pieces_with_waiting", set.pieces_with_waiting},
            {"broken_calls", set.broken_calls},
            {"input_gone", set.input_gone},
            {"no_memory", set.no_memory},
            {"made", set.made},
            {"unused", set.unused},
            {"memory_kb_p50", percentile(set.memory_kb, 0.5)},
            {"memory_kb_p10", percentile(set.memory_kb, 0.1)},
            {"took_us_p50", percentile(set.took_us, 0.5)},
            {"took_us_p90", percentile(set.took_us, 0.9)}};
}

json::object
to_json(const EngineLosses& engine)
{
    return {{"prompts", engine.prompts},
            {"tokens", engine.tokens},
            {"tokens_read", engine.tokens_read},
            {"tokens_again", engine.tokens_again},
            {"first_event_us_p50", percentile(engine.first_event_us, 0.5)},
            {"first_event_us_p99", percentile(engine.first_event_us, 0.99)}};
}

} // namespace

std::string
losses_as_text(const Losses& losses)
{
    std::ostringstream out;
    write_faults(out, losses);
    out << "\npipelines\n" << kCountsHead;
    for (const auto& [name, counts] : losses.by_pipeline)
        write_counts(out, name, counts);
    out << "\nseconds in which a tenth or more was not answered in time\n" << kCountsHead;
    for (const auto& [second, counts] : losses.by_second) {
        const int lost = counts.late + counts.refused + counts.failed;
        if (ratio(lost, counts.asked) >= kMinPrintedLossRatio)
            write_counts(out, std::to_string(second), counts);
    }
    write_sets(out, losses);
    write_engines(out, losses);
    return out.str();
}

std::string
losses_as_json(const Losses& losses)
{
    json::object pipelines;
    for (const auto& [name, counts] : losses.by_pipeline)
        pipelines[name] = to_json(counts);
    json::object seconds;
    for (const auto& [second, counts] : losses.by_second)
        seconds[std::to_string(second)] = to_json(counts);
    json::object sets;
    for (const auto& [name, set] : losses.sets)
        sets[name] = to_json(set, losses);
    json::object engines;
    for (const auto& [name, engine] : losses.engines)
        engines[name] = to_json(engine);
    const json::object faults {{"foreign", losses.faults.foreign},
                               {"cut", losses.faults.cut},
                               {"clock_steps", losses.faults.clock_steps}};
    return json::serialize(json::object {{"events", losses.events},
                                         {"first_ms", losses.first_ms},
                                         {"last_ms", losses.last_ms},
                                         {"nodes", json::value_from(losses.nodes)},
                                         {"missing", json::value_from(losses.missing)},
                                         {"lines_left_out", faults},
                                         {"pipelines", std::move(pipelines)},
                                         {"seconds", std::move(seconds)},
                                         {"sets", std::move(sets)},
                                         {"engines", std::move(engines)}});
}

} // namespace cypressford
