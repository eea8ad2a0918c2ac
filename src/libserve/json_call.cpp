// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/json_call.h"

#include "libutil/json_fields.h"

namespace cypressford {

HttpRequest
encode_json_call(const StageCall& call, std::string target)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.add("Content-Type", "application/json");
    if (!call.key.empty())
        request.headers.add("Idempotency-Key", call.key);
    if (call.fence > 0)
        request.headers.add("X-Fencing-Token", std::to_string(call.fence));
    request.body = boost::json::serialize(boost::json::object {
        {"input", call.input}, {"priority", call.priority}, {"budget_ms", call.budget_ms}});
    return request;
}

Result<std::string>
decode_json_answer(const HttpResponse& response)
{
    const auto body = parse_json_object(response.body);
    std::string output = body ? json_text(*body, "output") : std::string {};
    if (output.empty())
        return fail(ErrorKind::UpstreamFailed, "answer without output");
    return output;
}

} // namespace cypressford
