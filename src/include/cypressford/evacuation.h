// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which halls operators have evacuated: no upstream there gets anything new until the
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
    bool begun = false; ///< false: ended
};

/// Evacuations in force, from records of a log.  The record with the highest offset is
/// in force, in whatever order records arrive: from the log itself, from another daemon
/// or from a listing that is older than what is known.
class EvacuationTable {
public:
    /// True if it changed which halls are evacuated.
    bool apply(const EvacuationRecord& record, Offset at);

    /// The log came back from an older copy: records that follow are newer, whatever their
    /// offsets.
    void forget_offsets();

    /// The listing that follows names all evacuations there are.
    void begin_listing();
    /// Evacuations that were not listed have ended, but for those that were begun at
    /// `end`, where the log ended when the listing began, or later.  With `believed_until`,
    /// the log may have lost their records, and they end then.  True if that changed which
    /// halls are evacuated.
    bool end_listing(Offset end, std::optional<Micros> believed_until = std::nullopt);
    /// Ends those that were believed in until now.  True if there were any.
    bool expire(Micros now);

    /// Place of the record that is in force for the hall; -1: none is known.
    Offset newest(const std::string& hall) const;

    /// Names of evacuated halls, sorted.
    std::vector<std::string> halls() const;

private:
    struct Known {
        bool begun = false;
        Offset at = -1; ///< of the record that is in force
        bool listed = false; ///< met in the listing that is under way
        std::optional<Micros> believed_until; ///< without a record
    };

    std::map<std::string, Known> m_halls; ///< ended ones too, for their offsets
};

} // namespace cypressford
