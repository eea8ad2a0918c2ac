// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cypressford {

/// Splits a stream of server-sent events, so that only complete events are passed on and
/// the stream can resume after the last of them at another upstream.
class EventSplitter {
public:
    /// Appends the events that this chunk completes to `out`; false if their ids do not
    /// increase.
    bool feed(std::string_view piece, std::string& out)
    {
        m_partial += piece;
        for (;;) {
            const std::size_t end = m_partial.find("\n\n");
            if (end == std::string::npos)
                return true;
            const std::string_view event = std::string_view(m_partial).substr(0, end + 2);
            if (!take_id(event))
                return false;
            out += event;
            m_partial.erase(0, end + 2);
        }
    }

    /// Drops an incomplete event.
    void drop_partial() { m_partial.clear(); }
    bool has_partial() const { return !m_partial.empty(); }

    /// Id of the last complete event; empty before the first.
    const std::string& last_id() const { return m_last_id; }

private:
    static std::optional<std::string_view> id_of(std::string_view event)
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

    bool take_id(std::string_view event)
    {
        const auto id = id_of(event);
        if (!id)
            return true;
        std::int64_t number = 0;
        const auto [end, error]
            = std::from_chars(id->data(), id->data() + id->size(), number);
        const bool is_number = error == std::errc {} && end == id->data() + id->size();
        if (is_number && m_last_number && number <= *m_last_number)
            return false;
        if (is_number)
            m_last_number = number;
        m_last_id = *id;
        return true;
    }

    std::string m_partial;
    std::string m_last_id;
    std::optional<std::int64_t> m_last_number;
};

} // namespace cypressford
