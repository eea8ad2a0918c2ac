// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// At which software version a stream began.  What two versions write does not fit
/// together, so a stream may go on only at upstreams of the version that sent its first
/// event.  No I/O and no clock.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <cypressford/upstream.h>
#include <cypressford/upstream_links.h>

namespace cypressford {

/// Set and software version of the upstream that sent the first event of a stream.  Equal
/// versions of different sets are unrelated.
struct StreamOrigin {
    std::string upstream_set;
    std::string version;

    bool operator==(const StreamOrigin&) const = default;
    auto operator<=>(const StreamOrigin&) const = default;
};

/// Origins of streams that callers may resume, by the id of the caller's request that
/// brought the first event.  Not thread-safe.
class StreamOriginTable {
public:
    /// Longer than the deadlines of requests, after which no caller resumes its stream.
    static constexpr Micros kLifetime = 60 * kSecond;
    /// Some 150 bytes each.  The oldest are dropped first.
    static constexpr std::size_t kMaxStreams = 32'768;
    /// Longer ids are not kept, so that a caller can't make the table large.
    static constexpr std::size_t kMaxIdChars = 64;

    /// `is_own`: the stream began at this daemon.
    void record(const std::string& request, const StreamOrigin& origin, bool is_own,
                Micros now);
    std::optional<StreamOrigin> find(const std::string& request, Micros now);
    /// Streams of that set that began at this daemon, by version.
    std::map<std::string, std::vector<std::string>> own_streams(const std::string& set_name,
                                                                Micros now);
    std::size_t size() const { return m_streams.size(); }

private:
    struct Stream {
        StreamOrigin origin;
        bool is_own = false;
        Micros at = 0;
    };
    void expire(Micros now);

    std::unordered_map<std::string, Stream> m_streams; ///< by request
    std::deque<std::pair<Micros, std::string>> m_order; ///< oldest first
};

/// The only software version that a set has had since a point in time.
struct SoleVersion {
    std::string version;
    Micros since = 0; ///< as observed by the daemon that reports it
    /// By the record in the platform's store.
    std::optional<Micros> recorded_since = std::nullopt;

    bool operator==(const SoleVersion&) const = default;
};

using RequestsByOrigin = std::map<StreamOrigin, std::vector<std::string>>;

/// Message to a daemon that keeps origins, and its answer.
struct StreamOriginBatch {
    RequestsByOrigin known;
    RequestsByOrigin to_store; ///< to be written to the platform's store
    std::vector<std::string> wanted; ///< requests whose origins the answer must name
    std::string upstream_set; ///< of the wanted requests
    /// In an answer: of that set; its times are those that have passed.
    std::optional<SoleVersion> sole;
    /// In an answer: time since the sender last saw that set with another version.
    std::optional<Micros> differed = std::nullopt;
};

std::string encode(const StreamOriginBatch& batch);
Result<StreamOriginBatch> decode_stream_origins(std::string_view bytes);

/// Daemons that are told of each origin, in the order of rendezvous hashing: of all halls,
/// and of the hall of the daemon that began the stream, which may be cut off from others.
inline constexpr std::size_t kOriginHolders = 2;
inline constexpr std::size_t kOriginHoldersInHall = 1;
/// Daemons that are asked for an origin.  More than were told, since daemons that start or
/// end meanwhile change the order.
inline constexpr std::size_t kAskedOriginHolders = 4;
inline constexpr std::size_t kAskedOriginHoldersInHall = 2;

/// Addresses of the daemons that rank first for the request among `others` and `own`, and
/// of those that rank first in the hall of `own`; without `own` itself.
std::vector<std::string> origin_holders(const TunnelPeers& others, const TunnelPeer& own,
                                        std::string_view request, std::size_t count,
                                        std::size_t count_in_hall);

/// Number of `others` that rank before `own` for that key.
std::size_t holder_rank(const TunnelPeers& others, const TunnelPeer& own,
                        std::string_view key);

/// By set.  Sets with several versions are left out.
using SoleVersions = std::map<std::string, SoleVersion>;

/// What happened between two snapshots that neither of them shows.
struct VersionGaps {
    /// Sets of which another version came and left.
    std::set<std::string> brief_sets {};
    /// Upstreams of any set and version may have come and left: their records were not read
    /// one after the other.
    bool is_unobserved = false;
};

/// The sole versions after the change to this snapshot.  A set without upstreams keeps its
/// entry: what comes next may be of another version.
SoleVersions sole_versions(const SoleVersions& before, const Snapshot& snapshot,
                           const VersionGaps& gaps, Micros now);

/// Sets in whose applied records a version occurs that is neither in `before` nor in the
/// snapshot: other daemons may have begun streams there that break off only later.
std::set<std::string> sets_with_brief_versions(const VersionsBySet& applied,
                                               const SoleVersions& before,
                                               const Snapshot& snapshot);

/// Where a resumed stream may go on.
enum class ResumeDecision : unsigned char {
    Anywhere, ///< the upstreams of the set name no software versions
    AtVersion,
    OtherSet, ///< the stream began at a set that does not serve this request
    Unknown ///< nothing tells at which of several versions it began
};

struct ResumeVerdict {
    ResumeDecision decision = ResumeDecision::Unknown;
    std::string version; ///< for AtVersion
};

/// Daemons whose recorded times must be known: the clock of one may have jumped.
inline constexpr std::size_t kNeededRecords = 2;

/// Merges what several daemons have seen of one set: nothing unless all have seen the same
/// single version; otherwise the longest time that one has observed, or the shortest one
/// that at least `needed_records` know from records, whichever is longer.
std::optional<SoleVersion>
agreed_version(const std::vector<std::optional<SoleVersion>>& seen,
               std::size_t needed_records = kNeededRecords);

/// What this daemon and others know of a stream that is to be resumed.
struct StreamHistory {
    std::optional<StreamOrigin> origin;
    std::optional<SoleVersion> sole; ///< of the set, as far as it is agreed
    /// When one of them last saw the set with another version than the present only one.
    std::optional<Micros> differed_at = std::nullopt;
    std::size_t witnesses = 0; ///< other daemons that were asked and agree
};

struct ResumeQuery {
    const UpstreamSet& set;
    StreamHistory history;
    /// A stream may have begun this long ago and still be resumed: see longest_stream().
    Micros longest_stream = 0;
    bool is_directory_current = false; ///< upstreams that started lately are known here
    Micros now = 0;

    /// Other daemons that make up for a directory that is not current.  While the log is
    /// away for all, no daemon learns of a new version, and none begins a stream there.
    static constexpr std::size_t kNeededWitnesses = 2;
};

/// A caller may resume a stream until its deadline, which may be later than that of the
/// request that began it.  The same holds if it does not name that request.
constexpr Micros
longest_stream(Micros deadline)
{
    return 2 * deadline;
}

ResumeVerdict decide_resume(const ResumeQuery& query);

} // namespace cypressford
