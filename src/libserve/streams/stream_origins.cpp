// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/streams/stream_origins.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// Time for which origins wait for others that the same daemon keeps.  A caller resumes a
/// stream no sooner than a round trip after it broke off.
constexpr std::chrono::milliseconds kLinger {5};
/// Time for which origins for the store wait for others, for each daemon of the fleet: the
/// daemon that writes them gets at most one message in this time.
constexpr std::chrono::milliseconds kStoreLingerPerDaemon {1};
constexpr std::chrono::milliseconds kMaxStoreLinger {1000};
/// The second round of questions: an origin may be on its way during the first.
constexpr std::chrono::milliseconds kAskAgainAfter {30};

bool
has_several_versions(const SnapshotPtr& snapshot, const std::string& set_name)
{
    if (!snapshot)
        return false;
    const auto is_named = [&](const UpstreamSet& set) { return set.spec.name == set_name; };
    const auto set = std::find_if(snapshot->sets.begin(), snapshot->sets.end(), is_named);
    return set != snapshot->sets.end() && set->versions.size() > 1;
}

} // namespace

/// Questions for one origin that are open at several daemons.
struct StreamOrigins::Inquiry {
    explicit Inquiry(asio::io_context& io)
        : changed(io, BootTimer::time_point::max())
    {
    }

    void end_question()
    {
        --open;
        changed.cancel();
    }

    std::optional<StreamOrigin> found;
    std::vector<std::optional<SoleVersion>> seen; ///< of the set, by this daemon and others
    std::optional<Micros> differed_at; ///< the latest time that one of them has seen
    std::size_t open = 0;
    BootTimer changed;
};

std::optional<SoleVersion>
StreamOrigins::sole_version(const std::string& set_name) const
{
    const auto sole = m_kernel.sole_versions.load();
    if (!sole)
        return std::nullopt;
    const auto it = sole->find(set_name);
    if (it == sole->end())
        return std::nullopt;
    SoleVersion result = it->second;
    result.recorded_since = recorded_since(set_name, result.version);
    return result;
}

std::optional<Micros>
StreamOrigins::recorded_since(const std::string& set_name, const std::string& version) const
{
    const auto recorded = m_kernel.recorded_versions.load();
    if (!recorded)
        return std::nullopt;
    const auto it = recorded->find(set_name);
    if (it == recorded->end() || it->second.version != version)
        return std::nullopt;
    // Wall clocks may be set back.
    const std::int64_t age_ms = std::max<std::int64_t>(0, wall_ms() - it->second.since_ms);
    return monotonic_us() - age_ms * kMillisecond;
}

/// A version that was the only one for a while needs no origins, but the daemons that
/// resume streams rely on that only after the longest life of a stream.
bool
StreamOrigins::is_only_version(const std::string& set_name) const
{
    const auto sole = sole_version(set_name);
    return sole && monotonic_us() - sole->since >= StreamOriginTable::kLifetime;
}

std::optional<Micros>
StreamOrigins::differed_at(const std::string& set_name)
{
    if (has_several_versions(m_kernel.snapshot.load(), set_name))
        m_differed_at[set_name] = monotonic_us();
    const auto at = m_differed_at.find(set_name);
    if (at == m_differed_at.end())
        return std::nullopt;
    const auto sole = sole_version(set_name);
    return sole ? std::max(at->second, sole->since) : at->second;
}

/// After a restart of all daemons, only the platform's store tells at which of several
/// versions a stream began.
bool
StreamOrigins::differed_lately(const std::string& set_name)
{
    const auto at = differed_at(set_name);
    return at && monotonic_us() - *at < StreamOriginTable::kLifetime;
}

void
StreamOrigins::record(std::string request, StreamOrigin origin)
{
    asio::post(m_io, [this, request = std::move(request), origin = std::move(origin)] {
        m_origins.record(request, origin, true, monotonic_us());
        if (!is_only_version(origin.upstream_set))
            send_later(request, origin);
    });
}

