// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gathers what requests are done with, so that one message tells the leader of a set of
/// many results.

#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/piece_order.h>

namespace cypressford {

/// Lives on the thread of its io_context.
class ReleaseOutbox {
public:
    using Tell = std::function<void(Releases)>;

    /// `tell` gets the releases of one set at a time, some milliseconds after the first.
    ReleaseOutbox(boost::asio::io_context& io, Tell tell);

    /// A result that nobody will read any more.
    void add_result(const std::string& set_name, std::string handle);
    /// The answer of a request began, or ended, at the set.
    void add_begun(const std::string& set_name, std::string attempt);
    void add_ended(const std::string& set_name, std::string attempt);
    /// A request could not be given to the upstream chosen for it.
    void add_unreached(const std::string& set_name, std::string attempt);

private:
    Releases& of(const std::string& set_name);
    boost::asio::awaitable<void> flush();

    boost::asio::io_context& m_io;
    Tell m_tell;
    std::map<std::string, Releases> m_releases; ///< by upstream set
    bool m_flushing = false;
};

} // namespace cypressford
