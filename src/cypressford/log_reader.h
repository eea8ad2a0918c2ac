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

/// One event, which is one line of a log.
struct LoggedEvent {
    std::uint64_t stamp = 0; ///< of the hybrid logical clock
    std::string line; ///< the text from its first key on
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty if the line has no such field.
    std::string_view text(std::string_view key) const;
    /// 0 if the line has no such field, or its value is not a number.
    std::int64_t number(std::string_view key) const;
    /// Time at which the event was logged, in ms since 1970.
    std::int64_t wall_ms() const;
};

/// Lines that are left out, by reason, and clock steps, whose events are kept.
struct LogFaults {
    std::size_t foreign = 0; ///< without hlc=, such as output of another program
    std::size_t cut = 0; ///< starts like an event, but has no valid stamp, name or end
    std::size_t clock_steps = 0; ///< events stamped before their node's previous one
};

/// Appends the events of one file.  Lines may have other text before their pairs.
void read_events(std::string_view text, std::vector<LoggedEvent>& events,
                 LogFaults& faults);

/// Sorts by the hybrid logical clock: a cause always precedes its effects.
void sort_events(std::vector<LoggedEvent>& events);

} // namespace cypressford
