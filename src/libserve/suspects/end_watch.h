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

namespace cypressford {

/// A run of a request that broke off because its upstream closed the connection.
struct BrokenRun {
    UpstreamRun upstream;
    std::string address; ///< of the upstream, "ip:port"
    std::string request; ///< as logs call it
    RequestDigest digest;
};

/// Finds out whether upstreams that broke runs off have ended or have closed connections
/// only: an upstream that has ended listens no more.  Lives on the control thread.
class EndWatch {
public:
    explicit EndWatch(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// Called with each upstream that ended.
    void on_end(std::function<void(UpstreamEnd)> action) { m_on_end = std::move(action); }
    /// Called with each suspect that was answered.
    void on_answered(std::function<void(RequestDigest)> action)
    {
        m_on_answered = std::move(action);
    }

    /// May be called from any thread, as the next one.
    void note(BrokenRun run);
    /// A suspect was answered whole.
    void record_answer(const RequestDigest& digest);

private:
    void take(BrokenRun run);
    boost::asio::awaitable<void> look(UpstreamRun upstream, std::string address);

    boost::asio::io_context& m_io;
    /// Runs that broke off at upstreams that are being looked at.
    std::map<UpstreamRun, std::vector<BrokenRun>> m_broken;
    std::function<void(UpstreamEnd)> m_on_end;
    std::function<void(RequestDigest)> m_on_answered;
};

} // namespace cypressford
