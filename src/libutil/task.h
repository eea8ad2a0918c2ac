// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Coroutines that nobody awaits.  An exception that leaves one is logged and counted: it
/// would otherwise end a part of the daemon without a trace.

#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace cypressford {

/// Failures by name of the task.
using TaskFailures = std::map<std::string, std::uint64_t, std::less<>>;

/// Runs a task that ends by itself, such as one call or one request.  `name` is that of
/// logs and metrics and must outlive the task.  `on_failure`, if any, is called after an
/// exception, on `io`.
void spawn_task(boost::asio::io_context& io, std::string_view name,
                boost::asio::awaitable<void> task, std::function<void()> on_failure = {});

/// Runs `start()` and, whenever that ends by an exception, runs it again after a delay. The
/// delay doubles with each failure, up to a maximum, until the task has run for a while.  A
/// task that returns has ended.  What `start` captures must outlive `io`'s last run.
void spawn_restarting_task(boost::asio::io_context& io, std::string_view name,
                           std::function<boost::asio::awaitable<void>()> start);

/// Logs and counts an exception that was caught where a task is served.
void report_task_failure(std::string_view name, const std::exception_ptr& failure);

/// Exceptions that have ended tasks since the start of the process.  Thread-safe.
TaskFailures task_failures();

} // namespace cypressford
