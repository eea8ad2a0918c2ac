// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/suspects.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"

namespace cypressford {

/// Tells all daemons, through the directory, under which requests upstreams ended and
/// which of these were answered.  Lives on the control thread.
class SuspectWriter {
public:
    SuspectWriter(boost::asio::io_context& io, Kernel& kernel, DirectoryWatch& directory);

    void start();

    /// An upstream ended.  In force here at once, elsewhere once it is written.
    void tell_end(UpstreamEnd end);
    /// A suspect was answered whole.
    void tell_answered(const RequestDigest& digest);

private:
    struct Unwritten {
        std::string key;
        SuspectRecord record;
    };

    Unwritten& open_record();
    boost::asio::awaitable<void> write_all();
    boost::asio::awaitable<void> tidy();
    boost::asio::awaitable<void> pause(Micros time);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryWatch& m_directory;
    std::deque<Unwritten> m_unwritten; ///< the last one takes what comes meanwhile
    bool m_writing = false; ///< write_all() runs
    bool m_first_is_sent = false; ///< the first one is on its way and takes nothing more
    std::uint64_t m_written = 0; ///< records of this process
};

} // namespace cypressford
