// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one daemon asks of the daemon that leads an upstream set of pieces.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cypressford/call_dialect.h>
#include <cypressford/prompt_placer.h>

namespace cypressford {

/// The pieces of one stage of one request.
struct PieceOrder {
    std::string upstream_set;
    int priority = 0;
    Micros time_left = 0; ///< of the request
    Micros due_left = 0; ///< until the latest start that lets it be prompt; may be past
    std::string near; ///< hall where the results are wanted; empty: anywhere
    std::int64_t result_bytes = 0; ///< of each piece, about
    bool again = false; ///< made before and gone: each piece is a retry
    HallLimit halls; ///< they may be made there only
    std::vector<PieceItem> pieces; ///< `time_left` of each is the order's
};

struct PieceAnswer {
    std::vector<PieceResult> pieces; ///< in the order of the pieces wanted
    Micros expected_wait = 0; ///< of a piece that would come now
};

/// What is free again at one set.
struct Releases {
    std::string upstream_set;
    std::vector<std::string> handles; ///< results that nobody will read any more
    std::vector<std::string> begun; ///< requests whose prompt is read
    std::vector<std::string> ended; ///< requests that the set runs no longer
    std::vector<std::string> unreached; ///< that could not be given to their upstream
};

/// Which engine of a set is to read a prompt.
struct PlaceQuery {
    std::string upstream_set;
    PromptQuery prompt;
};

struct PlaceAnswer {
    std::string identity; ///< empty: none is usable
    std::string hall;
    /// The leader has counted the call against the limit that the upstream names.
    bool is_counted = false;
    LimitReports limits; ///< what the leader has heard otherwise, or later, than was told
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

} // namespace cypressford
