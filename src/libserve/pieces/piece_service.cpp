// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/piece_service.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/entry/problem.h"
#include "libutil/boot_clock.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum number of daemons to which the order for one stage is sent, one after the other.
constexpr int kMaxLeadersTried = 3;
/// A stage that could be held back for less than this time starts at once: about the time
/// that the messages for one order take.
constexpr Micros kMinHold = 20 * kMillisecond;
/// Interval of queries for a prompt that all upstreams would reject: about the time in
/// which one of them answers a request.
constexpr std::chrono::milliseconds kAskAgainInterval {20};
/// A request whose target latency has passed waits for this time.
constexpr Micros kMinWaitForRoom = 200 * kMillisecond;
/// Retry-after time of a request that found no room, and the interval over which it is
/// spread.
constexpr Micros kFullRetryAfter = 250 * kMillisecond;
constexpr Micros kFullRetrySpread = 500 * kMillisecond;
/// Longer than any slack: no stage is held back.
constexpr Micros kNoHold = std::numeric_limits<Micros>::max();

Micros
full_retry_after()
{
    return kFullRetryAfter
        + static_cast<Micros>(random_u64() % static_cast<std::uint64_t>(kFullRetrySpread));
}

} // namespace

PieceService::PieceService(asio::io_context& io, Kernel& kernel,
                           UpstreamConnector& connector)
    : m_io(io)
    , m_kernel(kernel)
    , m_leader(io, kernel, connector,
               [this](const std::string& set_name, const std::string& handle) {
                   queue_releases({{set_name, handle}});
               })
    , m_link(io, kernel)
    , m_peers(io, kernel, m_link)
    , m_outbox(io, [this](Releases releases) {
        spawn_task(m_io, "release", send_releases(std::move(releases)));
    })
{
}

void
PieceService::set_daemons(std::vector<DaemonRecord> records)
{
    asio::post(m_io,
               [this, records = std::move(records)] { m_peers.apply_records(records); });
}

void
PieceService::set_unreachable(std::set<std::string> addresses)
{
    asio::post(m_io, [this, unreachable = std::move(addresses)]() mutable {
        m_peers.set_unreachable(std::move(unreachable));
    });
}

asio::awaitable<LeaderWorkBySet>
PieceService::leader_work()
{
    const auto collect
        = [this]() -> asio::awaitable<LeaderWorkBySet> { co_return m_leader.work(); };
    co_return co_await asio::co_spawn(m_io, collect(), asio::use_awaitable);
}

