// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "caller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/hybrid_clock.h"
#include "libutil/json_fields.h"
#include "standin/answers.h"

namespace cypressford::load {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kReadyPollInterval {50};
constexpr std::int64_t kReadyTimeoutUs = 300'000;
/// Time beyond the deadline after which a request without an answer counts as cut.
constexpr std::int64_t kDeadlineMarginUs = 5'000'000;
constexpr int kMaxResumes = 8;
constexpr int kMaxAttempts = 5;

void
classify_problem(const HttpResponse& response, Record& record)
{
    const auto body = parse_json_object(response.body);
    record.kind = body ? json_text(*body, "kind") : "no_problem_body";
    const bool not_run = body && json_text(*body, "ran") == "not_run";
    record.outcome = not_run ? Outcome::NotRun : Outcome::Unknown;
}

void
classify_latency(const PipelineLoad& load, Record& record)
{
    record.outcome = record.time_ms <= load.deadline_ms ? Outcome::Attained : Outcome::Late;
}

} // namespace

std::string
expected_output(const PipelineLoad& load, const std::string& body)
{
    std::string value = body;
    for (const std::string& stage : load.stages)
        value = stage == "generate" ? standin::complete_text(value, load.tokens)
                                    : standin::stage_output(stage, value);
    return value;
}

Balancer::Balancer(asio::io_context& io, std::vector<std::string> daemons)
    : m_io(io)
    , m_client(io)
    , m_daemons(std::move(daemons))
    , m_ready(m_daemons.size(), false)
{
}

asio::awaitable<void>
Balancer::poll_readiness()
{
    asio::steady_timer timer(m_io);
    while (!m_stopped) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            m_ready[i] = co_await is_ready(m_daemons[i]);
        timer.expires_after(kReadyPollInterval);
        co_await timer.async_wait(kToTuple);
    }
}

asio::awaitable<bool>
Balancer::is_ready(std::string address)
{
    HttpRequest request;
    request.target = "/ready";
    CallOptions options;
    options.deadline_us = monotonic_us() + kReadyTimeoutUs;
    options.fresh_connection = true;
    const CallResult result = co_await m_client.call(address, request, options);
    co_return result.status == CallStatus::Answered&& result.response.status == 200;
}

std::string
Balancer::pick()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const std::size_t at = m_next++ % m_daemons.size();
        if (m_ready[at])
            return m_daemons[at];
    }
    return m_daemons[m_next++ % m_daemons.size()];
}

std::size_t
Balancer::ready_count() const
{
    return static_cast<std::size_t>(std::count(m_ready.begin(), m_ready.end(), true));
}

Caller::Caller(asio::io_context& io, const LoadConfig& config, Balancer& balancer)
    : m_client(io)
    , m_config(config)
    , m_balancer(balancer)
    , m_random(config.seed)
{
}

asio::awaitable<Record>
Caller::request(std::size_t pipeline, std::uint64_t number)
{
    const PipelineLoad& load = m_config.pipelines[pipeline];
    Record record;
    record.pipeline = pipeline;
    if (load.keyed)
        record.key = uuid7();
    m_number = number;
    const std::string body = "request " + std::to_string(m_config.seed) + "/"
        + std::to_string(pipeline) + "/" + std::to_string(number);
    const std::int64_t started = monotonic_us();
    if (load.stream)
        co_await send_streaming(load, body, record);
    else
        co_await send_unary(load, body, record);
    record.time_ms = static_cast<double>(monotonic_us() - started) / 1000;
    if (record.outcome == Outcome::Attained)
        classify_latency(load, record);
    co_return record;
}

HttpRequest
Caller::make_request(const PipelineLoad& load, const std::string& body,
                     const Record& record, std::uint64_t number)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/pipelines/" + load.name;
    request.headers.add("Authorization", "Bearer " + load.credential);
    request.headers.add("X-Deadline-Ms",
                        std::to_string(static_cast<int>(load.deadline_ms)));
    if (!record.key.empty())
        request.headers.add("Idempotency-Key", record.key);
    if (load.sessions > 0)
        request.headers.add("X-Session",
                            "s" + std::to_string(number % std::uint64_t(load.sessions)));
    request.body = body;
    return request;
}

