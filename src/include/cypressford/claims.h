// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Ensures at most one run per Idempotency-Key, by the order of the platform's
/// log.  A daemon appends a claim, reads the log up to it, and sends only if
/// its claim is the first one for the key.  This needs neither membership
/// nor leases, and clocks only bound how long a key must be remembered.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <cypressford/scheduler.h>

namespace cypressford {

/// Position in a stream of the log.
using Offset = std::int64_t;
/// Wall-clock time, in milliseconds since 1970.
using WallMs = std::int64_t;

/// Unique id of a claim: the process that makes the claim and its counter there.
struct ClaimId {
    std::uint64_t maker = 0; ///< drawn at random when the process starts
    std::uint64_t number = 0;

    auto operator<=>(const ClaimId&) const = default;
};

/// The recorded answer of a run.
struct RecordedAnswer {
    std::string content_type;
    std::string body;

    bool operator==(const RecordedAnswer&) const = default;
};

/// A claim for a key.
struct ClaimMade {
    ClaimId id;
    std::string key; ///< client account and Idempotency-Key
    std::uint64_t fingerprint = 0; ///< of the request, to detect reuse of the key
    WallMs key_time = 0; ///< time encoded in the key
};

/// The outcome of a claim.  NotRun also applies to copies of the claim that an
/// unacknowledged append may still bring into the log: they can't win.
struct ClaimEnded {
    ClaimId id;
    std::string key;
    WallMs key_time = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<RecordedAnswer> answer; ///< with Done; omitted if too large
};

/// One record of the claims stream: many entries in one append.
struct ClaimBatch {
    std::uint64_t maker = 0;
    WallMs made_at = 0;
    Offset seen = -1; ///< last offset that the maker had read when it made the record
    std::vector<ClaimMade> claims;
    std::vector<ClaimEnded> ends;

    bool empty() const { return claims.empty() && ends.empty(); }
};

/// Assumptions and limits for claims.
struct ClaimOptions {
    WallMs clock_error = 2000; ///< upper bound on the error of a daemon's clock
    WallMs future_keys = 5000; ///< a key's time may be this far ahead
    std::size_t max_keys
        = 60'000; ///< keys remembered (about 600 B each); older ones are refused
    std::size_t max_answer = 4096; ///< bytes; larger answers are not recorded
    Micros min_append_interval = 20 * kMillisecond; ///< between appends, after a burst
    int append_burst = 4; ///< appends that may follow without the interval
    std::size_t max_batch = 256; ///< of claims, and of ends, in one append
    Micros outage_wait_limit = 500 * kMillisecond; ///< longer outages fail claims at once
    Micros append_retry_delay = 100 * kMillisecond; ///< after a failed append
};

/// The fold over the claims stream: daemons that have read the same records
/// determine the same winner for a key.
class ClaimLedger {
public:
    /// The state of one key according to the log.
    struct KeyState {
        ClaimId winner;
        std::uint64_t fingerprint = 0;
        WallMs key_time = 0;
        bool claimed = false; ///< false after a claim was released as not run
        std::optional<ClaimOutcome> outcome;
        std::optional<RecordedAnswer> answer;
        std::vector<ClaimId> released; ///< claims that can no longer win
    };

    explicit ClaimLedger(ClaimOptions options)
        : m_options(options)
    {
    }

    /// Applies the record at `offset`, read at wall-clock time `now`.  Records
    /// that were applied before change nothing.
    void apply(Offset offset, const ClaimBatch& batch, WallMs now);

    /// At time `now`, records before `first` are no longer readable.
    void on_first_retained(Offset first, WallMs now);

    const KeyState* find(const std::string& key) const;

    /// Keys with a time at or before this may have been used without a record
    /// in this ledger.
    WallMs floor() const;

    Offset next() const { return m_next; }
    std::size_t size() const { return m_keys.size(); }

private:
    void apply_claim(const ClaimMade& claim);
    void apply_end(const ClaimEnded& end);
    KeyState& state_of(const std::string& key, WallMs key_time);
    WallMs latest_key_before(WallMs time) const;
    void bound_memory();