void
PieceService::submit(std::uint64_t request, PiecesRequest wanted, Done done)
{
    asio::post(
        m_io,
        [this, request, wanted = std::move(wanted), done = std::move(done)]() mutable {
            auto job = std::make_shared<PieceJob>(m_io, std::move(wanted), std::move(done));
            m_jobs[request] = job;
            spawn_task(m_io, "pieces", run_to_end(request, job), [this, request, job] {
                m_jobs.erase(request);
                if (!job->cancelled && job->done)
                    std::exchange(job->done, nullptr)({});
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
PieceService::run_to_end(std::uint64_t request, JobPtr job)
{
    co_await run(job);
    m_jobs.erase(request);
}

asio::awaitable<void>
PieceService::run(JobPtr job)
{
    if (asks_for_capacity(*job))
        co_await reserve(job);
    const bool asks_for_engine
        = job->wanted.follows_prompt && job->wanted.near.empty() && !job->plan.is_done();
    if (asks_for_engine && !job->failed && !job->cancelled) {
        const PlaceAnswer engine = co_await place(job, std::string(), 0, false);
        job->near = engine.hall;
    }
    while (!job->failed && !job->cancelled && !job->plan.is_done()) {
        const bool may_hold = uses(Mechanism::LatestStart);
        const ReadyStages ready = job->plan.take_due(job->time_left(monotonic_us()),
                                                     may_hold ? kMinHold : kNoHold);
        for (const std::size_t stage : ready.now) {
            ++job->running;
            job->started_at[stage] = monotonic_us();
            spawn_task(m_io, "piece_stage", run_stage(job, stage), [job] {
                job->failed = true;
                job->changed.cancel();
            });
        }
        if (job->running == 0)
            break;
        if (ready.next_in)
            job->changed.expires_after(std::chrono::microseconds(*ready.next_in));
        else
            job->changed.expires_at(BootTimer::time_point::max());
        co_await job->changed.async_wait(kToTuple);
        queue_releases(job->with_set_names(job->plan.take_releasable()));
    }
    PiecesResult result;
    result.made = job->plan.is_done() && !job->cancelled;
    if (result.made) {
        const auto inputs = job->plan.final_inputs();
        result.inputs = job->with_set_names(inputs);
        const BytesByHall bytes = job->bytes_by_hall(inputs, *m_kernel.calls);
        result.hall = hall_with_most_bytes(bytes);
        if (!job->wanted.reader_set.empty()) {
            const std::string near
                = result.hall.empty() ? m_kernel.settings.hall : result.hall;
            const auto there = bytes.find(near);
            const std::int64_t near_bytes = there == bytes.end() ? 0 : there->second;
            const PlaceAnswer reader
                = co_await place_when_there_is_room(job, near, near_bytes);
            if (reader.is_full) {
                result.made = false;
                job->refused_by.push_back(job->wanted.reader_set);
                job->retry_after = full_retry_after();
                queue_releases(std::exchange(result.inputs, {}));
            }
            result.identity = reader.identity;
            result.is_counted = reader.is_counted;
            if (!reader.identity.empty())
                result.has_slot = reader.has_slot;
            LogEvent("placed")
                .kv("request", job->wanted.attempt)
                .kv("set", job->wanted.reader_set)
                .kv("near", near)
                .kv("identity", reader.identity)
                .kv("full", reader.is_full)
                .kv("slot", reader.has_slot)
                .kv("hall", reader.hall);
        }
    } else {
        for (const auto& handle : job->calls)
            handle->cancel();
        for (const auto& ticket : job->tickets)
            ticket->cancel();
        queue_releases(job->with_set_names(job->plan.unreleased()));
    }
    for (const std::string& set_name : job->promised)
        m_outbox.add_withdrawn(set_name, job->wanted.attempt);
    result.refused_by = std::move(job->refused_by);
    result.retry_after = job->retry_after;
    if (!job->cancelled)
        std::exchange(job->done, nullptr)(std::move(result));
}

/// Each request is asked for once: the results of a retry were made before, and are made
/// again under the limit on retries.  In a small fleet the waits that leaders report with
/// their answers suffice: the excess of admitted work grows with the number of daemons that
/// learn of a queue separately.
bool
PieceService::asks_for_capacity(const PieceJob& job) const
{
    const bool is_large
        = m_kernel.daemons.load() >= m_kernel.settings.capacity_ledger_min_daemons;
    return uses(Mechanism::CapacityLedger) && is_large && !job.wanted.is_retry
        && !job.plan.is_done() && !job.cancelled;
}

/// Asks the leaders of all sets that the request needs, concurrently, with one message to
/// each.  The job fails if one of them refuses; without an answer the request continues.
asio::awaitable<void>
PieceService::reserve(JobPtr job)
{
    std::map<std::string, SetQueries> by_leader;
    for (SetQuery& query : job->capacity_queries(monotonic_us()))
        by_leader[m_peers.leader_of(query.upstream_set)].push_back(std::move(query));
    for (auto& [leader, queries] : by_leader) {
        ++job->leaders_asked;
        spawn_task(m_io, "capacity_query", ask_leader(job, leader, std::move(queries)),
                   [job] {
                       --job->leaders_asked;
                       job->changed.cancel();
                   });
    }
    while (job->leaders_asked > 0) {
        job->changed.expires_at(BootTimer::time_point::max());
        co_await job->changed.async_wait(kToTuple);
    }
}

/// A leader that does not answer is not suspected, because the time limit is shorter than
/// the delays of a busy daemon.  Its promise is withdrawn all the same if it is not used,
/// since only the answer may have been late.
asio::awaitable<void>
PieceService::ask_leader(JobPtr job, std::string leader, SetQueries queries)
{
    for (const SetQuery& query : queries)
        job->promised.insert(query.upstream_set);
    CapacityVerdicts verdicts;
    if (leader.empty()) {
        verdicts = m_leader.reserve(queries);
    } else if (auto answer = co_await m_link.reserve(leader, queries)) {
        m_peers.record_response(leader);
        verdicts = *std::move(answer);
    }
    for (std::size_t i = 0; i < verdicts.size(); ++i)
        if (!verdicts[i].admitted)
            record_refusal(*job, queries[i], verdicts[i]);
    --job->leaders_asked;
    job->changed.cancel();
}

void
PieceService::record_refusal(PieceJob& job, const SetQuery& query,
                             const CapacityVerdict& verdict)
{
    LogEvent("capacity_refused")
        .kv("request", job.wanted.attempt)
        .kv("set", query.upstream_set)
        .kv("priority", query.need.priority)
        .kv("account", query.need.account)
        .kv("expected_wait_us", verdict.expected_wait)
        .kv("retry_after_us", verdict.retry_after);
    job.failed = true;
    job.promised.erase(query.upstream_set);
    job.refused_by.push_back(query.upstream_set);
    job.retry_after = std::max(job.retry_after, verdict.retry_after);
}

asio::awaitable<void>
PieceService::run_stage(JobPtr job, std::size_t stage)
{
    const Micros started = job->started_at[stage];
    const std::string hall = uses(Mechanism::TransferHalls)
        ? hall_of_least_transfer(job->transfer_of(stage, *m_kernel.calls))
        : job->near;
    PieceOrder wanted = job->order_for(stage, hall);
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
            // Pieces that were cancelled because another piece failed have the outcome
            // Failed, so any other outcome is the cause.
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
        set.load->record_delay(job->wanted.priority,
                               std::max<Micros>(0, monotonic_us() - started - plain));
    }
    const bool is_over = job->failed || job->cancelled;
    if (made && !is_over) {
        job->plan.set_stage_results(stage, std::move(handles));
    } else {
        job->failed = true;
        std::vector<PieceHandle> useless;
        useless.reserve(handles.size());
        for (std::string& handle : handles)
            useless.push_back({job->set_of(stage).spec.name, std::move(handle)});
        queue_releases(useless);
    }
    job->changed.cancel();
}

/// Sends an order to the daemon that leads the set, or to the next if that does not
/// respond.
asio::awaitable<Result<PieceAnswer>>
PieceService::order(JobPtr job, PieceOrder order)
{
    const std::string set_name = order.upstream_set;
    for (int place = 0; place < kMaxLeadersTried; ++place) {
        PieceOrder copy = order;
        copy.time_left = job->wanted.deadline - monotonic_us();
        copy.due_left = order.due_left - monotonic_us();
        if (copy.time_left <= 0 || job->cancelled)
            break;
        const std::string leader = m_peers.leader_of(set_name);
        if (leader.empty()) {
            auto ticket = std::make_shared<PieceMaker::Ticket>();
            job->tickets.insert(ticket);
            PieceAnswer own = co_await m_leader.make(std::move(copy), ticket);
            job->tickets.erase(ticket);
            job->promised.erase(set_name);
            record_wait(*job, set_name, own.expected_wait);
            co_return own;
        }
        auto handle = std::make_shared<CallHandle>();
        job->calls.insert(handle);
        const auto answer = co_await m_link.order(leader, std::move(copy), handle);
        job->calls.erase(handle);
        if (answer) {
            m_peers.record_response(leader);
            job->promised.erase(set_name);
            record_wait(*job, set_name, answer->expected_wait);
            co_return answer;
        }
        // An order that was cancelled here, or that timed out, does not indicate a fault of
        // the leader.
        const bool is_over
            = job->cancelled || job->failed || monotonic_us() >= job->wanted.deadline;
        if (is_over)
            break;
        LogEvent("leader_lost", LogLevel::Warn)
            .kv("request", job->wanted.attempt)
            .kv("set", set_name)
            .kv("leader", leader);
        m_peers.suspect(leader);
    }
    co_return fail(ErrorKind::UpstreamFailed);
}

/// The query to the leader of the set, with the prompt and this daemon's reports on
/// engines.
PlaceQuery
PieceService::place_query(const PieceJob& job) const
{
    const Micros now = monotonic_us();
    PlaceQuery query {job.wanted.reader_set, job.wanted.prompt};
    query.prompt.from = m_kernel.settings.hall;
    query.prompt.avoid = job.unusable_engines(now);
    query.prompt.limits = job.reports_of(AnnouncedKind::Limit, now);
    query.prompt.rejections = job.reports_of(AnnouncedKind::Rejections, now);
    query.prompt.halls = job.wanted.halls;
    if (job.wanted.follows_prompt)
        query.prompt.hall_parts
            = hall_parts(*job.wanted.snapshot, job.resolved(), job.wanted.counts, now);
    return query;
}

/// Requests from the set's leader a choice of the upstream that reads the request's prompt.
/// If the leader does not respond, the router chooses.
asio::awaitable<PlaceAnswer>
PieceService::place(JobPtr job, std::string near, std::int64_t near_bytes, bool reserve)
{
    PlaceQuery query = place_query(*job);
    query.prompt.near = std::move(near);
    query.prompt.near_bytes = near_bytes;
    query.prompt.reserve = reserve;
    const std::string leader = m_peers.leader_of(query.upstream_set);
    if (leader.empty())
        co_return m_leader.place(query);
    auto answer = co_await m_link.place(leader, std::move(query));
    if (!answer) {
        m_peers.suspect(leader);
        co_return PlaceAnswer {};
    }
    m_peers.record_response(leader);
    job->receive_limit_reports(answer->limits, monotonic_us());
    co_return *std::move(answer);
}

/// Asks again while all upstreams would reject the prompt, as long as the request can still
/// meet its target latency.
asio::awaitable<PlaceAnswer>
PieceService::place_when_there_is_room(JobPtr job, std::string near,
                                       std::int64_t near_bytes)
{
    const Micros until
        = std::min(job->wanted.deadline,
                   std::max(job->wanted.target_by, monotonic_us() + kMinWaitForRoom));
    BootTimer timer(m_io);
    for (;;) {
        PlaceAnswer answer = co_await place(job, near, near_bytes, true);
        if (!answer.is_full || job->cancelled || monotonic_us() >= until)
            co_return answer;
        timer.expires_after(kAskAgainInterval);
        co_await timer.async_wait(kToTuple);
    }
}

void
PieceService::record_wait(const PieceJob& job, const std::string& set_name, Micros wait)
{
    for (std::size_t at = 0; at < job.resolved().piece_sets.size(); ++at)
        if (job.set_of(at).spec.name == set_name)
            job.set_of(at).load->set_expected_wait(job.wanted.priority, wait,
                                                   monotonic_us());
}

// ----------------------------------------------------------------- releases

void
PieceService::free_results(std::vector<PieceHandle> results)
{
    if (results.empty())
        return;
    asio::post(m_io, [this, results = std::move(results)] { queue_releases(results); });
}

void
PieceService::queue_releases(const std::vector<PieceHandle>& results)
{
    for (const PieceHandle& result : results)
        m_outbox.add_result(result.upstream_set, result.handle);
}

void
PieceService::on_answer_started(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_started(set_name, attempt);
    });
}

void
PieceService::record_ended(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_ended(set_name, attempt);
    });
}

void
PieceService::record_unreachable(std::string set_name, std::string attempt)
{
    asio::post(m_io, [this, set_name = std::move(set_name), attempt = std::move(attempt)] {
        m_outbox.add_unreachable(set_name, attempt);
    });
}

/// The daemon that leads the set releases results at their holders, so that its estimates
/// of free memory are correct.  If it does not respond, this daemon releases them.
asio::awaitable<void>
PieceService::send_releases(Releases releases)
{
    const std::string leader = m_peers.leader_of(releases.upstream_set);
    const bool sent = !leader.empty() && co_await m_link.send_releases(leader, releases);
    if (!sent)
        m_leader.take_releases(releases);
}

} // namespace cypressford
