// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Services other than engines; some of their calls may not be repeated.

#include <cypressford/registry.h>
#include <cypressford/upstream_kind.h>

#include "libserve/json_call.h"

namespace cypressford {

class ServiceKind final : public UpstreamKind {
public:
    HttpRequest encode(const StageCall& call) const override
    {
        return encode_json_call(call, "/v1/" + call.stage->name);
    }

    Result<std::string> decode(const HttpResponse& response) const override
    {
        return decode_json_answer(response);
    }
};

static const Registration<UpstreamKind, ServiceKind> s_registration("service");

} // namespace cypressford
