// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Requests under which upstreams ended, as daemons tell each other of them, and which of
/// them no upstream gets any more.  No I/O, no clock.
///
/// A request that ends each upstream that runs it comes again, under new ids and at any
/// daemon: it ended 15 engines of a pool of 12 in 15 s.  So what is counted belongs to the
/// request's digest, and all daemons count together.

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

/// An upstream ended, and a daemon had these requests running there.
struct UpstreamEnd {
    UpstreamRun upstream;
    std::vector<RequestDigest> running;
};

/// What one daemon tells all others.
struct SuspectRecord {
    std::vector<UpstreamEnd> ends;
    /// Requests that were answered whole: ends that were told before count no more.
    std::vector<RequestDigest> answered;
    WallMs at = 0; ///< by its writer's clock
};

std::string encode(const SuspectRecord& record);
Result<SuspectRecord> decode_suspects(std::string_view bytes);

/// The requests that daemons have to look out for.  Never changes once made.
class SuspectView {
public:
    struct Suspicion {
        int ends = 0; ///< upstreams that ended under it since it was last answered
        bool quarantined = false;
    };
    using Suspicions = std::unordered_map<RequestDigest, Suspicion, RequestDigestHash>;

    explicit SuspectView(Suspicions suspicions)
        : m_suspicions(std::move(suspicions))
    {
    }

    bool empty() const { return m_suspicions.empty(); }
    std::size_t size() const { return m_suspicions.size(); }
    /// True if a whole answer to it is news.
    bool is_suspect(const RequestDigest& digest) const
    {
        return m_suspicions.contains(digest);
    }
    /// True if no upstream gets it any more.
    bool is_quarantined(const RequestDigest& digest) const;
    std::size_t count_quarantined() const;
    const Suspicions& suspicions() const { return m_suspicions; }

private:
    Suspicions m_suspicions;
};

using SuspectViewPtr = std::shared_ptr<const SuspectView>;

/// Collects records in any order, each under its key and with its place in the log.
class SuspectTable {
public:
    /// Upstreams may end by themselves under an innocent request once, or twice when its
    /// caller retries it.
    static constexpr int kEndsToQuarantine = 3;
    /// Ends under which another request ran that has more of them don't count: a stream
    /// that is resumed twice may meet, on all its engines, the one that ends them (seen in
    /// one of four plays with a restart each 0.12 s).  Of requests that have as many and
    /// always ran together, either may be it; both are refused at so many.
    static constexpr int kEndsOfAny = 5;
    /// Fewer ends are no reason to look at each request: with 12 engines of which 30 in 100
    /// crash, all requests on them have one.
    static constexpr std::size_t kEndsToWatch = 2;
    /// How long a record counts.  A caller that goes on for longer may end three more.
    static constexpr WallMs kHoldMs = 3'600'000;
    /// Records and digests beyond that are forgotten, those of no quarantined request and
    /// the oldest first.  A crash of 42 engines under 89 daemons makes some 90 records.
    static constexpr std::size_t kMaxRecords = 2048;
    static constexpr std::size_t kMaxDigests = 20'000; ///< some 300 bytes each
    /// Of one upstream's end.  Engines run 64 at a time.
    static constexpr std::size_t kMaxRunning = 256;

    /// A record that is in the log at `at`.  True if it was not known.
    bool apply(const std::string& key, const SuspectRecord& record, Offset at);
    /// A record of this daemon that is not in the log yet: newer than all that is.  It
    /// takes the place of what was given under its key.
    void apply_unwritten(const std::string& key, const SuspectRecord& record);
    /// The log has acknowledged a record that was given before it was written.
    void note_written(const std::string& key);
    /// The record is not in the log any more.  True if it was known.
    bool drop(const std::string& key);

    /// The log came back from an older copy: records that are not listed now were lost, and
    /// hold on here until they are written again.
    void note_log_restored();
    bool has_lost() const { return m_lost > 0; }
    /// Lost records whose keys begin with `prefix`.
    std::vector<std::pair<std::string, SuspectRecord>> lost(std::string_view prefix) const;

    /// The listing that follows names all records there are.
    void begin_listing();
    /// Records that were not listed are gone, but for those written at `end` or later.
    void end_listing(Offset end);

    /// Keys of records that were forgotten here or are too old, `most` of them: to be
    /// deleted from the log.
    std::vector<std::string> outdated(WallMs now, std::size_t most) const;

    SuspectViewPtr view() const;
    /// Counts changes of what view() gives.
    std::uint64_t revision() const { return m_revision; }

private:
    struct Known {
        SuspectRecord record;
        Offset at = 0;
        bool listed = false; ///< met in the listing that is under way
        bool is_written = false; ///< the log has, or had, it
        bool is_lost = false; ///< the log may have lost it
    };
    /// What is known of one request.
    struct Suspect {
        std::map<std::string, std::set<UpstreamRun>> ends; ///< by key of the record
        std::set<std::string> answered; ///< keys of records
    };

    void note_written(Known& known);
    bool put(const std::string& key, const SuspectRecord& record, Offset at);
    void add(const std::string& key, const SuspectRecord& record);
    void remove(const std::string& key, const SuspectRecord& record);
    void recount(const RequestDigest& digest);
    void recount(const SuspectRecord& record);
    std::set<UpstreamRun> ends_of(const Suspect& suspect) const;
    bool has_quarantined(const SuspectRecord& record) const;
    void keep_within_bounds();

    std::map<std::string, Known> m_records;
    std::unordered_map<RequestDigest, Suspect, RequestDigestHash> m_suspects;
    /// Ends of those with kEndsToWatch or more.
    std::unordered_map<RequestDigest, std::set<UpstreamRun>, RequestDigestHash> m_watched;
    std::set<std::string> m_forgotten; ///< keys that may be in the log yet
    std::size_t m_lost = 0; ///< records
    Offset m_unwritten = 0; ///< records that were given before they were written
    std::uint64_t m_revision = 0;
};

/// Requests that this thread has seen answered of late.  A request that many callers send
/// alike may be running on three upstreams that crash at one moment; who has had a whole
/// answer to it knows better than to refuse it.
class AnsweredRequests {
public:
    /// `hash` of the request, seeded so that callers can't make two alike.
    void note(std::uint64_t hash) { m_hashes[hash % kSlots] = hash; }
    bool contains(std::uint64_t hash) const { return m_hashes[hash % kSlots] == hash; }

private:
    /// 8 KB a thread; what is asked for many times a second stays in it.
    static constexpr std::size_t kSlots = 1024;
    std::array<std::uint64_t, kSlots> m_hashes {};
};

} // namespace cypressford
