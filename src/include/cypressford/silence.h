// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a daemon that is asked for signs of life is taken for silent.

#pragma once

#include <algorithm>
#include <optional>

#include <cypressford/bundle.h>

namespace cypressford {

/// Signs of life of one daemon, as another one asks for them while an order waits there.
class UnresponsiveDetector {
public:
    /// `daemons`: that may all ask the same one.
    explicit UnresponsiveDetector(int daemons)
        : m_pace(std::clamp(daemons * kIntervalPerDaemon, kShortestPace, kMaxInterval))
    {
    }

    /// How long to wait before the next sign is asked for; nothing: it is silent.
    std::optional<Micros> next_interval(bool answered)
    {
        m_misses = answered ? 0 : m_misses + 1;
        if (m_misses > kMissesAllowed)
            return std::nullopt;
        // A doubt is settled at once: that a leader is lost is found out after 0.45 s in
        // the mean, and after 0.70 s with a pause of 200 ms here (silence_test).  Answers
        // are due within 1.0 to 1.6 s; in the two seconds after a hall is cut off callers
        // of 89 daemons got 0.78 of their worth instead of 0.73.
        return m_misses > 0 ? 0 : m_pace;
    }
    /// Before the first sign.
    Micros first_interval() const { return m_pace; }

private:
    /// One leader is asked by all daemons: some 1,400 signs a second at most.
    static constexpr Micros kIntervalPerDaemon = 700;
    static constexpr Micros kShortestPace = 100 * kMillisecond;
    static constexpr Micros kMaxInterval = 200 * kMillisecond;
    /// Signs that may be missed in a row: one packet may be lost.
    static constexpr int kMissesAllowed = 1;

    Micros m_pace;
    int m_misses = 0;
};

} // namespace cypressford
