// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0
#include <random>
#include <set>

#include <doctest/doctest.h>

#include <cypressford/directory.h>

namespace cypressford {
namespace {

Bundle
two_sets()
{
    Bundle bundle;
    for (const char* name : {"desk", "engines"}) {
        UpstreamSetSpec set;
        set.name = name;
        set.kind = "service";
        bundle.upstream_sets.push_back(set);
    }
    return bundle;
}

UpstreamRecord
record_of(const std::string& identity, std::uint64_t sequence)
{
    UpstreamRecord record;
    record.member.identity = identity;
    record.member.upstream_set = "desk";
    record.member.address = "10.0.0.1:" + identity;
    record.member.hall = "a";
    record.sequence = sequence;
    return record;
}

/// Upstreams of each set, local ones before remote ones, as identity@run, in their order.
std::vector<std::string>
contents_of(const Snapshot& snapshot)
{
    std::vector<std::string> result;
    for (const UpstreamSet& set : snapshot.sets)
        for (const auto* side : {&set.own, &set.remote}) {
            result.push_back(set.spec.name);
            for (const auto& upstream : *side)
                result.push_back(upstream->identity + "@" + std::to_string(upstream->born)
                                 + (upstream->leaving.load() ? "!" : "") + " "
                                 + upstream->address);
        }
    return result;
}

TEST_CASE("an updated snapshot has the same contents as one that is built anew")
{
    constexpr int identities = 40;
    const Bundle bundle = two_sets();
    std::mt19937 random(7);
    const auto draw = [&](int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    for (int run = 0; run < 50; ++run) {
        DirectoryFold fold(kSecond);
        UpstreamTable updated("a");
        UpstreamTable built("a");
        const ResolvedBundlePtr resolved = updated.resolve(bundle);
        SnapshotPtr snapshot = updated.build(resolved, {});
        Micros now = 0;
        for (int step = 0; step < 200; ++step) {
            now += draw(400) * kMillisecond;
            UpstreamRecord record = record_of(std::to_string(draw(identities)),
                                              static_cast<std::uint64_t>(step) + 1);
            record.member.upstream_set = draw(4) == 0 ? "engines" : "desk";
            record.member.hall = draw(2) == 0 ? "a" : "b";
            record.member.born = draw(3);
            record.member.leaving = draw(8) == 0;
            if (draw(4) == 0)
                fold.drop(record.member.identity, now, draw(2) == 0);
            else
                fold.apply(record, now);
            fold.expire(now);
            if (draw(3) == 0)
                continue; // collects several changes in one update
            snapshot = updated.update(*snapshot, resolved, fold.take_changes());
            REQUIRE(snapshot);
            CHECK(contents_of(*snapshot)
                  == contents_of(*built.build(bundle, fold.members())));
        }
    }
}

TEST_CASE("an upstream that is no longer listed receives nothing under older snapshots")
{
    DirectoryFold fold(kSecond);
    UpstreamTable table("a");
    const ResolvedBundlePtr resolved = table.resolve(two_sets());
    fold.apply(record_of("1", 1), 0);
    fold.apply(record_of("2", 1), 0);
    const SnapshotPtr before = table.build(resolved, fold.members());
    fold.take_changes();
    fold.drop("1", 0, false);
    fold.expire(0);
    const SnapshotPtr after = table.update(*before, resolved, fold.take_changes());
    REQUIRE(after);
    REQUIRE(before->sets[0].own.size() == 2);
    CHECK(before->sets[0].own[0]->leaving.load());
    CHECK_FALSE(before->sets[0].own[1]->leaving.load());
    REQUIRE(after->sets[0].own.size() == 1);
    CHECK(after->sets[0].own[0]->identity == "2");
}

TEST_CASE("a bundle with other sets requires a snapshot that is built anew")
{
    UpstreamTable table("a");
    const SnapshotPtr before = table.build(table.resolve(two_sets()), {});
    Bundle other = two_sets();
    other.upstream_sets[0].slots = 7;
    CHECK(table.update(*before, table.resolve(two_sets()), {}));
    CHECK_FALSE(table.update(*before, table.resolve(other), {}));
}

TEST_CASE("one change among thousands of upstreams leaves the others untouched")
{
    constexpr int upstreams = 10'000;
    DirectoryFold fold(kSecond);
    UpstreamTable table("a");
    const ResolvedBundlePtr resolved = table.resolve(two_sets());
    for (int i = 0; i < upstreams; ++i)
        fold.apply(record_of(std::to_string(i), 1), 0);
    SnapshotPtr snapshot = table.build(resolved, fold.members());
    CHECK(fold.take_changes().size() == upstreams);
    CHECK(fold.take_changes().empty());
    // Keepalives are not changes.
    fold.apply(record_of("77", 2), 0);
    CHECK(fold.take_changes().empty());
    UpstreamRecord leaving = record_of("77", 3);
    leaving.member.leaving = true;
    fold.apply(leaving, 0);
    const std::vector<MemberChange> changes = fold.take_changes();
    REQUIRE(changes.size() == 1);
    snapshot = table.update(*snapshot, resolved, changes);
    CHECK(snapshot->sets[0].own.size() == upstreams);
}

} // namespace
} // namespace cypressford
