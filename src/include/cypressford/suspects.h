// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Requests that were running on upstreams when these ended, and the parts of their
/// prompts, as reported between daemons, and which of them are quarantined (sent to no
/// upstream).  No I/O, no clock.
///
/// A request that ends each upstream that runs it is sent again by its caller, under new
/// ids and to any daemon: one such request ended 15 engines of a pool of 12 in 15 s.  The
/// ends are therefore counted by the request's digest, over the reports of all daemons.
/// A part of a prompt may do the same whatever else the request holds, so ends are counted
/// by part as well.  Parts that are common to many requests are in all ends, too; they are
/// acquitted by the full answers to other requests with them.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <cypressford/claims.h>
#include <cypressford/request_digest.h>
#include <cypressford/upstream_run.h>

namespace cypressford {

/// The end of an upstream, and the requests that a daemon had running there.
struct UpstreamEnd {
    UpstreamRun upstream;
    std::vector<RequestDigest> running;
    /// Prompt parts that the requests share with others, each once.
    std::vector<RequestDigest> parts {};
    WallMs at = 0; ///< by the hybrid clock of the reporting daemon
};

/// A report of one daemon to all others.
struct SuspectRecord {
    std::vector<UpstreamEnd> ends;
    /// Requests that were answered in full, or parts of their prompts: only ends reported
    /// afterwards count for them.
    std::vector<RequestDigest> answered;
    WallMs at = 0; ///< by its writer's clock
};

std::string encode(const SuspectRecord& record);
Result<SuspectRecord> decode_suspects(std::string_view bytes);

/// The suspect requests and their counts.  Immutable.
class SuspectView {
public:
    struct Suspicion {
        /// Upstreams that ended under it since its last full answer; for a prompt part, the
        /// moments at which some did.
        int ends = 0;
        bool quarantined = false;
    };
    using Suspicions = std::unordered_map<RequestDigest, Suspicion, RequestDigestHash>;

    explicit SuspectView(Suspicions suspicions)
        : m_suspicions(std::move(suspicions))
    {
    }

    bool empty() const { return m_suspicions.empty(); }
    std::size_t size() const { return m_suspicions.size(); }
    /// True if a full answer to the request, or to one with the prompt part, has to be
    /// reported.
    bool is_suspect(const RequestDigest& digest) const;
    /// True if the request, or any request with the prompt part, is sent to no upstream.
    bool is_quarantined(const RequestDigest& digest) const;
    std::size_t count_quarantined() const;
    const Suspicions& suspicions() const { return m_suspicions; }

private:
    Suspicions m_suspicions;
};

using SuspectViewPtr = std::shared_ptr<const SuspectView>;

/// Collects records in any order, each with its key and its offset in the log.
class SuspectTable {
public:
    /// An upstream may crash for another reason while a harmless request runs on it: once,
    /// or twice if the caller retries the request.
    static constexpr int kEndsToQuarantine = 3;
    /// An end doesn't count for a request if another request that ran there has more ends:
    /// a stream that is resumed twice may run, on all its engines, beside the request that
    /// ends them (in one of four test runs with a restart every 0.12 s).  Requests that
    /// have equally many ends and always ran together can't be told apart; all of them are
    /// refused at this number.
    static constexpr int kEndsOfInseparable = 5;
    /// Ends, at different moments, after which a prompt part is quarantined if no other
    /// part ran at all of them.
    static constexpr int kEndsOfPart = 5;
    /// The same for parts that always ran together: the ones that are common to many
    /// requests are acquitted by full answers meanwhile.  Three requests may reach
    /// upstreams after the fifth end.
    static constexpr int kEndsOfInseparableParts = 7;
    /// Ends of one request that count for a part: a request that ends upstreams itself is
    /// quarantined by its digest, and its part must not be convicted with it.  Two, since
    /// the attempts of one request with such a part may end several upstreams.
    static constexpr int kCountedEndsOfRequest = 2;
    /// Full answers are reported for parts with this many ends: parts of whole pipelines
    /// are in every end, and would make every daemon report at each end.
    static constexpr int kEndsToReportPart = 3;
    /// Ends within this time are one moment: upstreams of a rack that crash together
    /// convict no part that was on all of them.  Daemons detect an end within 50 ms of each
    /// other.
    static constexpr WallMs kMomentMs = 100;
    /// Prompt parts in the record of one upstream's end.
    static constexpr std::size_t kMaxParts = 128;
    /// Requests with fewer ends are not suspects: with 12 engines of which 30 in 100 crash,
    /// all requests on these have one end.
    static constexpr std::size_t kEndsToWatch = 2;
    /// How long a record counts.  A caller that continues for longer may end three more
    /// upstreams.
    static constexpr WallMs kRetentionMs = 3'600'000;
    /// Records and digests beyond these limits are evicted: those without a quarantined
    /// request first, and of these the oldest.  A crash of 42 engines under 89 daemons
    /// makes some 90 records.
    static constexpr std::size_t kMaxRecords = 2048;
    static constexpr std::size_t kMaxDigests = 20'000; ///< some 300 bytes each
    /// Requests in the record of one upstream's end.  Engines run 64 at a time.
    static constexpr std::size_t kMaxRunningRequests = 256;

