// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Batches releases of results and reports on requests, so that the leader of a set gets
/// one message for many of them.

#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/piece_order.h>

namespace cypressford {

/// Runs on the thread of its io_context.
class ReleaseOutbox {
public:
    using Send = std::function<void(Releases)>;

    /// `send` is called with the releases of one set, some milliseconds after the first.
    ReleaseOutbox(boost::asio::io_context& io, Send send);

    /// Adds a result that has no remaining reader.
    void add_result(const std::string& set_name, std::string handle);
    /// Adds a report that the answer of a request started at the set.
    void add_started(const std::string& set_name, std::string attempt);
    /// Adds a report that a request ended at the set.
    void add_ended(const std::string& set_name, std::string attempt);
    /// Adds a report that a request did not reach its selected upstream.
    void add_unreachable(const std::string& set_name, std::string attempt);
    /// Adds a request that does not need the capacity that the set's leader promised.
    void add_withdrawn(const std::string& set_name, std::string attempt);

private:
    Releases& of(const std::string& set_name);
    boost::asio::awaitable<void> flush();

    boost::asio::io_context& m_io;
    Send m_send;
    std::map<std::string, Releases> m_releases; ///< by upstream set
    bool m_flushing = false;
};

} // namespace cypressford
