// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "event_log.h"

#include <algorithm>
#include <memory>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include "hybrid_clock.h"

namespace cypressford {

namespace {

/// Writes lines to a descriptor, at most a fixed number per second and without ever
/// blocking on a slow reader.  Lines that can't be written at once are dropped and counted;
/// the next line that is written is preceded by the count.
class BoundedAppender final : public log4cplus::Appender {
public:
    BoundedAppender(int descriptor, int lines_per_s)
        : m_descriptor(descriptor)
        , m_lines_per_s(lines_per_s)
    {
    }
    ~BoundedAppender() override { destructorImpl(); }

    void close() override
    {
        if (m_descriptor > STDERR_FILENO)
            ::close(m_descriptor);
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        if (!reserve_line() || !is_writable()) {
            ++m_dropped;
            return;
        }
        std::string text;
        if (m_dropped > 0)
            text = "event=log_dropped lines=" + std::to_string(m_dropped) + "\n";
        text += event.getMessage() + "\n";
        if (::write(m_descriptor, text.data(), text.size()) >= 0)
            m_dropped = 0;
        else
            ++m_dropped;
    }

private:
    /// Counts a line; true if it is within the limit for the current second.
    bool reserve_line()
    {
        constexpr std::int64_t second = 1'000'000;
        const std::int64_t now = monotonic_us();
        if (now - m_second_started_us >= second) {
            m_second_started_us = now;
            m_lines = 0;
        }
        return m_lines++ < m_lines_per_s;
    }

    bool is_writable() const
    {
        pollfd entry {m_descriptor, POLLOUT, 0};
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }

    const int m_descriptor;
    const int m_lines_per_s;
    std::int64_t m_second_started_us = 0;
    int m_lines = 0;
    std::uint64_t m_dropped = 0;
};

struct OpenLog {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    std::string prefix; ///< hall and node, as key=value pairs
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

/// True for control characters, which may occur in values from other processes, such as
/// record keys.
bool
is_control(char c)
{
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < space || byte == del;
}

bool
needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos
        || std::any_of(value.begin(), value.end(), is_control);
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
        line += is_control(c) ? ' ' : c;
    }
    line += '"';
}

} // namespace

void
open_log(const LogIdentity& identity, const std::string& path, LogLevel level,
         int lines_per_s)
{
    s_log = std::make_unique<OpenLog>();
    constexpr int mode = 0644;
    const int descriptor = path.empty()
        ? STDOUT_FILENO
        : ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    const log4cplus::SharedAppenderPtr appender(
        new BoundedAppender(descriptor, lines_per_s));
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
