// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Second answers to calls for pieces.
///
/// Failure guarded against: an answer that an upstream sends twice is taken for the answer
/// to the next call, so that requests get results of other requests.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <cypressford/result_origins.h>

namespace cypressford {
namespace {

PieceItem
piece(const std::string& attempt, int segment = 0)
{
    PieceItem item;
    item.attempt = attempt;
    item.segment = segment;
    return item;
}

PieceResult
made(const std::string& handle)
{
    return {PieceOutcome::Made, handle};
}

TEST_CASE("an answer with a result of another piece is of an earlier call")
{
    ResultOrigins origins;
    origins.record("h1", piece("a"), 0);
    origins.record("h2", piece("a", 1), 0);
    const std::vector<PieceResult> again {made("h1"), made("h2")};
    const std::vector<PieceItem> next {piece("b"), piece("b", 1)};
    CHECK(match_piece_answer(again, next, origins) == PieceAnswerMatch::Earlier);
    // Whatever the number of pieces of the later call is.
    const std::vector<PieceItem> one {piece("b")};
    CHECK(match_piece_answer(again, one, origins) == PieceAnswerMatch::Earlier);
    CHECK(match_piece_answer(again, {}, origins) == PieceAnswerMatch::Earlier);
    // One known result is enough.
    const std::vector<PieceResult> mixed {{PieceOutcome::Late, {}}, made("h2")};
    CHECK(match_piece_answer(mixed, next, origins) == PieceAnswerMatch::Earlier);
    const std::vector<PieceResult> fresh {made("h3"), {PieceOutcome::NoMemory, {}}};
    CHECK(match_piece_answer(fresh, next, origins) == PieceAnswerMatch::Own);
}

TEST_CASE("an answer is not recognizable without a result or with one of the same piece")
{
    ResultOrigins origins;
    origins.record("h1", piece("a"), 0);
    const std::vector<PieceItem> pieces {piece("a")};
    const std::vector<PieceResult> same {made("h1")};
    const std::vector<PieceResult> late {{PieceOutcome::Late, {}}};
    CHECK(match_piece_answer(same, pieces, origins) == PieceAnswerMatch::Unrecognizable);
    CHECK(match_piece_answer(late, pieces, origins) == PieceAnswerMatch::Unrecognizable);
    CHECK(match_piece_answer({}, pieces, origins) == PieceAnswerMatch::Unrecognizable);
    const std::vector<PieceResult> two {made("h2"), made("h3")};
    CHECK(match_piece_answer(two, pieces, origins) == PieceAnswerMatch::Unrecognizable);
}

TEST_CASE("results are known for at least one generation, and not for ever")
{
    ResultOrigins origins;
    Micros now = 0;
    origins.record("h1", piece("a"), now);
    for (int i = 0; i < 10; ++i) {
        now += ResultOrigins::kGeneration / 10;
        origins.record("other" + std::to_string(i), piece("x"), now);
        CHECK(origins.is_known("h1"));
    }
    now += 2 * ResultOrigins::kGeneration;
    origins.record("a", piece("x"), now);
    now += ResultOrigins::kGeneration;
    origins.record("b", piece("x"), now);
    CHECK_FALSE(origins.is_known("h1"));
}

} // namespace
} // namespace cypressford
