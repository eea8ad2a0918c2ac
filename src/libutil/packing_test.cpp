// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include "packing.h"

namespace cypressford {
namespace {

/// A text of `count` different entries, similar to a configuration.
std::string
entries(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += R"({"name":"r)";
        text += std::to_string(i * 7919 % 1000003);
        text += R"(","path":"/"},)";
    }
    return text;
}

TEST_CASE("unpacking returns the packed text, with and without a base")
{
    for (const int count : {0, 1, 50, 20000}) {
        const std::string value = entries(count);
        CHECK(unpack(pack(value, {}), {}) == value);
        const std::string base = entries(count / 2) + "else" + entries(count / 3);
        CHECK(unpack(pack(value, base), base) == value);
    }
}

TEST_CASE("a small change to a large text packs to a small fraction of its size")
{
    const std::string base = entries(30000);
    REQUIRE(base.size() > 600'000);
    std::string value = base;
    value.insert(value.size() / 2, "one entry more");
    CHECK(pack(value, base).size() < base.size() / 200);
    CHECK(pack(value, {}).size() < base.size() / 2);
}

TEST_CASE("a wrong base, damaged bytes and unrelated bytes are detected")
{
    const std::string base = entries(1000);
    const std::string value = entries(1001);
    const std::string packed = pack(value, base);
    CHECK_FALSE(unpack(packed, entries(999)));
    CHECK_FALSE(unpack(packed, {}));
    CHECK_FALSE(unpack(packed.substr(0, packed.size() - 1), base));
    CHECK_FALSE(unpack("no frame at all", {}));
    CHECK_FALSE(unpack({}, {}));
    std::string damaged = packed;
    damaged[damaged.size() / 2] ^= 1;
    CHECK_FALSE(unpack(damaged, base));
}

TEST_CASE("a text above the size limit is not unpacked")
{
    CHECK_FALSE(unpack(pack(std::string(kMaxUnpacked + 1, 'x'), {}), {}));
    CHECK(unpack(pack(std::string(kMaxUnpacked, 'x'), {}), {}));
}

} // namespace
} // namespace cypressford
