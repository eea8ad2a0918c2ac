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

/// Watches one question to the reader of a hall.  While it is at work on a large change a
/// reader answers nobody; leaving it for that would send its followers to the directory all
/// at once, for the same change.  Once an answer is late the reader is asked for signs of
/// life: at its address for peers, where another thread of it answers, and with an empty
/// question to its feed over a new connection.  Lives on the control thread.
class ReaderWatch : public std::enable_shared_from_this<ReaderWatch> {
public:
    ReaderWatch(boost::asio::io_context& io, HttpClient& client, DaemonRecord reader);

    /// The call that carries the question; cancelled if the reader gives no sign of life,
    /// or if it answers over other connections only.
    const std::shared_ptr<CallHandle>& call() const { return m_call; }

    /// Asks for signs of life from that point in time on, until the end; the reader may be
    /// without one for `sign_limit`.
    boost::asio::awaitable<void> run(Micros late_at, Micros sign_limit);

    /// The answer has begun to arrive.
    void on_answer_started();
    /// The question was answered or given up.
    void end();

    /// The answer is late and the reader gives signs of life, or the answer is arriving.
    bool is_at_work() const { return !m_ended && (m_begun || m_gave_sign); }
    bool gave_sign() const { return m_gave_sign; }
    bool is_silent() const { return m_silent; }
    /// The reader answers, but not over the connection of this question.
    bool is_connection_dead() const { return m_connection_dead; }

private:
    bool is_over() const { return m_begun || m_ended; }
    bool has_sign() const { return m_peers_answers || m_feed_answers; }
    void ask_for_signs(Micros until);
    boost::asio::awaitable<void> ask_peers_address(Micros until);
    boost::asio::awaitable<void> ask_feed_address(Micros until);
    /// Returns sooner when something was heard, or the watch is over.
    boost::asio::awaitable<void> wait_until(Micros time);

    boost::asio::io_context& m_io;
    HttpClient& m_client;
    const DaemonRecord m_reader;
    BootTimer m_timer;
    std::shared_ptr<CallHandle> m_call = std::make_shared<CallHandle>();
    bool m_begun = false;
    bool m_ended = false;
    bool m_gave_sign = false;
    bool m_silent = false;
    bool m_connection_dead = false;
    bool m_peers_answers = false; ///< since signs were last asked for
    bool m_feed_answers = false; ///< the same
};

} // namespace cypressford
