// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Origins of streams as kept in the platform's store, so that streams go on after all
/// daemons have ended while several software versions serve.  No I/O and no clock.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/directory.h>
#include <cypressford/stream_origin.h>

namespace cypressford {

/// Origins of streams of one set.
struct OriginRecord {
    RequestsByOrigin known;
    std::int64_t written_ms = 0; ///< by the writer's wall clock
};

std::string encode(const OriginRecord& record);
Result<OriginRecord> decode_origin_record(std::string_view bytes);

/// Start of the keys of a set's records.
std::string origin_key_prefix(std::string_view set_name);

/// Origins that must be written.  The keys of a set's records form a ring, so that later
/// records replace those whose streams nobody resumes any more.
class OriginOutbox {
public:
    /// Time for which origins wait for others, and that each slot of the ring stands for.
    static constexpr Micros kGatherTime = 250 * kMillisecond;
    static constexpr std::int64_t kSlots = StreamOriginTable::kLifetime / kGatherTime;
    /// Some 20 bytes each.
    static constexpr std::size_t kMaxOriginsPerRecord = 2048;
    /// Origins of one set that are kept while the directory is unreachable.
    static constexpr std::size_t kMaxOriginsPerSet = 32'768;

    /// Returns the number of origins that were dropped, the oldest first.
    std::size_t add(const RequestsByOrigin& origins);
    bool empty() const { return m_pending.empty(); }
    /// The next record to write, of a set that has had none within kGatherTime; nothing if
    /// all have.  Its origins stay until drop_taken().  `now`: monotonic.
    std::optional<DirectoryRecord> take(std::int64_t now_ms, Micros now);
    /// The record that take() returned was written.
    void drop_taken();

private:
    struct Pending {
        std::string version;
        std::string request;
    };

    std::map<std::string, std::deque<Pending>> m_pending; ///< by set, oldest first
    std::string m_taken_set;
    std::size_t m_taken = 0; ///< of the oldest of that set
    std::optional<Micros> m_start; ///< wall time when the monotonic time was 0
    std::map<std::string, std::int64_t> m_last_slot; ///< by set
};

/// The origins in the records of one set, oldest first, without those that were written
/// longer than StreamOriginTable::kLifetime before `now_ms`.  Records that can't be decoded
/// and origins of other sets are left out.
std::vector<RequestsByOrigin> stored_origins(const std::vector<DirectoryRecord>& records,
                                             std::string_view set_name,
                                             std::int64_t now_ms);

} // namespace cypressford
