// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cypressford {

namespace {

/// The empty line that ends an event.
constexpr std::string_view kEventEnd = "\n\n";

std::optional<std::string_view>
id_of(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }
    return std::nullopt;
}

} // namespace

std::string
EventSplitter::feed(std::string_view chunk)
{
    // Only the end of the buffered bytes can belong to an event end that is completed now.
    const std::size_t searched = m_partial.empty() ? 0 : m_partial.size() - 1;
    m_partial += chunk;
    const std::size_t end = std::string_view(m_partial).substr(searched).rfind(kEventEnd);
    if (end == std::string_view::npos)
        return {};
    const std::size_t size = searched + end + kEventEnd.size();
    std::string rest = m_partial.substr(size);
    m_partial.resize(size);
    return std::exchange(m_partial, std::move(rest));
}

bool
StreamPosition::advance(std::string_view events, std::string& out)
{
    while (!events.empty()) {
        const std::size_t end = events.find(kEventEnd);
        const std::string_view event = events.substr(
            0, end == std::string_view::npos ? end : end + kEventEnd.size());
        if (!take_id(event))
            return false;
        out += event;
        events.remove_prefix(event.size());
    }
    return true;
}

bool
StreamPosition::take_id(std::string_view event)
{
    const auto id = id_of(event);
    if (!id)
        return true;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(id->data(), id->data() + id->size(), number);
    const bool is_number = error == std::errc {} && end == id->data() + id->size();
    if (is_number && m_last_number && number <= *m_last_number)
        return false;
    if (is_number)
        m_last_number = number;
    m_last_id = *id;
    return true;
}

} // namespace cypressford
