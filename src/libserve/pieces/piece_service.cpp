// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/piece_service.h"

#include <limits>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/entry/problem.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Daemons that one stage's order goes to, one after the other.
constexpr int kMaxPlaces = 3;
/// Between two tries at a leader that may be starting.
constexpr Micros kStartPause = 20 * kMillisecond;
/// A stage that could start less than this later starts now: about the time of the
/// messages of one order.
constexpr Micros kLeastHold = 20 * kMillisecond;
/// Longer than any slack: nothing is held back.
constexpr Micros kNoHold = std::numeric_limits<Micros>::max();
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Empty if the set has no such upstream (any more).
std::string
hall_of(const UpstreamSet& set, const std::string& address)
{
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (upstream->address == address)
                return upstream->hall;
    return {};
}

} // namespace

struct PieceService::Job {
    Job(asio::io_context& io, PiecesWanted wanted_, Done done_)
        : wanted(std::move(wanted_))
        , plan(resolved().spec.piece_stages, wanted.counts)
        , done(std::move(done_))
        , near(wanted.near)
        , started_at(resolved().piece_sets.size(), 0)
        , changed(io, asio::steady_timer::time_point::max())
    {
    }

    const ResolvedPipeline& resolved() const
    {
        return wanted.snapshot->bundle->pipelines[wanted.pipeline];
    }
    const UpstreamSet& set_of(std::size_t stage) const
    {
        return wanted.snapshot->sets[resolved().piece_sets[stage]];
    }

    const PiecesWanted wanted;
    PiecePlan plan;
    Done done;
    std::string near; ///< hall for the results
    std::vector<Micros> started_at; ///< by stage; 0: not yet
    bool failed = false;
    bool cancelled = false;
    int running = 0; ///< stages under way
    std::set<std::shared_ptr<CallHandle>> calls; ///< at other daemons
    std::set<std::shared_ptr<PieceMaker::Ticket>> tickets; ///< at this one
    asio::steady_timer changed;
};

PieceService::PieceService(asio::io_context& io, Kernel& kernel)
    : m_io(io)
    , m_kernel(kernel)
    , m_maker(io, kernel,
              [this](const std::string& set_name, const std::string& handle) {
                  free_now({{set_name, handle}});
              })
    , m_link(io)
    , m_peers(io, kernel, m_link)
    , m_server(
          io, kernel.settings.limits,
          [this](HttpExchange& exchange) { return serve(exchange); },
          [](ErrorKind kind) { return problem_response(problem_of(kind)); })
    , m_outbox(io,
               [this](Releases releases) {
                   asio::co_spawn(m_io, tell_releases(std::move(releases)), asio::detached);
               })
    , m_keepers(io, kernel, [this](const Releases& freed) { m_maker.note_releases(freed); })
{
}

Result<void>
PieceService::listen(const std::string& address)
{
    if (auto port = m_server.listen(parse_address(address)); !port)
        return tl::unexpected(port.error());
    return {};
}

void
PieceService::take_daemons(std::vector<DaemonRecord> records)
{
    asio::post(m_io, [this, records = std::move(records)] { m_peers.take(records); });
}

// ------------------------------------------------------------ as the leader

asio::awaitable<void>
PieceService::serve(HttpExchange& exchange)
{
    const std::string path(exchange.request().path());
    if (path == PeerLink::kOrderPath) {
        co_await serve_order(exchange);
    } else if (path == PeerLink::kPlacePath) {
        const auto query = decode_place_query(exchange.request().body);
        HttpResponse response;
        response.content_type = "application/x-protobuf";
        response.body = encode(query ? place_here(*query) : PlaceAnswer {});
        co_await exchange.respond(std::move(response));
    } else if (path == PeerLink::kReleasePath) {
        const auto releases = decode_releases(exchange.request().body);
        if (releases)
            take_releases(*releases);
        HttpResponse done;
        done.content_type = "text/plain";
        co_await exchange.respond(std::move(done));
    } else if (path == PeerLink::kAlivePath) {
        HttpResponse alive;
        alive.content_type = "text/plain";
        // Without a configuration it can lead nothing.
        const bool leads = !m_kernel.stopping.load() && m_kernel.snapshot.load();
        alive.status = leads ? kOk : kUnavailable;
        co_await exchange.respond(std::move(alive));
    } else {
        co_await exchange.respond(problem_response(problem_of(ErrorKind::NotFound)));
    }
}

