// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What all threads of a daemon share.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <cypressford/admission.h>
#include <cypressford/call_dialect.h>
#include <cypressford/router.h>
#include <cypressford/session_token.h>
#include <cypressford/suspects.h>
#include <cypressford/upstream.h>
#include <cypressford/upstream_kind.h>

#include "libserve/settings.h"
#include "libutil/rcu_cell.h"

namespace cypressford {

class ClaimService;
class EndWatch;
class PieceService;
class Worker;

/// Plug-ins, snapshot and flags.  The plug-ins are made once and never change.
struct Kernel {
    explicit Kernel(Settings settings_);

    const Settings settings; ///< as of the start
    /// Settings as last reloaded: bounds on callers, times of a stop and the address
    /// of a directory are taken from here, the rest needs a restart.
    RcuCell<Settings> reloaded;
    const std::unique_ptr<Router> router;
    const std::unique_ptr<Admission> admission;
    const std::map<std::string, std::unique_ptr<UpstreamKind>> kinds;
    const std::unique_ptr<CallDialect> calls; ///< null: no relayed pipelines
    const SessionTokens tokens;
    const std::uint64_t incarnation; ///< drawn at random for this process

    UpstreamTable upstreams;
    RcuCell<Snapshot> snapshot;
    RcuCell<SuspectView> suspects; ///< null until the first is known
    std::atomic<bool> stopping {false};
    std::atomic<int> daemons_in_hall {1};
    std::atomic<int> daemons {1}; ///< live ones of all halls, as far as known
    std::atomic<std::uint64_t> directory_calls {0}; ///< to the platform, since the start
    std::atomic<int> evacuated_halls {0};
    std::atomic<std::uint64_t> unread_records {0}; ///< of the directory, since the start
    /// When a thread that takes requests last found that it had stood still.
    std::atomic<Micros> stood_still_at {-3600 * kSecond}; ///< long ago
    /// Configuration and upstreams of the directory are known as of then, at least.
    std::atomic<Micros> directory_known_at {0};
    std::function<void()> on_standstill; ///< may be called from any thread; may be empty
    /// The daemon at that address did not answer this one.  The same.
    std::function<void(std::string)> on_peer_lost;
    std::atomic<bool> holds_placement {false}; ///< orders models for the hall
    std::atomic<bool> log_out {false}; ///< the log takes no appends at present

    ClaimService* claims = nullptr;
    PieceService* pieces = nullptr; ///< null: no relayed pipelines
    EndWatch* ends = nullptr; ///< null: no relayed pipelines
    std::vector<Worker*> workers;

    /// True right after a standstill, until what was read before it was read again, if that
    /// takes no longer than kCatchUpLimit: without the directory a daemon goes on.
    bool is_catching_up(Micros now) const;

    bool is_ready() const { return !stopping.load() && snapshot.load() != nullptr; }
};

} // namespace cypressford
