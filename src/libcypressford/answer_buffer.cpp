// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/answer_buffer.h>

#include <algorithm>

namespace cypressford {

std::string_view
to_string(CutReason reason)
{
    switch (reason) {
    case CutReason::Bound:
        return "bound";
    case CutReason::Total:
        return "total";
    case CutReason::None:
        break;
    }
    return "none";
}

AnswerBufferPtr
AnswerBuffers::open(std::function<void()> on_cut)
{
    auto answer = std::make_shared<AnswerBuffer>();
    answer->m_on_cut = std::move(on_cut);
    const std::lock_guard lock(m_mutex);
    m_answers.push_back(answer);
    return answer;
}

void
AnswerBuffers::close(const AnswerBufferPtr& answer)
{
    release(answer->m_unread.exchange(0, std::memory_order_relaxed));
    const std::lock_guard lock(m_mutex);
    std::erase(m_answers, answer);
}

void
AnswerBuffers::on_arrived(AnswerBuffer& answer, std::int64_t bytes, Micros now)
{
    // The caller of an empty buffer can't read: the time without reading starts now.
    if (answer.m_unread.fetch_add(bytes, std::memory_order_relaxed) == 0)
        answer.m_read_at.store(now, std::memory_order_relaxed);
    hold(bytes);
}

void
AnswerBuffers::on_taken(AnswerBuffer& answer, std::int64_t bytes, Micros now)
{
    answer.m_unread.fetch_sub(bytes, std::memory_order_relaxed);
    answer.m_read_at.store(now, std::memory_order_relaxed);
    release(bytes);
}

bool
AnswerBuffers::may_read_more(AnswerBuffer& answer, Micros now)
{
    if (held() > m_bound)
        cut_largest(now);
    const std::int64_t unread = answer.unread();
    const bool above_bound = unread > kMaxUnreadAnswer;
    if (above_bound && !answer.is_read(now)) {
        if (mark_cut(answer, CutReason::Bound))
            answer.m_on_cut();
        return false;
    }
    const bool above_total = held() > m_bound && unread > kMinPausedAnswer;
    return !above_bound && !above_total && answer.cut() == CutReason::None;
}

/// True for the first caller only.
bool
AnswerBuffers::mark_cut(AnswerBuffer& answer, CutReason reason)
{
    CutReason none = CutReason::None;
    return answer.m_cut.compare_exchange_strong(none, reason, std::memory_order_relaxed);
}

void
AnswerBuffers::cut_largest(Micros now)
{
    Micros compared = m_compared_at.load(std::memory_order_relaxed);
    if (now - compared < kMinCompareInterval
        || !m_compared_at.compare_exchange_strong(compared, now, std::memory_order_relaxed))
        return;
    std::vector<AnswerBufferPtr> unread;
    std::int64_t left = held();
    {
        const std::lock_guard lock(m_mutex);
        for (const AnswerBufferPtr& answer : m_answers) {
            // Answers that are being cut off hold their bytes until they are closed.
            if (answer->cut() != CutReason::None)
                left -= answer->unread();
            else if (!answer->is_read(now))
                unread.push_back(answer);
        }
    }
    while (left > m_bound && !unread.empty()) {
        const auto largest = std::max_element(
            unread.begin(), unread.end(),
            [](const auto& a, const auto& b) { return a->unread() < b->unread(); });
        left -= (*largest)->unread();
        if (mark_cut(**largest, CutReason::Total))
            (*largest)->m_on_cut();
        unread.erase(largest);
    }
}

} // namespace cypressford
