// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/daemon_table.h>

#include <algorithm>
#include <utility>

#include "cypressford.pb.h"

namespace cypressford {

namespace {

constexpr double kLeastPartOfStrongest = 0.5;
/// A reader tells about so many daemons: each large record crosses its link so often.
constexpr std::size_t kDaemonsOfReader = 32;
/// Of the writes that the directory bears, records of daemons take this part.
constexpr double kPartOfWrites = 0.0025;
/// A fleet of 9 nodes writes each of its records in 4.5 s by that.
constexpr double kLeastRecordsPerSecond = 2;
constexpr Micros kShortestPace = 3 * kSecond;
constexpr int kRecordsMissed = 3;

/// Highest random weight (Thaler and Ravishankar, 1998): the same everywhere, and
/// only what a daemon led moves when it goes.
std::uint64_t
weight_of(std::string_view node, std::string_view set_name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL; // FNV-1a
    for (const std::string_view text : {node, std::string_view("/"), set_name})
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    return hash ^ (hash >> 31);
}

} // namespace

std::string_view
to_string(DirectoryRole role)
{
    switch (role) {
    case DirectoryRole::Root:
        return "root";
    case DirectoryRole::HallReader:
        return "hall_reader";
    case DirectoryRole::Follower:
        break;
    }
    return "follower";
}

bool
DaemonTable::apply(const DaemonRecord& record, Micros now)
{
    auto [it, is_new] = m_daemons.try_emplace(record.node);
    Known& known = it->second;
    const bool same = !is_new && record.incarnation == known.record.incarnation
        && record.sequence <= known.record.sequence;
    if (same)
        return false;
    if (is_new || record.incarnation != known.record.incarnation)
        known.suspected = false;
    known.record = record;
    known.seen_at = now;
    return true;
}

void
DaemonTable::note_answer(const std::string& peers_address, Micros now)
{
    for (auto& [node, known] : m_daemons)
        if (known.record.peers_address == peers_address)
            known.seen_at = std::max(known.seen_at, now);
}

bool
DaemonTable::suspect(const std::string& peers_address)
{
    for (auto& [node, known] : m_daemons)
        if (known.record.peers_address == peers_address)
            return !std::exchange(known.suspected, true);
    return false;
}

void
DaemonTable::trust(const std::string& peers_address)
{
    for (auto& [node, known] : m_daemons)
        if (known.record.peers_address == peers_address)
            known.suspected = false;
}

bool
DaemonTable::is_suspected(const std::string& peers_address) const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(), [&](const auto& item) {
        const Known& known = item.second;
        return known.record.peers_address == peers_address && known.suspected
            && is_alive(known);
    });
}

bool
DaemonTable::is_alive(const Known& known) const
{
    if (known.record.node == m_own_node)
        return !known.record.stopping;
    return !known.record.stopping && m_read_at - known.seen_at < m_silent_after;
}

int
DaemonTable::alive() const
{
    return static_cast<int>(
        std::count_if(m_daemons.begin(), m_daemons.end(),
                      [&](const auto& item) { return is_alive(item.second); }));
}

int
DaemonTable::alive_in(std::string_view hall) const
{
    return static_cast<int>(
        std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto& item) {
            return item.second.record.hall == hall && is_alive(item.second);
        }));
}

std::vector<const DaemonTable::Known*>
DaemonTable::candidates() const
{
    std::vector<const Known*> result;
    for (const auto& [node, known] : m_daemons)
        if (is_alive(known) && !known.suspected)
            result.push_back(&known);
    return result;
}

const DaemonTable::Known*
DaemonTable::choose(const std::vector<const Known*>& candidates, std::string_view key)
{
    const Known* chosen = nullptr;
    std::uint64_t best = 0;
    for (const Known* known : candidates) {
        const std::uint64_t weight = weight_of(known->record.node, key);
        if (chosen && weight <= best)
            continue;
        chosen = known;
        best = weight;
    }
    return chosen;
}

/// Those with at least half of the capacity of the strongest.
void
DaemonTable::keep_strong(std::vector<const Known*>& candidates) const
{
    if (m_weak_nodes_lead)
        return;
    double strongest = 0;
    for (const Known* known : candidates)
        strongest = std::max(strongest, known->record.capacity);
    std::erase_if(candidates, [strongest](const Known* known) {
        return known->record.capacity < kLeastPartOfStrongest * strongest;
    });
}

