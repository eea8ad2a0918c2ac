// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Encoders, retrievers and rerankers: one answer per call, not streamed.

#include <cypressford/registry.h>
#include <cypressford/upstream_kind.h>

#include "libserve/json_call.h"

namespace cypressford {

class PoolKind final : public UpstreamKind {
public:
    HttpRequest encode(const StageCall& call) const override
    {
        return encode_json_call(call, "/v1/" + std::string(to_string(call.stage->kind)));
    }

    Result<std::string> decode(const HttpResponse& response) const override
    {
        return decode_json_answer(response);
    }
};

static const Registration<UpstreamKind, PoolKind> s_registration("pool");

} // namespace cypressford
