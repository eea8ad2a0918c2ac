// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/request_digest.h>

#include <algorithm>

#include "libutil/crypto.h"

namespace cypressford {

RequestDigest
digest_of(const RequestParts& parts)
{
    std::string text;
    for (const std::string_view part :
         {parts.method, parts.host, parts.target, parts.account, parts.body}) {
        // The lengths make the text unambiguous: different parts give different texts.
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return digest_from(std::string_view(sha256(text)).substr(0, RequestDigest::kBytes));
}

namespace {

/// Digests of prompt parts begin with these bytes, followed by a hash of the set's name and
/// the part's id.
constexpr std::array<std::uint8_t, 4> kPartTag {'p', 'a', 'r', 't'};

/// Appends the lowest `bytes` bytes of a number, the most significant first.
std::uint8_t*
write_number(std::uint8_t* out, std::uint64_t number, int bytes)
{
    constexpr int byte_bits = 8;
    for (int i = bytes - 1; i >= 0; --i)
        *out++ = static_cast<std::uint8_t>(number >> (i * byte_bits));
    return out;
}

} // namespace

RequestDigest
digest_of_part(std::string_view set_name, std::uint64_t part)
{
    RequestDigest digest;
    std::uint8_t* out = std::copy(kPartTag.begin(), kPartTag.end(), digest.bytes.data());
    out = write_number(out, fast_hash(set_name), sizeof(std::uint32_t));
    write_number(out, part, sizeof part);
    return digest;
}

bool
is_prompt_part(const RequestDigest& digest)
{
    return std::equal(kPartTag.begin(), kPartTag.end(), digest.bytes.begin());
}

std::string
to_bytes(const RequestDigest& digest)
{
    return {digest.bytes.begin(), digest.bytes.end()};
}

RequestDigest
digest_from(std::string_view bytes)
{
    RequestDigest digest;
    if (bytes.size() == RequestDigest::kBytes)
        std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

std::string
to_text(const RequestDigest& digest)
{
    return to_hex(to_bytes(digest));
}

} // namespace cypressford
