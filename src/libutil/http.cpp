// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "http.h"

#include <charconv>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

namespace cypressford {

std::string_view
HttpHeaders::get(std::string_view name) const
{
    for (const auto& [key, value] : m_fields)
        if (boost::beast::iequals(key, name))
            return value;
    return {};
}

std::vector<std::string_view>
HttpHeaders::all(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const auto& [key, value] : m_fields)
        if (boost::beast::iequals(key, name))
            values.emplace_back(value);
    return values;
}

void
HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const auto& field) {
        return boost::beast::iequals(field.first, name);
    });
}

void
remove_connection_fields(HttpHeaders& headers)
{
    std::vector<std::string> named;
    boost::algorithm::split(named, std::string(headers.get("Connection")),
                            [](char c) { return c == ',' || c == ' '; });
    for (const std::string& name : named)
        if (!name.empty())
            headers.remove(name);
    for (const std::string_view name :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
          "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
          "Content-Length", "Expect"})
        headers.remove(name);
}

std::string_view
HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view
HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
    }
    return {};
}

std::string
percent_encoded(std::string_view text)
{
    constexpr std::string_view unreserved
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned low_bits = 4;
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> low_bits];
        encoded += digits[byte & 0xfU];
    }
    return encoded;
}

HttpRequest
protobuf_post(std::string target, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.add("Content-Type", "application/x-protobuf");
    request.body = std::move(body);
    return request;
}

Address
parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const std::string_view digits = text.substr(colon + 1);
    Address address;
    const auto [end, error]
        = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc {} || end != digits.data() + digits.size())
        return {};
    boost::system::error_code ec;
    boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    if (!ec)
        address.ip = text.substr(0, colon);
    return address;
}

} // namespace cypressford
