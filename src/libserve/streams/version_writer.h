// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/version_records.h>

#include "libserve/directory/directory_watch.h"
#include "libserve/kernel.h"
#include "libserve/peers/peer_link.h"
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
    void observe(const Snapshot& snapshot, const std::set<std::string>& brief_sets);
    void publish();
    /// A set that this daemon must compare with its record now.
    struct DueSet {
        std::string name;
        std::size_t rank = 0; ///< of this daemon for the set
    };
    std::vector<DueSet> due_sets();
    boost::asio::awaitable<bool> is_kept_by_another(DueSet set);
    boost::asio::awaitable<std::vector<std::string>> sets_to_check();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> check(std::vector<std::string> set_names);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryWatch& m_directory;
    PeerLink m_link;
    VersionRecords m_records;
    BootTimer m_timer; ///< cancelled when the versions of a set change
    std::map<std::string, Micros> m_unconfirmed_since; ///< by set
};

} // namespace cypressford
