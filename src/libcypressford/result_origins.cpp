// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/result_origins.h>

#include <string>
#include <utility>

#include "libutil/crypto.h"

namespace cypressford {

void
ResultOrigins::record(std::string_view handle, const PieceItem& piece, Micros now)
{
    if (now - m_generation_began >= kGeneration) {
        m_older = std::exchange(m_recent, {});
        m_generation_began = now;
    }
    m_recent[fast_hash(handle)] = hash_of(piece);
}

bool
ResultOrigins::is_of_other(std::string_view handle, const PieceItem& piece) const
{
    const auto known = find(handle);
    return known && *known != hash_of(piece);
}

std::uint64_t
ResultOrigins::hash_of(const PieceItem& piece)
{
    return fast_hash(piece.attempt + "/" + std::to_string(piece.stage) + "/"
                     + std::to_string(piece.segment));
}

std::optional<std::uint64_t>
ResultOrigins::find(std::string_view handle) const
{
    const std::uint64_t hash = fast_hash(handle);
    for (const Pieces* pieces : {&m_recent, &m_older})
        if (const auto it = pieces->find(hash); it != pieces->end())
            return it->second;
    return std::nullopt;
}

PieceAnswerMatch
match_piece_answer(std::span<const PieceResult> results, std::span<const PieceItem> pieces,
                   const ResultOrigins& origins)
{
    bool has_result = false;
    bool has_known = false;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const PieceResult& result = results[i];
        if (result.outcome != PieceOutcome::Made)
            continue;
        has_result = true;
        const bool is_known = origins.is_known(result.handle);
        if (is_known
            && (i >= pieces.size() || origins.is_of_other(result.handle, pieces[i])))
            return PieceAnswerMatch::Earlier;
        has_known = has_known || is_known;
    }
    const bool is_own = has_result && !has_known && results.size() == pieces.size();
    return is_own ? PieceAnswerMatch::Own : PieceAnswerMatch::Unrecognizable;
}

} // namespace cypressford
