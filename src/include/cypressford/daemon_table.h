// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The daemons listed in the directory: which of them are alive, which one leads an
/// upstream set, and which ones read the directory for the others.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/directory.h>
#include <cypressford/leader_placement.h>
#include <cypressford/upstream_links.h>

namespace cypressford {

/// A daemon's place in the distribution of the directory.  One daemon of the fleet reads
/// the directory, one reader for each part of a hall queries that daemon, and the others
/// query the reader of their part.  A fleet of 295 daemons thus makes 2.6 calls a second to
/// the directory; it makes 26 if each of its ten readers reads the directory itself.
enum class DirectoryRole : unsigned char {
    Fresh, ///< no daemon is known yet, not even this one: reads only daemon records
    Root, ///< reads the directory itself
    HallReader, ///< queries the root reader, and serves its part of the hall
    Follower
};

/// For logs.
std::string_view to_string(DirectoryRole role);

/// A role, and the source of the directory's records in that role.
struct DirectorySource {
    DirectoryRole role = DirectoryRole::Root;
    std::optional<DaemonRecord>
        daemon; ///< the daemon to query; nothing: the directory itself
};

/// Names the daemons that a daemon without records of any other daemon should query.
struct DirectoryReferral {
    DirectoryRole role = DirectoryRole::Fresh; ///< of the daemon that is referred
    std::vector<DaemonRecord>
        daemons; ///< in order of preference: query the first that answers
    /// Live daemons of the fleet; 0: not known to the referring daemon, which may have
    /// records of a small part of the fleet only.
    int fleet_size = 0;
    int met = 0; ///< live daemons of which the referring daemon has records
};

/// Records of daemons, with the time at which each last changed.  Leadership is not a
/// lock: two daemons that lead the same set only make more, smaller calls.
class DaemonTable {
public:
    DaemonTable(std::string own_node, Micros record_timeout)
        : m_own_node(std::move(own_node))
        , m_record_timeout(record_timeout)
    {
    }

    /// True if the record is newer than the known one.
    bool apply(const DaemonRecord& record, Micros now);

    /// True if another incarnation of that daemon is known than that of the record.
    bool knows_other_incarnation(const DaemonRecord& record) const;

    /// The directory was read at `now`: a daemon without a new record has not written one.
    /// Records expire only here, so that none expires while the directory can't be read.
    void on_directory_read(Micros now);

    /// The daemon at that address answered, which counts as a keepalive.
    void record_response(const std::string& peers_address, Micros now);
    void drop(const std::string& node);

    /// The daemon at that address does not answer; it leads no set until trust() is
    /// called.  False if it was suspected before, or is not known.
    bool suspect(const std::string& peers_address);
    void trust(const std::string& peers_address);
    /// False also once the daemon's record has expired, or reports that it is
    /// stopping.
    bool is_suspected(const std::string& peers_address) const;

    /// True if the daemon at that address is known, not suspected and not stopping; its
    /// record may be too old for it to count as alive.
    bool is_available(const std::string& peers_address) const;

    bool knows(const std::string& peers_address) const
    {
        return m_nodes_at.contains(peers_address);
    }

    /// Other daemons that are alive and not suspected, as peers for tunnels.
    TunnelPeers tunnel_peers() const;
    /// Counts changes of tunnel_peers(), apart from those that only time causes.
    std::uint64_t peers_revision() const { return m_peers_revision; }

    /// Number of daemons that are alive, including this one once it is listed.
    int alive() const;
    /// This daemon's place among the live daemons, from 0, in an order that is the same at
    /// every daemon.
    int own_index() const;
    /// Number of daemons of one hall that are alive.
    int alive_in(std::string_view hall) const;

    /// Address of the daemon that leads the set; empty for this daemon itself.
    std::string leader_of(std::string_view set_name) const;

    /// Addresses of the current leader of the set and of its successors, in the order in
    /// which they take over; without this daemon's own.
    std::vector<std::string> next_leaders(std::string_view set_name,
                                          std::size_t count) const;

