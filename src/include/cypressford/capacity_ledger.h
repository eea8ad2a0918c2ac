// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides at the leader of a set which requests the set can serve in time, before their
/// first piece is made.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <cypressford/bundle.h>

namespace cypressford {

/// What one request needs of one set.  Times are relative to the query.
struct CapacityQuery {
    std::string attempt; ///< the caller's id of the request
    std::string account;
    int priority = 0; ///< 0 is the most urgent
    int pieces = 0;
    Micros starts_in = 0; ///< until its pieces reach the set if nothing queues before
    Micros due_in = 0; ///< until the latest start for a prompt answer
    Micros expires_in = 0; ///< until the deadline of the request
};

/// Capacity and queue of the set at the time of a query.
struct SetCapacity {
    double pieces_per_s = 0; ///< by full calls of all usable upstreams
    std::array<int, kLowestPriority + 1> queued {}; ///< pieces at the leader, by priority
};

struct CapacityVerdict {
    bool admitted = true;
    Micros expected_wait = 0; ///< of the request's pieces in the queue
    Micros retry_after = 0; ///< if refused
};

/// Numbers of pieces by priority.
using PieceCounts = std::array<int, kLowestPriority + 1>;

/// Pieces per second that a set takes while it is saturated.  Memory for results and slow
/// upstreams can keep this below the rate of full calls.
class MeasuredRate {
public:
    /// `saturated`: after this call more pieces wait than the set can take.
    void record_call(int pieces, bool saturated, Micros now);
    /// The measured rate as far as recent calls determine it, else `full_rate`, which is
    /// also the upper bound.  Pieces per second.
    double get(double full_rate, Micros now) const;
    /// Mean number of pieces of the recent calls; 0 if the set was never saturated.
    double pieces_per_call() const { return m_calls > 0 ? m_pieces / m_calls : 0; }

private:
    double weight_at(Micros now) const;

    /// Sums over the time in which the set was saturated; recent calls count more.
    double m_pieces = 0;
    double m_calls = 0;
    double m_seconds = 0;
    /// Of the measured rate against the full rate: grows to 1 while the set is saturated
    /// and shrinks to 0 while it is not.
    double m_weight = 0;
    bool m_saturated = false; ///< after the last call
    Micros m_last_call = 0;
};

/// Promised pieces that are not ordered yet, by the time at which they are expected.
/// Pieces that do not arrive in time count as expected now.
class ExpectedPieces {
public:
    static constexpr Micros kSlot = 25 * kMillisecond;
    /// Pieces that arrive after more than kSlots * kSlot (3.2 s) count in the last slot.
    static constexpr int kSlots = 128;

    /// Moves slots that have passed to the overdue pieces.
    void advance(Micros now);
    /// The number of the slot, from advance(), in which pieces arrive at that time.
    std::int64_t slot_of(Micros arrival) const;
    void change(std::int64_t slot, int priority, int pieces);
    /// Pieces by priority that arrive in the slot that is `ahead` slots after the present.
    const PieceCounts& arriving(int ahead) const;
    const PieceCounts& overdue() const { return m_overdue; }

private:
    std::int64_t m_first = 0; ///< the present slot
    std::array<PieceCounts, kSlots> m_slots {};
    PieceCounts m_overdue {};
};

/// Outstanding pieces of the client accounts.
class AccountShares {
public:
    void change(const std::string& account, int priority, int pieces);
    /// True if the account has clearly more than its even part of the pieces of that
    /// priority and more urgent ones.
    bool is_over_share(const std::string& account, int priority) const;

private:
    std::unordered_map<std::string, PieceCounts> m_by_account;
    PieceCounts m_total {};
    PieceCounts m_accounts {}; ///< accounts with pieces of that or a more urgent priority
};

/// The work that the leader of a set of batched upstreams has promised to do.
///
/// Handles more demand than the set can serve: a request that would start too late is
/// refused before its first piece is made at any set, so that no piece is made in vain.
/// A request is never refused because of promises to less urgent ones.  The exception is
/// the least share: during a long burst, each less urgent priority gets a small part of the
/// rate, at the expense of more urgent work that already waits.
///
/// A query costs O(log n) for n entries.  The ledger is not thread-safe.
class CapacityLedger {
public:
    /// Decides on the request and records a promise if it is admitted.  A query with the
    /// attempt of an earlier one replaces it.
    CapacityVerdict reserve(const CapacityQuery& query, const SetCapacity& capacity,
                            Micros now);
    /// The pieces of the request are in the queue now and counted there.  Unknown attempts
    /// are ignored.
    void on_ordered(const std::string& attempt);
    /// The promise was withdrawn, or the order has ended.  Unknown attempts are ignored.
    void release(const std::string& attempt);
    /// A call was sent; `left_waiting`: pieces were left in the queue.
    void record_call(int pieces, bool left_waiting, Micros now);
    /// Requests with an entry: promised, or ordered and not ended.
    std::size_t size() const { return m_entries.size(); }

