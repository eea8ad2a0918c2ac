// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Since when each set has had one software version only, as kept in the platform's store
/// so that it outlives the daemons.  No I/O and no clock.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/directory.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// Record of one set, under the set's name.
struct VersionRecord {
    std::optional<std::string> version; ///< the only one; nothing: there are several
    std::int64_t since_ms = 0; ///< by the writer's hybrid clock
    LogGeneration generation = 0; ///< of the log when the record was written

    bool operator==(const VersionRecord&) const = default;
};

std::string encode(const VersionRecord& record);
Result<VersionRecord> decode_version_record(std::string_view bytes);

/// Daemons that write the record of a set, which rank first for its name: the others act
/// only if those before them did not.
inline constexpr std::size_t kVersionKeepers = 3;
/// Daemons that rank next.  They write a change that they have seen if no daemon that ranks
/// before them answers: keepers that have ended are listed for some time.
inline constexpr std::size_t kVersionDeputies = 3;

/// By set; sets without upstreams are left out.  Empty: the upstreams name no version.
/// Nothing: several versions.
using PresentVersions = std::map<std::string, std::optional<std::string>>;

PresentVersions present_versions(const Snapshot& snapshot);

/// The only version of each set and since when; sets of which this is not known are left
/// out.
using RecordedVersions = std::map<std::string, VersionRecord>;

/// What a daemon has observed of the versions of sets and read from their records.  Not
/// thread-safe.
class VersionRecords {
public:
    /// Difference between the clocks of daemons up to which two times of one change are
    /// taken for the same.  A record that is this much too early counts as correct.
    static constexpr std::int64_t kClockDifferenceMs = 1000;

    /// False if nothing changed.  A set without upstreams keeps its state; one whose
    /// upstreams have never named a version has none.
    bool observe(const PresentVersions& present, std::int64_t now_ms);

    /// All records of the topic.  A record is taken over if it names the version that has
    /// been present since this daemon's start and was written to this log: one of another
    /// generation may lack what was written before the log was restored.
    void apply_listing(const std::vector<DirectoryRecord>& records,
                       LogGeneration generation, std::int64_t now_ms);

    /// Sets whose record is not known or must be written.
    std::vector<std::string> unconfirmed(LogGeneration generation) const;
    /// The record to write; nothing if the store has it, or if it is not known.
    std::optional<VersionRecord> missing_record(const std::string& set_name,
                                                LogGeneration generation) const;
    /// The record is in the store, or another daemon writes it.
    void mark_written(const std::string& set_name, const VersionRecord& record);

    RecordedVersions sole() const;

private:
    struct State {
        std::optional<std::string> version;
        std::int64_t since_ms = 0;
        /// `since_ms` is the time of a change or of a record; otherwise that of this
        /// daemon's first snapshot.
        bool is_known = false;
        std::optional<VersionRecord> stored;
    };
    static bool is_stored(const State& state, LogGeneration generation);

    std::map<std::string, State> m_sets;
};

} // namespace cypressford
