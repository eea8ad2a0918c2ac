// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/bundle_fold.h>

#include <doctest/doctest.h>

#include "libutil/crypto.h"

using namespace cypressford;

namespace {

std::string
bundle_text(int version, int builds_on, const char* priority = "1")
{
    return "name: daily\nversion: " + std::to_string(version)
        + "\nbuilds_on: " + std::to_string(builds_on)
        + "\nupstreams:\n"
          "  - {name: desk, kind: service, slots: 2, halls: {riga-1: [\"127.0.0.1:9\"]}}\n"
          "pipelines:\n"
          "  - name: lookup\n    deadline_ms: 500\n    priority: "
        + priority + "\n    stages: [{name: look, kind: call, upstreams: desk}]\n";
}

/// An operator with a key pair, and the trust settings of a fold that accepts its records.
struct Operator {
    KeyPair keys = *make_key_pair();
    BundleTrust trust {{keys.public_hex}, std::string(32, 'k')};

    std::string publish(int version, int builds_on, const char* priority = "1") const
    {
        const Bundle bundle = *parse_bundle_yaml(bundle_text(version, builds_on, priority));
        BundleRecord record;
        record.name = bundle.name;
        record.version = bundle.version;
        record.bundle = canonical_json(bundle);
        return encode(*sign_record(record, keys.private_pem));
    }
    std::string record_of(BundleAction action, std::uint64_t version) const
    {
        BundleRecord record;
        record.action = action;
        record.name = "daily";
        record.version = version;
        return encode(*sign_record(record, keys.private_pem));
    }
    std::string evacuation_record(BundleAction action, const std::string& hall,
                                  std::uint64_t number) const
    {
        BundleRecord record;
        record.action = action;
        record.name = hall;
        record.version = number;
        return encode(*sign_record(record, keys.private_pem));
    }
    std::string roll(std::uint64_t version) const
    {
        return record_of(BundleAction::Roll, version);
    }
};

} // namespace

TEST_CASE("a bundle is unchanged by a round trip through its canonical form")
{
    const Bundle bundle = *parse_bundle_yaml(bundle_text(3, 2));
    const std::string text = canonical_json(bundle);
    const auto again = parse_bundle_json(text);
    REQUIRE(again);
    CHECK(canonical_json(*again) == text);
    CHECK(again->pipelines[0].deadline == 500 * kMillisecond);
}

TEST_CASE("all faults of a bundle are reported at once, with their lines")
{
    const auto bundle = parse_bundle_yaml("name: x\nversion: nine\nspare: 1\npipelines:\n"
                                          "  - {name: p, priority: 1, deadline_ms: 0}\n");
    REQUIRE_FALSE(bundle);
    REQUIRE(bundle.error().size() == 3);
    CHECK(bundle.error()[0].line == 2);
    CHECK(bundle.error()[1].line == 5);
    CHECK(bundle.error()[2].line == 3);
}

TEST_CASE("of two conflicting bundles the first one in the log is accepted")
{
    const Operator op;
    BundleFold fold(op.trust);
    CHECK(fold.apply(0, op.publish(1, 0)) == FoldResult::Accepted);
    CHECK(fold.apply(1, op.roll(1)) == FoldResult::Accepted);
    CHECK(fold.apply(2, op.publish(2, 1, "2")) == FoldResult::Accepted);
    CHECK(fold.apply(3, op.publish(2, 1, "3")) == FoldResult::Conflict);
    CHECK(fold.apply(4, op.publish(3, 1)) == FoldResult::Conflict);
    CHECK(fold.apply(5, op.publish(2, 1, "2")) == FoldResult::Repeated);
    CHECK(fold.apply(6, op.roll(2)) == FoldResult::Accepted);
    CHECK(fold.apply(7, op.roll(1)) == FoldResult::Conflict);
    REQUIRE(fold.in_force());
    CHECK(fold.in_force()->version == 2);
    CHECK(fold.in_force()->pipelines[0].priority == 2);
}

