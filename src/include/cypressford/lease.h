// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leases for what must have one doer, decided by the order of the log.
///
/// A record takes or renews a lease and names the offset of the record that it
/// replaces; it counts only if that one is still the latest.  So of a holder
/// that renews and a challenger that takes over, whichever is first in the log
/// wins.  The offset at which a holder took the lease is its fencing token.
///
/// A challenger waits until it has seen no record for the whole duration, by its
/// own clock; a holder counts the duration from before it began the append.  So
/// long as clocks run at about the same rate, a holder's time is up before a
/// challenger's begins; a holder that slept finds out when it asks held().

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <cypressford/claims.h>

namespace cypressford {

/// One record of the leases stream.
struct LeaseRecord {
    std::string name; ///< what is leased
    std::uint64_t holder = 0; ///< incarnation of the process
    Offset replaces = -1; ///< offset of the record before; -1 for none
    bool release = false; ///< the holder gives it back

    bool operator==(const LeaseRecord&) const = default;
};

/// Times of a lease, by the monotonic clock.
struct LeaseOptions {
    Micros duration = 15 * kSecond;
    Micros renew_every = 5 * kSecond;
    /// A holder stops this long before its time is up: clocks differ in rate.
    Micros margin = 1 * kSecond;
};

/// One lease, as one daemon sees it.  No I/O and no clock of its own.
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

    /// Records were missed, so what is in force is not known.  It is again once
    /// two records are read of which one replaces the other, or if nothing is
    /// heard for the whole duration.
    void note_gap(Micros now);

    /// The record to append now, if any.  `wanted` says whether this daemon would
    /// hold the lease.  Tell append_ended() when the append is over.
    std::optional<LeaseRecord> next_append(bool wanted, Micros now);
    void append_ended();

    /// True if this daemon holds it and its time is not up.
    bool held(Micros now) const;

    /// Offset at which the present holder took it.
    Offset fence() const { return m_fence; }

private:
    bool counts(Offset offset, const LeaseRecord& record) const;
    Micros earliest_append() const;

    std::string m_name;
    std::uint64_t m_self;
    LeaseOptions m_options;
    bool m_known = true; ///< false after a gap
    std::vector<Offset> m_met; ///< records read since the gap
    Offset m_latest = -1; ///< offset of the record in force; -1 for none
    std::uint64_t m_holder = 0; ///< 0 for nobody
    Offset m_fence = 0;
    std::optional<Micros> m_heard_at; ///< when the last record was read
    std::optional<Micros> m_append_began; ///< of the one under way
    std::optional<Micros> m_in_doubt; ///< of the earliest not met in the log
    Micros m_valid_until = 0; ///< of our own tenure
    Micros m_next_try = 0;
};

std::string encode(const LeaseRecord& record);
std::optional<LeaseRecord> decode_lease(std::string_view text);

} // namespace cypressford
