// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One line of key=value pairs for each event, through log4cplus.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cypressford {

enum class LogLevel : unsigned char { Debug, Info, Warn, Error };

/// Origin of the log lines; written in every line.
struct LogIdentity {
    std::string hall;
    std::string node;
};

/// Default for the maximum number of lines that a process writes per second.
inline constexpr int kLogLinesPerSecond = 1000;

/// Opens the log.  An empty path logs to standard output.  Lines above `lines_per_s`, and
/// lines that the descriptor can't accept at once, are dropped and counted; logging never
/// blocks.
void open_log(const LogIdentity& identity, const std::string& path, LogLevel level,
              int lines_per_s = kLogLinesPerSecond);

/// Flushes and closes the log.
void close_log();

/// Collects one event and writes it when it goes out of scope:
///     LogEvent("stage_done").kv("request", id).kv("stage", name);
class LogEvent {
public:
    explicit LogEvent(std::string_view event, LogLevel level = LogLevel::Info);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    LogEvent& kv(std::string_view key, std::string_view value);
    LogEvent& kv(std::string_view key, const char* value)
    {
        return kv(key, std::string_view(value));
    }
    LogEvent& kv(std::string_view key, bool value)
    {
        return kv(key, value ? "true" : "false");
    }
    template <class Number>
        requires std::is_arithmetic_v<Number>
    LogEvent& kv(std::string_view key, Number value)
    {
        return kv(key, std::string_view(std::to_string(value)));
    }

private:
    LogLevel m_level;
    bool m_enabled;
    std::string m_line;
};

} // namespace cypressford
