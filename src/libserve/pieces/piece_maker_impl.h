// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the parts of a PieceMaker share.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "libserve/pieces/piece_maker.h"
#include "libutil/boot_clock.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

struct PieceMaker::Order {
    Order(boost::asio::io_context& io, PieceOrder order_)
        : order(std::move(order_))
        , deadline(monotonic_us() + order.time_left)
        , due(monotonic_us() + order.due_left)
        , results(order.pieces.size())
        , left(order.pieces.size())
        , changed(io, BootTimer::time_point::max())
    {
    }

    const PieceOrder order;
    const Micros deadline;
    const Micros due;
    std::vector<PieceResult> results;
    std::vector<PieceId> ids;
    std::size_t left; ///< pieces without a result
    bool finished = false; ///< no caller waits for the order any more
    BootTimer changed;
};

/// Ids of the requests whose pieces a call contains, comma-separated; at most `most` ids.
std::string distinct_requests(const std::vector<PieceItem>& items);

} // namespace cypressford
