// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of upstream-kind plug-ins: how a kind of upstream is spoken to.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cypressford/upstream.h>

#include "libutil/http.h"

namespace cypressford {

/// One stage of one request, as it goes to an upstream.
struct StageCall {
    const StageSpec* stage = nullptr;
    std::string input; ///< output of the stage before, or the body
    int priority = 0;
    std::int64_t budget_ms = 0; ///< time left until the deadline
    std::string key; ///< Idempotency-Key, for non-repeatable stages
    std::int64_t fence = 0; ///< fencing token; 0 for none
    std::string stream; ///< id of the stream, for generate
    std::size_t delivered = 0; ///< tokens that exist already
    std::string prefix; ///< their text
};

/// One token of a generated text.
struct StreamToken {
    std::size_t index = 0;
    std::string text;
};

/// Takes a streamed answer apart, piece by piece.
class StreamDecoder {
public:
    virtual ~StreamDecoder() = default;

    /// Tokens that are whole after this piece.
    virtual std::vector<StreamToken> feed(std::string_view piece) = 0;

    /// True once the upstream has said that the text is whole.
    virtual bool finished() const = 0;
};

class UpstreamKind {
public:
    virtual ~UpstreamKind() = default;

    virtual HttpRequest encode(const StageCall& call) const = 0;

    /// The stage's output in a whole answer.
    virtual Result<std::string> decode(const HttpResponse& response) const = 0;

    /// Null for kinds that answer in one piece.
    virtual std::unique_ptr<StreamDecoder> stream_decoder() const { return nullptr; }

    /// Asks for the rest of a stream, for kinds that have streams.
    virtual HttpRequest resume(std::string_view, std::size_t) const { return {}; }

    /// Ends a stream whose reader is gone for good.
    virtual HttpRequest cancel(std::string_view) const { return {}; }

    // Orders, for kinds that hold models.
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
