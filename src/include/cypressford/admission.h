// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of admission plug-ins: what is taken in and what is refused.

#pragma once

#include <span>

#include <cypressford/upstream.h>

namespace cypressford {

/// What is known of one stage when a request asks to come in.
struct StageOutlook {
    Micros typical = 0; ///< median service time; 0 while unknown
    Micros tail = 0; ///< 95th percentile; 0 while unknown
    Micros backlog = 0; ///< time to work off what is ahead of this request
    int usable = 0; ///< upstreams that can take calls now
    int waiting = 0; ///< requests in the queue of this stage
};

/// A request that asks to come in.
struct AdmissionQuery {
    Micros now = 0;
    Micros deadline = 0;
    Micros prompt_by = 0; ///< when an answer still counts as prompt; 0: no such time
    int priority = 0;
    int in_progress = 0; ///< requests in this daemon
    int account_in_progress = 0; ///< of them, this account's
    int active_accounts = 1; ///< accounts with a request in progress
    std::span<const StageOutlook> stages;
};

/// The answer: admitted, or the kind to refuse with and when to come back.
struct AdmissionVerdict {
    bool admitted = true;
    ErrorKind kind = ErrorKind::DeadlineUnreachable;
    Micros retry_after = 0;
    Micros expected = 0; ///< until the answer, as far as it was worked out
};

/// Decides at the door.
class Admission {
public:
    virtual ~Admission() = default;

    virtual AdmissionVerdict admit(const AdmissionQuery& query) const = 0;

    /// True if calls beyond an upstream's slots wait here instead of there.
    virtual bool queues_here() const = 0;

    /// True if work that can no longer make its deadline is dropped early.
    virtual bool drops_late() const = 0;
};

} // namespace cypressford
