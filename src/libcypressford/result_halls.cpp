// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects the hall where the pieces of a request are made, by the available upstreams, the
/// location of the inputs and the location of the reader of the results.

#include <cypressford/pieces.h>

#include <algorithm>

#include "candidates.h"

namespace cypressford {

namespace {

/// Bytes below which waiting for an upstream of a certain hall does not pay: they cross
/// between halls in a millisecond, and calls that leave pieces behind for a hall are less
/// full.
constexpr std::int64_t kMinBytesForHall = 500'000;

} // namespace

std::string
hall_with_most_bytes(const BytesByHall& bytes)
{
    const auto fewer = [](const auto& a, const auto& b) { return a.second < b.second; };
    const auto most = std::max_element(bytes.begin(), bytes.end(), fewer);
    return most == bytes.end() ? std::string() : most->first;
}

std::string
hall_of_least_transfer(const StageTransfer& transfer)
{
    // Bytes that do not move, by hall; the hall with the most has the least transfer.
    BytesByHall staying;
    if (!transfer.reader.empty())
        staying[transfer.reader] = transfer.result_bytes;
    for (const auto& [hall, bytes] : transfer.inputs)
        staying[hall] += bytes * transfer.pieces;
    const std::string best = hall_with_most_bytes(staying);
    if (best.empty() || staying[best] < kMinBytesForHall)
        return {};
    const auto at_reader = staying.find(transfer.reader);
    const bool reader_is_as_good
        = at_reader != staying.end() && at_reader->second == staying[best];
    return reader_is_as_good ? transfer.reader : best;
}

std::map<std::string, double>
hall_parts(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
           const std::vector<int>& counts, Micros now)
{
    std::map<std::string, double> weights; // smallest fraction over the sets
    for (std::size_t at = 0; at < counts.size(); ++at) {
        if (counts[at] == 0)
            continue;
        const UpstreamSet& set = snapshot.sets[pipeline.piece_sets[at]];
        std::map<std::string, double> part;
        const double all = std::max(1, count_usable(set, now));
        for (const auto* side : {&set.own, &set.remote})
            for (const auto& upstream : *side)
                part[upstream->hall] += is_usable(*upstream, now) ? 1 / all : 0;
        for (const auto& [hall, weight] : part) {
            const auto known = weights.try_emplace(hall, weight).first;
            known->second = std::min(known->second, weight);
        }
    }
    return weights;
}

std::string
choose_hall(const Snapshot& snapshot, const ResolvedPipeline& pipeline,
            const std::vector<int>& counts, std::uint64_t random, Micros now)
{
    const auto weights = hall_parts(snapshot, pipeline, counts, now);
    double total = 0;
    for (const auto& [hall, weight] : weights)
        total += weight;
    constexpr std::uint64_t steps = 1 << 20;
    double left = total * static_cast<double>(random % steps) / steps;
    for (const auto& [hall, weight] : weights) {
        left -= weight;
        if (left < 0)
            return hall;
    }
    return {};
}

} // namespace cypressford
