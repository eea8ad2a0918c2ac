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
    kExitRefused = 1, ///< it was understood and refused, for example a lost race
    kExitUsage = 2, ///< wrong words or a file with faults
    kExitUnavailable = 3, ///< the platform or a daemon could not be reached
};

/// What the command line says besides the words of the command.
struct CommandOptions {
    std::string platform; ///< "ip:port" of the log service
    std::string key_file; ///< operator's private key, PEM
    std::string out_file;
    std::vector<std::string> daemons; ///< "ip:port" of callers' addresses
    std::vector<std::string> trust; ///< operators' public keys, hex
    std::string daemon_key; ///< hex
    std::string request; ///< time line: only lines that name this request
    bool json = false;
};

int keygen(const CommandOptions& options);
int bundle_command(const std::vector<std::string>& words, const CommandOptions& options);
/// Evacuations of halls on the product's own platform.
int hall_command(const std::vector<std::string>& words, const CommandOptions& options);
/// Requests under which upstreams ended, on the users' platform.
int quarantine_command(const std::vector<std::string>& words,
                       const CommandOptions& options);
int timeline_command(const std::vector<std::string>& files, const CommandOptions& options);

/// What bound and which requests were lost, from the logs of all daemons.
int losses_command(const std::vector<std::string>& files, const CommandOptions& options);

/// Adds the events of these logs; false, with a word about it, if one can't be read.
bool read_logs(const std::vector<std::string>& files, std::vector<LoggedEvent>& events,
               LogFaults& faults);

/// The whole text of a file; false if it can't be read.
bool read_file(const std::string& path, std::string& text);

} // namespace cypressford
