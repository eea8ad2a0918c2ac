// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/origin_records.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"

namespace cypressford {

/// Writes origins of streams to the directory for all daemons, for the sets for which this
/// daemon ranks first, and reads after a start what is there.  Lives on the control thread.
class OriginWriter {
public:
    OriginWriter(boost::asio::io_context& io, Kernel& kernel, DirectoryWatch& directory);

    /// Called with the origins that were read.
    void on_read(std::function<void(RequestsByOrigin)> action)
    {
        m_on_read = std::move(action);
    }

    void start();

    /// Any thread may call this.
    void add(RequestsByOrigin origins);

private:
    boost::asio::awaitable<void> write_all();
    boost::asio::awaitable<void> read_all();
    /// A set whose records this daemon must read; empty: none at present.
    std::string unread_set() const;
    boost::asio::awaitable<bool> read(const std::string& set_name);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryWatch& m_directory;
    OriginOutbox m_outbox;
    bool m_writing = false; ///< write_all() is running
    std::set<std::string> m_read_sets;
    std::function<void(RequestsByOrigin)> m_on_read;
};

} // namespace cypressford
