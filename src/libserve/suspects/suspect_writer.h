// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/suspect_outbox.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"

namespace cypressford {

/// Reports to all daemons, through the directory, the ends of upstreams with the requests
/// that ran there, and the suspects that were answered.  Lives on the control thread.
class SuspectWriter {
public:
    SuspectWriter(boost::asio::io_context& io, const Kernel& kernel,
                  DirectoryWatch& directory);

    void start();

    /// Reports the end of an upstream.  The report is in force at once on this daemon, and
    /// on the others once they have read the record.
    void report_end(UpstreamEnd end);
    /// Reports that a suspect was answered in full.
    void report_answered(const RequestDigest& digest);

private:
    void write_answered(const RequestDigest& digest);
    boost::asio::awaitable<void> report_part_later(RequestDigest part);
    Micros part_delay() const;
    void begin_writing();
    boost::asio::awaitable<void> write_all();
    /// False if a call failed; the records after the failed one are then not written.
    boost::asio::awaitable<bool> write_again(std::vector<DirectoryRecord> records);
    boost::asio::awaitable<void> tidy();

    boost::asio::io_context& m_io;
    const Kernel& m_kernel;
    DirectoryWatch& m_directory;
    std::set<RequestDigest> m_parts_to_report; ///< answered; waiting for their delay
    const std::string m_prefix; ///< of this daemon's keys
    SuspectOutbox m_outbox;
    bool m_writing = false; ///< write_all() is running
};

} // namespace cypressford