    /// Bounds the memory of the ledger.  While it is full nothing is recorded, and only the
    /// queue decides.
    static constexpr std::size_t kMaxEntries = 20'000;

private:
    struct Entry {
        std::string account;
        int priority = 0;
        int pieces = 0;
        std::int64_t slot = 0; ///< in m_expected, until the pieces are ordered
        bool ordered = false;
        Micros due = 0; ///< latest start
        /// Time for the pieces at the least share of the rate, while the entry has a claim
        /// to it; else 0.
        Micros claim = 0;
        Micros deadline = 0;
    };
    using Entries = std::unordered_map<std::string, Entry>;
    /// Attempts by a time.  Points to the keys of m_entries.
    using ByTime = std::set<std::pair<Micros, const std::string*>>;
    /// What a verdict is based on.
    struct Situation {
        const CapacityQuery& query;
        const PieceCounts& queued;
        double rate = 0; ///< pieces per second
    };

    bool is_full() const { return m_entries.size() >= kMaxEntries; }
    void advance(Micros now);
    void add(const CapacityQuery& query, Micros claim);
    void erase(Entries::iterator it);
    CapacityVerdict decide(const Situation& situation, Micros& claim);
    CapacityVerdict refuse(const Situation& situation, Micros wait);
    int expected_pieces(int slot, int first, int last) const;
    PieceCounts work_present(const PieceCounts& queued) const;
    Micros wait_by_priority(const Situation& situation) const;
    Micros wait_by_least_share(const Situation& situation) const;
    Micros time_to_make_way(const Situation& situation);
    void drop_served(int priority, int queued);
    void end_least_share(const std::string& attempt, Entry& entry);
    void record_inflow(int priority, int pieces);

    Micros m_now = 0; ///< of the last call that states the time
    Entries m_entries;
    ByTime m_deadlines;
    ExpectedPieces m_expected;
    AccountShares m_shares;
    MeasuredRate m_measured;
    bool m_has_long_queue = false; ///< at the last query
    /// Ordered pieces per second, by priority: a moving average, as of m_inflow_at.
    std::array<double, kLowestPriority + 1> m_inflow {};
    Micros m_inflow_at = 0;
    /// Time until which the least share of a priority is claimed by its entries.
    std::array<Micros, kLowestPriority + 1> m_claimed_until {};
    /// Entries with a claim to the least share of their priority that may still wait for
    /// their start, by latest start; their pieces; and how many of these are ordered.
    std::array<ByTime, kLowestPriority + 1> m_least_share;
    PieceCounts m_least_share_pieces {};
    PieceCounts m_least_share_ordered {};
    /// Time after which the next refused caller may retry, by priority.
    std::array<Micros, kLowestPriority + 1> m_next_retry {};
    std::uint64_t m_spread_retries = 0; ///< retries that were spread over the second half
};

} // namespace cypressford
