// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Finds values in JSON text without parsing them, so that a reader can tell which values
/// of a large text it has parsed before.  The functions only look for the ends of values;
/// whoever parses a value checks it.

#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace cypressford {

/// Offset of the first character at `at` or later that is not white space.
std::size_t skip_json_space(std::string_view text, std::size_t at);

/// Offset after the value that starts at `at`; nothing if the text ends inside it.
std::optional<std::size_t> skip_json_value(std::string_view text, std::size_t at);

/// Offset after the opening bracket of the array that is the member `key` of the object
/// `text`; nothing if there is no such array.  Keys with escapes are not recognized.
std::optional<std::size_t> find_json_array(std::string_view text, std::string_view key);

} // namespace cypressford
