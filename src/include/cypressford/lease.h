// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leases for tasks that only one process may perform, decided by the order of the log.
///
/// A record takes or renews a lease and names the offset of the record that it
/// replaces; it takes effect only if that record is still the latest.  So if a holder
/// renews and a challenger takes over, the first of the two in the log
/// wins.  The offset at which a holder took the lease is its fencing token.
///
/// A challenger waits until it has read no record for the whole duration, by its
/// own clock; a holder counts the duration from before it started the append.  As
/// long as clocks run at about the same rate, a holder's lease expires before a
/// challenger may take over; a holder that was suspended detects the expiry in held().

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <cypressford/claims.h>

namespace cypressford {

/// One record of the leases stream.
struct LeaseRecord {
    std::string name; ///< name of the lease
    std::uint64_t holder = 0; ///< incarnation of the process
    Offset replaces = -1; ///< offset of the previous record; -1 for none
    bool release = false; ///< the holder releases the lease

    bool operator==(const LeaseRecord&) const = default;
};

/// Durations of a lease, by the monotonic clock.
struct LeaseOptions {
    Micros duration = 15 * kSecond;
    Micros renew_interval = 5 * kSecond;
    /// A holder stops this long before its lease expires: clocks differ in rate.
    Micros margin = 1 * kSecond;
};

/// One lease, as one daemon sees it.  Performs no I/O and reads no clock.
class Lease {
public:
    Lease(std::string name, std::uint64_t self, LeaseOptions options)
        : m_name(std::move(name))
        , m_self(self)
        , m_options(options)
    {
    }

    /// A record of the stream was read at local time `now`.
    void apply(Offset offset, const LeaseRecord& record, Micros now);

    /// Records were missed, so the record in force is unknown.  It is known again after
    /// two records are read of which one replaces the other.  If no record is read for
    /// the whole duration, the lease may be taken.
    void on_gap(Micros now);

    /// The record to append now, if any.  `wanted`: whether this daemon is to hold
    /// the lease.  Call append_ended() when the append has ended.
    std::optional<LeaseRecord> next_append(bool wanted, Micros now);
    void append_ended();

    /// True if this daemon holds the lease and the lease has not expired.
    bool held(Micros now) const;

    /// Offset at which the current holder took the lease.
    Offset fence() const { return m_fence; }

private:
    bool counts(Offset offset, const LeaseRecord& record) const;
    Micros earliest_append() const;

    std::string m_name;
    std::uint64_t m_self;
    LeaseOptions m_options;
    bool m_known = true; ///< false after a gap
    std::vector<Offset> m_seen_since_gap; ///< offsets of records read since the gap
    Offset m_latest = -1; ///< offset of the record in force; -1 for none
    std::uint64_t m_holder = 0; ///< 0: no holder
    Offset m_fence = 0;
    std::optional<Micros> m_last_record_at; ///< when the last record was read
    std::optional<Micros> m_append_started_at; ///< of the append in progress
    std::optional<Micros> m_unconfirmed_append_at; ///< start of the earliest not yet read
    Micros m_valid_until = 0; ///< of this daemon's own tenure
    Micros m_next_try = 0;
};

std::string encode(const LeaseRecord& record);
std::optional<LeaseRecord> decode_lease(std::string_view text);

} // namespace cypressford
