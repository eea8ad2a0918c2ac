// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 messages as plain values, so that no other header needs Beast.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cypressford {

/// Header fields in the order they came.
class HttpHeaders {
public:
    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }
    /// Value of the first field of that name, any case; empty if there is none.
    std::string_view get(std::string_view name) const;
    /// Values of all fields of that name, any case, in order.
    std::vector<std::string_view> all(std::string_view name) const;
    /// Takes away all fields of that name, any case.
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
    /// Value of a query parameter, not decoded; empty if there is none.
    std::string_view query(std::string_view name) const;
};

/// The text as it stands in a query (RFC 3986, 2.1).
std::string percent_encoded(std::string_view text);

/// A message to another daemon, in protocol buffers.
HttpRequest protobuf_post(std::string target, std::string body);

struct HttpResponse {
    int status = 200;
    std::string content_type = "application/json"; ///< empty: as in `headers`
    HttpHeaders headers;
    std::string body;
};

/// Takes away the fields that concern one connection only (RFC 9110, 7.6.1) and
/// those that frame a body, which is framed anew.
void remove_connection_fields(HttpHeaders& headers);

/// An address as "ip:port".
struct Address {
    std::string ip;
    unsigned short port = 0;
};

/// Nothing is thrown: an empty ip means that the text is no address.
Address parse_address(std::string_view text);

} // namespace cypressford
