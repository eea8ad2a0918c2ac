// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of call-dialect plug-ins: how callers and upstreams of relayed pipelines
/// encode the fields that daemons read or set.

#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/bundle.h>

#include "libutil/http.h"

namespace cypressford {

/// One part of a prompt; upstreams may cache it.
struct PrefixPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// Metadata of a caller's request.
struct CallerCall {
    std::string attempt; ///< the caller's id of this request; never reused
    std::string host; ///< without a port
    std::optional<Micros> time_left; ///< how long the caller waits
    std::string credential;
    std::string last_event; ///< id of the event after which the stream is to resume
    /// Id of the caller's request that brought the first event of the stream to resume.
    std::string resumes;
    std::vector<PrefixPart> prefix;
    std::int64_t tokens_in = 0;
    std::int64_t tokens_out = 0; ///< upper bound
    std::vector<int> pieces; ///< number of pieces, by piece stage
    std::string piece_key; ///< identifies the request at upstreams that make pieces
};

/// What a call to an upstream contains besides the caller's bytes.
struct ForwardedCall {
    std::string identity; ///< of the upstream that is addressed
    std::string account;
    Micros time_left = 0;
    int priority = 0;
    std::vector<std::string> inputs; ///< handles of piece results that the upstream reads
    std::string last_event; ///< id of the event after which the stream is to resume
};

/// Load of an upstream as it reports it.
struct UpstreamLoad {
    int running = 0; ///< requests
    int waiting = 0; ///< requests
    int slots = 0; ///< requests that it runs at a time
    /// Time that work takes there at this moment, as a multiple of the usual time; empty:
    /// not reported.
    std::optional<double> slowdown;
};

/// What an upstream's answer reports of the call and of the upstream.
struct UpstreamAnswer {
    std::string attempt; ///< id of the request that was answered
    bool is_signed = false;
    bool not_run = false; ///< the upstream guarantees that it did not run the request
    bool identity_mismatch = false; ///< sent by another upstream than addressed; not run
    bool input_gone = false; ///< not run, because a result that it reads no longer exists
    bool is_encoded = false; ///< has a content encoding: not the upstream's own bytes
    Micros cold_left = 0; ///< how much longer the upstream is cold
    bool is_leaving = false; ///< the upstream reports that it is leaving
    Micros backoff = 0; ///< backoff requested with a refusal of the call; 0: none
    bool backoff_unreadable = false; ///< a backoff is given, but can't be parsed
    /// Requests a second that the upstream accepts from all daemons together; empty: no
    /// limit given.
    std::optional<double> limit_per_s;
    bool limit_unreadable = false; ///< a limit is given, but can't be parsed
    /// Calls a second that the upstream may reject, of all daemons together, before it
    /// fails; empty: none given.
    std::optional<double> rejections_per_s;
    bool rejections_unreadable = false; ///< they are given, but can't be parsed
    std::optional<UpstreamLoad> load; ///< empty: no load given
    bool load_unreadable = false; ///< a load is given, but can't be parsed
};

/// One piece of one request, as it goes to an upstream.
struct PieceItem {
    std::string attempt;
    int stage = 0;
    int segment = 0;
    Micros time_left = 0;
    std::string piece_key; ///< for stages that need no results
    std::vector<std::string> inputs; ///< results of the stages that it needs
};

/// Outcome of one piece.
enum class PieceOutcome : unsigned char {
    Made,
    Late, ///< its deadline passed while it was queued
    InputGone, ///< a result that it reads no longer exists
    NoMemory, ///< no upstream had memory for its result
    Failed,
    NoRetry ///< one call failed, and the retry limit allows no other
};

/// Name for logs.
std::string_view to_string(PieceOutcome outcome);

struct PieceResult {
    PieceOutcome outcome = PieceOutcome::Failed;
    std::string handle; ///< of the result, if it was made
};

class CallDialect {
public:
    virtual ~CallDialect() = default;

    virtual Result<CallerCall> read_call(const HttpRequest& request) const = 0;
    virtual HttpRequest forward(const HttpRequest& request, const ForwardedCall& call) const
        = 0;
    virtual UpstreamAnswer read_answer(const HttpResponse& response) const = 0;
    /// Sets the time after which the caller may retry, in the finest unit that the
    /// caller accepts.
    virtual void set_retry_after(HttpResponse& response, Micros after) const = 0;

    virtual HttpRequest piece_call(std::string_view identity,
                                   std::span<const PieceItem> items) const
        = 0;
    /// One result for each item, in order.
    virtual Result<std::vector<PieceResult>>
    decode_piece_call(const HttpResponse& response) const = 0;
    virtual HttpRequest free_results(std::span<const std::string> handles) const = 0;
    /// "ip:port" of the upstream that holds a result.
    virtual std::string holder_of(std::string_view handle) const = 0;
};

} // namespace cypressford
