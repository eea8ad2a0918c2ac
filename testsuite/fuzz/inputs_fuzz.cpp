// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// libFuzzer over input from outside the process: bundles, records of both streams,
/// resume tokens, keys, addresses.  The first byte selects the parser.

#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include <cypressford/bundle_fold.h>
#include <cypressford/codec.h>
#include <cypressford/session_token.h>

#include "libutil/crypto.h"
#include "libutil/http.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

void
require(bool condition)
{
    if (!condition)
        std::abort();
}

void
read_bundle(std::string_view text)
{
    const auto bundle = parse_bundle_yaml(text);
    if (!bundle) {
        require(!bundle.error().empty());
        return;
    }
    // An accepted bundle is unchanged by a round trip through its canonical form.
    const std::string canonical = canonical_json(*bundle);
    const auto again = parse_bundle_json(canonical);
    require(again.has_value() && canonical_json(*again) == canonical);
}

void
read_bundle_record(std::string_view text)
{
    BundleFold fold({{std::string(64, 'a')}, std::string(32, 'k')});
    require(fold.apply(0, text) != FoldResult::Accepted);
    require(fold.adopt(text) != FoldResult::Accepted);
    require(fold.newest_version() == 0);
}

void
read_claims(std::string_view bytes)
{
    const auto batch = decode_claims(bytes);
    if (!batch)
        return;
    ClaimLedger ledger {ClaimOptions {}};
    ledger.apply(0, *batch, 0);
    for (const ClaimMade& claim : batch->claims)
        require(ledger.find(claim.key) != nullptr);
    require(decode_claims(encode(*batch)).has_value());
}

void
read_token(std::string_view text)
{
    const SessionTokens tokens(std::string(32, 'k'));
    require(!tokens.open(text, "account", "pipeline", "body", 0).has_value());
}

void
read_small_texts(std::string_view text)
{
    uuid7_time(text);
    parse_stamp(text);
    parse_address(text);
    const std::string bytes = from_base64url(text);
    require(bytes.empty() || to_base64url(bytes) == text);
    HttpRequest request;
    request.target = text;
    request.query("from");
}

} // namespace

} // namespace cypressford

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace cypressford;
    if (size == 0)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    constexpr int readers = 5;
    switch (data[0] % readers) {
    case 0:
        read_bundle(text);
        break;
    case 1:
        read_bundle_record(text);
        break;
    case 2:
        read_claims(text);
        break;
    case 3:
        read_token(text);
        break;
    default:
        read_small_texts(text);
        break;
    }
    return 0;
}
