// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/suspect_outbox.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"

namespace cypressford {

/// Tells all daemons, through the directory, under which requests upstreams ended and
/// which of these were answered.  Lives on the control thread.
class SuspectWriter {
public:
    SuspectWriter(boost::asio::io_context& io, const Kernel& kernel,
                  DirectoryWatch& directory);

    void start();

    /// An upstream ended.  In force here at once, elsewhere once it is written.
    void tell_end(UpstreamEnd end);
    /// A suspect was answered whole.
    void tell_answered(const RequestDigest& digest);

private:
    void begin_writing();
    boost::asio::awaitable<void> write_all();
    /// False once a call failed.
    boost::asio::awaitable<bool> write_again(std::vector<DirectoryRecord> records);
    boost::asio::awaitable<void> tidy();
    boost::asio::awaitable<void> pause(Micros time);

    boost::asio::io_context& m_io;
    DirectoryWatch& m_directory;
    const std::string m_prefix; ///< of this daemon's keys
    SuspectOutbox m_outbox;
    bool m_writing = false; ///< write_all() runs
};

} // namespace cypressford
