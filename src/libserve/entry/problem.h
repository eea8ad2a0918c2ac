// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cypressford/scheduler.h>

#include "libutil/http.h"

namespace cypressford {

/// Detail of the refusal of a request whose deadline had passed when it was read.
inline constexpr const char* kReadTooLate = "read after its deadline";

/// Content of an error answer.
struct Problem {
    ErrorKind kind = ErrorKind::Internal;
    Ran ran = Ran::Unknown;
    Micros retry_after = 0; ///< 0 for none
    std::string detail;
};

/// A problem with the defaults of its kind.
Problem problem_of(ErrorKind kind, std::string detail = {});

/// The body of an error answer (RFC 9457).
std::string problem_body(const Problem& problem);

/// The complete error answer.
HttpResponse problem_response(const Problem& problem);

} // namespace cypressford
