// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/directory/directory_store.h"

#include <utility>

#include <cypressford/registry.h>

#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

/// Timeout for the first byte of an answer, beyond the time for which the query is held.
constexpr Micros kReadTimeout = 800 * kMillisecond;
/// The same for a listing, which all daemons that have just started may request at once.
constexpr Micros kListTimeout = 3 * kSecond;
/// The same for a write: the directory stores records one at a time and rejects a record
/// that would wait for over 2 s.
constexpr Micros kAppendTimeout = 2500 * kMillisecond;
/// Answers of at least this size are logged: on a link of 10 Mbit/s they take 50 ms.
constexpr std::size_t kLargeAnswerBytes = 64 * 1024;
constexpr int kOk = 200;

std::string_view
outcome_name(CallStatus status)
{
    switch (status) {
    case CallStatus::Answered:
        return "answered";
    case CallStatus::Withheld:
    case CallStatus::NotSent:
        return "not_sent";
    case CallStatus::Lost:
        break;
    }
    return "lost";
}

/// Logs size and duration of failed and of large answers.
void
log_call(DirectoryTopic topic, const CallResult& result, Micros duration)
{
    const bool answered = result.status == CallStatus::Answered;
    const std::size_t bytes = result.response.body.size();
    if (answered && bytes < kLargeAnswerBytes)
        return;
    LogEvent("directory_call", answered ? LogLevel::Info : LogLevel::Warn)
        .kv("topic", to_string(topic))
        .kv("outcome", outcome_name(result.status))
        .kv("bytes", bytes)
        .kv("us", duration);
}

} // namespace

DirectoryStore::DirectoryStore(asio::io_context& io, Kernel& kernel)
    : m_kernel(kernel)
    , m_dialect(Registry<DirectoryDialect>::instance().make(kernel.settings.platform.kind))
    , m_client(io)
{
}

asio::awaitable<HttpResponse>
DirectoryStore::call(DirectoryTopic topic, std::string_view kind, HttpRequest request,
                     Micros timeout)
{
    ++m_calls[std::string(kind) + "_" + std::string(to_string(topic))];
    m_kernel.directory_calls.fetch_add(1, std::memory_order_relaxed);
    CallOptions options;
    const Micros requested_at = monotonic_us();
    options.deadline_us = requested_at + timeout;
    options.body = kLargeBodyTimeouts;
    options.send_clock = false;
    const CallResult result = co_await m_client.call(m_kernel.reloaded.load()->platform.log,
                                                     std::move(request), options);
    log_call(topic, result, monotonic_us() - requested_at);
    HttpResponse response = result.response;
    const bool is_current = record_generation(topic, response, requested_at);
    if (result.status != CallStatus::Answered || !is_current)
        response.status = 0;
    co_return response;
}

bool
DirectoryStore::record_generation(DirectoryTopic topic, const HttpResponse& response,
                                  Micros requested_at)
{
    const LogGeneration reported = m_dialect->generation_of(response);
    if (reported == 0 || reported == m_generation)
        return true;
    const bool is_late = m_generation != 0 && requested_at < m_generation_at;
    if (is_late && reported < m_generation)
        return false;
    LogEvent("directory_generation", LogLevel::Warn)
        .kv("generation", reported)
        .kv("before", m_generation)
        .kv("topic", to_string(topic));
    m_generation = reported;
    m_generation_at = monotonic_us();
    if (m_on_generation)
        m_on_generation(reported);
    return true;
}

asio::awaitable<Result<DirectoryPage>>
DirectoryStore::newest(DirectoryTopic topic, std::string after)
{
    auto page = m_dialect->decode_newest(
        co_await call(topic, "list", m_dialect->newest(topic, after), kListTimeout));
    co_return page;
}

asio::awaitable<Result<DirectoryPage>>
DirectoryStore::read(DirectoryTopic topic, Offset from, Micros wait)
{
    auto page = m_dialect->decode_read(co_await call(
        topic, "read", m_dialect->read(topic, from, wait), wait + kReadTimeout));
    if (page && page->history_lost)
        LogEvent("directory_history_lost", LogLevel::Warn)
            .kv("topic", to_string(topic))
            .kv("from", from)
            .kv("generation", m_generation);
    co_return page;
}

asio::awaitable<Result<void>>
DirectoryStore::append(DirectoryTopic topic, DirectoryRecord record)
{
    HttpRequest request = m_dialect->append(topic, record);
    const HttpResponse response
        = co_await call(topic, "append", std::move(request), kAppendTimeout);
    if (response.status == kOk)
        co_return Result<void> {};
    LogEvent("directory_append_failed", LogLevel::Warn)
        .kv("topic", to_string(topic))
        .kv("key", record.key)
        .kv("status", response.status);
    co_return fail(ErrorKind::UpstreamFailed, std::to_string(response.status));
}

void
DirectoryStore::log_calls(std::string_view role)
{
    if (m_calls.empty())
        return;
    LogEvent line("directory_calls");
    line.kv("role", role).kv("generation", m_generation);
    for (const auto& [kind_and_topic, count] : std::exchange(m_calls, {}))
        line.kv(kind_and_topic, count);
}

} // namespace cypressford
