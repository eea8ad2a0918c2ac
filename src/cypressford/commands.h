// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "log_reader.h"

namespace cypressford {

/// Exit codes of the operators' command.
enum ExitCode : int {
    kExitOk = 0,
    kExitRefused = 1, ///< the command was valid but refused, for example after a lost race
    kExitUsage = 2, ///< invalid arguments or a file with faults
    kExitUnavailable = 3, ///< the platform or a daemon could not be reached
};

/// Values of the command line's flags.
struct CommandOptions {
    std::string platform; ///< "ip:port" of the log service
    std::string key_file; ///< operator's private key, PEM
    std::string out_file;
    std::vector<std::string> daemons; ///< "ip:port" at which daemons serve callers
    std::vector<std::string> trust; ///< operators' public keys, hex
    std::string daemon_key; ///< key shared by all daemons, hex
    std::string request; ///< timeline: print only lines that name this request
    bool json = false;
};

int keygen(const CommandOptions& options);
int bundle_command(const std::vector<std::string>& arguments,
                   const CommandOptions& options);
/// Lists, starts and ends evacuations of halls, through the project's own log.
int hall_command(const std::vector<std::string>& arguments, const CommandOptions& options);
/// Lists, releases and adds requests that were running when upstreams ended, through the
/// directory of the users' platform.
int quarantine_command(const std::vector<std::string>& arguments,
                       const CommandOptions& options);
int timeline_command(const std::vector<std::string>& files, const CommandOptions& options);

/// Reports lost requests and the scarce resources behind them, from the daemons' logs.
int losses_command(const std::vector<std::string>& files, const CommandOptions& options);

/// Appends the events of these logs; false, with an error message, if a log can't be read.
bool read_logs(const std::vector<std::string>& files, std::vector<LoggedEvent>& events,
               LogFaults& faults);

/// Reads the whole text of a file; false if it can't be read.
bool read_file(const std::string& path, std::string& text);

} // namespace cypressford
