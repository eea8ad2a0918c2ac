// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against daemons that never exit after a planned stop, because a peer's exchange
/// was still waiting for an answer.

#include "libserve/hall/peer_transport.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "cypressford.pb.h"
#include "libserve/test_address.h"

namespace cypressford {
namespace {

constexpr std::chrono::seconds kLimit {5};

TEST_CASE("a transport ends while an exchange waits for its answer")
{
    const std::string address = free_address();
    std::promise<PeerTransport::Answer> received;
    auto server = std::make_unique<PeerTransport>(
        TlsSettings {}, [&received](const proto::PeerState&, PeerTransport::Answer answer) {
            received.set_value(std::move(answer));
        });
    REQUIRE(server->listen(address));

    std::promise<bool> answered;
    PeerTransport client(TlsSettings {},
                         [](const proto::PeerState&, const PeerTransport::Answer&) {});
    client.exchange(address, {}, [&answered](bool ok, const proto::PeerState&) {
        answered.set_value(ok);
    });
    auto waiting = received.get_future();
    REQUIRE(waiting.wait_for(kLimit) == std::future_status::ready);
    const PeerTransport::Answer answer = waiting.get();

    auto ended = std::async(std::launch::async, [&server] { server.reset(); });
    const bool in_time = ended.wait_for(kLimit) == std::future_status::ready;
    CHECK(in_time);
    // Has no effect once the exchange has ended.
    answer({});
    ended.wait();
    CHECK_FALSE(answered.get_future().get());
}

} // namespace
} // namespace cypressford