    /// Adds a record that the log holds at `at`.  True if it was new.
    bool apply(const std::string& key, const SuspectRecord& record, Offset at);
    /// Adds a record of this daemon that is not in the log yet; it counts as newer than all
    /// records in the log.  Replaces an earlier record under the same key.
    void apply_unwritten(const std::string& key, const SuspectRecord& record);
    /// The log has acknowledged a record that was added by apply_unwritten().
    void mark_written(const std::string& key);
    /// The record is no longer in the log.  True if it was here.
    bool drop(const std::string& key);

    /// The log was restored from an older copy: records that the next listing does not name
    /// were lost, and are kept here until they are written again.
    void on_log_restored();
    bool has_lost() const { return m_lost > 0; }
    /// Lost records whose keys begin with `prefix`.
    std::vector<std::pair<std::string, SuspectRecord>> lost(std::string_view prefix) const;

    /// Starts a listing that names all records in the log.
    void begin_listing();
    /// Removes records that were not listed, except those written at `end` or later.
    void end_listing(Offset end);

    /// Keys of records that were evicted here or are too old, at most `most` of them: to be
    /// deleted from the log.
    std::vector<std::string> outdated(WallMs now, std::size_t most) const;

    /// The record with which an operator releases a request or prompt part: it counts as
    /// answered in full, and so do the parts that were at all ends of the request.  Without
    /// its own ends the request does not explain those of its parts.
    SuspectRecord release_of(const RequestDigest& digest) const;

    SuspectViewPtr view() const;
    /// Number of changes of the result of view().
    std::uint64_t revision() const { return m_revision; }

private:
    struct Known {
        SuspectRecord record;
        Offset at = 0;
        bool listed = false; ///< named by the current listing
        bool is_written = false; ///< the log has it, or had it
        bool is_lost = false; ///< the log may have lost it
    };
    using Ends = std::map<UpstreamRun, WallMs>; ///< time of each end
    /// The records that name one request or prompt part.
    struct Suspect {
        std::map<std::string, Ends> ends; ///< by key of the record
        std::set<std::string> answered; ///< keys of records
    };
    struct MaxEnds;
    using MaxEndsByUpstream = std::unordered_map<UpstreamRun, MaxEnds, UpstreamRunHash>;

    void mark_written(Known& known);
    bool put(const std::string& key, const SuspectRecord& record, Offset at);
    void add(const std::string& key, const SuspectRecord& record);
    void remove(const std::string& key, const SuspectRecord& record);
    void recount(const RequestDigest& digest);
    void recount(const SuspectRecord& record);
    Ends ends_of(const Suspect& suspect) const;
    static int count_moments(const Ends& ends);
    static int count_ends(const RequestDigest& digest, const Ends& ends);
    MaxEndsByUpstream max_ends(bool of_parts) const;
    static bool is_quarantined(const Ends& ends, const MaxEndsByUpstream& requests,
                               const std::set<UpstreamRun>& ended_by_parts);
    using RequestsByUpstream
        = std::unordered_map<UpstreamRun, std::vector<RequestDigest>, UpstreamRunHash>;
    RequestsByUpstream watched_requests() const;
    bool is_part_quarantined(const Ends& ends, const MaxEndsByUpstream& parts,
                             const RequestsByUpstream& requests) const;
    Ends without_repeated(const Ends& ends, const RequestsByUpstream& requests) const;
    template <class F> static void for_each_digest(const UpstreamEnd& end, F&& action);
    bool has_quarantined(const SuspectRecord& record) const;
    void enforce_bounds();

    std::map<std::string, Known> m_records;
    std::unordered_map<RequestDigest, Suspect, RequestDigestHash> m_suspects;
    /// Ends of the requests with kEndsToWatch or more.
    std::unordered_map<RequestDigest, Ends, RequestDigestHash> m_watched;
    std::set<std::string> m_evicted; ///< evicted keys that may still be in the log
    std::size_t m_lost = 0; ///< records
    Offset m_unwritten = 0; ///< records added by apply_unwritten()
    std::uint64_t m_revision = 0;
};

/// Requests that this thread has recently seen answered in full.  A request that many
/// callers send alike may be running on three upstreams that crash at the same moment; a
/// daemon that has had a full answer to it does not refuse it.
class AnsweredRequests {
public:
    /// `hash`: of the request, seeded so that callers can't construct collisions.
    void add(std::uint64_t hash) { m_hashes[hash % kSlots] = hash; }
    bool contains(std::uint64_t hash) const { return m_hashes[hash % kSlots] == hash; }

private:
    /// 8 KB a thread; a request that is sent many times a second stays in it.
    static constexpr std::size_t kSlots = 1024;
    std::array<std::uint64_t, kSlots> m_hashes {};
};

} // namespace cypressford
