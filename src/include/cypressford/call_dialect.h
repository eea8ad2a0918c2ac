// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of call-dialect plug-ins: how callers and upstreams of relayed
/// pipelines spell what the product has to know.

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

/// One part of a prompt, as upstreams may keep it.
struct PrefixPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// What a caller's request says besides its bytes.
struct CallerCall {
    std::string attempt; ///< the caller's id for this request; never sent twice by it
    std::string host; ///< without a port
    std::optional<Micros> time_left; ///< how long the caller waits
    std::string credential;
    std::string last_event; ///< the stream is to go on behind this event
    std::vector<PrefixPart> prefix;
    std::int64_t tokens_in = 0;
    std::int64_t tokens_out = 0; ///< at most
    std::vector<int> pieces; ///< by piece stage
    std::string piece_key; ///< stands for the request at upstreams that make pieces
};

/// What an upstream is told besides the caller's bytes.
struct ForwardedCall {
    std::string identity; ///< of the upstream that is meant
    std::string account;
    Micros time_left = 0;
    int priority = 0;
    std::vector<std::string> inputs; ///< results of pieces that it is to read
    std::string last_event; ///< the stream is to go on behind this event
};

/// What an upstream's answer says of itself.
struct UpstreamAnswer {
    std::string attempt; ///< the request that it answers
    bool is_signed = false;
    bool not_run = false; ///< the upstream promises that it did not run the request
    bool other_identity = false; ///< not the upstream that was meant; not run
    bool input_gone = false; ///< not run, since a result it was to read is gone
    bool is_encoded = false; ///< the body is not as the upstream made it
    Micros cold_left = 0; ///< the upstream is cold for so long yet
    bool leaves = false; ///< the upstream that was meant says that it is leaving
    Micros rest = 0; ///< it turned the call away and wants nothing from us for so long
    bool rest_unread = false; ///< it names such a time, in a way that can't be read
    /// Requests a second that it takes from all daemons together; nothing: it names none.
    std::optional<double> limit_per_s;
    bool limit_unread = false; ///< it names a limit, in a way that can't be read
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

/// What became of one piece.
enum class PieceOutcome : unsigned char {
    Made,
    Late, ///< its time was over before its turn came
    InputGone, ///< a result that it was to read is gone
    NoMemory, ///< no upstream had memory for its result
    Failed,
    NoRetry ///< one call failed, and the retry limit allows no other
};

/// Name for logs.
std::string_view to_string(PieceOutcome outcome);

struct PieceResult {
    PieceOutcome outcome = PieceOutcome::Failed;
    std::string handle; ///< made: names the result
};

class CallDialect {
public:
    virtual ~CallDialect() = default;

    virtual Result<CallerCall> read_call(const HttpRequest& request) const = 0;
    virtual HttpRequest forward(const HttpRequest& request, const ForwardedCall& call) const
        = 0;
    virtual UpstreamAnswer read_answer(const HttpResponse& response) const = 0;
    /// Tells the caller of a refusal when to come back, as finely as it reads that.
    virtual void set_retry_after(HttpResponse& response, Micros after) const = 0;

    virtual HttpRequest piece_call(std::string_view identity,
                                   std::span<const PieceItem> items) const
        = 0;
    /// One result for each item, in order.
    virtual Result<std::vector<PieceResult>>
    decode_piece_call(const HttpResponse& response) const = 0;
    virtual HttpRequest free_results(std::span<const std::string> handles) const = 0;
    /// "ip:port" of the upstream that keeps a result.
    virtual std::string keeper_of(std::string_view handle) const = 0;
};

} // namespace cypressford
