// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Compression of one text against another that the far side has, by Zstandard.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cypressford {

/// Largest text that is unpacked, in bytes; as much as an answer may carry.
constexpr std::size_t kMaxUnpacked = 8 * 1024 * 1024;

/// `value` as what it differs by from `base`; empty if the library fails.
std::string pack(std::string_view value, std::string_view base);

/// The text that was packed; nothing for damaged bytes, another base than it was packed
/// against, or a text above kMaxUnpacked.
std::optional<std::string> unpack(std::string_view packed, std::string_view base);

} // namespace cypressford
