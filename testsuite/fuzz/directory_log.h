// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The log that the daemons of a DirectoryWorld read: its records, and the state that an
/// oracle derives from them.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <cypressford/directory.h>

namespace cypressford::fuzz {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kUpstreams = 5;
constexpr std::size_t kHalls = 2; ///< number of halls that operators evacuate
constexpr std::size_t kTopics = 2; ///< number of topics: configuration and upstreams

/// Makes values larger than the limit for uncompressed values between daemons, so that they
/// are sent compressed.
constexpr std::size_t kFillerBytes = 5000;

inline std::string
large_value(std::size_t number, const std::string& mark)
{
    return std::to_string(number) + std::string(kFillerBytes, ' ') + mark;
}

inline DirectoryRecord
configuration_of(std::size_t version)
{
    return {"config", large_value(version, std::to_string(version))};
}

/// Starts or ends the evacuation of a hall.
inline DirectoryRecord
evacuation(std::size_t hall, bool started)
{
    return {"evacuation/" + std::to_string(hall % kHalls), started ? "{}" : ""};
}

struct WrittenRecord {
    DirectoryRecord record;
    Micros at = 0;
};

/// One topic of the log.
struct Topic {
    std::vector<WrittenRecord> records;
    Offset first = 0; ///< earlier records are truncated

    Offset end() const { return static_cast<Offset>(records.size()); }
};

/// An upstream's state after the first records of the upstreams' topic.
struct ExpectedUpstream {
    std::uint64_t rank = 0; ///< of the newest record
    bool present = false;
};

/// A record's position among those of its upstream: by start, then by sequence.
inline std::uint64_t
rank_of(const std::string& value)
{
    constexpr std::uint64_t records_per_run = 1'000'000;
    const std::size_t at = value.find('@');
    return std::stoull(value.substr(at + 1)) * records_per_run + std::stoull(value);
}

} // namespace cypressford::fuzz
