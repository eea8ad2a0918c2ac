// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// State machine of a request.  It defines the order of the steps; its host carries them
/// out.

#pragma once

#include <memory>

#include <cypressford/error.h>

namespace cypressford {

/// Operations of the scheduler that the state machine of one request calls.
class RequestHost {
public:
    virtual ~RequestHost() = default;

    virtual void send() = 0; ///< sends one attempt of the current stage
    virtual void begin_claim() = 0;
    virtual void begin_preparation() = 0;
    virtual void next_stage() = 0;
    virtual void complete() = 0; ///< the last stage is done
    virtual void abort(ErrorKind kind) = 0;
    virtual void reply_unknown() = 0; ///< answers the caller while the attempt continues
    virtual void settle(bool done) = 0; ///< an attempt that outlived its caller has ended

    virtual bool at_last_stage() const = 0;
    virtual bool may_retry() = 0; ///< if true, the retry is charged to the retry budget
    virtual bool others_running() const = 0; ///< another attempt is still in flight
    /// True if a non-repeatable attempt is in flight.
    virtual bool non_repeatable_running() const = 0;
    virtual ErrorKind failure_kind() const = 0;
};

/// State of a request.
enum class RequestState : unsigned char {
    Waiting,
    Claiming,
    Preparing,
    Running,
    Detached,
    Finished
};

/// State machine of one request (implemented with Boost.MSM).
class RequestMachine {
public:
    explicit RequestMachine(RequestHost& host);
    ~RequestMachine();
    RequestMachine(const RequestMachine&) = delete;
    RequestMachine& operator=(const RequestMachine&) = delete;

    void claim_required();
    void claim_won();
    void preparation_required();
    void preparation_made();
    void slot_granted();
    void hedge_due();
    void stage_done();
    void attempt_lost();
    void abort(ErrorKind kind);

    RequestState state() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
