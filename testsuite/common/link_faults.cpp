// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Replaces socket functions in a daemon of the tests, to cut its TCP links to certain
/// ports.  A proxy cannot do this: it sits between a port and all daemons, and it accepts
/// connections that a cut link would never establish.
///
/// The file named by LINK_FAULTS holds a mode and ports on loopback, separated by blanks,
/// and is read again every kPollInterval.  Modes: pass; hang (nothing arrives, and
/// connections are not established); reset (connections are reset, also new ones); refuse
/// (open connections stay usable, new ones are refused).

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <set>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr std::chrono::milliseconds kPollInterval {5};
constexpr int kMaxDescriptors = 20'000;
constexpr int kPorts = 65'536;

enum class Mode : unsigned char { Pass, Hang, Reset, Refuse };

/// What is known of a descriptor.
enum class Link : unsigned char {
    None, ///< not a connection to one of the ports
    Open,
    Broken ///< bytes were lost
};

std::atomic<Mode> s_mode {Mode::Pass};
std::array<std::atomic<bool>, kPorts> s_ports {};
std::array<std::atomic<Link>, kMaxDescriptors> s_links {};
sockaddr_in s_black_hole {};

template <class Function>
Function
next(const char* name)
{
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using Connect = int (*)(int, const sockaddr*, socklen_t);
using Close = int (*)(int);
using SendMsg = ssize_t (*)(int, const msghdr*, int);
using RecvMsg = ssize_t (*)(int, msghdr*, int);
using Send = ssize_t (*)(int, const void*, size_t, int);
using Recv = ssize_t (*)(int, void*, size_t, int);

/// An address whose backlog is full: connections to it stay in progress.
void
open_black_hole()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    s_black_hole.sin_family = AF_INET;
    s_black_hole.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof s_black_hole;
    auto* address = reinterpret_cast<sockaddr*>(&s_black_hole);
    if (bind(listener, address, size) != 0 || listen(listener, 0) != 0
        || getsockname(listener, address, &size) != 0)
        std::abort();
    constexpr int more_than_the_backlog = 3;
    for (int i = 0; i < more_than_the_backlog; ++i)
        next<Connect>("connect")(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), address,
                                 size);
}

Mode
mode_named(const std::string& name)
{
    if (name == "hang")
        return Mode::Hang;
    if (name == "reset")
        return Mode::Reset;
    return name == "refuse" ? Mode::Refuse : Mode::Pass;
}

/// Makes pending operations of these connections return.
void
shut_down(Link state)
{
    for (int fd = 0; fd < kMaxDescriptors; ++fd)
        if (s_links[fd].load() == state)
            shutdown(fd, SHUT_RDWR);
}

void
apply(Mode mode)
{
    const Mode before = s_mode.exchange(mode);
    if (before == mode)
        return;
    if (mode == Mode::Reset)
        shut_down(Link::Open);
    if (before == Mode::Hang)
        shut_down(Link::Broken);
}

void
poll_file(const std::string& path)
{
    for (;;) {
        std::ifstream file(path);
        std::string mode;
        if (file >> mode) {
            for (int port = 0; file >> port;)
                s_ports.at(static_cast<std::size_t>(port)).store(true);
            apply(mode_named(mode));
        }
        std::this_thread::sleep_for(kPollInterval);
    }
}

/// Called by the first connection.
void
start_once()
{
    static const bool started = [] {
        if (const char* path = std::getenv("LINK_FAULTS")) {
            open_black_hole();
            std::thread(poll_file, std::string(path)).detach();
            std::this_thread::sleep_for(4 * kPollInterval);
        }
        return true;
    }();
    (void)started;
}

Link
link_of(int fd)
{
    return fd >= 0 && fd < kMaxDescriptors ? s_links[static_cast<std::size_t>(fd)].load()
                                           : Link::None;
}

void
set_link(int fd, Link link)
{
    if (fd >= 0 && fd < kMaxDescriptors)
        s_links[static_cast<std::size_t>(fd)].store(link);
}

ssize_t
fail_with(int error)
{
    errno = error;
    return -1;
}

/// What sending `size` bytes returns; 0: they are to be sent.
ssize_t
faulty_send(int fd, size_t size)
{
    const Link link = link_of(fd);
    const Mode mode = s_mode.load();
    if (link == Link::None || mode == Mode::Refuse)
        return 0;
    if (mode == Mode::Reset)
        return fail_with(ECONNRESET);
    if (mode == Mode::Pass && link == Link::Open)
        return 0;
    set_link(fd, Link::Broken);
    return static_cast<ssize_t>(size);
}

/// What receiving returns; 0: bytes are to be received.
ssize_t
faulty_receive(int fd)
{
    const Link link = link_of(fd);
    const Mode mode = s_mode.load();
    if (link == Link::None || mode == Mode::Refuse)
        return 0;
    if (mode == Mode::Reset)
        return fail_with(ECONNRESET);
    if (mode == Mode::Hang)
        return fail_with(EAGAIN);
    return link == Link::Broken ? fail_with(ECONNRESET) : 0;
}

size_t
size_of(const msghdr* message)
{
    size_t size = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i)
        size += message->msg_iov[i].iov_len;
    return size;
}

} // namespace

extern "C" {

int
connect(int fd, const sockaddr* address, socklen_t size)
{
    start_once();
    static const auto original = next<Connect>("connect");
    if (address->sa_family != AF_INET)
        return original(fd, address, size);
    const auto* target = reinterpret_cast<const sockaddr_in*>(address);
    if (!s_ports[ntohs(target->sin_port)].load())
        return original(fd, address, size);
    switch (s_mode.load()) {
    case Mode::Pass:
        break;
    case Mode::Hang:
        return original(fd, reinterpret_cast<const sockaddr*>(&s_black_hole),
                        sizeof s_black_hole);
    case Mode::Reset:
        return static_cast<int>(fail_with(ECONNRESET));
    case Mode::Refuse:
        return static_cast<int>(fail_with(ECONNREFUSED));
    }
    set_link(fd, Link::Open);
    return original(fd, address, size);
}

int
close(int fd)
{
    static const auto original = next<Close>("close");
    set_link(fd, Link::None);
    return original(fd);
}

ssize_t
sendmsg(int fd, const msghdr* message, int flags)
{
    static const auto original = next<SendMsg>("sendmsg");
    const ssize_t faulty = faulty_send(fd, size_of(message));
    return faulty != 0 ? faulty : original(fd, message, flags);
}

ssize_t
send(int fd, const void* data, size_t size, int flags)
{
    static const auto original = next<Send>("send");
    const ssize_t faulty = faulty_send(fd, size);
    return faulty != 0 ? faulty : original(fd, data, size, flags);
}

ssize_t
recvmsg(int fd, msghdr* message, int flags)
{
    static const auto original = next<RecvMsg>("recvmsg");
    const ssize_t faulty = faulty_receive(fd);
    return faulty != 0 ? faulty : original(fd, message, flags);
}

ssize_t
recv(int fd, void* data, size_t size, int flags)
{
    static const auto original = next<Recv>("recv");
    const ssize_t faulty = faulty_receive(fd);
    return faulty != 0 ? faulty : original(fd, data, size, flags);
}

} // extern "C"
