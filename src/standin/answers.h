// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Outputs of the stand-ins.  They are pure functions of the input, so that a caller
/// can detect an answer that belongs to another request.

#pragma once

#include <string>
#include <string_view>

#include "libutil/crypto.h"
#include "libutil/hybrid_clock.h"

namespace cypressford::standin {

/// Output of an encode, retrieve, rerank or service call.
inline std::string
stage_output(std::string_view operation, std::string_view input)
{
    return format_stamp(fast_hash(std::string(operation) + ":" + std::string(input)));
}

/// Token number `index` of the text that an engine generates for a prompt.
inline std::string
token_text(std::string_view prompt, std::size_t index)
{
    return " " + format_stamp(fast_hash(prompt, index)).substr(0, 6);
}

/// Complete text of `count` tokens.
inline std::string
complete_text(std::string_view prompt, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += token_text(prompt, i);
    return text;
}

} // namespace cypressford::standin
