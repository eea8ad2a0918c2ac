// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/session_token.h>

#include "cypressford.pb.h"
#include "libutil/crypto.h"

namespace cypressford {

namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxTokenChars = 1024;
/// Leading byte of the authenticated text; a later format uses another value.
constexpr char kFormat = 1;

std::string
mac_of(const MacKey& key, std::string_view payload)
{
    return key.mac(payload).substr(0, kMacBytes);
}

SessionState
state_from(const proto::SessionToken& message)
{
    SessionState state;
    state.account = message.account();
    state.stream = message.stream();
    state.pipeline = message.pipeline();
    state.request = message.request();
    state.engine = message.engine();
    state.delivered = message.delivered();
    state.text_hash = message.text_hash();
    state.expires = message.expires_ms();
    state.bundle_version = message.bundle_version();
    return state;
}

} // namespace

std::uint64_t
extend_text_hash(std::uint64_t hash, std::string_view token)
{
    return fast_hash(token, hash + 1);
}

std::uint64_t
session_hash(std::string_view text)
{
    return fast_hash(text);
}

SessionTokens::SessionTokens(std::string_view key)
    : m_key(std::make_unique<MacKey>(key))
{
}

SessionTokens::~SessionTokens() = default;

std::string
SessionTokens::seal(const SessionState& state) const
{
    proto::SessionToken message;
    message.set_account(state.account);
    message.set_stream(state.stream);
    message.set_pipeline(state.pipeline);
    message.set_request(state.request);
    message.set_engine(state.engine);
    message.set_delivered(state.delivered);
    message.set_text_hash(state.text_hash);
    message.set_expires_ms(state.expires);
    message.set_bundle_version(state.bundle_version);
    std::string payload(1, kFormat);
    message.AppendToString(&payload);
    return to_base64url(mac_of(*m_key, payload) + payload);
}

Result<SessionState>
SessionTokens::open(std::string_view token, std::string_view account,
                    std::string_view pipeline, std::string_view body, WallMs now) const
{
    const std::string raw
        = token.size() <= kMaxTokenChars ? from_base64url(token) : std::string {};
    if (raw.size() <= kMacBytes + 1)
        return fail(ErrorKind::TokenInvalid, "damaged");
    const std::string_view payload = std::string_view(raw).substr(kMacBytes);
    const std::string_view mac = std::string_view(raw).substr(0, kMacBytes);
    if (!equal_secret(mac, mac_of(*m_key, payload)))
        return fail(ErrorKind::TokenInvalid, "not authentic");
    proto::SessionToken message;
    if (payload.front() != kFormat
        || !message.ParseFromArray(payload.data() + 1,
                                   static_cast<int>(payload.size() - 1)))
        return fail(ErrorKind::TokenInvalid, "of another format");
    SessionState state = state_from(message);
    if (state.account != session_hash(account))
        return fail(ErrorKind::TokenForeign);
    if (state.pipeline != session_hash(pipeline) || state.request != session_hash(body))
        return fail(ErrorKind::TokenInvalid, "belongs to another request");
    if (state.expires <= now)
        return fail(ErrorKind::TokenExpired);
    return state;
}

} // namespace cypressford