    /// The reader of this daemon's part of the hall, a strong node; nothing if that is this
    /// daemon itself.
    std::optional<DaemonRecord> reader_of(std::string_view hall) const;

    /// The daemon that reads the directory for the readers of all halls, a strong node;
    /// nothing if that is this daemon itself.
    std::optional<DaemonRecord> root_reader() const;

    /// The source of records for this daemon, which is in that hall.
    DirectorySource source_for(std::string_view hall) const;

    /// The daemons that `requester`, which need not be known here, should query.  `own`:
    /// this daemon's record, which may not be listed yet.
    DirectoryReferral refer(const DaemonRecord& requester, const DaemonRecord& own) const;

    /// Sets the period without a new record after which a daemon counts as dead.
    void set_record_timeout(Micros time);

    /// Allows any node to lead, whatever its capacity.
    void allow_weak_leaders();

    /// Names of the sets that are led.  The leader of a set depends on which other sets its
    /// node leads.
    void set_led_sets(std::vector<std::string> sets);
    const std::vector<std::string>& led_sets() const { return m_led_sets; }

    /// Processor power of the node at that address, relative to the others; 0 if it is not
    /// known.
    double capacity_of(const std::string& peers_address) const;

private:
    struct Known {
        DaemonRecord record;
        Micros seen_at = 0;
        bool suspected = false;
    };

    /// Results derived from all records, cached until a record changes: each request looks
    /// up leaders, and each check of the directory looks up the source.
    struct Derived {
        std::optional<int> alive;
        std::optional<LeaderPlacement> placement;
        std::map<std::string, std::string, std::less<>> leaders; ///< by set
        std::map<std::string, DirectorySource, std::less<>> sources; ///< by hall
    };

    bool is_alive(const Known& known) const;
    std::vector<const Known*> candidates() const;
    /// Daemons of the hall that serve the directory's feed; of all halls if it is empty.
    std::vector<const Known*> feed_daemons(std::string_view hall) const;
    const LeaderPlacement& placement() const;
    LeaderRule leader_rule() const;
    /// Address of the node; empty for this daemon itself.
    std::string address_unless_own(const std::string& node) const;
    DirectorySource find_source(std::string_view hall) const;
    void forget_address(const std::string& node);
    template <class F> void for_each_at(const std::string& peers_address, F&& action);
    /// The earliest time at which a record expires if no new ones arrive.
    Micros next_expiry() const;
    void invalidate_derived();
    std::optional<DaemonRecord> unless_own(const Known* known) const;
    void keep_strong_nodes(std::vector<const Known*>& candidates) const;
    static void add_in_order(std::vector<DaemonRecord>& chosen,
                             std::vector<const Known*> candidates, std::string_view key,
                             std::size_t most, const DaemonRecord& requester);
    /// The candidate with the highest random weight for that key; null if there is none.
    static const Known* choose(const std::vector<const Known*>& candidates,
                               std::string_view key);

    const std::string m_own_node;
    Micros m_record_timeout;
    Micros m_read_at = 0;
    bool m_weak_nodes_lead = false;
    std::vector<std::string> m_led_sets;
    std::uint64_t m_peers_revision = 0;
    std::map<std::string, Known> m_daemons; ///< by node
    std::multimap<std::string, std::string> m_nodes_at; ///< by peers_address
    std::optional<Micros> m_next_expiry; ///< nothing: not computed yet
    mutable Derived m_derived;
};

/// Interval between two records of one daemon, such that the records of all daemons take a
/// small part of the writes that the directory can process.
Micros publish_interval(int daemons, double writes_per_s);
/// Period without a new record after which a daemon counts as dead.
Micros record_timeout(int daemons, double writes_per_s);

/// The record as stored in the directory.
std::string encode(const DaemonRecord& record);
Result<DaemonRecord> decode_daemon(std::string_view bytes);

} // namespace cypressford
