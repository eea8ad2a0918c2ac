// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <cypressford/directory.h>

namespace cypressford {
namespace {

constexpr Micros kGracePeriod = 1200 * kMillisecond;

Bundle
version(std::uint64_t number)
{
    Bundle bundle;
    bundle.version = number;
    return bundle;
}

UpstreamRecord
record(const std::string& identity, std::uint64_t sequence, bool leaving = false)
{
    UpstreamRecord result;
    result.member = {identity, "set", "10.0.0.1:80", "hall", 1, leaving};
    result.sequence = sequence;
    return result;
}

TEST_CASE("the version of the configuration never decreases")
{
    DirectoryFold fold(kGracePeriod);
    CHECK(fold.offer_configuration(version(4)));
    CHECK_FALSE(fold.offer_configuration(version(4)));
    CHECK_FALSE(fold.offer_configuration(version(3)));
    CHECK(fold.configuration()->version == 4);
    CHECK(fold.offer_configuration(version(9)));
    CHECK(fold.configuration()->version == 9);
}

TEST_CASE("a late record does not undo that an upstream is leaving")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 5));
    fold.apply(record("a", 7, true));
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().leaving);
    fold.apply(record("a", 6));
    CHECK(fold.members().front().leaving);
    // Nor does a newer record of the same run undo it.
    fold.apply(record("a", 8));
    CHECK(fold.members().front().leaving);
}

TEST_CASE("a dropped upstream remains removed until it writes a newer record")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 5));
    fold.drop("a", 10, false);
    fold.expire(10);
    CHECK(fold.members().empty());
    fold.apply(record("a", 5));
    CHECK(fold.members().empty());
    fold.apply(record("a", 4));
    CHECK(fold.members().empty());
    fold.apply(record("a", 6));
    CHECK(fold.members().size() == 1);
}

TEST_CASE("upstreams dropped in an outage are kept for the grace period, and no longer")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 5));
    fold.apply(record("b", 5, true));
    fold.drop("a", 0, true);
    fold.drop("b", 0, true);
    fold.expire(0);
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().identity == "a");
    fold.expire(kGracePeriod - 1);
    CHECK(fold.members().size() == 1);
    fold.expire(kGracePeriod);
    CHECK(fold.members().empty());
}

TEST_CASE("a record within the grace period keeps an upstream")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 5));
    fold.drop("a", 0, true);
    fold.apply(record("a", 6));
    fold.expire(2 * kGracePeriod);
    CHECK(fold.members().size() == 1);
}

TEST_CASE("a listing drops upstreams that it does not contain")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 1));
    fold.apply(record("b", 1));
    fold.begin_listing();
    fold.apply(record("b", 1));
    fold.end_listing(0, false);
    fold.expire(0);
    REQUIRE(fold.members().size() == 1);
    CHECK(fold.members().front().identity == "b");
}

TEST_CASE("the revision counts changes only, not keepalives")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 1));
    const auto before = fold.revision();
    fold.apply(record("a", 2));
    CHECK(fold.revision() == before);
    fold.apply(record("a", 3, true));
    CHECK(fold.revision() == before + 1);
}

TEST_CASE("a record that is written again after the end of its upstream changes nothing")
{
    DirectoryFold fold(kGracePeriod);
    fold.apply(record("a", 3));
    fold.drop("a", 0, false);
    CHECK_FALSE(fold.apply(record("a", 3)));
    fold.expire(0);
    CHECK(fold.members().empty());
}

TEST_CASE("only changes that matter to other daemons are reported as such")
{
    DirectoryFold fold(kGracePeriod);
    CHECK(fold.apply(record("a", 1)));
    CHECK_FALSE(fold.apply(record("a", 2)));
    CHECK(fold.apply(record("a", 3, true)));
    CHECK(fold.apply(record("b", 1)));
    fold.drop("b", 0, true);
    // The upstream returns within its grace period.
    CHECK(fold.apply(record("b", 2)));
}

} // namespace
} // namespace cypressford