asio::awaitable<void>
PieceService::serve_order(HttpExchange& exchange)
{
    auto order = decode_piece_order(exchange.request().body);
    const bool takes = order && !m_kernel.stopping.load() && m_kernel.snapshot.load();
    if (!takes) {
        const ErrorKind kind = order ? ErrorKind::Stopping : ErrorKind::BadRequest;
        co_await exchange.respond(problem_response(problem_of(kind)));
        co_return;
    }
    auto ticket = std::make_shared<PieceMaker::Ticket>();
    exchange.watch([ticket] { ticket->cancel(); });
    HttpResponse response;
    response.content_type = "application/x-protobuf";
    response.body = encode(co_await m_maker.make(*std::move(order), ticket));
    co_await exchange.respond(std::move(response));
}

// --------------------------------------------------------- as the requester

void
PieceService::want(std::uint64_t request, PiecesWanted wanted, Done done)
{
    asio::post(
        m_io,
        [this, request, wanted = std::move(wanted), done = std::move(done)]() mutable {
            auto job = std::make_shared<Job>(m_io, std::move(wanted), std::move(done));
            m_jobs[request] = job;
            asio::co_spawn(m_io, run(job), [this, request](const std::exception_ptr&) {
                m_jobs.erase(request);
            });
        });
}

void
PieceService::cancel(std::uint64_t request)
{
    asio::post(m_io, [this, request] {
        const auto it = m_jobs.find(request);
        if (it == m_jobs.end())
            return;
        const JobPtr job = it->second;
        job->cancelled = true;
        for (const auto& handle : job->calls)
            handle->cancel();
        for (const auto& ticket : job->tickets)
            ticket->cancel();
        job->changed.cancel();
    });
}

asio::awaitable<void>
PieceService::run(JobPtr job)
{
    if (job->wanted.follows_prompt && job->wanted.near.empty() && !job->plan.is_done()) {
        const PlaceAnswer engine = co_await place(job, std::string(), 0, false);
        job->near = engine.hall;
    }
    while (!job->failed && !job->cancelled && !job->plan.is_done()) {
        const bool holds = uses(Mechanism::LatestStart);
        const ReadyStages ready
            = job->plan.take_due(time_left(*job), holds ? kLeastHold : kNoHold);
        for (const std::size_t stage : ready.now) {
            ++job->running;
            job->started_at[stage] = monotonic_us();
            asio::co_spawn(m_io, run_stage(job, stage), asio::detached);
        }
        if (job->running == 0)
            break;
        if (ready.next_in)
            job->changed.expires_after(std::chrono::microseconds(*ready.next_in));
        else
            job->changed.expires_at(asio::steady_timer::time_point::max());
        co_await job->changed.async_wait(kToTuple);
        free_now(with_sets(*job, job->plan.take_releasable()));
    }
    PiecesMade result;
    result.made = job->plan.is_done() && !job->cancelled;
    if (result.made) {
        const auto inputs = job->plan.final_inputs();
        result.inputs = with_sets(*job, inputs);
        const BytesByHall bytes = bytes_by_hall(*job, inputs);
        result.hall = main_hall(bytes);
        if (!job->wanted.reader_set.empty()) {
            const std::string near
                = result.hall.empty() ? m_kernel.settings.hall : result.hall;
            const auto there = bytes.find(near);
            const std::int64_t near_bytes = there == bytes.end() ? 0 : there->second;
            const PlaceAnswer reader = co_await place(job, near, near_bytes, true);
            result.identity = reader.identity;
            LogEvent("placed")
                .kv("request", job->wanted.attempt)
                .kv("set", job->wanted.reader_set)
                .kv("near", near)
                .kv("identity", reader.identity)
                .kv("hall", reader.hall);
        }
    } else {
        for (const auto& handle : job->calls)
            handle->cancel();
        for (const auto& ticket : job->tickets)
            ticket->cancel();
        free_now(with_sets(*job, job->plan.unreleased()));
    }
    if (!job->cancelled)
        job->done(std::move(result));
}