TEST_CASE("records that are not signed by a known operator change nothing")
{
    const Operator op;
    const Operator stranger;
    BundleFold fold(op.trust);
    CHECK(fold.apply(0, stranger.publish(1, 0)) == FoldResult::BadSignature);
    std::string altered = op.publish(1, 0);
    altered.replace(altered.find("lookup"), 6, "looked");
    CHECK(fold.apply(1, altered) == FoldResult::BadSignature);
    CHECK(fold.apply(2, "no json") == FoldResult::BadBundle);
    CHECK(fold.newest_version() == 0);
}

TEST_CASE(
    "a fold that missed records needs a snapshot and never returns to an older bundle")
{
    const Operator op;
    BundleFold full(op.trust);
    full.apply(0, op.publish(1, 0));
    full.apply(1, op.roll(1));
    full.apply(2, op.publish(2, 1));
    const std::string snapshot = encode(full.snapshot());

    BundleFold late(op.trust);
    late.on_first_retained(2);
    CHECK(late.apply(2, op.publish(2, 1)) == FoldResult::NoBase);
    CHECK(late.apply(3, snapshot) == FoldResult::Accepted);
    CHECK(late.in_force_version() == 1);
    CHECK(late.newest_version() == 2);
    // A snapshot that another record precedes in the log has no effect.
    BundleFold later(op.trust);
    later.on_first_retained(4);
    CHECK(later.apply(4, snapshot) == FoldResult::Conflict);
    CHECK(later.in_force() == nullptr);
    // An outdated snapshot from a peer does not revert a newer state.
    late.apply(4, op.roll(2));
    CHECK(late.adopt(snapshot) == FoldResult::Repeated);
    CHECK(late.in_force_version() == 2);
    std::string forged = snapshot;
    forged.replace(forged.find("\"in_force\":1"), 12, "\"in_force\":2");
    CHECK(BundleFold(op.trust).adopt(forged) == FoldResult::BadSignature);
}

TEST_CASE("an older evacuation record that is appended late has no effect")
{
    const Operator op;
    BundleFold fold(op.trust);
    using Halls = std::vector<std::string>;
    CHECK(fold.apply(0, op.evacuation_record(BundleAction::Evacuate, "north", 1))
          == FoldResult::Accepted);
    CHECK(fold.evacuations().halls() == Halls {"north"});
    CHECK(fold.apply(1, op.evacuation_record(BundleAction::EndEvacuation, "north", 2))
          == FoldResult::Accepted);
    CHECK(fold.evacuations().halls().empty());
    // The first record again: its append was not acknowledged and takes effect late.
    CHECK(fold.apply(2, op.evacuation_record(BundleAction::Evacuate, "north", 1))
          == FoldResult::Conflict);
    CHECK(fold.apply(3, op.evacuation_record(BundleAction::EndEvacuation, "north", 2))
          == FoldResult::Repeated);
    CHECK(fold.apply(4, op.evacuation_record(BundleAction::Evacuate, "", 3))
          == FoldResult::BadBundle);
    CHECK(fold.evacuations().halls().empty());
}

TEST_CASE("a snapshot contains evacuations, and a forged snapshot is refused")
{
    const Operator op;
    BundleFold fold(op.trust);
    fold.apply(0, op.publish(1, 0));
    fold.apply(1, op.evacuation_record(BundleAction::Evacuate, "north", 1));
    BundleFold fresh(op.trust);
    CHECK(fresh.adopt(encode(fold.snapshot())) == FoldResult::Accepted);
    CHECK(fresh.evacuations().halls() == std::vector<std::string> {"north"});
    std::string forged = encode(fold.snapshot());
    forged.replace(forged.find("north"), 5, "south");
    CHECK(BundleFold(op.trust).adopt(forged) == FoldResult::BadSignature);
}
