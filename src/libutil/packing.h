// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Zstandard compression of a text against a base text that the receiver already has.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cypressford {

/// Largest text that is unpacked, in bytes; equal to the size limit of an answer.
constexpr std::size_t kMaxUnpacked = 8 * 1024 * 1024;

/// `value` compressed against `base`; empty if the library fails.
std::string pack(std::string_view value, std::string_view base);

/// The text that was packed; nullopt for damaged bytes, for a base other than that used for
/// packing, or for a text above kMaxUnpacked.
std::optional<std::string> unpack(std::string_view packed, std::string_view base);

} // namespace cypressford
