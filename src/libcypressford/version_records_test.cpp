// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against streams that are refused, or joined from two versions, because what the
/// store keeps of a set's versions is lost, outdated or taken for more than it says.

#include <cypressford/version_records.h>

#include <doctest/doctest.h>

namespace cypressford {
namespace {

constexpr LogGeneration kGeneration = 3;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kStartMs = 100 * kMinuteMs;

VersionRecord
record(std::optional<std::string> version, std::int64_t since_ms,
       LogGeneration generation = kGeneration)
{
    return {std::move(version), since_ms, generation};
}

/// What a daemon that starts takes over from the record.
std::int64_t
restored_since(const VersionRecord& stored,
               const std::optional<std::string>& present = "v1")
{
    VersionRecords records;
    records.observe({{"model", present}}, kStartMs);
    records.apply_listing({{"model", encode(stored)}}, kGeneration, kStartMs + 10);
    const RecordedVersions sole = records.sole();
    const auto at = sole.find("model");
    return at == sole.end() ? -1 : at->second.since_ms;
}

TEST_CASE("a daemon that starts takes over since when a set has had its only version")
{
    CHECK(restored_since(record("v1", kMinuteMs)) == kMinuteMs);
    // The writer's clock is ahead of this daemon's.
    CHECK(restored_since(record("v1", kStartMs + kMinuteMs)) == kStartMs);
}

TEST_CASE("a record of other versions, of a restored log or without sense restores nothing")
{
    CHECK(restored_since(record("v2", kMinuteMs)) == kStartMs);
    CHECK(restored_since(record(std::nullopt, kMinuteMs)) == kStartMs);
    CHECK(restored_since(record("v1", kMinuteMs, kGeneration - 1)) == kStartMs);
    CHECK(restored_since(record("v1", kMinuteMs), std::nullopt) == -1);
    VersionRecords records;
    records.observe({{"model", "v1"}}, kStartMs);
    CHECK(records.sole().empty());
    records.apply_listing({{"model", "\xff\xff"}}, kGeneration, kStartMs + 10);
    CHECK(records.sole().at("model").since_ms == kStartMs);
}

TEST_CASE("a change that a daemon has seen itself outweighs an older record")
{
    VersionRecords records;
    records.observe({{"model", "v1"}}, kStartMs);
    records.observe({{"model", std::nullopt}}, kStartMs + 1000);
    records.observe({{"model", "v1"}}, kStartMs + 2000);
    records.apply_listing({{"model", encode(record("v1", kMinuteMs))}}, kGeneration,
                          kStartMs + 3000);
    CHECK(records.sole().at("model").since_ms == kStartMs + 2000);
    CHECK(records.missing_record("model", kGeneration) == record("v1", kStartMs + 2000));
}

TEST_CASE("records are written when the versions change, after reading that they differ")
{
    VersionRecords records;
    CHECK(records.observe({{"model", "v1"}}, kStartMs));
    CHECK_FALSE(records.observe({{"model", "v1"}}, kStartMs + 1));
    CHECK(records.unconfirmed(kGeneration) == std::vector<std::string> {"model"});
    CHECK_FALSE(records.missing_record("model", kGeneration));
    records.apply_listing({}, kGeneration, kStartMs + 10);
    const auto first = records.missing_record("model", kGeneration);
    REQUIRE(first == record("v1", kStartMs));
    records.mark_written("model", *first);
    CHECK(records.unconfirmed(kGeneration).empty());
    // A set that loses all its upstreams has had no other version.
    CHECK_FALSE(records.observe({}, kStartMs + 20));
    CHECK(records.observe({{"model", std::nullopt}}, kStartMs + 30));
    CHECK(records.sole().empty());
    CHECK(records.missing_record("model", kGeneration)->version == std::nullopt);
    // Another daemon has written it.
    records.apply_listing({{"model", encode(record(std::nullopt, kStartMs + 29))}},
                          kGeneration, kStartMs + 40);
    CHECK(records.unconfirmed(kGeneration).empty());
    // The log is restored, so the record may be lost.
    CHECK(records.unconfirmed(kGeneration + 1) == std::vector<std::string> {"model"});
}

TEST_CASE("a record whose time is later than the change is left as it is")
{
    VersionRecords records;
    records.observe({{"model", "v2"}}, kStartMs);
    records.observe({{"model", "v1"}}, kStartMs + 5000);
    records.apply_listing({{"model", encode(record("v1", kStartMs + 9000))}}, kGeneration,
                          kStartMs + 10'000);
    CHECK(records.unconfirmed(kGeneration).empty());
    CHECK(records.sole().at("model").since_ms == kStartMs + 5000);
}

/// Guards against a version that counts as the only one since before upstreams without a
/// version served the set, whose streams would then be joined to its own.
TEST_CASE("upstreams that name no version are a change of a set's versions")
{
    UpstreamTable table("a");
    Bundle bundle;
    bundle.version = 1;
    bundle.upstream_sets.emplace_back();
    bundle.upstream_sets.back().name = "model";
    UpstreamMember member;
    member.identity = "i1";
    member.upstream_set = "model";
    member.address = "10.0.0.1:1";
    member.hall = "a";
    member.slots = 4;
    VersionRecords records;
    const auto serve = [&](const std::string& version, std::int64_t at_ms) {
        member.version = version;
        records.observe(present_versions(*table.build(bundle, {member})), at_ms);
    };
    serve("v1", kStartMs);
    records.apply_listing({{"model", encode(record("v1", kMinuteMs))}}, kGeneration,
                          kStartMs + 10);
    REQUIRE(records.sole().at("model").since_ms == kMinuteMs);
    serve("", kStartMs + 1000);
    serve("v1", kStartMs + 2000);
    const RecordedVersions sole = records.sole();
    CHECK((!sole.contains("model") || sole.at("model").since_ms >= kStartMs + 2000));
}

} // namespace
} // namespace cypressford
