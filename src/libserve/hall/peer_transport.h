// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <cypressford/error.h>

#include "libserve/settings.h"

namespace cypressford {

namespace proto {
class PeerState;
}

/// Exchanges state between the daemons of a hall, over gRPC.  All callbacks
/// run on gRPC's threads.
class PeerTransport {
public:
    using Answer = std::function<void(const proto::PeerState&)>;
    /// Handles a peer's state; `answer` may be called later, from any thread.
    using Handler = std::function<void(const proto::PeerState& state, Answer answer)>;
    using Done = std::function<void(bool ok, const proto::PeerState& state)>;

    PeerTransport(const TlsSettings& tls, Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    Result<void> listen(const std::string& address);

    /// Sends a state to a peer and passes its answer to `done`.
    void exchange(const std::string& address, const proto::PeerState& state, Done done);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cypressford
