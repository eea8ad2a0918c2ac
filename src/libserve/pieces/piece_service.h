// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cypressford/scheduler.h>

#include "libserve/kernel.h"
#include "libserve/peers/peer_link.h"
#include "libserve/peers/peer_watch.h"
#include "libserve/pieces/piece_maker.h"
#include "libserve/pieces/release_outbox.h"
#include "libserve/pieces/result_keepers.h"
#include "libutil/http_server.h"

namespace cypressford {

/// The pieces that one request needs.
struct PiecesWanted {
    SnapshotPtr snapshot;
    std::size_t pipeline = 0;
    std::vector<int> counts; ///< by piece stage
    std::string attempt; ///< the request's id at upstreams
    std::string piece_key;
    int priority = 0;
    Micros deadline = 0;
    Micros prompt_by = 0; ///< when the pieces must be made for a prompt answer
    std::string near; ///< hall for the results; empty: where the prompt is kept
    bool follows_prompt = false; ///< the upstream that keeps the prompt decides the hall
    std::string reader_set; ///< the set whose leader chooses an upstream; empty: none
    PromptQuery prompt;
    HallLimit halls; ///< where pieces are made and the prompt is read
    bool again = false; ///< they were made before: this is a retry at each set
};

/// A result with the set that it belongs to.
struct PieceHandle {
    std::string upstream_set;
    std::string handle;
};

/// What became of them.
struct PiecesMade {
    bool made = false;
    std::vector<PieceHandle> inputs; ///< results that the request is to read
    std::string hall; ///< where most of their bytes are
    std::string identity; ///< of the upstream that is to read them; empty: any
};

/// Has the pieces of requests made: each stage's at the daemon that leads its
/// upstream set, so that pieces of all daemons share calls.  Lives on the thread
/// of the first worker; the public members may be called from any thread.
class PieceService {
public:
    using Done = std::function<void(PiecesMade)>;

    PieceService(boost::asio::io_context& io, Kernel& kernel);

    /// Binds the address for other daemons.
    Result<void> listen(const std::string& address);

    void want(std::uint64_t request, PiecesWanted wanted, Done done);
    void cancel(std::uint64_t request);
    /// Results that nobody will read any more.
    void free_results(std::vector<PieceHandle> results);
    /// The answer of a request began, or ended, at the set.
    void note_begun(std::string set_name, std::string attempt);
    void note_ended(std::string set_name, std::string attempt);
    /// A request could not be given to the upstream chosen for it.
    void note_unreached(std::string set_name, std::string attempt);
    void take_daemons(std::vector<DaemonRecord> records);

    /// To be called on the service's own thread.
    bool is_idle() const { return m_jobs.empty() && m_maker.is_idle(); }

private:
    struct Job;
    using JobPtr = std::shared_ptr<Job>;

    boost::asio::awaitable<void> serve(HttpExchange& exchange);
    boost::asio::awaitable<void> serve_order(HttpExchange& exchange);
    boost::asio::awaitable<void> run(JobPtr job);
    boost::asio::awaitable<void> pause(Micros time);
    bool uses(Mechanism mechanism) const
    {
        return m_kernel.settings.scheduler.switches.uses(mechanism);
    }
    static std::vector<Micros> time_left(const Job& job);
    boost::asio::awaitable<void> run_stage(JobPtr job, std::size_t stage);
    boost::asio::awaitable<Result<PieceAnswer>> order(JobPtr job, PieceOrder order);
    boost::asio::awaitable<PlaceAnswer> place(JobPtr job, std::string near,
                                              std::int64_t near_bytes, bool reserve);
    static std::vector<std::string> unreachable(const Job& job);
    PlaceAnswer place_here(const PlaceQuery& query);
    PieceOrder order_for(const Job& job, std::size_t stage) const;
    BytesByHall bytes_by_hall(const Job& job,
                              const std::vector<std::string>& handles) const;
    std::string hall_for(const Job& job, std::size_t stage) const;
    void free_now(const std::vector<PieceHandle>& results);
    void take_releases(const Releases& releases);
    boost::asio::awaitable<void> tell_releases(Releases releases);
    static std::vector<PieceHandle> with_sets(const Job& job,
                                              const std::vector<std::string>& handles);
    void note_wait(const Job& job, const std::string& set_name, Micros wait);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    PieceMaker m_maker;
    PeerLink m_link;
    PeerWatch m_peers;
    HttpServer m_server;
    ReleaseOutbox m_outbox;
    ResultKeepers m_keepers;
    std::map<std::uint64_t, JobPtr> m_jobs;
    std::map<std::string, PromptPlacer> m_placers; ///< by upstream set
};

} // namespace cypressford
