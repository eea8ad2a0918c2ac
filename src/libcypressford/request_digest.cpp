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
