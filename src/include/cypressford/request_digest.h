// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What makes two requests the same, whatever ids their callers gave them.

#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace cypressford {

/// What is compared: a caller that sends a request again sends these again.
struct RequestParts {
    std::string_view method;
    std::string_view host; ///< without a port
    std::string_view target; ///< path and query
    std::string_view account; ///< empty for callers without a credential
    std::string_view body;
};

/// Half of a SHA-256: a caller can't make a request that is taken for another one's.
struct RequestDigest {
    static constexpr std::size_t kBytes = 16;
    std::array<std::uint8_t, kBytes> bytes {};

    bool operator==(const RequestDigest&) const = default;
    auto operator<=>(const RequestDigest&) const = default;
};

/// For tables: the digest's bits are spread evenly already.
struct RequestDigestHash {
    std::size_t operator()(const RequestDigest& digest) const
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof value);
        return value;
    }
};

RequestDigest digest_of(const RequestParts& parts);

/// The digest's bytes, as messages carry them.
std::string to_bytes(const RequestDigest& digest);
/// All zero for text that is no digest.
RequestDigest digest_from(std::string_view bytes);

/// For logs and commands.
std::string to_text(const RequestDigest& digest);

} // namespace cypressford
