// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "boot_clock.h"

namespace cypressford {

/// Ends the pending operations of a socket when a time limit expires.  Not thread-safe.
class SocketWatchdog {
public:
    enum class Action : unsigned char {
        Cancel, ///< the socket stays open, so that a slow caller can still be answered
        Close ///< operations that are started afterwards fail as well
    };

    SocketWatchdog(boost::asio::ip::tcp::socket& socket, Action action)
        : m_socket(socket)
        , m_action(action)
        , m_timer(socket.get_executor())
    {
    }
    ~SocketWatchdog() { disarm(); }
    SocketWatchdog(const SocketWatchdog&) = delete;
    SocketWatchdog& operator=(const SocketWatchdog&) = delete;

    void arm(BootClock::time_point at)
    {
        disarm();
        m_state = std::make_shared<State>();
        m_timer.expires_at(at);
        // The handler may already be queued when the watchdog is disarmed or destroyed, so
        // it shares ownership of the state.
        m_timer.async_wait(
            [state = m_state, &socket = m_socket, action = m_action](auto ec) {
                if (ec || !state->armed)
                    return;
                state->fired = true;
                if (action == Action::Cancel)
                    socket.cancel(ec);
                else
                    socket.close(ec);
            });
    }
    void arm(BootClock::duration time) { arm(BootClock::now() + time); }
    void disarm()
    {
        if (m_state)
            m_state->armed = false;
        m_timer.cancel();
    }
    bool fired() const { return m_state && m_state->fired; }

private:
    struct State {
        bool armed = true;
        bool fired = false;
    };
    boost::asio::ip::tcp::socket& m_socket;
    const Action m_action;
    BootTimer m_timer;
    std::shared_ptr<State> m_state;
};

} // namespace cypressford
