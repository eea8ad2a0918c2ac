// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "json_slices.h"

namespace cypressford {

namespace {

constexpr std::string_view kSpace = " \t\r\n";
/// Characters that end a number, true, false or null.
constexpr std::string_view kEndOfScalar = ",]} \t\r\n";

/// `at` is the offset of the opening quote.
std::optional<std::size_t>
skip_string(std::string_view text, std::size_t at)
{
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return std::nullopt;
}

/// `at` is the offset of the opening brace or bracket.
std::optional<std::size_t>
skip_container(std::string_view text, std::size_t at)
{
    std::size_t depth = 0;
    while (at < text.size()) {
        at = text.find_first_of("\"{}[]", at);
        if (at == std::string_view::npos)
            break;
        if (text[at] == '"') {
            const auto end = skip_string(text, at);
            if (!end)
                break;
            at = *end;
            continue;
        }
        const bool opens = text[at] == '{' || text[at] == '[';
        depth += opens ? 1 : -1;
        ++at;
        if (depth == 0)
            return at;
    }
    return std::nullopt;
}

} // namespace

std::size_t
skip_json_space(std::string_view text, std::size_t at)
{
    const std::size_t end = text.find_first_not_of(kSpace, at);
    return end == std::string_view::npos ? text.size() : end;
}

std::optional<std::size_t>
skip_json_value(std::string_view text, std::size_t at)
{
    if (at >= text.size())
        return std::nullopt;
    if (text[at] == '"')
        return skip_string(text, at);
    if (text[at] == '{' || text[at] == '[')
        return skip_container(text, at);
    const std::size_t end = text.find_first_of(kEndOfScalar, at);
    if (end == at || end == std::string_view::npos)
        return std::nullopt;
    return end;
}

std::optional<std::size_t>
find_json_array(std::string_view text, std::string_view key)
{
    std::size_t at = skip_json_space(text, 0);
    if (at >= text.size() || text[at] != '{')
        return std::nullopt;
    do {
        const std::size_t name = skip_json_space(text, at + 1);
        if (name >= text.size() || text[name] != '"')
            return std::nullopt;
        const auto name_end = skip_json_value(text, name);
        if (!name_end)
            return std::nullopt;
        const std::size_t colon = skip_json_space(text, *name_end);
        if (colon >= text.size() || text[colon] != ':')
            return std::nullopt;
        const std::size_t value = skip_json_space(text, colon + 1);
        const bool is_array = value < text.size() && text[value] == '[';
        if (is_array && text.substr(name + 1, *name_end - name - 2) == key)
            return value + 1;
        const auto value_end = skip_json_value(text, value);
        if (!value_end)
            return std::nullopt;
        at = skip_json_space(text, *value_end);
    } while (at < text.size() && text[at] == ',');
    return std::nullopt;
}

} // namespace cypressford
