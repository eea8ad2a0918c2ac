// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/request_digest.h>

#include <set>
#include <vector>

#include <doctest/doctest.h>

namespace cypressford {
namespace {

TEST_CASE("requests that differ in one part, or in the split of text between parts, differ")
{
    const std::vector<RequestParts> all {
        {"POST", "h", "/a/1", "desk", "x"},   {"PUT", "h", "/a/1", "desk", "x"},
        {"POST", "i", "/a/1", "desk", "x"},   {"POST", "h", "/a/2", "desk", "x"},
        {"POST", "h", "/a/1", "", "x"},       {"POST", "h", "/a/1", "desk", "y"},
        {"POST", "h", "/a/1", "deskx", ""},   {"POST", "h", "/a/1de", "sk", "x"},
        {"POST", "h", "/a/1?q=", "desk", "x"}};
    std::set<RequestDigest> digests;
    for (const RequestParts& parts : all)
        digests.insert(digest_of(parts));
    CHECK(digests.size() == all.size());
    CHECK(digest_of(all[0]) == digest_of({"POST", "h", "/a/1", "desk", "x"}));
}

TEST_CASE("prompt parts are told apart by their id and their upstream set")
{
    const RequestDigest part = digest_of_part("model", 0xdead);
    CHECK(digest_of_part("model", 0xdead) == part);
    CHECK(digest_of_part("model", 0xbeef) != part);
    CHECK(digest_of_part("other", 0xdead) != part);
    CHECK(is_prompt_part(part));
    CHECK_FALSE(is_prompt_part(digest_of({"POST", "h", "/a/1", "desk", "x"})));
    CHECK(to_text(part).ends_with("000000000000dead"));
    CHECK(digest_from(to_bytes(part)) == part);
    std::set<std::size_t> hashes;
    for (std::uint64_t id = 0; id < 100; ++id)
        hashes.insert(RequestDigestHash {}(digest_of_part("model", id)));
    CHECK(hashes.size() == 100);
}

TEST_CASE("a digest is unchanged by a round trip through its message form")
{
    const RequestDigest digest = digest_of({"POST", "h", "/a/1", "desk", "x"});
    CHECK(digest_from(to_bytes(digest)) == digest);
    CHECK(to_text(digest).size() == 2 * RequestDigest::kBytes);
    CHECK(digest_from("short") == RequestDigest {});
}

} // namespace
} // namespace cypressford
