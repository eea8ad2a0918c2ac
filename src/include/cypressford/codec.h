// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of the claims stream as bytes (Protocol Buffers).

#pragma once

#include <cypressford/claims.h>

namespace cypressford {

std::string encode(const ClaimBatch& batch);

/// Nothing for bytes that are no record; readers skip those.
std::optional<ClaimBatch> decode_claims(std::string_view bytes);

} // namespace cypressford
