// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages that can be parsed, but whose meaning is in doubt (RFC 9110 and 9112).

#pragma once

#include <string_view>

#include "http.h"

namespace cypressford {

/// Name of the fault for which a request must not be run; empty if there is none.
std::string_view request_fault(const HttpRequest& head);

/// Name of the fault for which an answer must not be passed on; empty if there is none.
std::string_view answer_fault(const HttpResponse& head);

} // namespace cypressford
