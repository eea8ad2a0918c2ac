// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against sets whose leaders share a node, or stand on a weak one, while a stronger
/// node leads nothing: requests for them are then late, and the leader is taken for dead.

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/daemon_table.h>

#include "test_daemons.h"

namespace cypressford {
namespace {

using Records = std::vector<DaemonRecord>;
using Sets = std::vector<std::string>;

/// `count` names, different ones for each draw.
Sets
draw_sets(int count, int draw)
{
    Sets sets;
    for (int i = 0; i < count; ++i)
        sets.push_back("set" + std::to_string(draw) + "." + std::to_string(i));
    return sets;
}

void
add_daemons(Records& records, int count, double capacity)
{
    for (int i = 0; i < count; ++i) {
        records.push_back(daemon("d" + std::to_string(records.size()), 1));
        records.back().capacity = capacity;
        records.back().places_by_load = true;
    }
}

DaemonTable
table_of(const std::string& own, const Records& records, const Sets& sets)
{
    DaemonTable table(own, 5 * kSecond);
    for (const DaemonRecord& record : records)
        table.apply(record, 0);
    table.set_led_sets(sets);
    return table;
}

/// Node of each set's leader, as that daemon sees it.
std::map<std::string, std::string>
leaders(const DaemonTable& table, const std::string& own, const Sets& sets)
{
    std::map<std::string, std::string> result;
    for (const std::string& set : sets) {
        const std::string address = table.leader_of(set);
        result[set] = address.empty() ? own : address.substr(0, address.find(':'));
    }
    return result;
}

std::map<std::string, int>
count_led(const std::map<std::string, std::string>& leader_by_set)
{
    std::map<std::string, int> led;
    for (const auto& [set, node] : leader_by_set)
        ++led[node];
    return led;
}

int
count_moved(const std::map<std::string, std::string>& before,
            const std::map<std::string, std::string>& after)
{
    int moved = 0;
    for (const auto& [set, node] : before)
        moved += after.at(set) != node ? 1 : 0;
    return moved;
}

TEST_CASE("leaders are placed on the strongest nodes, no two on one while another is free")
{
    Records records;
    constexpr int strongest = 6;
    add_daemons(records, strongest, 0.5);
    add_daemons(records, 14, 0.3);
    add_daemons(records, 41, 0.09);
    std::set<std::string> strong;
    for (int i = 0; i < strongest; ++i)
        strong.insert(records[static_cast<std::size_t>(i)].node);
    for (int draw = 0; draw < 200; ++draw) {
        const Sets sets = draw_sets(4, draw);
        const DaemonTable table = table_of("d30", records, sets);
        const auto led = count_led(leaders(table, "d30", sets));
        CHECK(led.size() == sets.size());
        for (const auto& [node, count] : led)
            CHECK(strong.contains(node));
    }
}

TEST_CASE("leaders are placed so that the load of nodes follows their capacity")
{
    std::mt19937 random(7);
    for (int draw = 0; draw < 60; ++draw) {
        Records records;
        add_daemons(records, 1 + static_cast<int>(random() % 20), 1.0);
        add_daemons(records, static_cast<int>(random() % 100), 0.6);
        add_daemons(records, static_cast<int>(random() % 300), 0.1);
        const Sets sets = draw_sets(1 + static_cast<int>(random() % 30), draw);
        const auto led = count_led(leaders(table_of("d0", records, sets), "d0", sets));
        // No set can be moved to another strong node and load that one less.
        double most = 0;
        double least_with_another = 1e9;
        for (const DaemonRecord& record : records) {
            const auto it = led.find(record.node);
            const int count = it == led.end() ? 0 : it->second;
            if (record.capacity < 0.5) {
                CHECK(count == 0);
                continue;
            }
            most = std::max(most, count / record.capacity);
            least_with_another
                = std::min(least_with_another, (count + 1) / record.capacity);
        }
        CHECK(most <= least_with_another);
    }
}

TEST_CASE("leaders are placed alike by all daemons that know the same records")
{
    Records records;
    add_daemons(records, 5, 1.0);
    add_daemons(records, 25, 0.7);
    const Sets sets = draw_sets(12, 0);
    const auto expected = leaders(table_of("d0", records, sets), "d0", sets);
    for (const DaemonRecord& own : records) {
        // Neither the order of records nor that of sets counts.
        const Records reversed(records.rbegin(), records.rend());
        const Sets other_order(sets.rbegin(), sets.rend());
        CHECK(leaders(table_of(own.node, reversed, other_order), own.node, sets)
              == expected);
    }
}

TEST_CASE("leaders are placed anew for few sets when a daemon comes or goes")
{
    constexpr int set_count = 12;
    int changes = 0;
    int moved = 0;
    for (int draw = 0; draw < 20; ++draw) {
        Records records;
        add_daemons(records, 20, 1.0);
        add_daemons(records, 40, 0.2);
        const Sets sets = draw_sets(set_count, draw);
        const auto before = leaders(table_of("d59", records, sets), "d59", sets);
        for (std::size_t gone = 0; gone + 1 < records.size(); ++gone) {
            Records left = records;
            left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
            const auto after = leaders(table_of("d59", left, sets), "d59", sets);
            const bool led = count_led(before).contains(records[gone].node);
            // The same change the other way round is a daemon that comes.
            const int sets_moved = count_moved(before, after);
            if (!led)
                CHECK(sets_moved == 0);
            else {
                ++changes;
                moved += sets_moved;
            }
        }
    }
    MESSAGE("sets that move when a leader goes: ", static_cast<double>(moved) / changes,
            " of ", set_count);
    CHECK(moved <= 3 * changes);
}

TEST_CASE("leaders are placed anew by a daemon that suspects them, and no others are")
{
    Records records;
    add_daemons(records, 8, 1.0);
    add_daemons(records, 8, 0.6);
    const Sets sets = draw_sets(10, 3);
    const auto before = leaders(table_of("d15", records, sets), "d15", sets);
    for (const DaemonRecord& suspected : records) {
        DaemonTable table = table_of("d15", records, sets);
        table.suspect(suspected.peers_address);
        const auto after = leaders(table, "d15", sets);
        for (const auto& [set, node] : before) {
            if (node == suspected.node && node != "d15")
                CHECK(after.at(set) != node);
            else if (node != "d15")
                CHECK(after.at(set) == node);
        }
        table.trust(suspected.peers_address);
        CHECK(leaders(table, "d15", sets) == before);
    }
}

TEST_CASE("leaders are placed as earlier builds do while such a daemon is alive")
{
    Records records;
    add_daemons(records, 6, 0.5);
    add_daemons(records, 14, 0.3);
    const Sets sets = draw_sets(6, 1);
    Records mixed = records;
    mixed.back().places_by_load = false;
    DaemonTable table = table_of("d0", mixed, sets);
    // As computed by the builds that place each set by the hash of its name alone.
    const std::map<std::string, std::string> by_hash
        = {{"set1.0", "d5"},  {"set1.1", "d19"}, {"set1.2", "d4"},
           {"set1.3", "d11"}, {"set1.4", "d8"},  {"set1.5", "d9"}};
    CHECK(leaders(table, "d0", sets) == by_hash);
    DaemonRecord replaced = mixed.back();
    replaced.incarnation = 2;
    replaced.places_by_load = true;
    table.apply(replaced, 0);
    CHECK(leaders(table, "d0", sets) == leaders(table_of("d0", records, sets), "d0", sets));
}

} // namespace
} // namespace cypressford
