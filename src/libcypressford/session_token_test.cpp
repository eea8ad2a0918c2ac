// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/session_token.h>

#include <doctest/doctest.h>

using namespace cypressford;

namespace {

constexpr WallMs kNow = 1'000'000;

SessionState
sample()
{
    SessionState state;
    state.account = session_hash("couriers");
    state.pipeline = session_hash("chat");
    state.request = session_hash("where is it");
    state.engine = "127.0.0.1:7101";
    state.stream = 77;
    state.delivered = 12;
    state.text_hash = 99;
    state.expires = kNow + 1;
    return state;
}

ErrorKind
refusal(const Result<SessionState>& result)
{
    REQUIRE_FALSE(result);
    return result.error().kind;
}

} // namespace

TEST_CASE("a token can be opened only for its own client account and request")
{
    const SessionTokens tokens("key");
    const std::string token = tokens.seal(sample());
    const auto opened = tokens.open(token, "couriers", "chat", "where is it", kNow);
    REQUIRE(opened);
    CHECK(*opened == sample());
    CHECK(refusal(tokens.open(token, "depots", "chat", "where is it", kNow))
          == ErrorKind::TokenForeign);
    CHECK(refusal(tokens.open(token, "couriers", "summary", "where is it", kNow))
          == ErrorKind::TokenInvalid);
    CHECK(refusal(tokens.open(token, "couriers", "chat", "where am I", kNow))
          == ErrorKind::TokenInvalid);
    CHECK(refusal(tokens.open(token, "couriers", "chat", "where is it", kNow + 1))
          == ErrorKind::TokenExpired);
    CHECK(
        refusal(SessionTokens("other").open(token, "couriers", "chat", "where is it", kNow))
        == ErrorKind::TokenInvalid);
}

TEST_CASE("a token with any one character changed is refused")
{
    const SessionTokens tokens("key");
    const std::string token = tokens.seal(sample());
    for (std::size_t i = 0; i < token.size(); ++i) {
        std::string damaged = token;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        CAPTURE(i);
        CHECK_FALSE(tokens.open(damaged, "couriers", "chat", "where is it", kNow));
    }
    CHECK_FALSE(tokens.open("", "couriers", "chat", "where is it", kNow));
    CHECK_FALSE(tokens.open(token.substr(0, 20), "couriers", "chat", "where is it", kNow));
}
