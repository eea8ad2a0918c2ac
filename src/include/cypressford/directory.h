// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A platform that keeps configuration, upstreams and daemons as records under the keys of
/// a log.  A DirectoryDialect plug-in defines names and formats; DirectoryFold derives the
/// current state from the records.

#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cypressford/claims.h>
#include <cypressford/evacuation.h>
#include <cypressford/upstream.h>

#include "libutil/http.h"

namespace cypressford {

/// Incremented each time the log is restored from an older copy of itself; 0: not known.
/// Records written since the copy are lost, and their offsets are reused.
using LogGeneration = std::uint64_t;

/// Kinds of records kept under keys.
enum class DirectoryTopic : unsigned char {
    Configuration,
    Upstreams,
    Daemons,
    Suspects,
    Versions, ///< read by the daemons that write it; not passed on to others
    Origins ///< of streams; read by the daemons that may write it
};

/// The topic's name in logs.
std::string_view to_string(DirectoryTopic topic);

/// One record; an empty value means that the key was deleted.
struct DirectoryRecord {
    std::string key;
    std::string value;
    Offset offset = -1; ///< in a listing: its offset in the log
};

/// Records from one offset on, or the newest record of each key.
struct DirectoryPage {
    std::vector<DirectoryRecord> records;
    Offset end = 0; ///< end of the topic
    bool more = false; ///< with newest(): there are keys after the last one here
    bool history_lost = false; ///< with read(): the log no longer stores all of them
};

/// An upstream's own record.
struct UpstreamRecord {
    UpstreamMember member;
    std::uint64_t sequence = 0; ///< number of the record within one run
    Micros remaining_cold_time = 0; ///< remaining cold time when the record was written
};

/// A daemon's own record.
struct DaemonRecord {
    std::string node;
    std::string hall;
    std::string peers_address; ///< "ip:port" for other daemons
    std::uint64_t incarnation = 0; ///< 0: the daemon withdrew its record
    std::uint64_t sequence = 0; ///< number of the record within this incarnation
    bool stopping = false;
    std::string feed_address; ///< "ip:port" of its directory feed, for other daemons
    double capacity = 1; ///< processor power of its node, relative to the others
    bool places_by_load = false; ///< its build knows LeaderRule::ByLoad
};

/// Features that a deployment needs according to the platform's own settings.
struct DeploymentFeatures {
    bool account_precedence = false; ///< Mechanism::AccountPrecedence

    bool operator==(const DeploymentFeatures&) const = default;
};

/// Names, formats and calls of such a platform.  Makes no decisions.
class DirectoryDialect {
public:
    virtual ~DirectoryDialect() = default;

    virtual HttpRequest newest(DirectoryTopic topic, std::string_view after) const = 0;
    virtual HttpRequest read(DirectoryTopic topic, Offset from, Micros wait) const = 0;
    virtual HttpRequest append(DirectoryTopic topic, const DirectoryRecord& record) const
        = 0;
    /// Every response carries the generation, including those to failed calls.
    virtual LogGeneration generation_of(const HttpResponse& response) const = 0;
    virtual Result<DirectoryPage> decode_newest(const HttpResponse& response) const = 0;
    virtual Result<DirectoryPage> decode_read(const HttpResponse& response) const = 0;

    /// An error: the record is not a configuration.  `known`: a configuration with which
    /// unchanged pipelines are shared; null: none.
    virtual Result<Bundle> decode_configuration(const DirectoryRecord& record,
                                                const Bundle* known) const
        = 0;
    /// Nothing: the record is not about an evacuation.  Evacuation records are in the
    /// configuration's topic, under keys of their own.
    virtual std::optional<EvacuationRecord>
    decode_evacuation(const DirectoryRecord& record) const = 0;
    virtual Result<UpstreamRecord> decode_upstream(const DirectoryRecord& record) const = 0;

    /// Translates the platform's names of what a deployment was promised, as they stand in
    /// the settings.  Unknown names are ignored: the platform may add some at any time.
    virtual DeploymentFeatures features(const std::vector<std::string>& /*contracts*/) const
    {
        return {};
    }
};

/// Configuration, evacuations and upstreams as derived from the records seen so far, in the
/// order of the log.  The version of the configuration only rises; an upstream that is
/// leaving or was removed returns only as another run, under another identity or with a
/// later start.
class DirectoryFold {
public:
    /// `removal_grace_period`: how long an upstream is kept whose record disappeared
    /// during an outage of the platform.
    explicit DirectoryFold(Micros removal_grace_period)
        : m_removal_grace_period(removal_grace_period)
    {
    }

    /// Puts a newer version in force; false if it is not newer than the current one.
    bool offer_configuration(Bundle bundle);
    const Bundle* configuration() const
    {
        return m_configuration ? &*m_configuration : nullptr;
    }

    EvacuationTable& evacuations() { return m_evacuations; }
    const EvacuationTable& evacuations() const { return m_evacuations; }
    /// Must be called after a change of evacuations().
    void on_evacuations_changed() { ++m_revision; }

    /// Starts a listing of all upstreams; end_listing() removes those it does not contain.
    void begin_listing();
    void end_listing(Micros now, bool after_outage);

    /// True if anything other than the sequence changed.  The cold time counts from `now`,
    /// which is when the record was read, so that its end is late rather than early.
    bool apply(const UpstreamRecord& record, Micros now = 0);
    /// True if a newer record of the upstream was applied before: one of a later run, or of
    /// the same run with a higher sequence.
    bool is_outdated(const UpstreamRecord& record) const;
    /// The listing contains a record of that identity that can't be decoded: its known
    /// state is kept.
    void mark_listed(const std::string& identity);
    /// The record of that identity was deleted.
    void drop(const std::string& identity, Micros now, bool after_outage);
    /// How long records that the directory may have lost are kept.
    Micros removal_grace_period() const { return m_removal_grace_period; }
    /// Removes upstreams and evacuations whose grace period has ended.
    void expire(Micros now);

    /// Upstreams that are present, including those within their grace period.
    std::vector<UpstreamMember> members() const;
    /// Changes of members() since the last call; the first call reports all members as new.
    std::vector<MemberChange> take_changes();
    /// True if all upstreams were listed anew since the last call: records that came and
    /// went after those read before may have been missed.
    bool take_was_relisted() { return std::exchange(m_was_relisted, false); }
    /// Versions of all records that were applied since the last call, also of upstreams
    /// that members() has never contained.
    VersionsBySet take_applied_versions() { return std::exchange(m_applied_versions, {}); }
    /// Counts changes of members() and evacuations().
    std::uint64_t revision() const { return m_revision; }

private:
    struct Known {
        UpstreamMember member;
        std::uint64_t sequence = 0;
        bool present = true;
        bool listed = false; ///< contained in the current listing
        Micros removal_at = -1; ///< when it is, or was, removed; -1: no removal is due
        std::optional<UpstreamMember> reported; ///< by take_changes()
    };

    void schedule_removal(Known& known, Micros now, bool after_outage);
    void mark_changed(const std::string& identity);

    const Micros m_removal_grace_period;
    std::optional<Bundle> m_configuration;
    EvacuationTable m_evacuations;
    std::map<std::string, Known> m_known;
    std::set<std::string> m_changed; ///< identities changed since take_changes()
    VersionsBySet m_applied_versions; ///< since take_applied_versions()
    bool m_was_listed = false;
    bool m_was_relisted = false; ///< since take_was_relisted()
    Micros m_expiry_due = std::numeric_limits<Micros>::max(); ///< earliest expiry
    std::uint64_t m_revision = 0;
};

} // namespace cypressford
