// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one daemon asks of the daemon that leads an upstream set of pieces.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cypressford/call_dialect.h>

namespace cypressford {

/// The pieces of one stage of one request.
struct PieceOrder {
    std::string upstream_set;
    int priority = 0;
    Micros time_left = 0; ///< of the request
    Micros due_left = 0; ///< until the latest start that lets it be prompt; may be past
    std::string near; ///< hall where the results are wanted; empty: anywhere
    std::int64_t result_bytes = 0; ///< of each piece, about
    std::vector<PieceItem> pieces; ///< `time_left` of each is the order's
};

struct PieceAnswer {
    std::vector<PieceResult> pieces; ///< in the order of the pieces wanted
    Micros expected_wait = 0; ///< of a piece that would come now
};

/// Results of one set that nobody will read any more.
struct SpentResults {
    std::string upstream_set;
    std::vector<std::string> handles;
};

std::string encode(const SpentResults& spent);
Result<SpentResults> decode_spent_results(std::string_view bytes);
std::string encode(const PieceOrder& order);
Result<PieceOrder> decode_piece_order(std::string_view bytes);
std::string encode(const PieceAnswer& answer);
Result<PieceAnswer> decode_piece_answer(std::string_view bytes);

} // namespace cypressford
