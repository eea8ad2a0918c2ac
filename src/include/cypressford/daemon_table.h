// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The daemons of the system as the directory lists them, and which of them
/// leads an upstream set.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cypressford/directory.h>

namespace cypressford {

/// Whom a daemon hears of the directory from.  One daemon of the fleet reads it, one of
/// each part of a hall asks that one, and the others ask the reader of their part: a fleet
/// of 295 makes 2.6 calls a second so, and 26 if each of its ten readers reads by itself.
enum class DirectoryRole : unsigned char {
    Fresh, ///< knows no daemon yet, not even its own record: reads only who there are
    Root, ///< reads the directory itself
    HallReader, ///< asks the root reader, and is asked by its part of the hall
    Follower
};

/// For logs.
std::string_view to_string(DirectoryRole role);

/// A role, and whom it asks.
struct DirectorySource {
    DirectoryRole role = DirectoryRole::Root;
    std::optional<DaemonRecord> daemon; ///< nothing: the directory itself
};

/// What a daemon that knows no other is told by one that does.
struct DirectoryReferral {
    DirectoryRole role = DirectoryRole::Fresh; ///< of the daemon that is told
    std::vector<DaemonRecord> ask; ///< the first of these that answers
    int alive = 0; ///< daemons of the fleet, as far as the one that tells knows
};

/// Records of daemons, with the time each was last seen to change.  A lead is no
/// lock: two daemons that lead the same set cost calls that are less full, and
/// nothing else.
class DaemonTable {
public:
    DaemonTable(std::string own_node, Micros silent_after)
        : m_own_node(std::move(own_node))
        , m_silent_after(silent_after)
    {
    }

    /// True if the record is news.
    bool apply(const DaemonRecord& record, Micros now);

    /// True if another start of that daemon is known than the record is of.
    bool knows_other_start(const DaemonRecord& record) const;

    /// The directory was read: who has no new record by now has written none.  While
    /// it can't be read, nobody becomes silent by that.
    void note_read(Micros now);

    /// The daemon at that address answered, whatever the directory says.
    void note_answer(const std::string& peers_address, Micros now);
    void drop(const std::string& node);

    /// The daemon at that address does not answer; it leads nothing until it is
    /// trusted again.  False if it was suspected before, or is not known.
    bool suspect(const std::string& peers_address);
    void trust(const std::string& peers_address);
    /// False also once the directory says that it is gone.
    bool is_suspected(const std::string& peers_address) const;

    bool knows(const std::string& peers_address) const
    {
        return m_nodes_at.contains(peers_address);
    }

    /// Daemons that are alive, this one among them once it is listed.
    int alive() const;
    /// Alive daemons of one hall.
    int alive_in(std::string_view hall) const;

    /// Address of the daemon that leads the set; empty for this daemon itself.  A lead
    /// is work in one lump, so only nodes with at least half of the capacity of the
    /// strongest get one.
    std::string leader_of(std::string_view set_name) const;

    /// Addresses of the daemons that lead the set, now and when those before them go; not
    /// this daemon's own.
    std::vector<std::string> next_leaders(std::string_view set_name,
                                          std::size_t count) const;

    /// The daemon that reads the directory for this one's part of the hall, a strong node;
    /// nothing for this daemon itself.
    std::optional<DaemonRecord> reader_of(std::string_view hall) const;

    /// The daemon that reads the directory for the readers of all halls, a strong node;
    /// nothing for this daemon itself.
    std::optional<DaemonRecord> root_reader() const;

    /// Whom this daemon, of that hall, asks.
    DirectorySource source_for(std::string_view hall) const;

    /// Whom that daemon, which need not be known here, should ask.  `own`: this daemon's
    /// record, which may not be listed yet.
    DirectoryReferral refer(const DaemonRecord& asker, const DaemonRecord& own) const;

    /// A daemon without a new record for so long is silent.
    void set_silent_after(Micros time);

    /// Any node may lead, however weak.
    void let_weak_nodes_lead();

private:
    struct Known {
        DaemonRecord record;
        Micros seen_at = 0;
        bool suspected = false;
    };

    /// What follows from all records, until one of them changes: each request asks for
    /// leaders, and each look at the directory for its source.
    struct Derived {
        std::optional<int> alive;
        std::map<std::string, std::string, std::less<>> leaders; ///< by set
        std::map<std::string, DirectorySource, std::less<>> sources; ///< by hall
    };

    bool is_alive(const Known& known) const;
    std::vector<const Known*> candidates() const;
    /// Those that tell others of the directory, of one hall; of all if it is empty.
    std::vector<const Known*> tellers(std::string_view hall) const;
    std::string find_leader(std::string_view set_name) const;
    DirectorySource find_source(std::string_view hall) const;
    void forget(const std::string& node);
    template <class F> void for_each_at(const std::string& peers_address, F&& action);
    /// The first time at which a daemon that writes nothing more becomes silent.
    Micros next_silence() const;
    void forget_derived();
    std::optional<DaemonRecord> other_than_this(const Known* known) const;
    void keep_strong(std::vector<const Known*>& candidates) const;
    /// The candidate with the highest random weight for that key; null for none.
    static const Known* choose(const std::vector<const Known*>& candidates,
                               std::string_view key);

    const std::string m_own_node;
    Micros m_silent_after;
    Micros m_read_at = 0;
    bool m_weak_nodes_lead = false;
    std::map<std::string, Known> m_daemons; ///< by node
    std::multimap<std::string, std::string> m_nodes_at; ///< by address for other daemons
    std::optional<Micros> m_next_silence; ///< nothing: to be found out
    mutable Derived m_derived;
};

/// Between two records of one daemon, so that all of them together take a small part of
/// the writes that the directory bears.
Micros publish_pace(int daemons, double writes_per_s);
/// A daemon without a new record for so long is silent.
Micros silent_after(int daemons, double writes_per_s);

/// The record as it lies in the directory.
std::string encode(const DaemonRecord& record);
Result<DaemonRecord> decode_daemon(std::string_view bytes);

} // namespace cypressford
