// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Binary form of the claims stream's records (Protocol Buffers).

#pragma once

#include <cypressford/claims.h>

namespace cypressford {

std::string encode(const ClaimBatch& batch);

/// Null if the bytes are not a valid record; readers skip such records.
std::optional<ClaimBatch> decode_claims(std::string_view bytes);

} // namespace cypressford
