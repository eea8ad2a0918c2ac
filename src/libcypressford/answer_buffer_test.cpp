// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bounds for unread answers.
///
/// Failures guarded against: a caller that reads slowly is cut off; one stalled caller
/// takes the memory of all others; more answers are cut off than the bound requires; bytes
/// of ended answers stay counted, so that answers are cut off long after the load is over.

#include <doctest/doctest.h>

#include <vector>

#include <cypressford/answer_buffer.h>

namespace cypressford {
namespace {

constexpr std::int64_t kMb = std::int64_t {1} << 20;
constexpr Micros kStalled = kReadingWindow + kMillisecond;

TEST_CASE("an answer above its bound is cut off if its caller does not read, else paused")
{
    AnswerBuffers buffers(8 * kMb);
    int cuts = 0;
    const auto answer = buffers.open([&] { ++cuts; });
    buffers.on_arrived(*answer, kMb, 0);
    CHECK(buffers.may_read_more(*answer, kStalled));
    buffers.on_arrived(*answer, 1000, 0);
    buffers.on_taken(*answer, 1, kStalled);
    CHECK_FALSE(buffers.may_read_more(*answer, 2 * kStalled - kMillisecond));
    CHECK(cuts == 0);
    CHECK_FALSE(buffers.may_read_more(*answer, 2 * kStalled));
    CHECK_FALSE(buffers.may_read_more(*answer, 3 * kStalled));
    CHECK(cuts == 1);
    CHECK(answer->cut() == CutReason::Bound);
}

TEST_CASE(
    "above the bound of all answers, only the largest one that is not read is cut off")
{
    AnswerBuffers buffers(2 * kMb);
    std::vector<int> cuts;
    constexpr int count = 4;
    std::vector<AnswerBufferPtr> answers;
    answers.reserve(count);
    for (int i = 0; i < count; ++i)
        answers.push_back(buffers.open([&cuts, i] { cuts.push_back(i); }));
    buffers.on_arrived(*answers[0], kMb * 7 / 8, 0); // is read
    buffers.on_arrived(*answers[1], kMb / 2, 0);
    buffers.on_arrived(*answers[2], kMb * 3 / 4, 0);
    buffers.on_arrived(*answers[3], kMinPausedAnswer, 0);
    buffers.on_taken(*answers[0], 1, kStalled);
    CHECK(buffers.may_read_more(*answers[3], kStalled));
    CHECK(cuts == std::vector<int> {2});
    CHECK(answers[2]->cut() == CutReason::Total);
    // Its bytes are freed when it is closed; until then no further answer is cut off.
    CHECK_FALSE(buffers.may_read_more(*answers[0], kStalled + kMinCompareInterval));
    CHECK(cuts.size() == 1);
    buffers.close(answers[2]);
    CHECK(buffers.may_read_more(*answers[0], kStalled + 2 * kMinCompareInterval));
}

TEST_CASE("bytes of requests that wait count towards the bound of all answers")
{
    AnswerBuffers buffers(kMb);
    bool is_cut = false;
    const auto answer = buffers.open([&] { is_cut = true; });
    buffers.on_arrived(*answer, kMb / 2, 0);
    CHECK(buffers.may_read_more(*answer, kStalled));
    buffers.hold(kMb);
    CHECK_FALSE(buffers.may_read_more(*answer, kStalled));
    CHECK(is_cut);
}

TEST_CASE("ended answers and requests hold nothing")
{
    AnswerBuffers buffers(kMb);
    const auto answer = buffers.open([] {});
    buffers.on_arrived(*answer, 100, 0);
    buffers.hold(1000);
    CHECK(buffers.held() == 1100);
    buffers.close(answer);
    buffers.release(1000);
    CHECK(buffers.held() == 0);
}

} // namespace
} // namespace cypressford
