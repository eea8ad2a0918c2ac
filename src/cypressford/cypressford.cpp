// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// cypressford: the operators' command.

#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "commands.h"
#include "libserve/settings.h"
#include "libutil/crypto.h"

ABSL_FLAG(std::string, platform, "127.0.0.1:7000", "ip:port of the platform's log service");
ABSL_FLAG(std::string, key, "", "file with the operator's private key (PEM)");
ABSL_FLAG(std::string, out, "", "file to write to; standard output if empty");
ABSL_FLAG(std::vector<std::string>, daemons, {},
          "callers' addresses of daemons, ip:port,...");
ABSL_FLAG(std::vector<std::string>, trust, {},
          "operators' public keys in hex, for list and hall");
ABSL_FLAG(std::string, daemon_key, "", "the daemons' common key in hex, for snapshots");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string, request, "", "timeline: only lines that name this request");

namespace cypressford {

namespace {

constexpr const char* kVersion = "0.1.0";

constexpr const char* kUsage = R"(Operators' command of cypressford.

  cypressford keygen --out=operator.pem
  cypressford bundle check bundle.yaml
  cypressford bundle sign --key=operator.pem --out=signed.json bundle.yaml
  cypressford bundle publish --platform=IP:PORT --key=operator.pem bundle.yaml
  cypressford bundle roll --platform=IP:PORT --key=operator.pem NAME VERSION
  cypressford bundle retire --platform=IP:PORT --key=operator.pem NAME VERSION
  cypressford bundle list --platform=IP:PORT --trust=PUBLIC_KEY
  cypressford bundle status --daemons=IP:PORT,IP:PORT
  cypressford hall evacuate --platform=IP:PORT --key=operator.pem HALL
  cypressford hall end-evacuation --platform=IP:PORT --key=operator.pem HALL
  cypressford hall list --platform=IP:PORT --trust=PUBLIC_KEY
  cypressford quarantine list --platform=IP:PORT
  cypressford quarantine release --platform=IP:PORT DIGEST
  cypressford quarantine add --platform=IP:PORT DIGEST
  cypressford timeline [--output=text|json] [--request=ID] a.log b.log ...
  cypressford losses [--output=text|json] a.log b.log ...
  cypressford settings check settings.yaml
  cypressford version

Exit codes: 0 done, 1 refused (for example another operator was first),
2 invalid arguments or a file with faults, 3 platform or daemon unreachable.)";

int
settings_check(const std::string& path)
{
    std::string text;
    if (!read_file(path, text)) {
        std::cerr << "can't read '" << path << "'\n";
        return kExitUsage;
    }
    const auto settings = parse_settings(text);
    if (settings) {
        std::cout << path << ": ok\n";
        const std::string opt_ins = names_of_opt_ins(settings->scheduler.switches);
        if (!opt_ins.empty())
            std::cout << "with: " << opt_ins << '\n';
        return kExitOk;
    }
    std::cerr << format_faults(path, settings.error());
    return kExitUsage;
}

CommandOptions
read_options()
{
    CommandOptions options;
    options.platform = absl::GetFlag(FLAGS_platform);
    options.key_file = absl::GetFlag(FLAGS_key);
    options.out_file = absl::GetFlag(FLAGS_out);
    options.daemons = absl::GetFlag(FLAGS_daemons);
    options.trust = absl::GetFlag(FLAGS_trust);
    options.daemon_key = absl::GetFlag(FLAGS_daemon_key);
    options.request = absl::GetFlag(FLAGS_request);
    options.json = absl::GetFlag(FLAGS_output) == "json";
    return options;
}

int
dispatch(std::vector<std::string> arguments)
{
    const CommandOptions options = read_options();
    const std::string command = arguments.empty() ? "" : arguments.front();
    if (!arguments.empty())
        arguments.erase(arguments.begin());
    if (command == "keygen")
        return keygen(options);
    if (command == "bundle")
        return bundle_command(arguments, options);
    if (command == "hall")
        return hall_command(arguments, options);
    if (command == "quarantine")
        return quarantine_command(arguments, options);
    if (command == "timeline")
        return timeline_command(arguments, options);
    if (command == "losses" && !arguments.empty())
        return losses_command(arguments, options);
    if (command == "settings" && arguments.size() == 2 && arguments[0] == "check")
        return settings_check(arguments[1]);
    if (command == "version") {
        std::cout << "cypressford " << kVersion << '\n';
        return kExitOk;
    }
    std::cerr << kUsage << '\n';
    return kExitUsage;
}

} // namespace

bool
read_file(const std::string& path, std::string& text)
{
    std::ifstream file(path);
    std::stringstream stream;
    stream << file.rdbuf();
    text = stream.str();
    return static_cast<bool>(file);
}

int
keygen(const CommandOptions& options)
{
    const auto pair = make_key_pair();
    if (!pair) {
        std::cerr << pair.error().detail << '\n';
        return kExitUnavailable;
    }
    if (options.out_file.empty()) {
        std::cout << pair->private_pem;
    } else {
        std::ofstream file(options.out_file);
        file << pair->private_pem;
        if (!file.flush()) {
            std::cerr << "can't write '" << options.out_file << "'\n";
            return kExitUsage;
        }
    }
    std::cout << pair->public_hex << '\n';
    return kExitOk;
}

} // namespace cypressford

int
main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(cypressford::kUsage);
    std::vector<std::string> arguments;
    for (const char* word : absl::ParseCommandLine(argc, argv))
        arguments.emplace_back(word);
    arguments.erase(arguments.begin());
    return cypressford::dispatch(std::move(arguments));
}
