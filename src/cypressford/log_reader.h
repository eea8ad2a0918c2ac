// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads the logs of daemons: one line of key=value pairs for each event.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cypressford {

/// One line of a log.
struct LoggedEvent {
    std::uint64_t stamp = 0; ///< of the hybrid logical clock
    std::string line; ///< as it was written
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty if the line has no such field.
    std::string_view text(std::string_view key) const;
    /// 0 if the line has no such field, or it is no number.
    std::int64_t number(std::string_view key) const;
    /// Time of writing, in ms since 1970.
    std::int64_t wall_ms() const;
};

/// Lines that could not be used, by reason.
struct LogFaults {
    std::size_t foreign = 0; ///< without event or time: another program's, or none
    std::size_t cut = 0; ///< begins like an event of ours and ends within it
    std::size_t clock_steps = 0; ///< written earlier than the line before it
};

/// Adds the events of one file.  Lines may carry other text before their pairs.
void read_events(std::string_view text, std::vector<LoggedEvent>& events,
                 LogFaults& faults);

/// In the order of the hybrid logical clock: what caused something stands before it.
void sort_events(std::vector<LoggedEvent>& events);

} // namespace cypressford
