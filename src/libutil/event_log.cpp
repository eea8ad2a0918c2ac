// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "event_log.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "hybrid_clock.h"

namespace cypressford {

namespace {

struct OpenLog {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    std::string prefix; ///< hall and node
};

std::unique_ptr<OpenLog> s_log;

log4cplus::LogLevel
level_of(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string_view
name_of(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

bool
needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void
append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' || c == '\t' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void
open_log(const LogIdentity& identity, const std::string& path, LogLevel level)
{
    s_log = std::make_unique<OpenLog>();
    log4cplus::SharedAppenderPtr appender;
    if (path.empty())
        appender = new log4cplus::ConsoleAppender(false, true);
    else
        appender = new log4cplus::FileAppender(path, std::ios_base::app, true);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    s_log->logger.removeAllAppenders();
    s_log->logger.addAppender(appender);
    s_log->logger.setLogLevel(level_of(level));
    s_log->prefix = " hall=" + identity.hall + " node=" + identity.node;
}

void
close_log()
{
    s_log.reset();
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : m_level(level)
    , m_enabled(s_log && s_log->logger.isEnabledFor(level_of(level)))
{
    if (!m_enabled)
        return;
    m_line = "hlc=" + format_stamp(HybridClock::instance().tick());
    m_line += " level=";
    m_line += name_of(level);
    m_line += s_log->prefix;
    kv("event", event);
}

LogEvent::~LogEvent()
{
    if (m_enabled)
        s_log->logger.forcedLog(level_of(m_level), m_line);
}

LogEvent&
LogEvent::kv(std::string_view key, std::string_view value)
{
    if (!m_enabled)
        return *this;
    m_line += ' ';
    m_line += key;
    m_line += '=';
    append_value(m_line, value);
    return *this;
}

} // namespace cypressford