void
StreamOrigins::on_versions_differ(std::string set_name)
{
    asio::post(m_io, [this, set_name = std::move(set_name)] {
        m_differed_at[set_name] = monotonic_us();
        for (const auto& [version, requests] :
             m_origins.own_streams(set_name, monotonic_us()))
            for (const std::string& request : requests)
                send_later(request, {set_name, version});
    });
}

std::vector<std::string>
StreamOrigins::holders(const std::string& request, std::size_t count,
                       std::size_t count_in_hall) const
{
    const auto peers = m_kernel.tunnel_peers.load();
    if (!peers)
        return {};
    const Settings& settings = m_kernel.settings;
    return origin_holders(*peers, {settings.announced_peers, settings.hall}, request, count,
                          count_in_hall);
}

void
StreamOrigins::send_later(const std::string& request, const StreamOrigin& origin)
{
    const bool is_first = m_unsent.empty();
    for (const std::string& address :
         holders(request, kOriginHolders, kOriginHoldersInHall))
        m_unsent[address].known[origin].push_back(request);
    if (differed_lately(origin.upstream_set))
        store_later(request, origin);
    if (is_first && !m_unsent.empty())
        spawn_restarting_task(m_io, "origin_batches", [this] { return flush(); });
}

/// One daemon writes all origins of a set, so that the number of calls to the store does
/// not grow with the fleet.
void
StreamOrigins::store_later(const std::string& request, const StreamOrigin& origin)
{
    if (!m_kernel.knows_all_daemons.load())
        return;
    const std::vector<std::string> first = holders(origin.upstream_set, 1, 0);
    if (first.empty()) {
        m_on_store({{origin, {request}}});
        return;
    }
    const bool is_first = m_to_store.empty();
    m_to_store[first.front()][origin].push_back(request);
    if (is_first)
        spawn_restarting_task(m_io, "origin_batches_to_store",
                              [this] { return flush_to_store(); });
}

asio::awaitable<void>
StreamOrigins::flush_to_store()
{
    const std::chrono::milliseconds linger
        = m_kernel.daemons.load() * kStoreLingerPerDaemon;
    co_await pause_for(m_io, std::clamp(linger, kLinger, kMaxStoreLinger));
    for (auto& [address, origins] : std::exchange(m_to_store, {})) {
        StreamOriginBatch batch;
        batch.to_store = std::move(origins);
        spawn_task(m_io, "origin_batch", send(address, std::move(batch)));
    }
}

void
StreamOrigins::restore(RequestsByOrigin origins)
{
    asio::post(m_io, [this, origins = std::move(origins)] {
        const Micros now = monotonic_us();
        for (const auto& [origin, requests] : origins)
            for (const std::string& request : requests)
                m_origins.record(request, origin, false, now);
    });
}

asio::awaitable<void>
StreamOrigins::flush()
{
    co_await pause_for(m_io, kLinger);
    for (auto& [address, batch] : std::exchange(m_unsent, {}))
        spawn_task(m_io, "origin_batch", send(address, std::move(batch)));
}

asio::awaitable<void>
StreamOrigins::send(std::string address, StreamOriginBatch batch)
{
    const auto answer = co_await m_link.exchange_origins(address, std::move(batch));
    if (!answer)
        LogEvent("stream_origins_unsent", LogLevel::Debug).kv("daemon", address);
}

asio::awaitable<StreamHistory>
StreamOrigins::find(std::string request, std::string set_name)
{
    co_return co_await asio::co_spawn(
        m_io, find_here(std::move(request), std::move(set_name)), asio::use_awaitable);
}

asio::awaitable<StreamHistory>
StreamOrigins::find_here(std::string request, std::string set_name)
{
    StreamHistory history;
    history.origin = m_origins.find(request, monotonic_us());
    if (history.origin)
        co_return history;
    history = co_await ask_holders(request, set_name);
    if (history.origin || history.sole)
        co_return history;
    co_await pause_for(m_io, kAskAgainAfter);
    history = co_await ask_holders(request, set_name);
    co_return history;
}

