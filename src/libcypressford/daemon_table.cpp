// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/daemon_table.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "cypressford.pb.h"

namespace cypressford {

namespace {

/// Capacity that a record may state.  Anything that is no capacity counts as the weakest: a
/// record whose capacity is not a number would make its node lead every set.
constexpr double kMaxCapacity = 1e6;

double
bounded_capacity(double stated)
{
    return stated > 0 ? std::min(stated, kMaxCapacity) : 0;
}

/// Approximate number of daemons that query one reader, which sends each large record to
/// every one of them.
constexpr std::size_t kFollowersPerReader = 32;
/// Fraction of the writes that the directory can process for records of daemons.
constexpr double kDaemonWriteFraction = 0.0025;
/// A fleet of 9 nodes writes each of its records every 4.5 s at this rate.
constexpr double kMinRecordsPerSecond = 2;
constexpr Micros kMinPublishInterval = 3 * kSecond;
constexpr int kRecordIntervalsPerTimeout = 3;
/// Number of daemons in a referral, so that another can be queried if one does not answer.
constexpr std::size_t kMaxReferredDaemons = 4;
/// Number of daemons of any hall at the end of a follower's referral: the strong nodes of
/// its own hall may all be gone.
constexpr std::size_t kReferredOutsideHall = 2;

} // namespace

std::string_view
to_string(DirectoryRole role)
{
    switch (role) {
    case DirectoryRole::Fresh:
        return "fresh";
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
    if (is_new || record.incarnation != known.record.incarnation
        || record.stopping != known.record.stopping)
        ++m_peers_revision;
    const bool moved = is_new || known.record.peers_address != record.peers_address;
    if (moved && !is_new)
        forget_address(record.node);
    if (moved)
        m_nodes_at.emplace(record.peers_address, record.node);
    known.record = record;
    known.seen_at = now;
    invalidate_derived();
    return true;
}

bool
DaemonTable::knows_other_incarnation(const DaemonRecord& record) const
{
    const auto known = m_daemons.find(record.node);
    return known != m_daemons.end()
        && known->second.record.incarnation != record.incarnation;
}

/// Removes the node from m_nodes_at.
void
DaemonTable::forget_address(const std::string& node)
{
    std::erase_if(m_nodes_at, [&](const auto& item) { return item.second == node; });
}

void
DaemonTable::drop(const std::string& node)
{
    forget_address(node);
    m_daemons.erase(node);
    ++m_peers_revision;
    invalidate_derived();
}

template <class F>
void
DaemonTable::for_each_at(const std::string& peers_address, F&& action)
{
    const auto [begin, end] = m_nodes_at.equal_range(peers_address);
    for (auto at = begin; at != end; ++at)
        action(m_daemons.at(at->second));
}

void
DaemonTable::invalidate_derived()
{
    m_derived = {};
    m_next_expiry.reset();
}

Micros
DaemonTable::next_expiry() const
{
    Micros next = std::numeric_limits<Micros>::max();
    for (const auto& [node, known] : m_daemons)
        if (node != m_own_node && is_alive(known))
            next = std::min(next, known.seen_at + m_record_timeout);
    return next;
}

void
DaemonTable::on_directory_read(Micros now)
{
    m_read_at = now;
    if (m_next_expiry && now < *m_next_expiry)
        return;
    m_derived = {};
    m_next_expiry = next_expiry();
}

void
DaemonTable::set_record_timeout(Micros time)
{
    if (time == m_record_timeout)
        return;
    m_record_timeout = time;
    invalidate_derived();
}

void
DaemonTable::allow_weak_leaders()
{
    m_weak_nodes_lead = true;
    invalidate_derived();
}

void
DaemonTable::set_led_sets(std::vector<std::string> sets)
{
    if (sets == m_led_sets)
        return;
    m_led_sets = std::move(sets);
    invalidate_derived();
}

double
DaemonTable::capacity_of(const std::string& peers_address) const
{
    const auto at = m_nodes_at.find(peers_address);
    return at == m_nodes_at.end() ? 0 : m_daemons.at(at->second).record.capacity;
}

void
DaemonTable::record_response(const std::string& peers_address, Micros now)
{
    for_each_at(peers_address, [&](Known& known) {
        const bool was_alive = is_alive(known);
        known.seen_at = std::max(known.seen_at, now);
        if (was_alive != is_alive(known))
            invalidate_derived();
    });
}

bool
DaemonTable::suspect(const std::string& peers_address)
{
    bool is_change = false;
    for_each_at(peers_address,
                [&](Known& known) { is_change |= !std::exchange(known.suspected, true); });
    if (is_change) {
        ++m_peers_revision;
        invalidate_derived();
    }
    return is_change;
}

void
DaemonTable::trust(const std::string& peers_address)
{
    for_each_at(peers_address, [&](Known& known) { known.suspected = false; });
    ++m_peers_revision;
    invalidate_derived();
}

bool
DaemonTable::is_suspected(const std::string& peers_address) const
{
    const auto [begin, end] = m_nodes_at.equal_range(peers_address);
    return std::any_of(begin, end, [&](const auto& item) {
        const Known& known = m_daemons.at(item.second);
        return known.suspected && is_alive(known);
    });
}

bool
DaemonTable::is_available(const std::string& peers_address) const
{
    const auto [begin, end] = m_nodes_at.equal_range(peers_address);
    return std::any_of(begin, end, [&](const auto& item) {
        const Known& known = m_daemons.at(item.second);
        return !known.suspected && !known.record.stopping;
    });
}

bool
DaemonTable::is_alive(const Known& known) const
{
    if (known.record.node == m_own_node)
        return !known.record.stopping;
    return !known.record.stopping && m_read_at - known.seen_at < m_record_timeout;
}

int
DaemonTable::alive() const
{
    if (!m_derived.alive)
        m_derived.alive = static_cast<int>(
            std::count_if(m_daemons.begin(), m_daemons.end(),
                          [&](const auto& item) { return is_alive(item.second); }));
    return *m_derived.alive;
}

int
DaemonTable::own_index() const
{
    const auto end = m_daemons.lower_bound(m_own_node);
    return static_cast<int>(std::count_if(
        m_daemons.begin(), end, [&](const auto& item) { return is_alive(item.second); }));
}

int
DaemonTable::alive_in(std::string_view hall) const
{
    return static_cast<int>(
        std::count_if(m_daemons.begin(), m_daemons.end(), [&](const auto& item) {
            return item.second.record.hall == hall && is_alive(item.second);
        }));
}

TunnelPeers
DaemonTable::tunnel_peers() const
{
    TunnelPeers peers;
    for (const Known* known : candidates())
        if (known->record.node != m_own_node && !known->record.peers_address.empty())
            peers.push_back(
                {known->record.peers_address, known->record.hall, known->record.capacity});
    const auto by_address = [](const TunnelPeer& left, const TunnelPeer& right) {
        return left.address < right.address;
    };
    std::sort(peers.begin(), peers.end(), by_address);
    return peers;
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
        const std::uint64_t weight = rendezvous_weight(known->record.node, key);
        if (chosen && weight <= best)
            continue;
        chosen = known;
        best = weight;
    }
    return chosen;
}

/// Keeps those that may have a role that can't be divided.
void
DaemonTable::keep_strong_nodes(std::vector<const Known*>& candidates) const
{
    if (m_weak_nodes_lead)
        return;
    keep_strongest(candidates, [](const Known* known) { return known->record.capacity; });
}

std::string
DaemonTable::leader_of(std::string_view set_name) const
{
    auto known = m_derived.leaders.find(set_name);
    if (known == m_derived.leaders.end()) {
        const std::vector<std::string> leader = placement().leaders_of(set_name, 1);
        const std::string address
            = leader.empty() ? std::string {} : address_unless_own(leader.front());
        known = m_derived.leaders.emplace(set_name, address).first;
    }
    return known->second;
}

std::vector<std::string>
DaemonTable::next_leaders(std::string_view set_name, std::size_t count) const
{
    std::vector<std::string> addresses;
    for (const std::string& node : placement().leaders_of(set_name, count + 1))
        if (std::string address = address_unless_own(node);
            !address.empty() && addresses.size() < count)
            addresses.push_back(std::move(address));
    return addresses;
}

std::string
DaemonTable::address_unless_own(const std::string& node) const
{
    return node == m_own_node ? std::string {} : m_daemons.at(node).record.peers_address;
}

/// Daemons of builds that place by hash only must not differ from the others on the leader
/// of a set.
LeaderRule
DaemonTable::leader_rule() const
{
    const bool all_know
        = std::all_of(m_daemons.begin(), m_daemons.end(), [this](const auto& item) {
              return item.second.record.places_by_load || !is_alive(item.second);
          });
    return all_know ? LeaderRule::ByLoad : LeaderRule::ByHash;
}

const LeaderPlacement&
DaemonTable::placement() const
{
    if (m_derived.placement)
        return *m_derived.placement;
    std::vector<LeaderCandidate> able;
    for (const auto& [node, known] : m_daemons)
        if (is_alive(known))
            able.push_back(
                {node, m_weak_nodes_lead ? 1 : known.record.capacity, known.suspected});
    return m_derived.placement.emplace(std::move(able), m_led_sets, leader_rule());
}

std::vector<const DaemonTable::Known*>
DaemonTable::feed_daemons(std::string_view hall) const
{
    std::vector<const Known*> able = candidates();
    std::erase_if(able, [hall](const Known* known) {
        return known->record.feed_address.empty()
            || (!hall.empty() && known->record.hall != hall);
    });
    return able;
}

namespace {

/// Daemons of a large hall are divided among several readers.
std::size_t
count_parts(std::size_t daemons)
{
    return daemons / kFollowersPerReader + 1;
}

std::string
name_of_part(std::string_view hall, std::size_t number)
{
    return std::string(hall) + "/" + std::to_string(number);
}

constexpr std::string_view kRootName = "root";

} // namespace

std::optional<DaemonRecord>
DaemonTable::reader_of(std::string_view hall) const
{
    std::vector<const Known*> able = feed_daemons(hall);
    const std::size_t parts = count_parts(able.size());
    const std::size_t own_part = rendezvous_weight(m_own_node, hall) % parts;
    keep_strong_nodes(able);
    // The reader of one part does not query that of another, which may query it in turn.
    for (std::size_t other = 0; other < parts; ++other) {
        const Known* reader = choose(able, name_of_part(hall, other));
        if (reader && reader->record.node == m_own_node)
            return std::nullopt;
    }
    return unless_own(choose(able, name_of_part(hall, own_part)));
}

std::optional<DaemonRecord>
DaemonTable::root_reader() const
{
    std::vector<const Known*> able = feed_daemons({});
    keep_strong_nodes(able);
    return unless_own(choose(able, kRootName));
}

DirectoryReferral
DaemonTable::refer(const DaemonRecord& requester, const DaemonRecord& own) const
{
    std::vector<const Known*> all = feed_daemons({});
    std::vector<const Known*> of_hall = feed_daemons(requester.hall);
    const Known self {own};
    if (!m_daemons.contains(own.node)) {
        all.push_back(&self);
        if (own.hall == requester.hall)
            of_hall.push_back(&self);
    }
    const std::size_t parts = count_parts(of_hall.size());
    const std::size_t own_part = rendezvous_weight(requester.node, requester.hall) % parts;
    const int met = static_cast<int>(all.size());
    keep_strong_nodes(all);
    keep_strong_nodes(of_hall);
    const auto is_requester
        = [&](const Known* known) { return known && known->record.node == requester.node; };
    if (is_requester(choose(all, kRootName)))
        return {DirectoryRole::Root, {}, 0, met};
    DirectoryReferral referral {DirectoryRole::Follower, {}, 0, met};
    for (std::size_t part = 0; part < parts; ++part)
        if (is_requester(choose(of_hall, name_of_part(requester.hall, part))))
            referral.role = DirectoryRole::HallReader;
    const bool reads = referral.role == DirectoryRole::HallReader;
    const std::string name
        = reads ? std::string(kRootName) : name_of_part(requester.hall, own_part);
    add_in_order(referral.daemons, reads ? all : of_hall, name, kMaxReferredDaemons,
                 requester);
    if (!reads)
        add_in_order(referral.daemons, all, kRootName, kReferredOutsideHall, requester);
    return referral;
}

/// Adds up to `most` of the candidates, in the order of their weights for that key.
void
DaemonTable::add_in_order(std::vector<DaemonRecord>& chosen,
                          std::vector<const Known*> candidates, std::string_view key,
                          std::size_t most, const DaemonRecord& requester)
{
    std::erase_if(candidates, [&](const Known* known) {
        return known->record.node == requester.node
            || std::any_of(chosen.begin(), chosen.end(), [known](const DaemonRecord& of) {
                   return of.node == known->record.node;
               });
    });
    for (; most > 0 && !candidates.empty(); --most) {
        const Known* next = choose(candidates, key);
        chosen.push_back(next->record);
        std::erase(candidates, next);
    }
}

DirectorySource
DaemonTable::source_for(std::string_view hall) const
{
    auto known = m_derived.sources.find(hall);
    if (known == m_derived.sources.end())
        known = m_derived.sources.emplace(hall, find_source(hall)).first;
    return known->second;
}

DirectorySource
DaemonTable::find_source(std::string_view hall) const
{
    // The root reader is determined first, so that it queries no other daemon: the reader
    // of its own hall queries the root reader.
    std::optional<DaemonRecord> root = root_reader();
    if (!root && !m_daemons.contains(m_own_node))
        return {DirectoryRole::Fresh, std::nullopt};
    if (!root)
        return {DirectoryRole::Root, std::nullopt};
    std::optional<DaemonRecord> of_hall = reader_of(hall);
    if (!of_hall)
        return {DirectoryRole::HallReader, std::move(root)};
    return {DirectoryRole::Follower, std::move(of_hall)};
}

std::optional<DaemonRecord>
DaemonTable::unless_own(const Known* known) const
{
    if (!known || known->record.node == m_own_node)
        return std::nullopt;
    return known->record;
}

Micros
publish_interval(int daemons, double writes_per_s)
{
    const double rate = std::max(kMinRecordsPerSecond, kDaemonWriteFraction * writes_per_s);
    return std::max(kMinPublishInterval,
                    static_cast<Micros>(daemons / rate * static_cast<double>(kSecond)));
}

Micros
record_timeout(int daemons, double writes_per_s)
{
    return kRecordIntervalsPerTimeout * publish_interval(daemons, writes_per_s);
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
    out.set_places_by_load(record.places_by_load);
    return out.SerializeAsString();
}

Result<DaemonRecord>
decode_daemon(std::string_view bytes)
{
    proto::DaemonRecord in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || in.node().empty())
        return fail(ErrorKind::BadRequest, "malformed daemon record");
    return DaemonRecord {in.node(),          in.hall(),
                         in.address(),       in.incarnation(),
                         in.sequence(),      in.stopping(),
                         in.feed_address(),  bounded_capacity(in.capacity()),
                         in.places_by_load()};
}

} // namespace cypressford
