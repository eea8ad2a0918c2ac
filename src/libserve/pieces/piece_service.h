// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/scheduler.h>

#include "libserve/kernel.h"
#include "libserve/links/upstream_connector.h"
#include "libserve/peers/peer_link.h"
#include "libserve/peers/peer_watch.h"
#include "libserve/pieces/piece_job.h"
#include "libserve/pieces/release_outbox.h"
#include "libserve/pieces/set_leader.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Makes the pieces of requests: each stage is ordered from the daemon that leads its
/// upstream set, so that pieces of all daemons share calls.  Runs on the thread of the
/// first worker; the public members may be called from any thread.
class PieceService {
public:
    using Done = PieceJob::Done;

    /// `connector`: for calls to upstreams; must outlive the service.
    PieceService(boost::asio::io_context& io, Kernel& kernel, UpstreamConnector& connector);

    /// Binds the address for other daemons.
    Result<void> listen(const std::string& address) { return m_leader.listen(address); }

    void submit(std::uint64_t request, PiecesRequest wanted, Done done);
    void cancel(std::uint64_t request);
    /// Releases results that have no remaining reader.
    void free_results(std::vector<PieceHandle> results);
    /// Reports to the set's leader that the answer of a request started at the set.
    void on_answer_started(std::string set_name, std::string attempt);
    /// Reports to the set's leader that a request ended at the set.
    void record_ended(std::string set_name, std::string attempt);
    /// Reports to the set's leader that a request did not reach its selected upstream.
    void record_unreachable(std::string set_name, std::string attempt);
    void set_daemons(std::vector<DaemonRecord> records);
    /// Replaces the addresses of the daemons that the reader of this hall cannot reach.
    void set_unreachable(std::set<std::string> addresses);

    /// What this daemon has done as a leader.
    boost::asio::awaitable<LeaderWorkBySet> leader_work();

    /// To be called on the service's own thread.
    bool is_idle() const { return m_jobs.empty() && m_leader.is_idle(); }

private:
    using JobPtr = std::shared_ptr<PieceJob>;

    boost::asio::awaitable<void> run_to_end(std::uint64_t request, JobPtr job);
    boost::asio::awaitable<void> run(JobPtr job);
    bool uses(Mechanism mechanism) const
    {
        return m_kernel.settings.scheduler.switches.uses(mechanism);
    }
    bool asks_for_capacity(const PieceJob& job) const;
    boost::asio::awaitable<void> reserve(JobPtr job);
    boost::asio::awaitable<void> ask_leader(JobPtr job, std::string leader,
                                            SetQueries queries);
    void record_refusal(PieceJob& job, const SetQuery& query,
                        const CapacityVerdict& verdict);
    boost::asio::awaitable<void> run_stage(JobPtr job, std::size_t stage);
    boost::asio::awaitable<Result<PieceAnswer>> order(JobPtr job, PieceOrder order);
    PlaceQuery place_query(const PieceJob& job) const;
    boost::asio::awaitable<PlaceAnswer> place(JobPtr job, std::string near,
                                              std::int64_t near_bytes, bool reserve);
    boost::asio::awaitable<PlaceAnswer>
    place_when_there_is_room(JobPtr job, std::string near, std::int64_t near_bytes);
    void queue_releases(const std::vector<PieceHandle>& results);
    boost::asio::awaitable<void> send_releases(Releases releases);
    void record_wait(const PieceJob& job, const std::string& set_name, Micros wait);

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    SetLeader m_leader;
    PeerLink m_link;
    PeerWatch m_peers;
    ReleaseOutbox m_outbox;
    std::map<std::uint64_t, JobPtr> m_jobs;
};

} // namespace cypressford
