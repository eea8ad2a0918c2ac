// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/version_records.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"
#include "libutil/boot_clock.h"

namespace cypressford {

/// Keeps in the directory since when each set has had one software version only, and
/// restores it after a start, for the sets for which this daemon ranks first.  Lives on the
/// control thread.
class VersionWriter {
public:
    VersionWriter(boost::asio::io_context& io, Kernel& kernel, DirectoryWatch& directory);

    void start();

private:
    void observe(const Snapshot& snapshot);
    void publish();
    /// Sets that this daemon must compare with their records now.
    std::vector<std::string> due_sets();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> check(std::vector<std::string> set_names);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryWatch& m_directory;
    VersionRecords m_records;
    BootTimer m_timer; ///< cancelled when the versions of a set change
    std::map<std::string, Micros> m_unconfirmed_since; ///< by set
};

} // namespace cypressford
