// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/claim_service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/codec.h>

#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Micros kReadWait = 5 * kSecond;
/// Interval of timer events, with and without open claims.
constexpr std::chrono::milliseconds kBusyTick {5};
constexpr std::chrono::milliseconds kIdleTick {100};
constexpr std::chrono::milliseconds kReadRetry {200};

} // namespace

ClaimService::ClaimService(asio::io_context& io, Kernel& kernel, PlatformClient& platform)
    : m_io(io)
    , m_kernel(kernel)
    , m_platform(platform)
    , m_claimer(kernel.incarnation, kernel.settings.claims)
    , m_tick(io)
{
}

void
ClaimService::start()
{
    spawn_restarting_task(m_io, "claim_read", [this] { return read_loop(); });
    spawn_restarting_task(m_io, "claim_tick", [this] { return tick_loop(); });
}

void
ClaimService::request_claim(ClaimRequested wanted, OnDecided decided)
{
    asio::post(m_io,
               [this, wanted = std::move(wanted), decided = std::move(decided)]() mutable {
                   m_pending.emplace(wanted.request, std::move(decided));
                   handle(std::move(wanted));
               });
}

void
ClaimService::end_request(ClaimRequestEnded ended)
{
    asio::post(m_io, [this, ended = std::move(ended)] {
        handle(ended);
        m_pending.erase(ended.request);
    });
}

asio::awaitable<bool>
ClaimService::is_claimed(std::string key)
{
    const auto lookup = [this, &key]() -> asio::awaitable<bool> {
        const auto* state = m_claimer.ledger().find(key);
        co_return state && state->claimed;
    };
    co_return co_await asio::co_spawn(m_io, lookup(), asio::use_awaitable);
}

asio::awaitable<bool>
ClaimService::is_idle()
{
    const auto lookup = [this]() -> asio::awaitable<bool> { co_return m_claimer.idle(); };
    co_return co_await asio::co_spawn(m_io, lookup(), asio::use_awaitable);
}

void
ClaimService::handle(const ClaimEvent& event)
{
    const bool was_idle = m_claimer.idle();
    ClaimActions actions;
    const Micros now = monotonic_us();
    m_claimer.handle(event, {now, wall_ms()}, actions);
    m_kernel.log_is_unavailable.store(m_claimer.log_unavailable(now));
    for (ClaimAction& action : actions) {
        if (auto* start = std::get_if<StartAppend>(&action)) {
            spawn_task(m_io, "claim_append", append(std::move(start->batch)));
            continue;
        }
        auto& decision = std::get<DecideClaim>(action);
        auto it = m_pending.find(decision.request);
        if (it == m_pending.end())
            continue;
        const OnDecided decided = std::move(it->second);
        m_pending.erase(it);
        decided(std::move(decision));
    }
    if (was_idle && !m_claimer.idle())
        m_tick.cancel();
}

asio::awaitable<void>
ClaimService::append(ClaimBatch batch)
{
    const std::size_t claims = batch.claims.size();
    const std::size_t ends = batch.ends.size();
    const auto offset = co_await m_platform.append(kStream, encode(batch));
    LogEvent("claims_append", offset ? LogLevel::Debug : LogLevel::Warn)
        .kv("claims", claims)
        .kv("ends", ends)
        .kv("stored", offset.has_value())
        .kv("offset", offset.value_or(-1));
    handle(AppendEnded {offset.has_value()});
}

asio::awaitable<void>
ClaimService::read_loop()
{
    BootTimer pause(m_io);
    for (;;) {
        const auto page
            = co_await m_platform.read(kStream, m_claimer.ledger().next(), kReadWait);
        if (!page) {
            pause.expires_after(kReadRetry);
            co_await pause.async_wait(kToTuple);
            continue;
        }
        handle(FirstRetained {page->first});
        Offset offset = page->from;
        for (const std::string& record : page->records) {
            // All daemons treat an invalid record as a record without entries.
            handle(ClaimRecordRead {offset, decode_claims(record).value_or(ClaimBatch {})});
            ++offset;
        }
    }
}

asio::awaitable<void>
ClaimService::tick_loop()
{
    for (;;) {
        m_tick.expires_after(m_claimer.idle() ? kIdleTick : kBusyTick);
        co_await m_tick.async_wait(kToTuple);
        handle(ClaimTick {});
    }
}

} // namespace cypressford
