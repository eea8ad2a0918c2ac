// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Halls that operators have evacuated: upstreams there receive no new calls until the
/// evacuation is ended.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <cypressford/claims.h>

namespace cypressford {

/// An operator begins or ends the evacuation of a hall.
struct EvacuationRecord {
    std::string hall;
    bool started = false; ///< false: ended
};

/// Evacuations in force, from records of a log.  The record with the highest offset is in
/// force, in whatever order records arrive: from the log, from another daemon or from a
/// listing that is older than the records here.
class EvacuationTable {
public:
    /// True if the set of evacuated halls changed.
    bool apply(const EvacuationRecord& record, Offset at);

    /// The log was restored from an older copy: records that follow are newer, whatever
    /// their offsets.
    void forget_offsets();

    /// Starts a listing that names all evacuations in the log.
    void begin_listing();
    /// Ends evacuations that were not listed, except those begun at `end` (the end of the
    /// log when the listing began) or later.  With `valid_until`, the log may have lost
    /// their records, and they stay in force until then.  True if the set of evacuated
    /// halls changed.
    bool end_listing(Offset end, std::optional<Micros> valid_until = std::nullopt);
    /// Ends evacuations that were assumed valid until `now` or earlier.  True if there were
    /// any.
    bool expire(Micros now);

    /// Offset of the record that is in force for the hall; -1 without a record.
    Offset newest(const std::string& hall) const;

    /// Names of evacuated halls, sorted.
    std::vector<std::string> halls() const;

private:
    struct Known {
        bool started = false;
        Offset at = -1; ///< of the record that is in force
        bool listed = false; ///< named by the current listing
        std::optional<Micros> valid_until; ///< set if the log may have lost the record
    };

    std::map<std::string, Known> m_halls; ///< also those no longer evacuated, for `at`
};

} // namespace cypressford
