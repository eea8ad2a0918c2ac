// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A platform that keeps configuration, upstreams and daemons as records under
/// keys of a log.  How it spells them is a plug-in's; what follows from them is
/// decided by DirectoryFold.

#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/claims.h>
#include <cypressford/evacuation.h>
#include <cypressford/upstream.h>

#include "libutil/http.h"

namespace cypressford {

/// Rises by one each time the log comes back from an older copy of itself; 0: not told.
/// What was written since the copy is gone, and offsets are given out again.
using LogGeneration = std::uint64_t;

/// What is kept under keys.
enum class DirectoryTopic : unsigned char { Configuration, Upstreams, Daemons, Suspects };

/// The topic's name in logs.
std::string_view to_string(DirectoryTopic topic);

/// One record; a key without a value was dropped.
struct DirectoryRecord {
    std::string key;
    std::string value;
    Offset offset = -1; ///< in a listing: its place in the log
};

/// Records from one offset on, or the newest record of each key.
struct DirectoryPage {
    std::vector<DirectoryRecord> records;
    Offset end = 0; ///< where the topic ends
    bool more = false; ///< newest: further keys follow behind the last one here
    bool history_lost = false; ///< read: records from that offset on are gone
};

/// An upstream's own record.
struct UpstreamRecord {
    UpstreamMember member;
    std::uint64_t sequence = 0; ///< counts the records of one run
    Micros cold_left = 0; ///< it was cold for so long yet when it wrote this
};

/// A daemon's own record.
struct DaemonRecord {
    std::string node;
    std::string hall;
    std::string peers_address; ///< "ip:port" for other daemons
    std::uint64_t incarnation = 0; ///< 0: the daemon took its record back
    std::uint64_t sequence = 0; ///< counts this incarnation's records
    bool stopping = false;
    std::string feed_address; ///< "ip:port" for daemons that follow its directory
    double capacity = 1; ///< processor power of its node, relative to others
};

/// Names, formats and calls of such a platform.  Decides nothing.
class DirectoryDialect {
public:
    virtual ~DirectoryDialect() = default;

    virtual HttpRequest newest(DirectoryTopic topic, std::string_view after) const = 0;
    virtual HttpRequest read(DirectoryTopic topic, Offset from, Micros wait) const = 0;
    virtual HttpRequest append(DirectoryTopic topic, const DirectoryRecord& record) const
        = 0;
    /// Told by all answers, those to failed calls among them.
    virtual LogGeneration generation_of(const HttpResponse& response) const = 0;
    virtual Result<DirectoryPage> decode_newest(const HttpResponse& response) const = 0;
    virtual Result<DirectoryPage> decode_read(const HttpResponse& response) const = 0;

    /// Nothing: the record is not the configuration.
    virtual Result<Bundle> decode_configuration(const DirectoryRecord& record) const = 0;
    /// Nothing: the record is not about an evacuation.  These stand beside the
    /// configuration.
    virtual std::optional<EvacuationRecord>
    decode_evacuation(const DirectoryRecord& record) const = 0;
    virtual Result<UpstreamRecord> decode_upstream(const DirectoryRecord& record) const = 0;
};

/// What a daemon believes of configuration and upstreams, from the records it
/// has seen in the order of the log.  The version of the configuration only
/// rises; an upstream that is leaving or gone comes back only as another run, under another
/// identity or with a later start.
class DirectoryFold {
public:
    /// `vanish_grace`: how long an upstream whose record went during an outage
    /// of the platform is still believed in.
    explicit DirectoryFold(Micros vanish_grace)
        : m_vanish_grace(vanish_grace)
    {
    }

    /// True if this version is now in force.
    bool offer_configuration(Bundle bundle);
    const Bundle* configuration() const
    {
        return m_configuration ? &*m_configuration : nullptr;
    }

    EvacuationTable& evacuations() { return m_evacuations; }
    const EvacuationTable& evacuations() const { return m_evacuations; }
    /// To be called when evacuations() changed.
    void note_evacuations_changed() { ++m_revision; }

    /// The listing that follows names all upstreams there are.
    void begin_listing();
    void end_listing(Micros now, bool after_outage);

    /// True if something besides the sequence is news.  Its time cold counts from `now`,
    /// which is late rather than early.
    bool apply(const UpstreamRecord& record, Micros now = 0);
    /// True if the record was written late: a later one of its upstream was applied before.
    bool is_outdated(const UpstreamRecord& record) const;
    /// A listing names that identity with a record that can't be read: what is known of it
    /// holds on.
    void note_listed(const std::string& identity);
    /// The record of that identity was dropped.
    void drop(const std::string& identity, Micros now, bool after_outage);
    /// How long records that the directory may have lost are believed in.
    Micros vanish_grace() const { return m_vanish_grace; }
    /// Forgets upstreams and evacuations whose grace is over.
    void expire(Micros now);

    /// Upstreams that are believed in.
    std::vector<UpstreamMember> members() const;
    /// What became of them since the last call; after the first, all of them are new.
    std::vector<MemberChange> take_changes();
    /// Counts changes of members() and evacuations().
    std::uint64_t revision() const { return m_revision; }

private:
    struct Known {
        UpstreamMember member;
        std::uint64_t sequence = 0;
        bool present = true;
        bool listed = false; ///< met in the listing that is under way
        Micros gone_at = -1; ///< not present: when it is to be forgotten
        std::optional<UpstreamMember> told; ///< by take_changes()
    };

    void vanish(Known& known, Micros now, bool after_outage);
    void note_changed(const std::string& identity);

    const Micros m_vanish_grace;
    std::optional<Bundle> m_configuration;
    EvacuationTable m_evacuations;
    std::map<std::string, Known> m_known;
    std::set<std::string> m_changed; ///< identities, since take_changes()
    Micros m_expiry_due = std::numeric_limits<Micros>::max(); ///< or later
    std::uint64_t m_revision = 0;
};

} // namespace cypressford
