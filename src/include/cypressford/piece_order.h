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
    Micros time_left = 0;
    std::vector<PieceItem> pieces; ///< `time_left` of each is the order's
};

struct PieceAnswer {
    std::vector<PieceResult> pieces; ///< in the order of the pieces wanted
    Micros expected_wait = 0; ///< of a piece that would come now
};

std::string encode(const PieceOrder& order);
Result<PieceOrder> decode_piece_order(std::string_view bytes);
std::string encode(const PieceAnswer& answer);
Result<PieceAnswer> decode_piece_answer(std::string_view bytes);

} // namespace cypressford
