// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Resume tokens.  Nodes keep nothing, so what a daemon needs to carry on a
/// stream is in the caller's hands: authenticated, bound to its client account
/// and to the request it belongs to, and with an end to its life.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <cypressford/claims.h>

namespace cypressford {

class MacKey;

/// What a token says.
struct SessionState {
    std::uint64_t account = 0; ///< hash of the client account's name
    std::uint64_t stream = 0; ///< the stream's id at the engine
    std::uint64_t pipeline = 0; ///< hash of the pipeline's name
    std::uint64_t request = 0; ///< hash of the request body
    std::string engine; ///< "ip:port" of the engine that runs it
    std::uint32_t delivered = 0; ///< tokens the caller has
    std::uint64_t text_hash = 0; ///< running hash of their text
    WallMs expires = 0;
    std::uint64_t bundle_version = 0;

    bool operator==(const SessionState&) const = default;
};

/// Extends the running hash of delivered text by one more token.
std::uint64_t extend_text_hash(std::uint64_t hash, std::string_view token);

/// Hash of a name or body as it stands in tokens.
std::uint64_t session_hash(std::string_view text);

/// Makes and checks tokens with the key common to all daemons.
class SessionTokens {
public:
    explicit SessionTokens(std::string_view key);
    ~SessionTokens();

    std::string seal(const SessionState& state) const;

    /// The state in a token, if it is authentic, alive and this caller's.
    Result<SessionState> open(std::string_view token, std::string_view account,
                              std::string_view pipeline, std::string_view body,
                              WallMs now) const;

private:
    std::unique_ptr<MacKey> m_key;
};

} // namespace cypressford