/// Time until each stage is made, if it starts now: its call, and what such pieces
/// waited of late.
std::vector<Micros>
PieceService::time_left(const Job& job)
{
    const Micros now = monotonic_us();
    std::vector<Micros> left(job.started_at.size(), 0);
    for (std::size_t stage = 0; stage < left.size(); ++stage) {
        if (job.plan.count(stage) == 0 || job.plan.is_made(stage))
            continue;
        const UpstreamSet& set = job.set_of(stage);
        left[stage] = call_time(set.spec, job.plan.count(stage))
            + set.load->typical_delay(job.wanted.priority);
        if (job.started_at[stage] != 0)
            left[stage] -= std::min(left[stage], now - job.started_at[stage]);
    }
    return left;
}

asio::awaitable<void>
PieceService::run_stage(JobPtr job, std::size_t stage)
{
    const Micros started = job->started_at[stage];
    PieceOrder wanted = order_for(*job, stage);
    const std::string wanted_at = wanted.near;
    const auto answer = co_await order(job, std::move(wanted));
    std::vector<std::string> handles;
    bool made = answer.has_value();
    std::string_view why = "made";
    if (!answer) // cancelled because of another stage, or no leader was found
        why = job->failed ? "other_stage" : "leader";
    if (answer)
        for (const PieceResult& result : answer->pieces) {
            if (result.outcome == PieceOutcome::Made) {
                handles.push_back(result.handle);
                continue;
            }
            // The pieces that were cancelled because of one say less than that one.
            if (made || result.outcome != PieceOutcome::Failed)
                why = to_string(result.outcome);
            made = false;
        }
    LogEvent("pieces")
        .kv("leader", m_peers.leader_of(job->set_of(stage).spec.name))
        .kv("near", wanted_at)
        .kv("expected_wait_us", answer ? answer->expected_wait : 0)
        .kv("request", job->wanted.attempt)
        .kv("stage", stage)
        .kv("set", job->set_of(stage).spec.name)
        .kv("count", job->plan.count(stage))
        .kv("made", made)
        .kv("why", job->cancelled ? "cancelled" : why)
        .kv("cancelled", job->cancelled)
        .kv("us", monotonic_us() - started);
    --job->running;
    if (made) {
        const UpstreamSet& set = job->set_of(stage);
        const Micros plain = call_time(set.spec, job->plan.count(stage));
        set.load->note_delay(job->wanted.priority,
                             std::max<Micros>(0, monotonic_us() - started - plain));
    }
    const bool is_over = job->failed || job->cancelled;
    if (made && !is_over) {
        job->plan.stage_made(stage, std::move(handles));
    } else {
        job->failed = true;
        std::vector<PieceHandle> useless;
        useless.reserve(handles.size());
        for (std::string& handle : handles)
            useless.push_back({job->set_of(stage).spec.name, std::move(handle)});
        free_now(useless);
    }
    job->changed.cancel();
}

asio::awaitable<void>
PieceService::pause(Micros time)
{
    asio::steady_timer timer(m_io);
    timer.expires_after(std::chrono::microseconds(time));
    co_await timer.async_wait(kToTuple);
}

