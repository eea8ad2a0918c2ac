// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <doctest/doctest.h>

#include "event_splitter.h"

namespace cypressford {
namespace {

// Guards against an event that is joined from the bytes of two calls.
TEST_CASE("the bytes of one call don't complete the event of another")
{
    EventSplitter first;
    EventSplitter second;
    StreamPosition position;
    std::string out;
    CHECK(first.feed("id: 1\ndata: a1").empty());
    CHECK(position.advance(second.feed("id: 1\ndata: b1\n\nid: 2\nda"), out));
    CHECK(first.feed(" more\n\n") == "id: 1\ndata: a1 more\n\n");
    CHECK(position.advance(second.feed("ta: b2\n\n"), out));
    CHECK(out == "id: 1\ndata: b1\n\nid: 2\ndata: b2\n\n");
    CHECK(position.last_id() == "2");
    CHECK_FALSE(second.has_partial());
}

// Guards against an end of an event that is missed because it arrives in two chunks.
TEST_CASE("events are found however their bytes are split into chunks")
{
    const std::string text = "id: 1\ndata: a\n\ndata: b\n\nid: x\ndata: c\n\nid: 4\nda";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        EventSplitter splitter;
        StreamPosition position;
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += size)
            CHECK(position.advance(splitter.feed(text.substr(at, size)), out));
        CHECK(out == text.substr(0, text.rfind("id: 4")));
        CHECK(position.last_id() == "x");
        CHECK(splitter.has_partial());
    }
}

// Guards against events that a caller gets twice from an upstream that starts over.
TEST_CASE("events are passed on up to the first whose id does not increase")
{
    StreamPosition position;
    std::string out;
    CHECK(position.advance("id: 1\n\nid: 3\n\n", out));
    CHECK_FALSE(position.advance("id: 4\n\nid: 4\n\nid: 5\n\n", out));
    CHECK(out == "id: 1\n\nid: 3\n\nid: 4\n\n");
    CHECK(position.last_id() == "4");
}

} // namespace
} // namespace cypressford
