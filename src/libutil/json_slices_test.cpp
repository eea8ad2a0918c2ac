// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Failure guarded against: a value in a text is taken to end too early or too late, so
/// that its neighbours are lost or read as part of it.

#include "json_slices.h"

#include <string>

#include <doctest/doctest.h>

namespace cypressford {
namespace {

std::string
first_value(std::string_view text)
{
    const auto end = skip_json_value(text, 0);
    return end ? std::string(text.substr(0, *end)) : "none";
}

TEST_CASE("a value ends where JSON says that it does")
{
    CHECK(first_value("12.5, 3") == "12.5");
    CHECK(first_value("true]") == "true");
    CHECK(first_value(R"("a\"]}\\", 1)") == R"("a\"]}\\")");
    CHECK(first_value(R"({"a":"}","b":[1,{}]},{})") == R"({"a":"}","b":[1,{}]})");
    CHECK(first_value("[[],[1]],") == "[[],[1]]");
}

TEST_CASE("a value that the text does not end is not a value")
{
    for (const char* text : {"", "12", ",", R"("a)", R"("a\)", R"({"a":1)", R"({"a":"})"})
        CHECK_MESSAGE(first_value(text) == "none", text);
}

TEST_CASE("an array is found among the members of an object only")
{
    const std::string text
        = R"( { "a" : {"routes":[1]}, "b":"\"routes\":[2]", "routes" : [3] } )";
    const auto at = find_json_array(text, "routes");
    REQUIRE(at);
    CHECK(text.substr(*at, 2) == "3]");
    for (const char* other :
         {"", "[]", "{", R"({"routes":{}})", R"({"a":[1]})", R"({"a" 1,"routes":[]})",
          R"([{"routes":[]}])", R"({"a":1 "routes":[]})"})
        CHECK_MESSAGE(!find_json_array(other, "routes"), other);
}

} // namespace
} // namespace cypressford