std::string
DaemonTable::leader_of(std::string_view set_name) const
{
    std::vector<const Known*> able = candidates();
    keep_strong(able);
    const Known* leader = choose(able, set_name);
    const bool is_other = leader && leader->record.node != m_own_node;
    return is_other ? leader->record.peers_address : std::string {};
}

std::vector<std::string>
DaemonTable::next_leaders(std::string_view set_name, std::size_t count) const
{
    std::vector<const Known*> able = candidates();
    keep_strong(able);
    std::vector<std::string> addresses;
    while (addresses.size() < count && !able.empty()) {
        const Known* leader = choose(able, set_name);
        if (leader->record.node != m_own_node)
            addresses.push_back(leader->record.peers_address);
        std::erase(able, leader);
    }
    return addresses;
}

std::optional<DaemonRecord>
DaemonTable::reader_of(std::string_view hall) const
{
    std::vector<const Known*> able = candidates();
    std::erase_if(able, [hall](const Known* known) {
        return known->record.hall != hall || known->record.feed_address.empty();
    });
    // Daemons of a large hall are spread over several readers.
    const std::size_t groups = able.size() / kDaemonsOfReader + 1;
    const std::size_t group = weight_of(m_own_node, hall) % groups;
    keep_strong(able);
    const auto reader_of_group = [&](std::size_t number) {
        return choose(able, std::string(hall) + "/" + std::to_string(number));
    };
    // The reader of one part does not ask that of another, which may ask it in turn.
    for (std::size_t other = 0; other < groups; ++other) {
        const Known* reader = reader_of_group(other);
        if (reader && reader->record.node == m_own_node)
            return std::nullopt;
    }
    return other_than_this(reader_of_group(group));
}

std::optional<DaemonRecord>
DaemonTable::root_reader() const
{
    std::vector<const Known*> able = candidates();
    std::erase_if(able,
                  [](const Known* known) { return known->record.feed_address.empty(); });
    keep_strong(able);
    return other_than_this(choose(able, "root"));
}

DirectorySource
DaemonTable::source_for(std::string_view hall) const
{
    // In this order, so that the root reader asks nobody: not the reader of its own hall,
    // which asks it.
    std::optional<DaemonRecord> root = root_reader();
    if (!root)
        return {DirectoryRole::Root, std::nullopt};
    std::optional<DaemonRecord> of_hall = reader_of(hall);
    if (!of_hall)
        return {DirectoryRole::HallReader, std::move(root)};
    return {DirectoryRole::Follower, std::move(of_hall)};
}

std::optional<DaemonRecord>
DaemonTable::other_than_this(const Known* known) const
{
    if (!known || known->record.node == m_own_node)
        return std::nullopt;
    return known->record;
}

Micros
publish_pace(int daemons, double writes_per_s)
{
    const double rate = std::max(kLeastRecordsPerSecond, kPartOfWrites * writes_per_s);
    return std::max(kShortestPace,
                    static_cast<Micros>(daemons / rate * static_cast<double>(kSecond)));
}

Micros
silent_after(int daemons, double writes_per_s)
{
    return kRecordsMissed * publish_pace(daemons, writes_per_s);
}

std::string
encode(const DaemonRecord& record)
{
    proto::DaemonRecord out;
    out.set_node(record.node);
    out.set_hall(record.hall);
    out.set_address(record.peers_address);
    out.set_incarnation(record.incarnation);
    out.set_sequence(record.sequence);
    out.set_stopping(record.stopping);
    out.set_feed_address(record.feed_address);
    out.set_capacity(record.capacity);
    return out.SerializeAsString();
}

Result<DaemonRecord>
decode_daemon(std::string_view bytes)
{
    proto::DaemonRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || in.node().empty())
        return fail(ErrorKind::BadRequest, "not a daemon's record");
    return DaemonRecord {in.node(),     in.hall(),     in.address(),      in.incarnation(),
                         in.sequence(), in.stopping(), in.feed_address(), in.capacity()};
}

} // namespace cypressford
