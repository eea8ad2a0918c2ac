// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/error.h>

#include <set>

#include <doctest/doctest.h>

using namespace cypressford;

TEST_CASE("the error table has one valid row for each kind")
{
    std::set<std::string_view> names;
    std::size_t index = 0;
    for (const ErrorRow& row : error_table()) {
        CAPTURE(row.name);
        CHECK(static_cast<std::size_t>(row.kind) == index++);
        CHECK(names.insert(row.name).second);
        CHECK(row.http_status >= 400);
        CHECK(row.http_status < 600);
        CHECK(row.grpc_code > 0);
        CHECK(row.grpc_code <= 16);
        CHECK_FALSE(row.title.empty());
        CHECK(&error_row(row.kind) == &row);
        // "Retry with the same key" is only for outcomes that are unknown.
        if (row.retry == RetryAdvice::SameKey)
            CHECK(row.ran == Ran::Unknown);
    }
    CHECK(index == kErrorKindCount);
}
