// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Recognizes answers to earlier calls for pieces.  Such answers carry no id of their call,
/// but a result is given out once, so a known result shows that an answer is an old one.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include <cypressford/call_dialect.h>

namespace cypressford {

/// The pieces for which results were received lately, by hashes of both.
class ResultOrigins {
public:
    /// A result is known for between one and two generations.
    static constexpr Micros kGeneration = 10 * kSecond;

    void record(std::string_view handle, const PieceItem& piece, Micros now);

    /// True if the result was received for any piece.
    bool is_known(std::string_view handle) const { return find(handle).has_value(); }
    /// True if the result was received for another piece.
    bool is_of_other(std::string_view handle, const PieceItem& piece) const;

private:
    using Pieces = std::unordered_map<std::uint64_t, std::uint64_t>;

    static std::uint64_t hash_of(const PieceItem& piece);
    std::optional<std::uint64_t> find(std::string_view handle) const;

    Pieces m_recent; ///< hash of the piece by hash of the result
    Pieces m_older; ///< the generation before
    Micros m_generation_began = 0;
};

/// Whether an answer belongs to the call for these pieces.
enum class PieceAnswerMatch : unsigned char {
    Own,
    /// It can't be recognized if it comes once more in place of a later answer: it has no
    /// result, one that was received for the same piece before, or not one for each piece.
    Unrecognizable,
    Earlier ///< the answer to an earlier call
};

PieceAnswerMatch match_piece_answer(std::span<const PieceResult> results,
                                    std::span<const PieceItem> pieces,
                                    const ResultOrigins& origins);

} // namespace cypressford
