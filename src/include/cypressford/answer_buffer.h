// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bounds for answers that callers have not read.
///
/// Load: callers of streams stop reading, or read more slowly than upstreams answer.
/// Upstreams cut off an answer that is not read for some seconds, so an answer is read from
/// its upstream at the upstream's pace and buffered here.  Above a bound, the answers of
/// callers that do not read are cut off, the largest first.  Answers of callers that read
/// are not; their upstreams are read at the callers' pace until the excess is gone.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include <cypressford/bundle.h>

namespace cypressford {

/// Unread bytes of one answer above which it is cut off, or its upstream is paused.
inline constexpr std::int64_t kMaxUnreadAnswer = std::int64_t {1} << 20;
/// Above the bound of all answers, upstreams of smaller answers than this are not paused:
/// a pause would save little, and the next event may be all that the caller waits for.
inline constexpr std::int64_t kMinPausedAnswer = std::int64_t {64} << 10;
/// A caller is reading if it took bytes within this time.  A caller takes up to half of its
/// receive buffer at a time, 64 KB of the usual 128 KB; at 32 KB/s that is every 2 s.
inline constexpr Micros kReadingWindow = 2 * kSecond;
/// Above the bound of all answers, they are compared at most once in this time, because
/// each comparison visits all of them.
inline constexpr Micros kMinCompareInterval = 10 * kMillisecond;

/// Why an answer was cut off.
enum class CutReason : unsigned char { None, Bound, Total };

std::string_view to_string(CutReason reason);

/// Unread bytes of one answer.
class AnswerBuffer {
public:
    std::int64_t unread() const { return m_unread.load(std::memory_order_relaxed); }
    CutReason cut() const { return m_cut.load(std::memory_order_relaxed); }

private:
    friend class AnswerBuffers;

    bool is_read(Micros now) const
    {
        return unread() == 0
            || now - m_read_at.load(std::memory_order_relaxed) <= kReadingWindow;
    }

    std::atomic<std::int64_t> m_unread {0};
    std::atomic<Micros> m_read_at {0}; ///< caller last took bytes, or had read all of them
    std::atomic<CutReason> m_cut {CutReason::None};
    std::function<void()> m_on_cut;
};

using AnswerBufferPtr = std::shared_ptr<AnswerBuffer>;

/// Unread bytes of all answers of a node.  Used by all threads; a lock is taken when an
/// answer begins or ends and when answers are compared above the bound.
class AnswerBuffers {
public:
    /// `bound`: bytes for all answers together.
    explicit AnswerBuffers(std::int64_t bound)
        : m_bound(bound)
    {
    }

    /// Adds an answer.  `on_cut` is called at most once, by any thread, if the answer must
    /// be cut off.
    AnswerBufferPtr open(std::function<void()> on_cut);
    /// Removes an answer with its unread bytes.
    void close(const AnswerBufferPtr& answer);

    /// The upstream sent bytes that the caller can read.
    void on_arrived(AnswerBuffer& answer, std::int64_t bytes, Micros now);
    /// The caller took bytes.
    void on_taken(AnswerBuffer& answer, std::int64_t bytes, Micros now);

    /// Bytes of a request that wait for an upstream.  They count towards the bound of all
    /// answers, but are never cut off: the attempt's deadline bounds them.
    void hold(std::int64_t bytes) { m_held.fetch_add(bytes, std::memory_order_relaxed); }
    void release(std::int64_t bytes) { m_held.fetch_sub(bytes, std::memory_order_relaxed); }

    /// Whether more of the answer may be read from its upstream now.  Above a bound,
    /// answers that are not read are cut off.
    bool may_read_more(AnswerBuffer& answer, Micros now);

    /// Unread bytes of all answers, and bytes of requests that wait.
    std::int64_t held() const { return m_held.load(std::memory_order_relaxed); }

private:
    static bool mark_cut(AnswerBuffer& answer, CutReason reason);
    void cut_largest(Micros now);

    const std::int64_t m_bound;
    std::atomic<std::int64_t> m_held {0};
    std::atomic<Micros> m_compared_at {-kMinCompareInterval};
    std::mutex m_mutex;
    std::vector<AnswerBufferPtr> m_answers;
};

/// Bytes of a request that wait for an upstream, counted until release() or the end of the
/// scope.
class HeldBytes {
public:
    HeldBytes() = default;
    ~HeldBytes() { release(); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    void hold(AnswerBuffers& buffers, std::int64_t bytes)
    {
        release();
        m_buffers = &buffers;
        m_bytes = bytes;
        buffers.hold(bytes);
    }
    void release()
    {
        if (m_buffers)
            std::exchange(m_buffers, nullptr)->release(m_bytes);
    }

private:
    AnswerBuffers* m_buffers = nullptr;
    std::int64_t m_bytes = 0;
};

} // namespace cypressford
