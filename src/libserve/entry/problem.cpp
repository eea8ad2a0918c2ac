// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/entry/problem.h"

#include <boost/json.hpp>

namespace cypressford {

namespace json = boost::json;

namespace {

/// Retry delay if there is no estimate of when a retry may succeed.
constexpr Micros kDefaultRetryAfter = kSecond;
/// A request that ends upstreams will do so again until the same request is answered
/// completely elsewhere, an operator acts or a new version of the service is deployed.
constexpr Micros kQuarantineRetryAfter = 60 * kSecond;
/// A version that has ended rarely comes back within the deadline of a stream.
constexpr Micros kVersionGoneRetryAfter = 60 * kSecond;

Micros
default_retry_after(const ErrorRow& row)
{
    if (row.retry == RetryAdvice::No)
        return 0;
    if (row.kind == ErrorKind::Quarantined)
        return kQuarantineRetryAfter;
    return row.kind == ErrorKind::VersionGone ? kVersionGoneRetryAfter : kDefaultRetryAfter;
}

} // namespace

Problem
problem_of(ErrorKind kind, std::string detail)
{
    const ErrorRow& row = error_row(kind);
    return {kind, row.ran, default_retry_after(row), std::move(detail)};
}

std::string
problem_body(const Problem& problem)
{
    const ErrorRow& row = error_row(problem.kind);
    json::object body {{"type", "urn:cypressford:error:" + std::string(row.name)},
                       {"title", row.title},
                       {"status", row.http_status},
                       {"kind", row.name},
                       {"ran", to_string(problem.ran)},
                       {"retry", to_string(row.retry)}};
    if (problem.retry_after > 0)
        body["retry_after_ms"] = problem.retry_after / kMillisecond;
    if (!problem.detail.empty())
        body["detail"] = problem.detail;
    return json::serialize(body);
}

HttpResponse
problem_response(const Problem& problem)
{
    HttpResponse response;
    response.status = error_row(problem.kind).http_status;
    response.content_type = "application/problem+json";
    response.body = problem_body(problem);
    if (problem.retry_after > 0) {
        // Retry-After is in whole seconds (RFC 9110); the body has milliseconds.
        const Micros seconds = (problem.retry_after + kSecond - 1) / kSecond;
        response.headers.add("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace cypressford
