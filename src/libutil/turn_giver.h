// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <thread>

namespace cypressford {

/// Lets other threads run between the steps of a long computation.  On a node with a part
/// of a core, threads that serve requests otherwise wait for the end of a time slice.
class TurnGiver {
public:
    /// Called after each step of some microseconds.
    void on_step()
    {
        if (++m_steps < kStepsPerTurn)
            return;
        m_steps = 0;
        std::this_thread::yield();
    }

private:
    static constexpr int kStepsPerTurn = 128;

    int m_steps = 0;
};

} // namespace cypressford