    ClaimOptions m_options;
    Offset m_next = 0; ///< offset of the next record to apply
    Offset m_gap_end = 0; ///< some records before this offset were not read
    WallMs m_gap_floor = 0; ///< upper bound on times of keys in the gap
    WallMs m_dropped_floor = 0; ///< latest key time dropped to bound memory
    std::unordered_map<std::string, KeyState> m_keys;
    std::multimap<WallMs, std::string> m_by_time;
};

/// Time of a UUIDv7; null if the text is not one.
std::optional<WallMs> uuid7_time(std::string_view text);

// Events.
/// `request` needs a claim to run `key`.
struct ClaimRequested {
    RequestId request = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
    WallMs key_time = 0;
    Micros deadline = 0;
};
/// `request` has ended, or was abandoned before its claim was decided.
struct ClaimRequestEnded {
    RequestId request = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<RecordedAnswer> answer;
};
/// The most recently started append has ended.
struct AppendEnded {
    bool stored = false; ///< false: the append may or may not have taken effect
};
/// A record of the claims stream was read.
struct ClaimRecordRead {
    Offset offset = 0;
    ClaimBatch batch;
};
struct FirstRetained {
    Offset offset = 0;
};
struct ClaimTick { };
using ClaimEvent = std::variant<ClaimRequested, ClaimRequestEnded, AppendEnded,
                                ClaimRecordRead, FirstRetained, ClaimTick>;

// Actions.
/// Append this record; report its end with AppendEnded.
struct StartAppend {
    ClaimBatch batch;
};
/// The claim of `request` is decided.
struct DecideClaim {
    RequestId request = 0;
    ClaimResult result = ClaimResult::Unavailable;
    std::optional<RecordedAnswer> answer; ///< with Replayed
    Offset fence = 0; ///< with Won: fencing token, increases with each claim
};
using ClaimAction = std::variant<StartAppend, DecideClaim>;
using ClaimActions = std::vector<ClaimAction>;

/// The current time, by the monotonic clock and by the wall clock.
struct ClaimTime {
    Micros now = 0;
    WallMs wall = 0;
};

/// State machine of one daemon's claims: like Scheduler, it takes events and returns
/// actions.
class Claimer {
public:
    Claimer(std::uint64_t maker, ClaimOptions options);

    void handle(const ClaimEvent& event, ClaimTime time, ClaimActions& out);

    const ClaimLedger& ledger() const { return m_ledger; }

    /// True if nothing is left to append: a planned stop may continue.
    bool idle() const;

    /// True if appends have failed for at least the outage wait limit.
    bool log_unavailable(Micros now) const;

private:
    /// A request of this daemon that has a claim.
    struct Pending {
        ClaimRequested requested;
        ClaimId id;
        bool appended = false; ///< included in an append at least once
        bool stored = false; ///< an append of it has certainly taken effect
        bool in_doubt = false; ///< an append of it ended unacknowledged
        bool seen = false; ///< read back from the log
        bool won = false;
        bool finished = false; ///< its request no longer needs a decision
    };

    void on(const ClaimRequested& event);
    void on(const ClaimRequestEnded& event);
    void on(const AppendEnded& event);
    void on(const ClaimRecordRead& event);
    void on(const FirstRetained& event);
    void on(const ClaimTick& event);

    void decide_from_ledger(Pending& pending);
    void decide(Pending& pending, ClaimResult result, std::optional<RecordedAnswer> answer);
    void on_own_claim(const ClaimMade& claim);
    void reconsider_pending(const std::string& key);
    void release_if_needed(const Pending& pending);
    void expire_pending();
    void drop_finished();
    void append_if_due();
    ClaimBatch make_batch();

    ClaimOptions m_options;
    std::uint64_t m_maker;
    std::uint64_t m_next_number = 1;
    ClaimLedger m_ledger;
    std::map<RequestId, Pending> m_pending;
    std::map<ClaimId, RequestId> m_by_id;
    std::unordered_multimap<std::string, RequestId> m_by_key;
    std::map<ClaimId, ClaimEnded> m_ends; ///< not confirmed to be in the log
    std::vector<RequestId> m_appending_claims; ///< in the append in progress
    std::vector<ClaimId> m_appending_ends; ///< in the append in progress
    std::vector<RequestId> m_finished; ///< to be removed from m_pending
    bool m_append_running = false;
    Micros m_next_append = 0; ///< state of the GCRA that limits appends
    Micros m_retry_at = 0;
    std::optional<Micros> m_failing_since;
    ClaimTime m_time;
    ClaimActions* m_out = nullptr;
};

} // namespace cypressford
