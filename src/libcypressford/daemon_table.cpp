// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/daemon_table.h>

#include <algorithm>
#include <limits>
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
/// A daemon that knows nobody is told of so many that it may ask one after the other.
constexpr std::size_t kReferredAtOnce = 4;

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
    const bool moved = is_new || known.record.peers_address != record.peers_address;
    if (moved && !is_new)
        forget(record.node);
    if (moved)
        m_nodes_at.emplace(record.peers_address, record.node);
    known.record = record;
    known.seen_at = now;
    forget_derived();
    return true;
}

bool
DaemonTable::knows_other_start(const DaemonRecord& record) const
{
    const auto known = m_daemons.find(record.node);
    return known != m_daemons.end()
        && known->second.record.incarnation != record.incarnation;
}

/// Its address stands for it no more.
void
DaemonTable::forget(const std::string& node)
{
    std::erase_if(m_nodes_at, [&](const auto& item) { return item.second == node; });
}

void
DaemonTable::drop(const std::string& node)
{
    forget(node);
    m_daemons.erase(node);
    forget_derived();
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
DaemonTable::forget_derived()
{
    m_derived = {};
    m_next_silence.reset();
}

Micros
DaemonTable::next_silence() const
{
    Micros next = std::numeric_limits<Micros>::max();
    for (const auto& [node, known] : m_daemons)
        if (node != m_own_node && is_alive(known))
            next = std::min(next, known.seen_at + m_silent_after);
    return next;
}

void
DaemonTable::note_read(Micros now)
{
    m_read_at = now;
    if (m_next_silence && now < *m_next_silence)
        return;
    m_derived = {};
    m_next_silence = next_silence();
}

void
DaemonTable::set_silent_after(Micros time)
{
    if (time == m_silent_after)
        return;
    m_silent_after = time;
    forget_derived();
}

void
DaemonTable::let_weak_nodes_lead()
{
    m_weak_nodes_lead = true;
    forget_derived();
}

void
DaemonTable::note_answer(const std::string& peers_address, Micros now)
{
    for_each_at(peers_address, [&](Known& known) {
        const bool was_alive = is_alive(known);
        known.seen_at = std::max(known.seen_at, now);
        if (was_alive != is_alive(known))
            forget_derived();
    });
}

bool
DaemonTable::suspect(const std::string& peers_address)
{
    bool is_news = false;
    for_each_at(peers_address,
                [&](Known& known) { is_news |= !std::exchange(known.suspected, true); });
    if (is_news)
        forget_derived();
    return is_news;
}

void
DaemonTable::trust(const std::string& peers_address)
{
    for_each_at(peers_address, [&](Known& known) { known.suspected = false; });
    forget_derived();
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
DaemonTable::is_alive(const Known& known) const
{
    if (known.record.node == m_own_node)
        return !known.record.stopping;
    return !known.record.stopping && m_read_at - known.seen_at < m_silent_after;
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
    auto known = m_derived.leaders.find(set_name);
    if (known == m_derived.leaders.end())
        known = m_derived.leaders.emplace(set_name, find_leader(set_name)).first;
    return known->second;
}

std::string
DaemonTable::find_leader(std::string_view set_name) const
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

std::vector<const DaemonTable::Known*>
DaemonTable::tellers(std::string_view hall) const
{
    std::vector<const Known*> able = candidates();
    std::erase_if(able, [hall](const Known* known) {
        return known->record.feed_address.empty()
            || (!hall.empty() && known->record.hall != hall);
    });
    return able;
}

namespace {

/// Daemons of a large hall are spread over several readers.
std::size_t
count_parts(std::size_t daemons)
{
    return daemons / kDaemonsOfReader + 1;
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
    std::vector<const Known*> able = tellers(hall);
    const std::size_t parts = count_parts(able.size());
    const std::size_t own_part = weight_of(m_own_node, hall) % parts;
    keep_strong(able);
    // The reader of one part does not ask that of another, which may ask it in turn.
    for (std::size_t other = 0; other < parts; ++other) {
        const Known* reader = choose(able, name_of_part(hall, other));
        if (reader && reader->record.node == m_own_node)
            return std::nullopt;
    }
    return other_than_this(choose(able, name_of_part(hall, own_part)));
}

std::optional<DaemonRecord>
DaemonTable::root_reader() const
{
    std::vector<const Known*> able = tellers({});
    keep_strong(able);
    return other_than_this(choose(able, kRootName));
}

DirectoryReferral
DaemonTable::refer(const DaemonRecord& asker, const DaemonRecord& own) const
{
    std::vector<const Known*> all = tellers({});
    std::vector<const Known*> of_hall = tellers(asker.hall);
    const Known self {own};
    if (!m_daemons.contains(own.node)) {
        all.push_back(&self);
        if (own.hall == asker.hall)
            of_hall.push_back(&self);
    }
    const std::size_t parts = count_parts(of_hall.size());
    const std::size_t own_part = weight_of(asker.node, asker.hall) % parts;
    const int alive = static_cast<int>(all.size());
    keep_strong(all);
    keep_strong(of_hall);
    const auto is_asker
        = [&](const Known* known) { return known && known->record.node == asker.node; };
    if (is_asker(choose(all, kRootName)))
        return {DirectoryRole::Root, {}, alive};
    DirectoryReferral referral {DirectoryRole::Follower, {}, alive};
    for (std::size_t part = 0; part < parts; ++part)
        if (is_asker(choose(of_hall, name_of_part(asker.hall, part))))
            referral.role = DirectoryRole::HallReader;
    const bool reads = referral.role == DirectoryRole::HallReader;
    const std::string name
        = reads ? std::string(kRootName) : name_of_part(asker.hall, own_part);
    std::vector<const Known*>& able = reads ? all : of_hall;
    std::erase_if(able, is_asker);
    while (referral.ask.size() < kReferredAtOnce && !able.empty()) {
        const Known* next = choose(able, name);
        referral.ask.push_back(next->record);
        std::erase(able, next);
    }
    return referral;
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
    // In this order, so that the root reader asks nobody: not the reader of its own hall,
    // which asks it.
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
