// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/directory.h>

#include "kernel.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Follows a directory on the platform and brings configuration and upstreams
/// into force.  Lives on the control thread.
class DirectoryWatch {
public:
    DirectoryWatch(boost::asio::io_context& io, Kernel& kernel);

    void start();

    /// Called after each change of the snapshot.
    void on_change(std::function<void()> action) { m_on_change = std::move(action); }

    /// Called with records of daemons that are new.
    void on_daemons(std::function<void(std::vector<DaemonRecord>)> action)
    {
        m_on_daemons = std::move(action);
    }

    /// Tells the other daemons at once that this one is stopping.
    void announce_stop();

private:
    boost::asio::awaitable<void> follow_daemons();
    boost::asio::awaitable<void> publish_own();
    boost::asio::awaitable<void> publish_once();
    void take_daemons(const std::vector<DirectoryRecord>& records);
    boost::asio::awaitable<void> follow_configuration();
    boost::asio::awaitable<void> follow_upstreams();
    boost::asio::awaitable<Result<Offset>> list_configuration();
    boost::asio::awaitable<Result<Offset>> list_upstreams();
    boost::asio::awaitable<Result<DirectoryPage>> newest(DirectoryTopic topic,
                                                         std::string after);
    boost::asio::awaitable<Result<DirectoryPage>> read(DirectoryTopic topic, Offset from,
                                                       Micros wait);
    boost::asio::awaitable<HttpResponse> call(HttpRequest request, Micros patience);
    boost::asio::awaitable<void> pause(Micros time);

    void take_configuration(const DirectoryRecord& record);
    void take_upstream(const DirectoryRecord& record, bool after_outage);
    void note_contact(bool reached);
    void bring_into_force();

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    const std::unique_ptr<DirectoryDialect> m_dialect;
    HttpClient m_client;
    DirectoryFold m_fold;
    std::uint64_t m_applied_version = 0;
    std::uint64_t m_applied_revision = 0;
    Micros m_last_contact = 0;
    bool m_reached = true;
    bool m_upstreams_listed = false;
    std::uint64_t m_own_sequence = 0;
    std::function<void()> m_on_change;
    std::function<void(std::vector<DaemonRecord>)> m_on_daemons;
};

} // namespace cypressford
