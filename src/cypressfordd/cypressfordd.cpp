// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// cypressfordd: the daemon that runs on every entry node.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "libserve/daemon.h"
#include "libserve/library_logs.h"

ABSL_FLAG(std::string, settings, "",
          "YAML file with the settings of this daemon; without it, the file that the "
          "variable CYPRESSFORD_SETTINGS names");

namespace {

/// Exit codes, as INSTALL.md lists them.
enum ExitCode : int { kOk = 0, kBadSettings = 2, kCannotStart = 3 };

std::string
settings_path()
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    const char* variable = std::getenv("CYPRESSFORD_SETTINGS");
    return path.empty() && variable ? variable : path;
}

tl::expected<cypressford::Settings, std::vector<cypressford::Fault>>
read_settings(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return tl::unexpected(
            std::vector<cypressford::Fault> {{0, "can't read '" + path + "'"}});
    return cypressford::parse_settings(text.str());
}

/// Blocks SIGHUP and SIGTERM during its lifetime, in this thread and in threads started
/// meanwhile: before the handlers are installed, these signals would end the process.
class BlockedSignals {
public:
    BlockedSignals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGHUP);
        sigaddset(&m_signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }
    ~BlockedSignals() { pthread_sigmask(SIG_UNBLOCK, &m_signals, nullptr); }
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
    sigset_t m_signals {};
};

/// Ends the process without running destructors of static objects.  One of them waits for
/// the logging library's unused thread pool, which blocks all signals: on a platform that
/// suspends and resumes threads by signals, this wait would never end and the stopped
/// daemon would remain until it is killed.  Log lines are written at once, so none is lost.
[[noreturn]] void
end_process(int code)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    std::exit(code); // sanitizers report at exit
#else
    std::quick_exit(code);
#endif
}

} // namespace

int
main(int argc, char** argv)
{
    using namespace cypressford;
    auto blocked_signals = std::make_unique<BlockedSignals>();
    absl::SetProgramUsageMessage("Serves multi-stage model pipelines.\n"
                                 "Example: cypressfordd --settings=/etc/cypressford.yaml");
    absl::ParseCommandLine(argc, argv);
    const std::string path = settings_path();
    auto settings = read_settings(path);
    if (!settings) {
        std::cerr << format_faults(path, settings.error());
        return kBadSettings;
    }
    open_log({settings->hall, settings->node}, settings->log_file, settings->log_level,
             settings->log_lines_per_s);
    log_libraries();
    int code = kOk;
    {
        Daemon daemon(*std::move(settings), [path] { return read_settings(path); });
        blocked_signals.reset(); // the daemon has installed its handlers
        if (const auto started = daemon.start()) {
            daemon.run_until_stopped();
        } else {
            std::cerr << "cypressfordd: " << started.error().detail << '\n';
            code = kCannotStart;
        }
    }
    end_process(code);
}
