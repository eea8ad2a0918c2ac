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

/// Calls to the platform's directory.  Lives on the control thread.
class DirectoryStore {
public:
    DirectoryStore(boost::asio::io_context& io, Kernel& kernel);

    /// The newest record of each key after `after`.
    boost::asio::awaitable<Result<DirectoryPage>> newest(DirectoryTopic topic,
                                                         std::string after);
    /// Records from an offset on; held up to `wait` until there is one.
    boost::asio::awaitable<Result<DirectoryPage>> read(DirectoryTopic topic, Offset from,
                                                       Micros wait);
    /// After an error the record may or may not have been stored.
    boost::asio::awaitable<Result<void>> append(DirectoryTopic topic,
                                                DirectoryRecord record);

    /// Called with the log's generation when an answer reports a different generation than
    /// the answers before.
    void on_generation(std::function<void(LogGeneration)> action)
    {
        m_on_generation = std::move(action);
    }

    const DirectoryDialect& dialect() const { return *m_dialect; }

    /// Logs one line about the calls since the last such line, if there were any.  `role`:
    /// of this daemon in its hall.
    void log_calls(std::string_view role);

private:
    boost::asio::awaitable<HttpResponse> call(DirectoryTopic topic, std::string_view kind,
                                              HttpRequest request, Micros timeout);

    /// Logs a change of the generation and calls m_on_generation.  False if the answer
    /// belongs to a generation that had ended before the answer arrived.
    bool record_generation(DirectoryTopic topic, const HttpResponse& response,
                           Micros requested_at);

    Kernel& m_kernel;
    const std::unique_ptr<DirectoryDialect> m_dialect;
    HttpClient m_client;
    LogGeneration m_generation = 0; ///< of the newest answer that reported one
    Micros m_generation_at = 0; ///< when it was first reported
    std::function<void(LogGeneration)> m_on_generation;
    std::map<std::string, int> m_calls; ///< since the last line, by kind and topic
};

} // namespace cypressford
