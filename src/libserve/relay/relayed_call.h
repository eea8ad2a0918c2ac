// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include "libserve/entry/worker.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

/// State of one call to an upstream.
struct Worker::RelayedCall {
    RelayedCall(const SendAttempt& send_, ContextPtr context_,
                std::shared_ptr<CallHandle> handle_)
        : send(send_)
        , context(std::move(context_))
        , handle(std::move(handle_))
    {
    }

    const SendAttempt& send;
    const ContextPtr context;
    const std::shared_ptr<CallHandle> handle;
    const Micros sent_at = monotonic_us();
    UpstreamAnswer answer; ///< read from the head; empty before it arrives
    HttpResponse head; ///< of a valid stream, as it is sent to the caller
    EventSplitter events;
    HeldBytes body; ///< of the request, until the upstream starts to answer
    bool has_events = false; ///< a complete event has arrived with this call
    bool stream_valid = true; ///< signed, not encoded, with increasing event ids so far

    Relay& relay() const { return *context->relay; }
    /// True unless the events of another call are passed on.
    bool may_stream() const
    {
        return relay().streaming == 0 || relay().streaming == send.attempt;
    }
    bool streams() const { return context->resolved().spec.stream; }
};

} // namespace cypressford