/// Hands an order to the daemon that leads the set, or to the next if it is silent.
asio::awaitable<Result<PieceAnswer>>
PieceService::order(JobPtr job, PieceOrder order)
{
    const std::string set_name = order.upstream_set;
    for (int place = 0; place < kMaxPlaces;) {
        PieceOrder copy = order;
        copy.time_left = job->wanted.deadline - monotonic_us();
        copy.due_left = order.due_left - monotonic_us();
        if (copy.time_left <= 0 || job->cancelled)
            break;
        const std::string leader = m_peers.leader_of(set_name);
        if (leader.empty()) {
            auto ticket = std::make_shared<PieceMaker::Ticket>();
            job->tickets.insert(ticket);
            PieceAnswer own = co_await m_maker.make(std::move(copy), ticket);
            job->tickets.erase(ticket);
            note_wait(*job, set_name, own.expected_wait);
            co_return own;
        }
        auto handle = std::make_shared<CallHandle>();
        job->calls.insert(handle);
        const auto answer = co_await m_link.order(leader, std::move(copy), handle);
        job->calls.erase(handle);
        if (answer) {
            m_peers.note_answer(leader);
            note_wait(*job, set_name, answer->expected_wait);
            co_return answer;
        }
        // An order that was cancelled here, or ran out of time, says nothing about
        // the leader.
        const bool is_over
            = job->cancelled || job->failed || monotonic_us() >= job->wanted.deadline;
        if (is_over)
            break;
        if (m_peers.may_be_starting(leader)) {
            co_await pause(kStartPause);
            continue;
        }
        ++place;
        LogEvent("leader_lost", LogLevel::Warn)
            .kv("request", job->wanted.attempt)
            .kv("set", set_name)
            .kv("leader", leader);
        m_peers.suspect(leader);
    }
    co_return fail(ErrorKind::UpstreamFailed);
}

/// Engines that this daemon has taken out: the leader may not know of it.
std::vector<std::string>
PieceService::unreachable(const Job& job)
{
    constexpr std::size_t most = 16;
    std::vector<std::string> identities;
    const Micros now = monotonic_us();
    const UpstreamSet& set = job.wanted.snapshot->sets[job.resolved().sets.front()];
    for (const auto* side : {&set.own, &set.remote})
        for (const auto& upstream : *side)
            if (upstream->ejected_until.load() > now && identities.size() < most)
                identities.push_back(upstream->identity);
    return identities;
}

/// Asks whoever leads the set which upstream is to read the request's prompt.  No
/// answer leaves the choice to the router.
asio::awaitable<PlaceAnswer>
PieceService::place(JobPtr job, std::string near, std::int64_t near_bytes, bool reserve)
{
    PlaceQuery query {job->wanted.reader_set, job->wanted.prompt};
    query.prompt.near = std::move(near);
    query.prompt.near_bytes = near_bytes;
    query.prompt.reserve = reserve;
    query.prompt.from = m_kernel.settings.hall;
    query.prompt.avoid = unreachable(*job);
    query.prompt.halls = job->wanted.halls;
    if (job->wanted.follows_prompt)
        query.prompt.hall_parts = hall_parts(*job->wanted.snapshot, job->resolved(),
                                             job->wanted.counts, monotonic_us());
    for (;;) {
        const std::string leader = m_peers.leader_of(query.upstream_set);
        if (leader.empty())
            co_return place_here(query);
        const auto answer = co_await m_link.place(leader, query);
        if (answer) {
            m_peers.note_answer(leader);
            co_return *answer;
        }
        if (!m_peers.may_be_starting(leader) || job->cancelled) {
            m_peers.suspect(leader);
            co_return PlaceAnswer {};
        }
        co_await pause(kStartPause);
    }
}

PlaceAnswer
PieceService::place_here(const PlaceQuery& query)
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot)
        return {};
    for (const UpstreamSet& set : snapshot->sets) {
        if (set.spec.name != query.upstream_set)
            continue;
        PromptPlacer& placer
            = m_placers
                  .try_emplace(query.upstream_set, m_kernel.settings.scheduler.switches)
                  .first->second;
        const auto upstream = placer.place(set, query.prompt, monotonic_us());
        if (upstream && query.prompt.reserve)
            LogEvent("prompt_placed")
                .kv("request", query.prompt.attempt)
                .kv("set", query.upstream_set)
                .kv("identity", upstream->identity)
                .kv("tokens", query.prompt.tokens)
                .kv("unread", placer.last_read().unread)
                .kv("again", placer.last_read().again);
        return upstream ? PlaceAnswer {upstream->identity, upstream->hall} : PlaceAnswer {};
    }
    return {};
}

void
PieceService::note_wait(const Job& job, const std::string& set_name, Micros wait)
{
    for (std::size_t at = 0; at < job.resolved().piece_sets.size(); ++at)
        if (job.set_of(at).spec.name == set_name)
            job.set_of(at).load->tell(job.wanted.priority, wait, monotonic_us());
}

