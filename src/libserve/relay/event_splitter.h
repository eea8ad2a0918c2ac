// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cypressford {

/// Splits the server-sent events of one call, so that only complete events are passed on.
class EventSplitter {
public:
    /// Returns the events that this chunk completes, in order; empty if there are none.
    std::string feed(std::string_view chunk);

    /// True if the last event is incomplete.
    bool has_partial() const { return !m_partial.empty(); }

private:
    std::string m_partial;
};

/// How far the caller's stream has come, over all calls that contribute to it.
class StreamPosition {
public:
    /// Appends complete events to `out`, up to the first one whose id does not increase;
    /// returns false if there is one.
    bool advance(std::string_view events, std::string& out);

    /// Id of the last event; empty before the first.
    const std::string& last_id() const { return m_last_id; }

private:
    bool take_id(std::string_view event);

    std::string m_last_id;
    std::optional<std::int64_t> m_last_number; ///< of ids that are numbers
};

} // namespace cypressford
