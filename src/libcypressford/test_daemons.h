// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of daemons for tests.

#pragma once

#include <string>
#include <vector>

#include <cypressford/daemon_table.h>

namespace cypressford {

inline DaemonRecord
daemon(const std::string& node, std::uint64_t sequence, std::uint64_t incarnation = 1)
{
    DaemonRecord result;
    result.node = node;
    result.hall = "hall";
    result.peers_address = node + ":1";
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

/// `daemons` in five halls, three strong ones in each.
inline std::vector<DaemonRecord>
fleet(int daemons)
{
    constexpr int halls = 5;
    constexpr int strong = 15;
    std::vector<DaemonRecord> records;
    for (int i = 0; i < daemons; ++i) {
        records.push_back(daemon("d" + std::to_string(i), 1));
        records.back().hall = "h" + std::to_string(i % halls);
        records.back().feed_address = records.back().node + ":2";
        records.back().capacity = i < strong ? 0.5 : 0.12;
    }
    return records;
}

} // namespace cypressford
