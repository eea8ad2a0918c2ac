// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Identifies equal requests, regardless of the ids that callers assign to them.

#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace cypressford {

/// The parts that are compared: a caller's retry has the same parts.
struct RequestParts {
    std::string_view method;
    std::string_view host; ///< without a port
    std::string_view target; ///< path and query
    std::string_view account; ///< empty for callers without a credential
    std::string_view body;
};

/// The first half of a SHA-256, so that a caller can't forge a request with the digest
/// of another one.
struct RequestDigest {
    static constexpr std::size_t kBytes = 16;
    std::array<std::uint8_t, kBytes> bytes {};

    bool operator==(const RequestDigest&) const = default;
    auto operator<=>(const RequestDigest&) const = default;
};

/// Hash for tables: the bits of a digest are uniformly distributed already, apart from
/// those of prompt parts, which differ in their second half.
struct RequestDigestHash {
    std::size_t operator()(const RequestDigest& digest) const
    {
        std::array<std::size_t, RequestDigest::kBytes / sizeof(std::size_t)> halves {};
        std::memcpy(halves.data(), digest.bytes.data(), sizeof halves);
        return halves[0] ^ halves[1];
    }
};

RequestDigest digest_of(const RequestParts& parts);

/// Identifies a part of prompts, by its id, among the requests to one upstream set.
RequestDigest digest_of_part(std::string_view set_name, std::uint64_t part);
/// True for the digests that digest_of_part() makes.
bool is_prompt_part(const RequestDigest& digest);

/// The digest's bytes, as carried in messages.
std::string to_bytes(const RequestDigest& digest);
/// All zero if the text is not a digest.
RequestDigest digest_from(std::string_view bytes);

/// Hexadecimal text for logs and commands.
std::string to_text(const RequestDigest& digest);

} // namespace cypressford
