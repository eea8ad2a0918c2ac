// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/daemon_table.h>

#include "libutil/boot_clock.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Watches one query to the reader of a hall.  A reader answers no query while it applies a
/// large change; if its followers suspected it then, all of them would read the same change
/// from the directory at once.  Once an answer is late, keepalive requests are sent to the
/// reader: to its address for peers, where another thread answers, and as an empty query to
/// its feed over a new connection.  Lives on the control thread.
class ReaderWatch : public std::enable_shared_from_this<ReaderWatch> {
public:
    ReaderWatch(boost::asio::io_context& io, HttpClient& client, DaemonRecord reader);

    /// The call that carries the query; cancelled if the reader answers no keepalive
    /// request, or if it answers over other connections only.
    const std::shared_ptr<CallHandle>& call() const { return m_call; }

    /// Sends keepalive requests from `late_at` on, until the answer starts or the watch
    /// ends; each must be answered within the timeout.
    boost::asio::awaitable<void> run(Micros late_at, Micros keepalive_timeout);

    /// The answer has started to arrive.
    void on_answer_started();
    /// The query was answered or cancelled, or it failed.
    void end();

    /// The answer is late and the reader answers keepalive requests, or the answer is
    /// arriving.
    bool is_busy() const { return !m_ended && (m_answer_started || m_answered_keepalive); }
    bool answered_keepalive() const { return m_answered_keepalive; }
    bool is_unresponsive() const { return m_unresponsive; }
    /// The reader answers, but not over the connection of this query.
    bool is_connection_dead() const { return m_connection_dead; }

private:
    bool is_finished() const { return m_answer_started || m_ended; }
    bool has_keepalive() const { return m_peers_answers || m_feed_answers; }
    void request_keepalives(Micros until);
    boost::asio::awaitable<bool> is_answered(const std::string& address,
                                             HttpRequest request, CallOptions options);
    boost::asio::awaitable<void> query_peers_address(Micros until);
    boost::asio::awaitable<void> query_feed_address(Micros until);
    /// Returns earlier if an answer arrives or the watch ends.
    boost::asio::awaitable<void> wait_until(Micros time);

    boost::asio::io_context& m_io;
    HttpClient& m_client;
    const DaemonRecord m_reader;
    BootTimer m_timer;
    std::shared_ptr<CallHandle> m_call = std::make_shared<CallHandle>();
    bool m_answer_started = false;
    bool m_ended = false;
    bool m_answered_keepalive = false;
    bool m_unresponsive = false;
    bool m_connection_dead = false;
    bool m_peers_answers = false; ///< since keepalive requests were last sent
    bool m_feed_answers = false; ///< the same
};

} // namespace cypressford
