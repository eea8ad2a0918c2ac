// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of upstream-kind plug-ins: the protocol of a kind of upstream.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cypressford/upstream.h>

#include "libutil/http.h"

namespace cypressford {

/// One stage of one request, as sent to an upstream.
struct StageCall {
    const StageSpec* stage = nullptr;
    std::string input; ///< output of the previous stage, or the request body
    int priority = 0;
    std::int64_t budget_ms = 0; ///< time left until the deadline
    std::string key; ///< Idempotency-Key, for non-repeatable stages
    std::int64_t fence = 0; ///< fencing token; 0 for none
    std::string stream; ///< id of the stream, for generate
    std::size_t delivered = 0; ///< number of tokens that were generated before
    std::string prefix; ///< text of these tokens
};

/// One token of a generated text.
struct StreamToken {
    std::size_t index = 0;
    std::string text;
};

/// Decodes a streamed answer incrementally.
class StreamDecoder {
public:
    virtual ~StreamDecoder() = default;

    /// Tokens completed by this chunk of the answer.
    virtual std::vector<StreamToken> feed(std::string_view chunk) = 0;

    /// True once the upstream has marked the text as complete.
    virtual bool finished() const = 0;
};

class UpstreamKind {
public:
    virtual ~UpstreamKind() = default;

    virtual HttpRequest encode(const StageCall& call) const = 0;

    /// The stage's output in a complete answer.
    virtual Result<std::string> decode(const HttpResponse& response) const = 0;

    /// Null for kinds that do not stream their answers.
    virtual std::unique_ptr<StreamDecoder> stream_decoder() const { return nullptr; }

    /// Request for the remainder of a stream, for kinds that have streams.
    virtual HttpRequest resume(std::string_view, std::size_t) const { return {}; }

    /// Request that ends a stream whose reader has disconnected and will not resume it.
    virtual HttpRequest cancel(std::string_view) const { return {}; }

    // Model-loading orders, for kinds that hold models.
    virtual bool takes_orders() const { return false; }
    virtual HttpRequest models_request() const { return {}; }
    virtual std::vector<std::string> decode_models(const HttpResponse&) const { return {}; }
    virtual HttpRequest load_order(std::string_view, std::string_view, std::int64_t) const
    {
        return {};
    }
    /// Name under which a model with an adapter is listed.
    virtual std::string model_name(std::string_view model, std::string_view adapter) const;

    virtual HttpRequest load_request() const;
    virtual std::optional<LoadReport> decode_load(const HttpResponse& response) const;
};

} // namespace cypressford