PieceOrder
PieceService::order_for(const Job& job, std::size_t stage) const
{
    PieceOrder order;
    order.upstream_set = job.set_of(stage).spec.name;
    order.priority = job.wanted.priority;
    order.near = hall_for(job, stage);
    order.again = job.wanted.again;
    order.halls = job.wanted.halls;
    order.result_bytes = job.resolved().spec.piece_stages[stage].result_bytes;
    // A point in time here; order() makes it a span.
    order.due_left = job.wanted.prompt_by
        - time_from_stage(*job.wanted.snapshot, job.resolved(), job.wanted.counts, stage);
    const std::vector<std::string> inputs = job.plan.inputs_of(stage);
    for (int segment = 0; segment < job.plan.count(stage); ++segment) {
        PieceItem item;
        item.attempt = job.wanted.attempt;
        item.stage = static_cast<int>(stage);
        item.segment = segment;
        item.piece_key = job.wanted.piece_key;
        item.inputs = inputs;
        order.pieces.push_back(std::move(item));
    }
    return order;
}

/// Where results lie, and how large they are by what the pipeline says of them.
BytesByHall
PieceService::bytes_by_hall(const Job& job, const std::vector<std::string>& handles) const
{
    BytesByHall bytes;
    for (const std::string& handle : handles) {
        const std::size_t stage = job.plan.stage_of(handle);
        const std::string hall
            = hall_of(job.set_of(stage), m_kernel.calls->keeper_of(handle));
        bytes[hall] += job.resolved().spec.piece_stages[stage].result_bytes;
    }
    return bytes;
}

/// The hall where the results of a stage are wanted; empty: anywhere.
std::string
PieceService::hall_for(const Job& job, std::size_t stage) const
{
    if (!uses(Mechanism::TransferHalls))
        return job.near;
    StageTransfer transfer;
    transfer.inputs = bytes_by_hall(job, job.plan.inputs_of(stage));
    transfer.pieces = job.plan.count(stage);
    // Where no prompt is kept, the upstream is chosen near the results.
    if (job.plan.is_last(stage) && job.wanted.follows_prompt) {
        transfer.reader = job.near;
        transfer.result_bytes
            = transfer.pieces * job.resolved().spec.piece_stages[stage].result_bytes;
    }
    return hall_of_least_transfer(transfer);
}

// ------------------------------------------------------------- housekeeping

std::vector<PieceHandle>
PieceService::with_sets(const Job& job, const std::vector<std::string>& handles)
{
    std::vector<PieceHandle> result;
    result.reserve(handles.size());
    for (const std::string& handle : handles)
        result.push_back({job.set_of(job.plan.stage_of(handle)).spec.name, handle});
    return result;
}

void
PieceService::free_results(std::vector<PieceHandle> results)
{
    if (results.empty())
        return;
    asio::post(m_io, [this, results = std::move(results)] { free_now(results); });
}

void
PieceService::free_now(const std::vector<PieceHandle>& results)
{
    for (const PieceHandle& result : results)
        m_outbox.add_result(result.upstream_set, result.handle);
}

void
PieceService::note_begun(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_begun(set_name, attempt);
    });
}

void
PieceService::note_ended(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_ended(set_name, attempt);
    });
}

void
PieceService::note_unreached(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_unreached(set_name, attempt);
    });
}

/// The daemon that leads the set releases results at their keepers, so that it
/// knows what memory there is; if it is silent, they are released from here.
asio::awaitable<void>
PieceService::tell_releases(Releases releases)
{
    const std::string leader = m_peers.leader_of(releases.upstream_set);
    const bool told = !leader.empty() && co_await m_link.tell_releases(leader, releases);
    if (!told)
        take_releases(releases);
}

void
PieceService::take_releases(const Releases& releases)
{
    if (const auto placer = m_placers.find(releases.upstream_set);
        placer != m_placers.end()) {
        for (const std::string& attempt : releases.unreached)
            placer->second.note_unreached(attempt, monotonic_us());
        for (const std::string& attempt : releases.begun)
            placer->second.note_begun(attempt);
        for (const std::string& attempt : releases.ended)
            placer->second.note_ended(attempt);
    }
    m_keepers.free(releases);
}

} // namespace cypressford
