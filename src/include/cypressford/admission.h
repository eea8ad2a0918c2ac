// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of admission plug-ins, which decide which requests are admitted.

#pragma once

#include <span>
#include <string_view>

#include <cypressford/upstream.h>

namespace cypressford {

/// What the requests of a stage wait for.
enum class WaitCause : unsigned char {
    None,
    Calls, ///< the calls that this daemon may have in flight
    Rate, ///< the rate that upstreams announce or bear while they are cold
    Backoff, ///< the end of a backoff of all upstreams
    Pieces, ///< the queue of a leader of piece upstreams
};

/// Name in logs.
std::string_view to_string(WaitCause cause);

/// Estimate for one stage of a request at admission.
struct StageEstimate {
    Micros typical = 0; ///< median service time; 0 while unknown
    /// 95th percentile, or the median for a resumed stream; 0 while unknown
    Micros tail = 0;
    Micros backlog = 0; ///< time to process the work ahead of this request
    int usable = 0; ///< upstreams that can take calls now
    int waiting = 0; ///< requests in the queue of this stage
    WaitCause cause = WaitCause::None; ///< of the backlog
    double calls_allowed = 0; ///< calls that this daemon may have in flight
};

/// A request to be admitted or refused.
struct AdmissionQuery {
    Micros now = 0;
    Micros deadline = 0;
    Micros target_by = 0; ///< when the target latency ends; 0: no target latency
    int priority = 0;
    int in_progress = 0; ///< requests in this daemon
    int account_in_progress = 0; ///< requests of this account in this daemon
    int active_accounts = 1; ///< accounts with a request in progress
    std::span<const StageEstimate> stages;
};

/// The decision: admitted, or refused with an error kind and a retry-after time.
struct AdmissionVerdict {
    bool admitted = true;
    ErrorKind kind = ErrorKind::DeadlineUnreachable;
    Micros retry_after = 0;
    Micros expected = 0; ///< estimated time to answer; 0 if not estimated
    WaitCause cause = WaitCause::None; ///< of the longest backlog, if refused
    double calls_allowed = 0; ///< at the stage with that backlog
};

/// Decides whether requests are admitted.
class Admission {
public:
    virtual ~Admission() = default;

    virtual AdmissionVerdict admit(const AdmissionQuery& query) const = 0;

    /// True if calls beyond an upstream's slots wait in the daemon instead of at the
    /// upstream.
    virtual bool queues_in_daemon() const = 0;

    /// True if requests that can no longer meet their deadline are dropped early.
    virtual bool drops_late() const = 0;
};

} // namespace cypressford
