// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "task.h"

#include <algorithm>
#include <exception>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "event_log.h"
#include "hybrid_clock.h"
#include "pause.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t kMicrosPerMs = 1000;
constexpr std::int64_t kFirstRestartDelayUs = 20 * kMicrosPerMs;
constexpr std::int64_t kMaxRestartDelayUs = 2000 * kMicrosPerMs;
/// A task that has run for this time is restarted after the first delay again.
constexpr std::int64_t kStableTimeUs = 10'000 * kMicrosPerMs;

/// Failures by name of the task.
class FailureCounts {
public:
    void add(std::string_view name)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_counts.find(name);
        if (it == m_counts.end())
            m_counts.emplace(name, 1);
        else
            ++it->second;
    }

    TaskFailures copy()
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

    static FailureCounts& instance()
    {
        static FailureCounts counts;
        return counts;
    }

private:
    std::mutex m_mutex;
    TaskFailures m_counts;
};

std::string
description(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& e) {
        return e.what();
    } catch (...) {
        return "not a standard exception";
    }
}

void
report_failure(std::string_view name, const std::exception_ptr& failure,
               std::optional<std::int64_t> restart_delay_us = std::nullopt)
{
    FailureCounts::instance().add(name);
    LogEvent event("task_failed", LogLevel::Error);
    event.kv("task", name).kv("why", description(failure));
    if (restart_delay_us)
        event.kv("restart_ms", *restart_delay_us / kMicrosPerMs);
}

asio::awaitable<void>
run_restarting(asio::io_context& io, std::string_view name,
               std::function<asio::awaitable<void>()> start)
{
    std::int64_t delay_us = kFirstRestartDelayUs;
    for (;;) {
        const std::int64_t started = monotonic_us();
        try {
            co_await start();
            co_return;
        } catch (...) {
            if (monotonic_us() - started >= kStableTimeUs)
                delay_us = kFirstRestartDelayUs;
            report_failure(name, std::current_exception(), delay_us);
        }
        co_await pause_for(io, delay_us);
        delay_us = std::min(2 * delay_us, kMaxRestartDelayUs);
    }
}

} // namespace

void
spawn_task(asio::io_context& io, std::string_view name, asio::awaitable<void> task,
           std::function<void()> on_failure)
{
    asio::co_spawn(
        io, std::move(task),
        [name, on_failure = std::move(on_failure)](const std::exception_ptr& failure) {
            if (!failure)
                return;
            report_failure(name, failure);
            if (!on_failure)
                return;
            try {
                on_failure();
            } catch (...) {
                report_failure(name, std::current_exception());
            }
        });
}

void
spawn_restarting_task(asio::io_context& io, std::string_view name,
                      std::function<asio::awaitable<void>()> start)
{
    spawn_task(io, name, run_restarting(io, name, std::move(start)));
}

void
report_task_failure(std::string_view name, const std::exception_ptr& failure)
{
    report_failure(name, failure);
}

TaskFailures
task_failures()
{
    return FailureCounts::instance().copy();
}

} // namespace cypressford
