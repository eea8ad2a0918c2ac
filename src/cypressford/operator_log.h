// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Access of the operators' commands to the project's own log.

#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/bundle_fold.h>
#include <cypressford/platform.h>

#include "commands.h"

namespace cypressford {

/// Runs a coroutine to its end and returns its result.
template <class T>
T
run(boost::asio::io_context& io, boost::asio::awaitable<T> task)
{
    std::optional<T> result;
    boost::asio::co_spawn(
        io, std::move(task),
        [&result](const std::exception_ptr&, T value) { result = std::move(value); });
    io.restart();
    while (!result && io.run_one() > 0) { }
    return *std::move(result);
}

/// A client of the log service that blocks until each operation is done.
class OperatorLog {
public:
    explicit OperatorLog(const std::string& address);

    Result<Offset> append(const std::string& record);

    /// All retained records, with the offset of the first one.
    Result<std::pair<Offset, std::vector<std::string>>> read_all();

private:
    boost::asio::io_context m_io;
    std::unique_ptr<PlatformClient> m_client;
};

/// Result of applying all records of the log, with the operators of `options.trust`
/// trusted.
Result<BundleFold> read_fold(const CommandOptions& options);

/// Prints the error and returns kExitUnavailable.
int report_unavailable(const Error& error);
/// Prints the error and returns kExitUsage.
int report_bad_key(const Error& error);

/// The operator's private key; empty, with an error message, if it can't be read.
std::string read_key(const CommandOptions& options);

/// Appends until the record is found in the log: an append whose answer was lost may have
/// taken effect, and a second copy of a record has no effect.  Prints the result and
/// returns the exit code.
int append_and_report(const BundleRecord& record, const CommandOptions& options);

} // namespace cypressford