asio::awaitable<void>
Caller::send_unary(const PipelineLoad& load, const std::string& body, Record& record)
{
    HttpRequest request = make_request(load, body, record, m_number);
    CallOptions options;
    options.deadline_us = monotonic_us()
        + static_cast<std::int64_t>(load.deadline_ms * 1000) + kDeadlineMarginUs;
    // HttpClient may resend a request that fails on a reused connection.  A fresh
    // connection prevents this, so that a keyed request is resent only by this loop.
    options.fresh_connection = load.keyed;
    CallResult result;
    const int attempts = m_config.retry_lost ? kMaxAttempts : 1;
    for (int i = 0; i < attempts && result.status != CallStatus::Answered; ++i)
        result = co_await m_client.call(m_balancer.pick(), request, options);
    if (result.status != CallStatus::Answered) {
        record.outcome = Outcome::Cut;
        co_return;
    }
    if (result.response.status != 200) {
        classify_problem(result.response, record);
        co_return;
    }
    const auto answer = parse_json_object(result.response.body);
    const bool own = answer && json_text(*answer, "output") == expected_output(load, body);
    record.outcome = own ? Outcome::Attained : Outcome::Misdelivered;
}

/// State of a stream, accumulated over all its connections.
struct Caller::StreamState {
    std::string buffer;
    std::string text;
    std::string last_id;
    std::string error; ///< data of the last error event; "" if there was none
    std::size_t tokens = 0;
    bool in_order = true;
    bool ended = false;
    std::int64_t first_token_us = 0;

    void feed(std::string_view piece)
    {
        buffer += piece;
        std::size_t end = 0;
        while ((end = buffer.find("\n\n")) != std::string::npos) {
            on_event(buffer.substr(0, end));
            buffer.erase(0, end + 2);
        }
    }

    void on_event(const std::string& event)
    {
        std::string id;
        std::string name;
        std::string data;
        std::size_t at = 0;
        while (at < event.size()) {
            const std::size_t end = std::min(event.find('\n', at), event.size());
            const std::string line = event.substr(at, end - at);
            at = end + 1;
            if (line.starts_with("id: "))
                id = line.substr(4);
            else if (line.starts_with("event: "))
                name = line.substr(7);
            else if (line.starts_with("data: "))
                data = line.substr(6);
        }
        if (name == "end")
            ended = true;
        else if (name == "error")
            error = data;
        else if (const auto token = parse_json_object(data))
            on_token(*token, id);
    }

    void on_token(const boost::json::object& token, const std::string& id)
    {
        in_order = in_order && json_integer<std::size_t>(token, "i", 0) == tokens;
        text += json_text(token, "t");
        last_id = id;
        ++tokens;
        if (first_token_us == 0)
            first_token_us = monotonic_us();
    }
};

/// Reads a stream to its end, resuming at further daemons if the connection breaks.
asio::awaitable<void>
Caller::send_streaming(const PipelineLoad& load, const std::string& body, Record& record)
{
    StreamState state;
    const std::uint64_t number = m_number;
    const std::int64_t started = monotonic_us();
    for (int i = 0; i <= kMaxResumes && !state.ended; ++i) {
        HttpRequest request = make_request(load, body, record, number);
        if (!state.last_id.empty()) {
            request.headers.add("Last-Event-ID", state.last_id);
            ++record.resumed;
        }
        state.buffer.clear();
        state.error.clear();
        CallOptions options;
        options.deadline_us = started + static_cast<std::int64_t>(load.deadline_ms * 1000)
            + kDeadlineMarginUs;
        options.on_chunk = [&state](std::string_view piece) { state.feed(piece); };
        const CallResult result
            = co_await m_client.call(m_balancer.pick(), request, options);
        if (result.status == CallStatus::Answered && result.response.status != 200) {
            classify_problem(result.response, record);
            // A stream that has started is resumed elsewhere after a server error.
            const bool again = !state.last_id.empty() && result.response.status >= 500;
            if (!again)
                co_return;
        }
        if (!state.error.empty() && state.last_id.empty()) {
            HttpResponse problem;
            problem.body = state.error;
            classify_problem(problem, record);
            co_return;
        }
    }
    record.first_token_ms = static_cast<double>(state.first_token_us - started) / 1000;
    if (!state.ended)
        record.outcome = Outcome::Cut;
    else if (!state.in_order || state.text != expected_output(load, body))
        record.outcome = Outcome::Misdelivered;
    else
        record.outcome = Outcome::Attained;
}

/// Makes a UUID of version 7 (RFC 9562): milliseconds since the epoch, then random bits.
std::string
Caller::uuid7()
{
    std::string hex = format_stamp(static_cast<std::uint64_t>(wall_ms())).substr(4);
    hex += format_stamp(m_random()) + format_stamp(m_random());
    hex.resize(32);
    hex[12] = '7';
    hex[16] = '8';
    return hex.substr(0, 8) + "-" + hex.substr(8, 4) + "-" + hex.substr(12, 4) + "-"
        + hex.substr(16, 4) + "-" + hex.substr(20);
}

} // namespace cypressford::load
