// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/upstream_kind.h>

#include "libutil/json_fields.h"

namespace cypressford {

std::string
UpstreamKind::model_name(std::string_view model, std::string_view adapter) const
{
    std::string name(model);
    if (!adapter.empty())
        name.append("+").append(adapter);
    return name;
}

HttpRequest
UpstreamKind::load_request() const
{
    HttpRequest request;
    request.target = "/v1/load";
    return request;
}

std::optional<LoadReport>
UpstreamKind::decode_load(const HttpResponse& response) const
{
    const auto body = parse_json_object(response.body);
    if (response.status != 200 || !body)
        return std::nullopt;
    LoadReport report;
    report.in_flight = json_integer<int>(*body, "in_flight", 0);
    report.queued = json_integer<int>(*body, "queued", 0);
    report.incarnation = json_integer<std::uint64_t>(*body, "incarnation", 0);
    report.leaving = json_flag(*body, "leaving");
    return report;
}

} // namespace cypressford
