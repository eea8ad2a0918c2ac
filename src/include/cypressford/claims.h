// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// At most one run per Idempotency-Key, decided by the order of the platform's
/// log.  A daemon appends a claim, reads the log up to it, and sends only if
/// its claim is the first one for the key.  No membership, clock or lease is
/// needed for that; clocks only bound how long a key must be remembered.

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

/// Names one claim for ever: the process that makes it and its count there.
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
    std::uint64_t fingerprint = 0; ///< of the request, to find reuse of the key
    WallMs key_time = 0; ///< time that the key itself carries
};

/// What became of a claim.  NotRun also holds for copies of the claim that an
/// append with a lost answer may still bring into the log: they can't win.
struct ClaimEnded {
    ClaimId id;
    std::string key;
    WallMs key_time = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<RecordedAnswer> answer; ///< with Done; left out if too large
};

/// One record of the claims stream: many entries in one append.
struct ClaimBatch {
    std::uint64_t maker = 0;
    WallMs made_at = 0;
    Offset seen = -1; ///< last offset the maker had read when it made this
    std::vector<ClaimMade> claims;
    std::vector<ClaimEnded> ends;

    bool empty() const { return claims.empty() && ends.empty(); }
};

/// Assumptions and bounds of claims.
struct ClaimOptions {
    WallMs clock_error = 2000; ///< a daemon's clock is off by less than this
    WallMs future_keys = 5000; ///< a key's time may be this far ahead
    std::size_t max_keys
        = 60'000; ///< keys remembered (about 600 B each); older ones are refused
    std::size_t max_answer = 4096; ///< larger answers are not recorded, in bytes
    Micros min_append_gap = 20 * kMillisecond; ///< between appends, after a burst
    int append_burst = 4; ///< appends that may come without the gap
    std::size_t max_batch = 256; ///< entries in one append
    Micros outage_wait_limit = 500 * kMillisecond; ///< then new claims fail at once
    Micros retry_append = 100 * kMillisecond; ///< after a failed append
};

/// The fold over the claims stream: the same records give every daemon the
/// same winner for a key.
class ClaimLedger {
public:
    /// What the log says of one key.
    struct KeyState {
        ClaimId winner;
        std::uint64_t fingerprint = 0;
        WallMs key_time = 0;
        bool claimed = false; ///< false after a claim was released as not run
        std::optional<ClaimOutcome> outcome;
        std::optional<RecordedAnswer> answer;
        std::vector<ClaimId> released; ///< claims that can't win any more
    };

    explicit ClaimLedger(ClaimOptions options)
        : m_options(options)
    {
    }

    /// Takes the record at `offset`, read at wall-clock time `now`.  Records
    /// already taken change nothing.
    void apply(Offset offset, const ClaimBatch& batch, WallMs now);

    /// Says that at time `now` records before `first` can't be read any more.
    void note_first_retained(Offset first, WallMs now);

    const KeyState* find(const std::string& key) const;

    /// Keys with a time at or before this may have been used without this
    /// ledger knowing.
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
    Offset m_next = 0; ///< offset of the next record to take
    Offset m_gap_end = 0; ///< records before this one were not read
    WallMs m_gap_floor = 0; ///< bound on times of keys in the gap
    WallMs m_dropped_floor = 0; ///< latest key time dropped for memory
    std::unordered_map<std::string, KeyState> m_keys;
    std::multimap<WallMs, std::string> m_by_time;
};

/// Time of a UUIDv7, or nothing if the text is none.
std::optional<WallMs> uuid7_time(std::string_view text);

// Events.
/// `request` wants to be the one that runs `key`.
struct ClaimWanted {
    RequestId request = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
    WallMs key_time = 0;
    Micros deadline = 0;
};
/// `request` has ended, or gave up before its claim was decided.
struct ClaimOver {
    RequestId request = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<RecordedAnswer> answer;
};
/// The append that was started last has ended.
struct AppendEnded {
    bool stored = false; ///< false: it may or may not have taken effect
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
using ClaimEvent = std::variant<ClaimWanted, ClaimOver, AppendEnded, ClaimRecordRead,
                                FirstRetained, ClaimTick>;

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
    Offset fence = 0; ///< with Won: fencing token, grows with each claim
};
using ClaimAction = std::variant<StartAppend, DecideClaim>;
using ClaimActions = std::vector<ClaimAction>;

/// Now, by both clocks.
struct ClaimTime {
    Micros now = 0;
    WallMs wall = 0;
};

/// Claims of one daemon.  Like Scheduler: events in, actions out.
class Claimer {
public:
    Claimer(std::uint64_t maker, ClaimOptions options);

    void handle(const ClaimEvent& event, ClaimTime time, ClaimActions& out);

    const ClaimLedger& ledger() const { return m_ledger; }

    /// Nothing is left to append: a planned stop may go on.
    bool idle() const;

    /// True while the log has not taken an append for a while.
    bool log_is_out(Micros now) const;

private:
    /// A request of this daemon that has a claim.
    struct Pending {
        ClaimWanted want;
        ClaimId id;
        bool appended = false; ///< handed to an append at least once
        bool stored = false; ///< an append of it has taken effect for certain
        bool in_doubt = false; ///< an append of it ended without an answer
        bool seen = false; ///< met in the log
        bool won = false;
        bool over = false; ///< its request needs no decision any more
    };

    void on(const ClaimWanted& event);
    void on(const ClaimOver& event);
    void on(const AppendEnded& event);
    void on(const ClaimRecordRead& event);
    void on(const FirstRetained& event);
    void on(const ClaimTick& event);

    void decide_from_ledger(Pending& pending);
    void decide(Pending& pending, ClaimResult result, std::optional<RecordedAnswer> answer);
    void meet_own_claim(const ClaimMade& claim);
    void revisit(const std::string& key);
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
    std::map<ClaimId, ClaimEnded> m_ends; ///< not in the log for certain
    std::vector<RequestId> m_appending_claims; ///< in the append under way
    std::vector<ClaimId> m_appending_ends; ///< in the append under way
    std::vector<RequestId> m_finished; ///< to be dropped from m_pending
    bool m_append_running = false;
    Micros m_next_append = 0; ///< GCRA over appends
    Micros m_retry_at = 0;
    std::optional<Micros> m_failing_since;
    ClaimTime m_time;
    ClaimActions* m_out = nullptr;
};

} // namespace cypressford
