// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "http_rules.h"

#include <boost/beast/core/string.hpp>

namespace cypressford {

namespace {

/// The parser decodes chunks and no other coding: a body with another one would be passed
/// on changed or empty (RFC 9112, 6.1).
bool
has_unknown_coding(const HttpHeaders& headers)
{
    const auto codings = headers.all("Transfer-Encoding");
    return !codings.empty()
        && (codings.size() > 1 || !boost::beast::iequals(codings.front(), "chunked"));
}

} // namespace

std::string_view
request_fault(const HttpRequest& head)
{
    if (has_unknown_coding(head.headers))
        return "transfer_coding";
    return head.headers.all("Host").size() > 1 ? "several_hosts" : "";
}

std::string_view
answer_fault(const HttpResponse& head)
{
    return has_unknown_coding(head.headers) ? "transfer_coding" : "";
}

} // namespace cypressford
