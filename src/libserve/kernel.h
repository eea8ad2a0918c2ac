// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// State shared by all threads of a daemon.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <cypressford/admission.h>
#include <cypressford/answer_buffer.h>
#include <cypressford/call_dialect.h>
#include <cypressford/router.h>
#include <cypressford/session_token.h>
#include <cypressford/stream_origin.h>
#include <cypressford/suspects.h>
#include <cypressford/upstream.h>
#include <cypressford/upstream_kind.h>
#include <cypressford/upstream_links.h>
#include <cypressford/version_records.h>

#include "libserve/settings.h"
#include "libutil/rcu_cell.h"

namespace cypressford {

class ClaimService;
class EndWatch;
class PieceService;
class StreamOrigins;
class Worker;

/// Plug-ins, snapshot and flags.  The plug-ins are created once and never change.
struct Kernel {
    explicit Kernel(Settings settings_);

    const Settings settings; ///< as of the start of the process
    /// Settings as last reloaded.  Limits on callers, the timing of a planned stop and the
    /// address of a directory are taken from here; other settings need a restart.
    RcuCell<Settings> reloaded;
    const std::unique_ptr<Router> router;
    const std::unique_ptr<Admission> admission;
    const std::map<std::string, std::unique_ptr<UpstreamKind>> kinds;
    const std::unique_ptr<CallDialect> calls; ///< null: no relayed pipelines
    const SessionTokens tokens;
    const std::uint64_t incarnation; ///< random, drawn once for this process

    UpstreamTable upstreams;
    RcuCell<Snapshot> snapshot;
    RcuCell<SuspectView> suspects; ///< null until the first view is stored
    RcuCell<SoleVersions> sole_versions; ///< null until the first snapshot
    RcuCell<RecordedVersions> recorded_versions; ///< null until the first snapshot
    /// This daemon has lost its links to all upstreams, as seen by the thread that last
    /// opened or lost a connection.
    std::atomic<bool> is_cut_off {false};
    std::atomic<int> open_tunnels {0}; ///< of this daemon, through peers
    std::atomic<int> served_tunnels {0}; ///< of peers, through this daemon
    RcuCell<TunnelPeers> tunnel_peers; ///< null until the first daemons are known
    AnswerBuffers answers; ///< unread answers, with Mechanism::UnreadBound
    std::atomic<bool> stopping {false};
    std::atomic<int> daemons_in_hall {1};
    std::atomic<int> daemons {1}; ///< daemons of all halls that are assumed to be alive
    std::atomic<bool>
        knows_all_daemons; ///< see DirectoryView::knows_fleet(); true without a directory
    std::atomic<std::uint64_t> directory_calls {0}; ///< to the platform, since the start
    std::atomic<int> evacuated_halls {0};
    std::atomic<int> led_sets {0}; ///< upstream sets that this daemon leads
    std::atomic<std::uint64_t> invalid_records {0}; ///< in the directory, since the start
    /// When a worker thread last detected that it had been suspended; the initial value
    /// lies far in the past.
    std::atomic<Micros> last_resumed_at {-3600 * kSecond};
    /// The snapshot contains the changes of configuration and upstreams in the directory up
    /// to this time.
    std::atomic<Micros> directory_as_of {0};
    /// The snapshot contains the configurations that were in the directory at this time; 0:
    /// none was read yet.  Stored after the snapshot, so it must be loaded before it.
    std::atomic<Micros> configuration_as_of {0};
    /// May be called from any thread; may be empty.
    std::function<void()> on_suspension_detected;
    /// Called with the address of a daemon that did not answer.  May be called from any
    /// thread; may be empty.
    std::function<void(std::string)> on_peer_unreachable;
    std::atomic<bool> holds_placement {false}; ///< this daemon places models for the hall
    std::atomic<bool> log_is_unavailable {false}; ///< the log is unavailable for appends

    ClaimService* claims = nullptr;
    PieceService* pieces = nullptr; ///< null: no relayed pipelines
    EndWatch* ends = nullptr; ///< null: no relayed pipelines
    StreamOrigins* streams = nullptr; ///< null: no relayed pipelines
    std::vector<Worker*> workers;

    /// True after a suspension until the directory has been read again, but no longer than
    /// kCatchUpLimit: a daemon keeps serving when the directory is unavailable.
    bool is_catching_up(Micros now) const;

    /// Time since the configuration was last known to be the newest one; nothing if it
    /// never was, 0 without a directory.
    std::optional<Micros> configuration_age(Micros now) const;

    /// True if each configuration that must be in force is in force on this daemon.
    bool knows_configuration(Micros now) const;

    /// True if each change of configuration and upstreams that must be in force was read.
    bool knows_directory(Micros now) const;

    bool is_ready() const { return !stopping.load() && snapshot.load() != nullptr; }
};

} // namespace cypressford
