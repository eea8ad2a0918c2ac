// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls with one JSON body and one JSON answer, shared by several kinds of upstream.

#pragma once

#include <cypressford/upstream_kind.h>

namespace cypressford {

/// A POST with input, priority and budget in the body, and key and fencing token as
/// headers.
HttpRequest encode_json_call(const StageCall& call, std::string target);

/// The answer's member "output"; UpstreamFailed if it is missing or empty.
Result<std::string> decode_json_answer(const HttpResponse& response);

} // namespace cypressford
