// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The states that a request goes through.  The machine knows the order of
/// things; what each step does is its host's.

#pragma once

#include <memory>

#include <cypressford/error.h>

namespace cypressford {

/// What the machine asks of the scheduler, for one request.
class RequestHost {
public:
    virtual ~RequestHost() = default;

    virtual void send() = 0; ///< one attempt of the present stage
    virtual void begin_claim() = 0;
    virtual void begin_preparation() = 0;
    virtual void next_stage() = 0;
    virtual void complete() = 0; ///< the last stage is done
    virtual void abort(ErrorKind kind) = 0;
    virtual void reply_unknown() = 0; ///< the caller's time is over, the run goes on
    virtual void settle(bool done) = 0; ///< a run that outlived its caller has ended

    virtual bool at_last_stage() const = 0;
    virtual bool may_retry() = 0; ///< pays for the retry if it allows one
    virtual bool others_running() const = 0; ///< another attempt is still under way
    virtual bool once_running() const = 0; ///< a non-repeatable attempt is under way
    virtual ErrorKind failure_kind() const = 0;
};

/// Where a request is in its life.
enum class RequestState : unsigned char {
    Waiting,
    Claiming,
    Preparing,
    Running,
    Detached,
    Finished
};

/// State machine of one request (Boost.MSM behind it).
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
