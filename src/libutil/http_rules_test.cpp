// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Failures guarded against: a request runs with a body that its caller did not send, or an
/// answer is passed on with its framing as its body, because a transfer coding is ignored;
/// a request is matched by one of two hosts and run as one for the other.

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "http_rules.h"

namespace cypressford {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Row {
    Fields fields;
    std::string_view of_request;
    std::string_view of_answer;
};

TEST_CASE("requests and answers whose meaning is in doubt have a fault")
{
    const std::string coding = "Transfer-Encoding";
    for (const Row& row : std::vector<Row> {
             {{}, "", ""},
             {{{"Host", "a"}, {coding, "chunked"}}, "", ""},
             {{{coding, "Chunked"}}, "", ""},
             {{{coding, "xchunked"}}, "transfer_coding", "transfer_coding"},
             {{{coding, "chunked, identity"}}, "transfer_coding", "transfer_coding"},
             {{{coding, "gzip, chunked"}}, "transfer_coding", "transfer_coding"},
             {{{coding, "gzip"}, {coding, "chunked"}},
              "transfer_coding",
              "transfer_coding"},
             {{{coding, ""}}, "transfer_coding", "transfer_coding"},
             {{{"Host", "a"}, {"host", "a"}}, "several_hosts", ""},
         }) {
        HttpRequest request;
        HttpResponse response;
        for (const auto& [name, value] : row.fields) {
            request.headers.add(name, value);
            response.headers.add(name, value);
        }
        CHECK(request_fault(request) == row.of_request);
        CHECK(answer_fault(response) == row.of_answer);
    }
}

} // namespace
} // namespace cypressford
