// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>

#include "settings.h"

namespace cypressford {

/// A whole daemon: workers for callers, one control thread for the rest.
class Daemon {
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds all addresses and starts the threads.
    Result<void> start();

    /// Returns after a planned stop (first SIGTERM or SIGINT) is through, or at
    /// once on a second signal.
    void run_until_stopped();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
