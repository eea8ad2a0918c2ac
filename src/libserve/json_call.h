// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls with one JSON body and one JSON answer, which several kinds of
/// upstream have in common.

#pragma once

#include <cypressford/upstream_kind.h>

namespace cypressford {

/// POST of input, priority and budget, with key and fencing token as headers.
HttpRequest encode_json_call(const StageCall& call, std::string target);

/// The member "output" of the answer.
Result<std::string> decode_json_answer(const HttpResponse& response);

} // namespace cypressford
