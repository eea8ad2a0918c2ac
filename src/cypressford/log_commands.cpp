// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Commands that read the logs of all daemons.

#include <iostream>

#include "commands.h"
#include "losses.h"

namespace cypressford {

bool
read_logs(const std::vector<std::string>& files, std::vector<LoggedEvent>& events,
          LogFaults& faults)
{
    for (const std::string& path : files) {
        std::string text;
        if (!read_file(path, text)) {
            std::cerr << "can't read '" << path << "'\n";
            return false;
        }
        read_events(text, events, faults);
    }
    return true;
}

int
losses_command(const std::vector<std::string>& files, const CommandOptions& options)
{
    std::vector<LoggedEvent> events;
    LogFaults faults;
    if (!read_logs(files, events, faults))
        return kExitUsage;
    sort_events(events);
    const Losses losses = find_losses(events, faults);
    std::cout << (options.json ? losses_as_json(losses) : losses_as_text(losses)) << '\n';
    return kExitOk;
}

} // namespace cypressford