/// Ends with the first answer that names the origin.
asio::awaitable<StreamHistory>
StreamOrigins::ask_holders(std::string request, std::string set_name)
{
    const auto inquiry = std::make_shared<Inquiry>(m_io);
    inquiry->found = m_origins.find(request, monotonic_us());
    inquiry->seen.push_back(sole_version(set_name));
    inquiry->differed_at = differed_at(set_name);
    StreamOriginBatch question;
    if (!request.empty() && request.size() <= StreamOriginTable::kMaxIdChars)
        question.wanted.push_back(request);
    question.upstream_set = set_name;
    std::vector<std::string> asked
        = holders(request, kAskedOriginHolders, kAskedOriginHoldersInHall);
    for (const std::string& keeper : holders(set_name, kVersionKeepers, 0))
        if (std::find(asked.begin(), asked.end(), keeper) == asked.end())
            asked.push_back(keeper);
    for (const std::string& address : asked) {
        ++inquiry->open;
        spawn_task(m_io, "origin_query", ask(address, question, inquiry),
                   [inquiry] { inquiry->end_question(); });
    }
    while (inquiry->open > 0 && !inquiry->found)
        co_await inquiry->changed.async_wait(kToTuple);
    if (inquiry->found)
        m_origins.record(request, *inquiry->found, false, monotonic_us());
    const std::size_t needed_records = std::min(kNeededRecords, 1 + asked.size());
    co_return StreamHistory {inquiry->found, agreed_version(inquiry->seen, needed_records),
                             inquiry->differed_at, inquiry->seen.size() - 1};
}

asio::awaitable<void>
StreamOrigins::ask(std::string address, StreamOriginBatch question,
                   std::shared_ptr<Inquiry> inquiry)
{
    const auto answer = co_await m_link.exchange_origins(address, std::move(question));
    if (answer && !answer->known.empty())
        inquiry->found = answer->known.begin()->first;
    if (answer) {
        std::optional<SoleVersion> sole = answer->sole;
        const Micros now = monotonic_us();
        if (sole)
            sole->since = now - sole->since;
        if (sole && sole->recorded_since)
            sole->recorded_since = now - *sole->recorded_since;
        inquiry->seen.push_back(std::move(sole));
        if (answer->differed)
            inquiry->differed_at
                = std::max(inquiry->differed_at.value_or(now - *answer->differed),
                           now - *answer->differed);
    }
    inquiry->end_question();
}

asio::awaitable<void>
StreamOrigins::serve(HttpExchange& exchange)
{
    const auto batch = decode_stream_origins(exchange.request().body);
    StreamOriginBatch answer;
    const Micros now = monotonic_us();
    if (batch) {
        for (const auto& [origin, requests] : batch->known)
            for (const std::string& request : requests)
                m_origins.record(request, origin, false, now);
        if (!batch->to_store.empty())
            m_on_store(batch->to_store);
        for (const std::string& request : batch->wanted)
            if (const auto origin = m_origins.find(request, now))
                answer.known[*origin].push_back(request);
        answer.sole = sole_version(batch->upstream_set);
        if (const auto at = differed_at(batch->upstream_set))
            answer.differed = std::max<Micros>(0, now - *at);
        if (answer.sole)
            answer.sole->since = now - answer.sole->since;
        // The record's age was computed after `now`.
        if (answer.sole && answer.sole->recorded_since)
            answer.sole->recorded_since
                = std::max<Micros>(0, now - *answer.sole->recorded_since);
    }
    HttpResponse response;
    response.content_type = "application/x-protobuf";
    response.body = encode(answer);
    co_await exchange.respond(std::move(response));
}

} // namespace cypressford
