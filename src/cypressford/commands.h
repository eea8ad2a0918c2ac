// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

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
int timeline_command(const std::vector<std::string>& files, const CommandOptions& options);

/// The whole text of a file; false if it can't be read.
bool read_file(const std::string& path, std::string& text);

} // namespace cypressford
