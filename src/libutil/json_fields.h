// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads members of JSON objects from untrusted sources: a member that is missing or of
/// the wrong type yields the fallback, never an exception.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace cypressford {

/// Which strings are accepted in JSON.  With Utf8, one string that is not valid UTF-8 makes
/// the whole message unreadable, even if another process wrote that part of the message.
enum class JsonText : unsigned char { Utf8, Any };

inline std::optional<boost::json::object>
parse_json_object(std::string_view text, JsonText texts = JsonText::Utf8)
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = texts == JsonText::Any;
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(text, error, {}, options);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

inline std::string
json_text(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string {};
}

inline bool
json_flag(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

template <class T>
T
json_integer(const boost::json::object& object, std::string_view key, T fallback)
{
    const boost::json::value* value = object.if_contains(key);
    if (!value)
        return fallback;
    boost::json::error_code error;
    const T number = value->to_number<T>(error);
    return error ? fallback : number;
}

inline double
json_number(const boost::json::object& object, std::string_view key, double fallback)
{
    const boost::json::value* value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : fallback;
}

} // namespace cypressford
