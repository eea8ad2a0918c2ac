// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against streams that go on at another software version than the one that began
/// them, and against streams that are refused although their version is known.

#include <cypressford/directory.h>
#include <cypressford/stream_origin.h>

#include <set>

#include <doctest/doctest.h>

#include <cypressford/prompt_placer.h>

#include "candidates.h"

namespace cypressford {
namespace {

constexpr Micros kLongest = 10 * kSecond;

UpstreamMember
member(const std::string& identity, const std::string& version, std::int64_t born = 0)
{
    UpstreamMember result;
    result.identity = identity;
    result.upstream_set = "model";
    result.address = "10.0.0.1:" + identity;
    result.hall = "a";
    result.slots = 4;
    result.born = born;
    result.version = version;
    return result;
}

Bundle
bundle()
{
    Bundle result;
    result.version = 1;
    UpstreamSetSpec set;
    set.name = "model";
    set.kind = "service";
    result.upstream_sets.push_back(set);
    return result;
}

SnapshotPtr
snapshot_of(UpstreamTable& table, const std::vector<std::string>& versions)
{
    std::vector<UpstreamMember> members;
    for (std::size_t i = 0; i < versions.size(); ++i)
        members.push_back(member(std::to_string(i + 1), versions[i]));
    return table.build(bundle(), members);
}

TunnelPeers
daemons(int count)
{
    TunnelPeers result;
    for (int i = 0; i < count; ++i)
        result.push_back({"10.1.0." + std::to_string(i) + ":7", i % 3 == 0 ? "a" : "b"});
    return result;
}

TunnelPeers
without(TunnelPeers peers, const TunnelPeer& left_out)
{
    std::erase(peers, left_out);
    return peers;
}

TEST_CASE("a stream goes on at upstreams of its version only, in each order of listing")
{
    UpstreamTable table("a");
    const SnapshotPtr snapshot = snapshot_of(table, {"v1", "v2", "v1", ""});
    const UpstreamSet& set = snapshot->sets.front();
    const std::string version = "v1";
    CandidateQuery query;
    query.version = &version;
    Candidates candidates;
    collect_candidates(set, query, candidates);
    REQUIRE(candidates.states.size() == 2);
    for (const auto* state : candidates.states)
        CHECK((*state)->version == "v1");
    CHECK(time_to_continue(set, "v1", 0, {}) == 0);
    CHECK_FALSE(time_to_continue(set, "v3", 0, {}));
    // Without a version, upstreams beside versioned ones may differ from each other.
    CHECK_FALSE(time_to_continue(set, "", 0, {}));
    // Of its two upstreams, one is ejected and one asks for a rest.
    (*candidates.states[0])->ejected_until.store(3 * kSecond);
    (*candidates.states[1])->self_report->record_backoff(2 * kSecond);
    CHECK(time_to_continue(set, "v1", kSecond, {}) == kSecond);
    for (const auto* state : candidates.states)
        (*state)->mark_leaving();
    CHECK_FALSE(time_to_continue(set, "v1", kSecond, {}));
}

TEST_CASE("streams go on anywhere where no upstream has a version")
{
    UpstreamTable table("a");
    const SnapshotPtr snapshot = snapshot_of(table, {"", ""});
    CHECK(time_to_continue(snapshot->sets.front(), "", 0, {}) == 0);
    const ResumeVerdict verdict = decide_resume({snapshot->sets.front(), {}, kLongest});
    CHECK(verdict.decision == ResumeDecision::Anywhere);
}

TEST_CASE("an upstream that changes its version under one run is another upstream")
{
    UpstreamTable table("a");
    const auto before = table.build(bundle(), {member("1", "v1", 5)});
    const UpstreamPtr old = before->sets.front().own.front();
    const auto after = table.update(*before, before->bundle,
                                    {{member("1", "v1", 5), member("1", "v2", 5)}});
    REQUIRE(after);
    REQUIRE(after->sets.front().own.size() == 1);
    const UpstreamPtr fresh = after->sets.front().own.front();
    CHECK(fresh->version == "v2");
    CHECK(old->is_leaving(0));
    CHECK_FALSE(fresh->is_leaving(0));
    CHECK(after->sets.front().versions == std::map<std::string, int> {{"v2", 1}});
    // What the run says of itself holds on.
    CHECK(fresh->self_report == old->self_report);
}

TEST_CASE("an unknown stream goes on only where its version can have been no other")
{
    UpstreamTable table("a");
    const SnapshotPtr one = snapshot_of(table, {"v1", "v1"});
    const SnapshotPtr two = snapshot_of(table, {"v1", "v2"});
    const Micros now = 100 * kSecond;
    StreamHistory history;
    const auto decide = [&](const SnapshotPtr& snapshot, bool is_current = true) {
        return decide_resume({snapshot->sets.front(), history, kLongest, is_current, now});
    };
    CHECK(decide(one).decision == ResumeDecision::Unknown);
    history.sole = SoleVersion {"v1", now - kLongest + 1};
    CHECK(decide(one).decision == ResumeDecision::Unknown);
    history.sole->since = now - kLongest;
    CHECK(decide(one).decision == ResumeDecision::AtVersion);
    CHECK(decide(one).version == "v1");
    CHECK(decide(one, false).decision == ResumeDecision::Unknown);
    // The log is away; others that were asked have seen the same.
    history.witnesses = ResumeQuery::kNeededWitnesses - 1;
    CHECK(decide(one, false).decision == ResumeDecision::Unknown);
    history.witnesses = ResumeQuery::kNeededWitnesses;
    CHECK(decide(one, false).decision == ResumeDecision::AtVersion);
    history = {StreamOrigin {"model", "v2"}, std::nullopt};
    CHECK(decide(two).version == "v2");
    CHECK(decide(two, false).decision == ResumeDecision::AtVersion);
    history.origin = StreamOrigin {"other", "v1"};
    CHECK(decide(two).decision == ResumeDecision::OtherSet);
}

TEST_CASE("a version counts as the only one since no other was listed")
{
    UpstreamTable table("a");
    SoleVersions sole = sole_versions({}, *snapshot_of(table, {"v1", "v1"}), {}, 1);
    CHECK(sole.at("model") == SoleVersion {"v1", 1});
    sole = sole_versions(sole, *snapshot_of(table, {"v1"}), {}, 2);
    CHECK(sole.at("model").since == 1);
    // A set that loses all upstreams has had no other version.
    sole = sole_versions(sole, *snapshot_of(table, {}), {}, 3);
    CHECK(sole.at("model").since == 1);
    sole = sole_versions(sole, *snapshot_of(table, {"v1", "v2"}), {}, 4);
    CHECK(sole.empty());
    sole = sole_versions(sole, *snapshot_of(table, {"v2"}), {}, 5);
    CHECK(sole.at("model") == SoleVersion {"v2", 5});
    sole = sole_versions(sole, *snapshot_of(table, {"v1"}), {}, 6);
    CHECK(sole.at("model") == SoleVersion {"v1", 6});
}

TEST_CASE("a version that came and left between two snapshots was not missed")
{
    UpstreamTable table("a");
    DirectoryFold fold(0);
    const auto apply = [&fold](const std::string& identity, const std::string& version) {
        fold.apply({member(identity, version, 5), 1});
    };
    apply("1", "v1");
    (void)fold.take_changes();
    const VersionsBySet first = fold.take_applied_versions();
    const SnapshotPtr snapshot = snapshot_of(table, {"v1"});
    CHECK(sets_with_brief_versions(first, {}, *snapshot).empty());
    const SoleVersions before = sole_versions({}, *snapshot, {}, 1);
    // The first record of an upstream of another version, and its end, are read at once.
    apply("2", "v2");
    fold.drop("2", 2, false);
    fold.expire(2);
    CHECK(fold.take_changes().empty());
    const auto brief
        = sets_with_brief_versions(fold.take_applied_versions(), before, *snapshot);
    CHECK(brief == std::set<std::string> {"model"});
    CHECK(sole_versions(before, *snapshot, {brief}, 2).at("model").since == 2);
    // Upstreams of the same version come and go.
    apply("3", "v1");
    fold.drop("3", 3, false);
    fold.expire(3);
    CHECK(
        sets_with_brief_versions(fold.take_applied_versions(), before, *snapshot).empty());
}

TEST_CASE("a version is not known to have been the only one while records were missed")
{
    UpstreamTable table("a");
    DirectoryFold fold(0);
    const auto list = [&fold] {
        fold.begin_listing();
        fold.apply({member("1", "v1", 5), 1});
        fold.end_listing(0, false);
    };
    list();
    CHECK_FALSE(fold.take_was_relisted());
    const std::uint64_t revision = fold.revision();
    list();
    CHECK(fold.revision() > revision);
    CHECK(fold.take_was_relisted());
    CHECK_FALSE(fold.take_was_relisted());
    const SnapshotPtr snapshot = snapshot_of(table, {"v1"});
    const SoleVersions before = sole_versions({}, *snapshot, {}, 1);
    CHECK(sole_versions(before, *snapshot, {{}, true}, 2).at("model").since == 2);
    // What comes next to a set without upstreams may be of the version before.
    const SnapshotPtr empty = snapshot_of(table, {});
    CHECK(sole_versions(before, *empty, {{}, true}, 2).at("model").since == 2);
    // The keepers' records still tell since when.
    const std::optional<SoleVersion> recorded = SoleVersion {"v1", 2, 1};
    CHECK(agreed_version({recorded, recorded})->since == 1);
}

TEST_CASE("daemons that have seen different versions agree on none")
{
    const std::optional<SoleVersion> fresh = SoleVersion {"v1", 90};
    const std::optional<SoleVersion> old = SoleVersion {"v1", 10};
    const std::optional<SoleVersion> other = SoleVersion {"v2", 10};
    CHECK(agreed_version({fresh, old}) == old);
    CHECK_FALSE(agreed_version({fresh, other}));
    CHECK_FALSE(agreed_version({fresh, old, std::nullopt}));
    CHECK_FALSE(agreed_version({}));
}

TEST_CASE("recorded times count if two daemons know them, the shortest one first")
{
    const auto seen = [](Micros since, std::optional<Micros> recorded_since) {
        return std::optional(SoleVersion {"v1", since, recorded_since});
    };
    CHECK(agreed_version({seen(90, 10), seen(95, std::nullopt)})->since == 90);
    CHECK(agreed_version({seen(90, 10)}, 1)->since == 10);
    // The clock of one daemon has jumped.
    CHECK(agreed_version({seen(90, 10), seen(95, 40), seen(96, 20)})->since == 40);
    CHECK(agreed_version({seen(30, 40), seen(95, 40)})->since == 30);
    const std::optional<SoleVersion> other = SoleVersion {"v2", 90, 10};
    CHECK_FALSE(agreed_version({seen(90, 10), seen(90, 10), other}));
}

TEST_CASE("a daemon that missed a version does not outweigh those that have seen it")
{
    UpstreamTable table("a");
    const SnapshotPtr one = snapshot_of(table, {"v1", "v1"});
    const Micros now = 100 * kSecond;
    StreamHistory history;
    history.sole = SoleVersion {"v1", 0}; // as the one that missed it has observed
    history.witnesses = ResumeQuery::kNeededWitnesses;
    history.differed_at = now - kLongest + 1;
    const auto decide = [&] {
        return decide_resume({one->sets.front(), history, kLongest, true, now}).decision;
    };
    CHECK(decide() == ResumeDecision::Unknown);
    history.differed_at = now - kLongest;
    CHECK(decide() == ResumeDecision::AtVersion);
}

TEST_CASE("upstreams that name no version continue no stream of a version")
{
    UpstreamTable table("a");
    const SnapshotPtr unnamed = snapshot_of(table, {"", ""});
    const Micros now = 100 * kSecond;
    StreamHistory history;
    const auto decide = [&] {
        return decide_resume({unnamed->sets.front(), history, kLongest, true, now});
    };
    history.origin = StreamOrigin {"model", "v1"};
    CHECK(decide().decision == ResumeDecision::AtVersion);
    CHECK(decide().version == "v1");
    history.origin->version.clear();
    CHECK(decide().decision == ResumeDecision::Anywhere);
    history.origin.reset();
    CHECK(decide().decision == ResumeDecision::Anywhere);
    history.differed_at = now - kLongest + 1;
    CHECK(decide().decision == ResumeDecision::Unknown);
    history.differed_at = now - kLongest;
    CHECK(decide().decision == ResumeDecision::Anywhere);
}

TEST_CASE("the daemons that are asked for a key are those that rank first for it")
{
    const TunnelPeers all = daemons(40);
    for (const TunnelPeer& own : all) {
        const TunnelPeers others = without(all, own);
        const auto first = origin_holders(others, own, "model", 3, 0);
        CHECK((holder_rank(others, own, "model") < 3) == (first.size() < 3));
    }
}

TEST_CASE("origins of streams are kept for their lifetime, within bounds")
{
    StreamOriginTable table;
    const StreamOrigin origin {"model", "v1"};
    table.record("r1", origin, true, 0);
    table.record("r2", {"model", "v2"}, false, kSecond);
    CHECK(table.find("r1", kSecond) == origin);
    CHECK_FALSE(table.find("r3", kSecond));
    CHECK(table.own_streams("model", kSecond)
          == std::map<std::string, std::vector<std::string>> {{"v1", {"r1"}}});
    CHECK(table.own_streams("other", kSecond).empty());
    CHECK_FALSE(table.find("r1", StreamOriginTable::kLifetime + 1));
    CHECK(table.find("r2", StreamOriginTable::kLifetime + 1));
    table.record(std::string(StreamOriginTable::kMaxIdChars + 1, 'x'), origin, true, 0);
    CHECK(table.size() == 1);
    for (std::size_t i = 0; i < StreamOriginTable::kMaxStreams + 100; ++i)
        table.record("s" + std::to_string(i), origin, false, 2 * kSecond);
    CHECK(table.size() <= StreamOriginTable::kMaxStreams + 1);
}

TEST_CASE("daemons that were told of an origin are among those that are asked")
{
    const TunnelPeers all = daemons(40);
    int missed = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string request = "r" + std::to_string(i);
        const TunnelPeer& began = all[static_cast<std::size_t>(i) % all.size()];
        const auto told = origin_holders(without(all, began), began, request,
                                         kOriginHolders, kOriginHoldersInHall);
        CHECK(told.size() <= kOriginHolders + kOriginHoldersInHall);
        // The daemon that began the stream and the first that was told have ended since.
        TunnelPeers left = without(all, began);
        if (!told.empty())
            std::erase_if(left, [&](const TunnelPeer& p) { return p.address == told[0]; });
        const TunnelPeer& resumes = left[static_cast<std::size_t>(7 * i) % left.size()];
        auto asked = origin_holders(without(left, resumes), resumes, request,
                                    kAskedOriginHolders, kAskedOriginHoldersInHall);
        asked.push_back(resumes.address);
        const std::set<std::string> reached(asked.begin(), asked.end());
        bool is_reached = false;
        for (std::size_t t = 1; t < told.size(); ++t)
            is_reached = is_reached || reached.contains(told[t]);
        missed += is_reached ? 0 : 1;
    }
    CHECK(missed <= 25);
}

TEST_CASE("a version that shrinks keeps places for its streams while others have room")
{
    constexpr int slots = 8;
    UpstreamTable table("a");
    std::vector<UpstreamMember> members;
    for (int i = 0; i < 8; ++i) {
        members.push_back(member(std::to_string(i), i < 2 ? "v1" : "v2"));
        members.back().slots = slots;
    }
    const SnapshotPtr snapshot = table.build(bundle(), members);
    PromptPlacer placer;
    std::map<std::string, int> placed;
    const auto place = [&](int number, std::optional<std::string> version) {
        PromptQuery query;
        query.attempt = "a" + std::to_string(number);
        query.parts = {{static_cast<std::uint64_t>(number), 100}};
        query.tokens = 100;
        query.version = std::move(version);
        query.reserve = true;
        UpstreamPtr upstream = placer.place(snapshot->sets.front(), query, kSecond);
        REQUIRE(upstream);
        ++placed[upstream->version];
        return upstream;
    };
    for (int i = 0; i < 6 * slots; ++i)
        place(i, std::nullopt);
    CHECK(placed["v1"] <= slots);
    for (int i = 0; i < slots; ++i)
        CHECK(place(1000 + i, "v1")->version == "v1");
}

TEST_CASE("origins are carried between daemons")
{
    StreamOriginBatch batch;
    batch.known[{"model", "v1"}] = {"r1", "r2"};
    batch.known[{"model", ""}] = {"r3"};
    batch.wanted = {"r4"};
    batch.upstream_set = "model";
    batch.sole = SoleVersion {"v1", 3 * kSecond, 9 * kSecond};
    batch.to_store[{"model", "v2"}] = {"r5"};
    batch.differed = 4 * kSecond;
    const auto copy = decode_stream_origins(encode(batch));
    REQUIRE(copy);
    CHECK(copy->known == batch.known);
    CHECK(copy->wanted == batch.wanted);
    CHECK(copy->upstream_set == "model");
    CHECK(copy->sole == batch.sole);
    CHECK(copy->to_store == batch.to_store);
    CHECK(copy->differed == batch.differed);
    CHECK_FALSE(decode_stream_origins("\xff\xff"));
    CHECK_FALSE(decode_stream_origins(encode(StreamOriginBatch {}))->sole);
    CHECK_FALSE(decode_stream_origins(encode(StreamOriginBatch {}))->differed);
}

} // namespace
} // namespace cypressford
