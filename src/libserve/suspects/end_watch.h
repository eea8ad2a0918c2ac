// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/suspects.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// A run of a request that was interrupted because its upstream closed the connection.
struct BrokenRun {
    UpstreamRun upstream;
    std::string address; ///< of the upstream, "ip:port"
    std::string request; ///< id in logs
    RequestDigest digest;
    std::vector<RequestDigest> parts; ///< of its prompt, shared with other requests
};

/// Determines whether upstreams that interrupted runs have ended or have only closed
/// connections, by a probe of the port: an upstream that has ended refuses connections,
/// also those of other daemons.  Lives on the control thread.
class EndWatch {
public:
    EndWatch(boost::asio::io_context& io, const Kernel& kernel)
        : m_io(io)
        , m_kernel(kernel)
    {
    }

    /// Called for each upstream that ended.
    void on_end(std::function<void(UpstreamEnd)> action) { m_on_end = std::move(action); }
    /// Called for each suspect request or prompt part that was answered in full.
    void on_answered(std::function<void(RequestDigest)> action)
    {
        m_on_answered = std::move(action);
    }

    /// Any thread may call this and record_answer().
    void record_broken_run(BrokenRun run);
    /// A suspect was answered in full.
    void record_answer(const RequestDigest& digest);

private:
    void add(BrokenRun run);
    boost::asio::awaitable<void> check_ended(UpstreamRun upstream, std::string address);
    boost::asio::awaitable<bool> has_ended(std::string address, PortState state);

    boost::asio::io_context& m_io;
    const Kernel& m_kernel;
    /// Interrupted runs of upstreams that are being checked.
    std::map<UpstreamRun, std::vector<BrokenRun>> m_broken;
    std::function<void(UpstreamEnd)> m_on_end;
    std::function<void(RequestDigest)> m_on_answered;
};

} // namespace cypressford
