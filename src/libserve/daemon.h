// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "libserve/settings.h"

namespace cypressford {

/// A complete daemon: worker threads for callers, one control thread for everything else.
class Daemon {
public:
    /// Reads the settings again and checks them.
    using ReadSettings = std::function<tl::expected<Settings, std::vector<Fault>>()>;

    /// `read_settings` is called at each SIGHUP; settings with faults are not applied.
    Daemon(Settings settings, ReadSettings read_settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds all addresses and starts the threads.
    Result<void> start();

    /// Returns when a planned stop (first SIGTERM or SIGINT) has finished, or at once on a
    /// second signal.
    void run_until_stopped();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
