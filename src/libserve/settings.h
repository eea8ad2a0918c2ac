// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of a daemon: one YAML file, checked completely before anything starts.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/lease.h>
#include <cypressford/platform.h>
#include <cypressford/scheduler.h>

#include "libutil/event_log.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Files for TLS between daemons; all empty for plain text on loopback.
struct TlsSettings {
    std::string certificate; ///< file, PEM
    std::string private_key; ///< file, PEM
    std::string authority; ///< file, PEM
};

struct Settings {
    std::string node;
    std::string hall;
    std::map<std::string, std::string> hall_regions; ///< region of each hall; may be empty
    std::string callers_address; ///< "ip:port" for callers
    std::string peers_address; ///< "ip:port" for other daemons; empty for none
    std::string readiness_address; ///< separate "ip:port" for readiness; empty for none
    std::string metrics_address; ///< separate "ip:port" for metrics; empty for none
    bool uses_directory = false; ///< configuration and upstreams come from a directory
    /// "ip:port" for daemons of the hall that follow this daemon's directory; empty for
    /// none.
    std::string feed_address;
    /// Addresses at which other daemons reach the peers and feed listeners; the same as
    /// peers_address and feed_address unless a proxy or the like lies between.
    std::string announced_peers;
    std::string announced_feed;
    double capacity = 1; ///< processor power of this node, relative to other nodes
    Micros max_change_delay = 2 * kSecond; ///< until a directory change is in force
    Micros directory_heartbeat = 1200 * kMillisecond; ///< between records of an upstream
    double directory_writes = 400; ///< writes per second that the directory accepts
    /// Time for which an upstream is kept after its record disappeared during an outage.
    Micros removal_grace_period = 2 * kSecond;
    std::vector<std::string> peers; ///< addresses of other daemons of the hall
    int threads = 2;
    std::string router = "adaptive";
    std::string admission = "budget";
    PlatformSettings platform;
    Micros snapshot_interval = 300 * kSecond; ///< between repeated appends of bundle state
    std::vector<std::string> operators; ///< public keys, hex
    std::string daemon_key; ///< raw bytes, the same for all daemons
    TlsSettings tls;
    HttpLimits limits;
    /// Bytes of answers that callers have not read, all answers together.  The default is a
    /// sixteenth of the memory of the smallest nodes, 120 to 160 MB.
    std::int64_t unread_bytes = std::int64_t {8} << 20;
    SchedulerOptions scheduler;
    /// Smallest fleet in which the leaders of sets are asked for capacity.
    int capacity_ledger_min_daemons = 1;
    ClaimOptions claims;
    Micros watch_interval = 500 * kMillisecond; ///< between load reports of an upstream
    double watch_rate = 5; ///< load reports requested per second, at most
    Micros gossip_interval = 1000 * kMillisecond; ///< between exchanges with a peer
    /// Time without a keepalive after which a peer is not counted as serving.
    Micros suspect_after = 6 * kSecond;
    LeaseOptions lease; ///< lease of the daemon that places models
    double orders_per_s = 2; ///< orders to load models; limits the load on the weight store
    Micros token_life = 600 * kSecond; ///< lifetime of resume tokens
    /// Time for which requests are still accepted after readiness is cleared.
    Micros stop_grace_period = 2 * kSecond;
    Micros stop_limit = 30 * kSecond; ///< longest time that a planned stop may take
    std::string log_file;
    LogLevel log_level = LogLevel::Info;
    int log_lines_per_s = kLogLinesPerSecond;
};

/// Parses and checks the settings; reports all faults at once.
tl::expected<Settings, std::vector<Fault>> parse_settings(std::string_view text);

/// Formats faults as lines "file:line: message"; line 0 is left out.
std::string format_faults(std::string_view file, const std::vector<Fault>& faults);

} // namespace cypressford
