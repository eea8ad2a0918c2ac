// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Resume tokens.  Nodes store no sessions, so the caller holds the state that a daemon
/// needs to resume a stream: authenticated, bound to its client account
/// and to the request it belongs to, and with an expiry time.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <cypressford/claims.h>

namespace cypressford {

class MacKey;

/// Contents of a token.
struct SessionState {
    std::uint64_t account = 0; ///< hash of the client account's name
    std::uint64_t stream = 0; ///< the stream's id at the engine
    std::uint64_t pipeline = 0; ///< hash of the pipeline's name
    std::uint64_t request = 0; ///< hash of the request body
    std::string engine; ///< "ip:port" of the engine that runs it
    std::uint32_t delivered = 0; ///< number of tokens delivered to the caller
    std::uint64_t text_hash = 0; ///< running hash of the delivered text
    WallMs expires = 0;
    std::uint64_t bundle_version = 0;

    bool operator==(const SessionState&) const = default;
};

/// Extends the running hash of delivered text by one more token.
std::uint64_t extend_text_hash(std::uint64_t hash, std::string_view token);

/// Hash of a name or body as stored in tokens.
std::uint64_t session_hash(std::string_view text);

/// Makes and checks tokens with the key common to all daemons.
class SessionTokens {
public:
    explicit SessionTokens(std::string_view key);
    ~SessionTokens();

    std::string seal(const SessionState& state) const;

    /// The state in a token, if the token is authentic, unexpired and this caller's.
    Result<SessionState> open(std::string_view token, std::string_view account,
                              std::string_view pipeline, std::string_view body,
                              WallMs now) const;

private:
    std::unique_ptr<MacKey> m_key;
};

} // namespace cypressford
