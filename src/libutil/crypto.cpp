// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "crypto.h"

#include <array>
#include <memory>

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace cypressford {

namespace {

struct FreeKey {
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
struct FreeBio {
    void operator()(BIO* bio) const { BIO_free(bio); }
};
struct FreeContext {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};
using KeyPtr = std::unique_ptr<EVP_PKEY, FreeKey>;
using BioPtr = std::unique_ptr<BIO, FreeBio>;
using ContextPtr = std::unique_ptr<EVP_MD_CTX, FreeContext>;

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

const unsigned char*
bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

KeyPtr
read_private(std::string_view pem)
{
    const BioPtr bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    return KeyPtr(PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
}

Result<std::string>
raw_public(EVP_PKEY* key)
{
    std::array<unsigned char, kKeyBytes> raw {};
    std::size_t size = raw.size();
    if (EVP_PKEY_get_raw_public_key(key, raw.data(), &size) != 1)
        return fail(ErrorKind::Internal, "not an Ed25519 key");
    return to_hex({reinterpret_cast<const char*>(raw.data()), size});
}

} // namespace

std::string
to_hex(std::string_view bytes)
{
    std::string out;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(out));
    return out;
}

std::string
from_hex(std::string_view text)
{
    std::string out;
    try {
        boost::algorithm::unhex(text.begin(), text.end(), std::back_inserter(out));
    } catch (const boost::algorithm::hex_decode_error&) {
        return {};
    }
    return out;
}

std::string
to_base64url(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                     bytes_of(bytes), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    while (!out.empty() && out.back() == '=')
        out.pop_back();
    for (char& c : out)
        c = c == '+' ? '-' : c == '/' ? '_' : c;
    return out;
}

std::string
from_base64url(std::string_view text)
{
    std::string padded(text);
    for (char& c : padded) {
        if (c == '+' || c == '/' || c == '=' || static_cast<unsigned char>(c) <= ' ')
            return {};
        c = c == '-' ? '+' : c == '_' ? '/' : c;
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    if (padding == 3)
        return {};
    padded.append(padding, '=');
    std::string out(padded.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                     bytes_of(padded), static_cast<int>(padded.size()));
    if (size < 0)
        return {};
    out.resize(static_cast<std::size_t>(size) - padding);
    // Each value has exactly one encoding: the unused bits must be zero.
    return to_base64url(out) == text ? out : std::string {};
}

std::string
sha256(std::string_view bytes)
{
    std::string out(kKeyBytes, '\0');
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), reinterpret_cast<unsigned char*>(out.data()),
               &size, EVP_sha256(), nullptr);
    return out;
}

std::string
hmac_sha256(std::string_view key, std::string_view bytes)
{
    std::string out(kKeyBytes, '\0');
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(bytes),
         bytes.size(), reinterpret_cast<unsigned char*>(out.data()), &size);
    return out;
}

struct FreeMac {
    void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
};
struct FreeMacContext {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

struct MacKey::Context {
    std::unique_ptr<EVP_MAC_CTX, FreeMacContext> prepared;
};

MacKey::MacKey(std::string_view key)
    : m_context(std::make_unique<Context>())
{
    const std::unique_ptr<EVP_MAC, FreeMac> mac(EVP_MAC_fetch(nullptr, "HMAC", nullptr));
    m_context->prepared.reset(EVP_MAC_CTX_new(mac.get()));
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> params {
        OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
        OSSL_PARAM_construct_end()};
    EVP_MAC_init(m_context->prepared.get(), bytes_of(key), key.size(), params.data());
}

MacKey::~MacKey() = default;

std::string
MacKey::mac(std::string_view bytes) const
{
    // Copies the prepared state.  That state is never written, so no lock is needed.
    const std::unique_ptr<EVP_MAC_CTX, FreeMacContext> context(
        EVP_MAC_CTX_dup(m_context->prepared.get()));
    std::string out(kKeyBytes, '\0');
    std::size_t size = 0;
    EVP_MAC_update(context.get(), bytes_of(bytes), bytes.size());
    EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size,
                  out.size());
    return out;
}

bool
equal_secret(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string
random_bytes(std::size_t count)
{
    std::string out(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(count))
        != 1)
        std::abort(); // without random numbers neither ids nor keys would be unique
    return out;
}

std::uint64_t
random_u64()
{
    const std::string bytes = random_bytes(sizeof(std::uint64_t));
    std::uint64_t value = 0;
    for (const char c : bytes)
        value = (value << 8) | static_cast<unsigned char>(c);
    return value;
}

Result<KeyPair>
make_key_pair()
{
    const KeyPtr key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    const BioPtr bio(BIO_new(BIO_s_mem()));
    if (!key
        || PEM_write_bio_PrivateKey(bio.get(), key.get(), nullptr, nullptr, 0, nullptr,
                                    nullptr)
            != 1)
        return fail(ErrorKind::Internal, "could not generate an Ed25519 key");
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio.get(), &data);
    KeyPair pair;
    pair.private_pem.assign(data, static_cast<std::size_t>(size));
    auto public_hex = raw_public(key.get());
    if (!public_hex)
        return tl::unexpected(public_hex.error());
    pair.public_hex = *public_hex;
    return pair;
}

Result<std::string>
public_key_of(std::string_view private_pem)
{
    const KeyPtr key = read_private(private_pem);
    if (!key)
        return fail(ErrorKind::BadRequest, "not a private key in PEM form");
    return raw_public(key.get());
}

Result<std::string>
sign(std::string_view private_pem, std::string_view bytes)
{
    const KeyPtr key = read_private(private_pem);
    if (!key)
        return fail(ErrorKind::BadRequest, "not a private key in PEM form");
    const ContextPtr context(EVP_MD_CTX_new());
    std::array<unsigned char, kSignatureBytes> out {};
    std::size_t size = out.size();
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1
        || EVP_DigestSign(context.get(), out.data(), &size, bytes_of(bytes), bytes.size())
            != 1)
        return fail(ErrorKind::Internal, "signing failed");
    return to_hex({reinterpret_cast<const char*>(out.data()), size});
}

bool
verify(std::string_view public_hex, std::string_view bytes, std::string_view signature_hex)
{
    const std::string raw = from_hex(public_hex);
    const std::string signature = from_hex(signature_hex);
    if (raw.size() != kKeyBytes || signature.size() != kSignatureBytes)
        return false;
    const KeyPtr key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(raw), raw.size()));
    const ContextPtr context(EVP_MD_CTX_new());
    return key
        && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(context.get(), bytes_of(signature), signature.size(),
                            bytes_of(bytes), bytes.size())
        == 1;
}

std::uint64_t
fast_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace cypressford
