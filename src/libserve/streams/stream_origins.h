// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/stream_origin.h>

#include "libserve/kernel.h"
#include "libserve/peers/peer_link.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Keeps the origins of streams in the memory of a few daemons each, so that any daemon can
/// resume a stream after the one that began it has ended.  While the upstreams of a set are
/// all of one version, origins stay at the daemon that began the stream: the version is
/// known without them.  Lives on the thread of the first worker.
class StreamOrigins {
public:
    StreamOrigins(boost::asio::io_context& io, const Kernel& kernel)
        : m_io(io)
        , m_kernel(kernel)
        , m_link(io, kernel)
    {
    }

    /// A stream of this daemon began.  Any thread may call this.
    void record(std::string request, StreamOrigin origin);
    /// A set has upstreams of another version than its only one so far.  Any thread may
    /// call this.
    void on_versions_differ(std::string set_name);
    /// Called with origins that this daemon must write to the platform's store.  Any thread
    /// calls it.
    void on_store(std::function<void(RequestsByOrigin)> action)
    {
        m_on_store = std::move(action);
    }
    /// Origins that were read from the platform's store.  Any thread may call this.
    void restore(RequestsByOrigin origins);

    /// What is known of a stream of that set here and at the daemons that keep its origin.
    /// May be awaited on any thread.
    boost::asio::awaitable<StreamHistory> find(std::string request, std::string set_name);

    /// Serves the origins that other daemons send and ask for.
    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    struct Inquiry;

    std::optional<SoleVersion> sole_version(const std::string& set_name) const;
    /// When the record in the platform's store says that this became the only version.
    std::optional<Micros> recorded_since(const std::string& set_name,
                                         const std::string& version) const;
    bool is_only_version(const std::string& set_name) const;
    /// When this daemon last saw another version of a set than its present only one.
    std::optional<Micros> differed_at(const std::string& set_name);
    bool differed_lately(const std::string& set_name);
    void store_later(const std::string& request, const StreamOrigin& origin);
    void send_later(const std::string& request, const StreamOrigin& origin);
    boost::asio::awaitable<void> flush();
    boost::asio::awaitable<void> flush_to_store();
    boost::asio::awaitable<void> send(std::string address, StreamOriginBatch batch);
    boost::asio::awaitable<StreamHistory> find_here(std::string request,
                                                    std::string set_name);
    boost::asio::awaitable<StreamHistory> ask_holders(std::string request,
                                                      std::string set_name);
    boost::asio::awaitable<void> ask(std::string address, StreamOriginBatch question,
                                     std::shared_ptr<Inquiry> inquiry);
    std::vector<std::string> holders(const std::string& request, std::size_t count,
                                     std::size_t count_in_hall) const;

    boost::asio::io_context& m_io;
    const Kernel& m_kernel;
    PeerLink m_link;
    StreamOriginTable m_origins;
    std::map<std::string, StreamOriginBatch> m_unsent; ///< by address
    std::map<std::string, RequestsByOrigin> m_to_store; ///< unsent, by address
    std::map<std::string, Micros> m_differed_at; ///< by set
    std::function<void(RequestsByOrigin)> m_on_store;
};

} // namespace cypressford
