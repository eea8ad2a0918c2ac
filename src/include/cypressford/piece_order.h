// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between a daemon and the daemon that leads an upstream set: orders for pieces,
/// admission by capacity, placement of prompts, and releases of results.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cypressford/call_dialect.h>
#include <cypressford/prompt_placer.h>
#include <cypressford/set_capacity.h>

namespace cypressford {

/// The pieces of one stage of one request.
struct PieceOrder {
    std::string upstream_set;
    int priority = 0;
    Micros time_left = 0; ///< until the deadline of the request
    Micros due_left = 0; ///< until the latest start for a prompt answer; may be negative
    std::string near; ///< hall where the results are wanted; empty: anywhere
    std::int64_t result_bytes = 0; ///< estimated size of each piece's result
    bool is_retry = false; ///< the results were made before and lost: each piece is a retry
    HallLimit halls; ///< the only halls where the pieces may be made
    std::vector<PieceItem> pieces; ///< `time_left` of each is that of the order
};

struct PieceAnswer {
    std::vector<PieceResult> pieces; ///< in the order of PieceOrder::pieces
    Micros expected_wait = 0; ///< of a piece that is ordered now
};

/// Results that are no longer needed at one set, and progress of the requests placed there.
struct Releases {
    std::string upstream_set;
    std::vector<std::string> handles; ///< results without a remaining reader
    std::vector<std::string> started; ///< requests whose answer started: the prompt is read
    std::vector<std::string> ended; ///< requests that no longer run at the set
    std::vector<std::string> unreachable; ///< requests that did not reach their upstream
    /// Requests whose promised capacity is not needed.
    std::vector<std::string> withdrawn;
};

/// Query for the engine of a set that should read a prompt.
struct PlaceQuery {
    std::string upstream_set;
    PromptQuery prompt;
};

struct PlaceAnswer {
    std::string identity; ///< of the chosen upstream; empty: none is usable
    std::string hall;
    /// The leader has counted the call against the upstream's rate limit.
    bool is_counted = false;
    /// Limit reports of the leader that are newer than those of the query, or differ.
    LimitReports limits;
    bool is_full = false; ///< upstreams are usable, but would reject the prompt now
    /// The leader has counted the call among those that the upstream serves at a time.
    bool has_slot = false;
};

std::string encode(const PlaceQuery& query);
Result<PlaceQuery> decode_place_query(std::string_view bytes);
std::string encode(const PlaceAnswer& answer);
Result<PlaceAnswer> decode_place_answer(std::string_view bytes);

std::string encode(const Releases& releases);
Result<Releases> decode_releases(std::string_view bytes);
std::string encode(const PieceOrder& order);
Result<PieceOrder> decode_piece_order(std::string_view bytes);
std::string encode(const PieceAnswer& answer);
Result<PieceAnswer> decode_piece_answer(std::string_view bytes);

using CapacityVerdicts = std::vector<CapacityVerdict>;

std::string encode(const SetQueries& queries);
Result<SetQueries> decode_capacity_queries(std::string_view bytes);
std::string encode(const CapacityVerdicts& verdicts);
Result<CapacityVerdicts> decode_capacity_verdicts(std::string_view bytes);

} // namespace cypressford
