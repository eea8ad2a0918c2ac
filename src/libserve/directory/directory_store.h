// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/directory.h>

#include "libserve/kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Calls of the platform's directory.  Lives on the control thread.
class DirectoryStore {
public:
    DirectoryStore(boost::asio::io_context& io, Kernel& kernel);

    /// The newest record of each key behind `after`.
    boost::asio::awaitable<Result<DirectoryPage>> newest(DirectoryTopic topic,
                                                         std::string after);
    /// Records from an offset on; waits up to `wait` for one.
    boost::asio::awaitable<Result<DirectoryPage>> read(DirectoryTopic topic, Offset from,
                                                       Micros wait);
    /// An error says that the record may or may not be there.
    boost::asio::awaitable<Result<void>> append(DirectoryTopic topic,
                                                DirectoryRecord record);

    /// Called with the log's generation when an answer tells another one than the last.
    void on_generation(std::function<void(LogGeneration)> action)
    {
        m_on_generation = std::move(action);
    }

    const DirectoryDialect& dialect() const { return *m_dialect; }

    /// One log line on the calls since the last such line, if there were any.  `role`: of
    /// this daemon.
    void log_calls(std::string_view role);

private:
    boost::asio::awaitable<HttpResponse> call(DirectoryTopic topic, std::string_view kind,
                                              HttpRequest request, Micros wait_limit);

    /// Logs and passes on another generation than the last.  False if the answer is of one
    /// that was over before it came.
    bool record_generation(DirectoryTopic topic, const HttpResponse& response,
                           Micros requested_at);

    Kernel& m_kernel;
    const std::unique_ptr<DirectoryDialect> m_dialect;
    HttpClient m_client;
    LogGeneration m_generation = 0; ///< of the newest answer that told one
    Micros m_generation_at = 0; ///< when it was first told
    std::function<void(LogGeneration)> m_on_generation;
    std::map<std::string, int> m_calls; ///< since the last line, by kind and topic
};

} // namespace cypressford
