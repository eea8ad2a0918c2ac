// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Functions for the parts of OpenSSL that the project uses, and a fast hash.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <cypressford/error.h>

namespace cypressford {

std::string to_hex(std::string_view bytes);
/// Empty if the text is not valid hex.
std::string from_hex(std::string_view text);
std::string to_base64url(std::string_view bytes);
/// Empty if the text is not valid unpadded base64url.
std::string from_base64url(std::string_view text);

std::string sha256(std::string_view bytes);
std::string hmac_sha256(std::string_view key, std::string_view bytes);
/// A key for HMAC-SHA-256 whose setup is done once, so that a message costs only its
/// hashing.  Thread-safe.
class MacKey {
public:
    explicit MacKey(std::string_view key);
    ~MacKey();
    MacKey(const MacKey&) = delete;
    MacKey& operator=(const MacKey&) = delete;

    std::string mac(std::string_view bytes) const;

private:
    struct Context;
    std::unique_ptr<Context> m_context;
};

/// Compares in constant time.
bool equal_secret(std::string_view a, std::string_view b);

/// `count` bytes from OpenSSL's random generator; aborts the process if it fails.
std::string random_bytes(std::size_t count);
std::uint64_t random_u64();

/// An Ed25519 key pair.
struct KeyPair {
    std::string private_pem;
    std::string public_hex;
};

Result<KeyPair> make_key_pair();
/// The public key of a private key, in hex.
Result<std::string> public_key_of(std::string_view private_pem);
/// An Ed25519 signature, in hex.
Result<std::string> sign(std::string_view private_pem, std::string_view bytes);
bool verify(std::string_view public_hex, std::string_view bytes,
            std::string_view signature_hex);

/// XXH3, which is not cryptographic: only for hashes that need not resist an adversary.
std::uint64_t fast_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace cypressford
