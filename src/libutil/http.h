// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 messages as plain values, so that other headers do not depend on Beast.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cypressford {

/// Header fields in the order in which they were received or added.
class HttpHeaders {
public:
    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }
    /// Value of the first field of that name, ignoring case; empty if there is none.
    std::string_view get(std::string_view name) const;
    /// Values of all fields of that name, ignoring case, in order.
    std::vector<std::string_view> all(std::string_view name) const;
    /// Removes all fields of that name, ignoring case.
    void remove(std::string_view name);
    const std::vector<std::pair<std::string, std::string>>& fields() const
    {
        return m_fields;
    }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    /// The target without its query.
    std::string_view path() const;
    /// Value of a query parameter, still percent-encoded; empty if there is none.
    std::string_view query(std::string_view name) const;
};

/// Percent-encodes the text for use in a query (RFC 3986, 2.1).
std::string percent_encoded(std::string_view text);

/// A POST of a protocol buffers message to another daemon.
HttpRequest protobuf_post(std::string target, std::string body);

struct HttpResponse {
    int status = 200;
    std::string content_type = "application/json"; ///< empty: taken from `headers`
    HttpHeaders headers;
    std::string body;
};

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1) and the fields that frame the body,
/// because the body is framed anew when the message is forwarded.
void remove_connection_fields(HttpHeaders& headers);

/// An address as "ip:port".
struct Address {
    std::string ip;
    unsigned short port = 0;
};

/// Never throws: an empty ip means that the text is not an address.
Address parse_address(std::string_view text);

} // namespace cypressford
