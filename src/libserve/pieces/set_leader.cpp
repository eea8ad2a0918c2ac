// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/pieces/set_leader.h"

#include <boost/asio/use_awaitable.hpp>

#include "libserve/entry/problem.h"
#include "libserve/links/tunnel_protocol.h"
#include "libserve/peers/peer_link.h"
#include "libserve/streams/stream_origins.h"
#include "libserve/upstream_says.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

SetLeader::SetLeader(asio::io_context& io, Kernel& kernel, UpstreamConnector& connector,
                     PieceMaker::FreeResult free_result)
    : m_kernel(kernel)
    , m_maker(io, kernel, connector, std::move(free_result))
    , m_holders(io, kernel, connector,
                [this](const Releases& freed) { m_maker.on_releases(freed); })
    , m_tunnels(io, kernel, connector)
    , m_server(
          io, kernel.settings.limits,
          [this](HttpExchange& exchange) { return serve(exchange); },
          [](ErrorKind kind) { return problem_response(problem_of(kind)); })
{
}

Result<void>
SetLeader::listen(const std::string& address)
{
    if (auto port = m_server.listen(parse_address(address)); !port)
        return tl::unexpected(port.error());
    return {};
}

asio::awaitable<PieceAnswer>
SetLeader::make(PieceOrder order, std::shared_ptr<PieceMaker::Ticket> ticket)
{
    ++m_work[order.upstream_set].queries;
    return m_maker.make(std::move(order), std::move(ticket));
}

asio::awaitable<void>
SetLeader::serve(HttpExchange& exchange)
{
    const std::string path(exchange.request().path());
    if (exchange.request().method == kTunnelMethod) {
        co_await m_tunnels.serve(exchange);
    } else if (path == PeerLink::kOrderPath) {
        co_await serve_order(exchange);
    } else if (path == PeerLink::kCapacityPath) {
        co_await serve_capacity(exchange);
    } else if (path == PeerLink::kPlacePath) {
        const auto query = decode_place_query(exchange.request().body);
        HttpResponse response;
        response.content_type = "application/x-protobuf";
        response.body = encode(query ? place(*query) : PlaceAnswer {});
        co_await exchange.respond(std::move(response));
    } else if (path == PeerLink::kReleasePath) {
        const auto releases = decode_releases(exchange.request().body);
        if (releases)
            take_releases(*releases);
        HttpResponse done;
        done.content_type = "text/plain";
        co_await exchange.respond(std::move(done));
    } else if (path == PeerLink::kOriginsPath && m_kernel.streams) {
        co_await m_kernel.streams->serve(exchange);
    } else if (path == PeerLink::kAlivePath) {
        HttpResponse alive;
        alive.content_type = "text/plain";
        alive.status = can_lead() ? kOk : kUnavailable;
        co_await exchange.respond(std::move(alive));
    } else {
        co_await exchange.respond(problem_response(problem_of(ErrorKind::NotFound)));
    }
}

asio::awaitable<void>
SetLeader::serve_order(HttpExchange& exchange)
{
    auto order = decode_piece_order(exchange.request().body);
    if (!order || !can_lead()) {
        const ErrorKind kind = order ? ErrorKind::Stopping : ErrorKind::BadRequest;
        co_await exchange.respond(problem_response(problem_of(kind)));
        co_return;
    }
    auto ticket = std::make_shared<PieceMaker::Ticket>();
    exchange.watch([ticket] { ticket->cancel(); });
    HttpResponse response;
    response.content_type = "application/x-protobuf";
    response.body = encode(co_await make(*std::move(order), ticket));
    co_await exchange.respond(std::move(response));
}

/// A daemon that is stopping does not promise capacity: the sets' next leaders do not have
/// its promises.
asio::awaitable<void>
SetLeader::serve_capacity(HttpExchange& exchange)
{
    const auto queries = decode_capacity_queries(exchange.request().body);
    if (!queries || !can_lead()) {
        const ErrorKind kind = queries ? ErrorKind::Stopping : ErrorKind::BadRequest;
        co_await exchange.respond(problem_response(problem_of(kind)));
        co_return;
    }
    HttpResponse response;
    response.content_type = "application/x-protobuf";
    response.body = encode(reserve(*queries));
    co_await exchange.respond(std::move(response));
}

CapacityVerdicts
SetLeader::reserve(const SetQueries& queries)
{
    CapacityVerdicts verdicts;
    verdicts.reserve(queries.size());
    for (const SetQuery& query : queries) {
        const LeaderWorkScope work(m_work[query.upstream_set]);
        verdicts.push_back(m_maker.reserve(query));
    }
    return verdicts;
}

PlaceAnswer
SetLeader::place(const PlaceQuery& query)
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot)
        return {};
    for (const UpstreamSet& set : snapshot->sets) {
        if (set.spec.name != query.upstream_set)
            continue;
        const LeaderWorkScope work(m_work[query.upstream_set]);
        PromptPlacer& placer
            = m_placers
                  .try_emplace(query.upstream_set, m_kernel.settings.scheduler.switches)
                  .first->second;
        const Micros now = monotonic_us();
        receive_reports(set, AnnouncedKind::Limit, query.prompt.limits, now);
        receive_reports(set, AnnouncedKind::Rejections, query.prompt.rejections, now);
        PlaceAnswer answer;
        answer.limits = newer_limit_reports(set, query.prompt.limits, now);
        const auto upstream = placer.place(set, query.prompt, now);
        answer.is_full = !upstream && placer.last_was_full();
        if (!upstream)
            return answer;
        answer.identity = upstream->identity;
        answer.hall = upstream->hall;
        answer.is_counted = query.prompt.reserve && upstream->self_report->limit().is_set();
        answer.has_slot = query.prompt.reserve && placer.last_had_slot();
        if (query.prompt.reserve)
            LogEvent("prompt_placed")
                .kv("request", query.prompt.attempt)
                .kv("set", query.upstream_set)
                .kv("identity", upstream->identity)
                .kv("limit_per_s", upstream->self_report->limit().per_s())
                .kv("tokens", query.prompt.tokens)
                .kv("unread", placer.last_read().unread)
                .kv("again", placer.last_read().reread);
        return answer;
    }
    return {};
}

void
SetLeader::take_releases(const Releases& releases)
{
    const LeaderWorkScope work(m_work[releases.upstream_set]);
    if (const auto placer = m_placers.find(releases.upstream_set);
        placer != m_placers.end()) {
        for (const std::string& attempt : releases.unreachable)
            placer->second.record_unreachable(attempt, monotonic_us());
        for (const std::string& attempt : releases.started)
            if (const auto change
                = placer->second.on_answer_started(attempt, monotonic_us()))
                LogEvent("engine_speed")
                    .kv("set", releases.upstream_set)
                    .kv("identity", change->identity)
                    .kv("factor", change->factor);
        for (const std::string& attempt : releases.ended)
            placer->second.record_ended(attempt);
    }
    m_maker.withdraw(releases);
    m_holders.free(releases);
}

} // namespace cypressford
