// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-in for a model engine: batch slots, a bounded prefix cache, streams that
/// can be resumed and cancelled, placement orders checked by fencing token.

#include "answers.h"
#include "upstream.h"

#include <deque>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libutil/event_log.h"
#include "libutil/task.h"

namespace cypressford::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
/// A stream without a reader is cancelled after this time.
constexpr std::chrono::milliseconds kOrphanTimeout {3000};
/// A finished stream can be resumed for this time.
constexpr std::chrono::milliseconds kRetentionTime {5000};
/// Length of the part of a prompt that is cached as its prefix, in characters.
constexpr std::size_t kPrefixChars = 64;

/// One generation, shared by all its readers.
struct Stream {
    explicit Stream(asio::io_context& io)
        : changed(io, asio::steady_timer::time_point::max())
    {
    }
    std::string prompt;
    std::size_t first = 0; ///< index of tokens.front()
    std::vector<std::string> tokens;
    std::size_t target = 0; ///< number of tokens of the complete text
    bool done = false;
    bool cancelled = false;
    int readers = 0;
    std::int64_t reader_left_ms = 0; ///< wall clock; 0 while no reader has disconnected
    asio::steady_timer changed; ///< cancelled to wake up readers
};
using StreamPtr = std::shared_ptr<Stream>;

} // namespace

class Engine final : public Upstream {
public:
    using Upstream::Upstream;

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        const HttpRequest& request = exchange.request();
        const std::string path(request.path());
        constexpr std::string_view streams = "/v1/streams/";
        if (request.method == "POST" && path == "/v1/generate")
            co_await generate(exchange);
        else if (request.method == "GET" && path.starts_with(streams))
            co_await resume(exchange, path.substr(streams.size()));
        else if (request.method == "DELETE" && path.starts_with(streams))
            co_await cancel(exchange, path.substr(streams.size()));
        else if (request.method == "GET" && path.starts_with("/v1/kv/"))
            co_await export_kv(exchange, path.substr(7));
        else if (request.method == "POST" && path == "/v1/kv")
            co_await import_kv(exchange);
        else if (request.method == "GET" && path == "/v1/cache_events")
            co_await cache_events(exchange);
        else if (request.method == "POST" && path == "/v1/orders")
            co_await order(exchange);
        else if (request.method == "GET" && path == "/v1/models")
            co_await models(exchange);
        else
            co_await refuse(exchange, 404, "no such path");
    }

private:
    asio::awaitable<void> generate(HttpExchange& exchange)
    {
        const auto body = parse_body(exchange.request());
        const std::string id = json_text(body, "stream");
        const std::string prompt = json_text(body, "prompt");
        if (id.empty() || prompt.empty()) {
            co_await refuse(exchange, 400, "no stream or prompt");
            co_return;
        }
        if (!co_await acquire_slot(exchange,
                                   static_cast<int>(json_number(body, "priority", 9))))
            co_return;
        auto stream = std::make_shared<Stream>(m_io);
        stream->prompt = prompt;
        stream->first = static_cast<std::size_t>(json_number(body, "delivered", 0));
        stream->target = std::min(m_config.max_tokens,
                                  static_cast<std::size_t>(json_number(
                                      body, "max_tokens", double(m_config.max_tokens))));
        m_streams[id] = stream;
        ++m_counters.runs;
        spawn_task(m_io, "engine_run", run(id, stream));
        co_await read(exchange, stream, stream->first);
    }

    /// Produces the tokens of a stream, in a slot that is already acquired.
    asio::awaitable<void> run(std::string id, StreamPtr stream)
    {
        co_await simulate_work(look_up_prefix(stream->prompt) ? m_config.service_ms
                                                              : m_config.prefill_ms);
        for (std::size_t i = stream->first;
             i < stream->target && !cancel_if_orphaned(*stream); ++i) {
            co_await simulate_work(m_config.service_ms);
            stream->tokens.push_back(token_text(stream->prompt, i));
            stream->changed.cancel();
        }
        stream->done = true;
        stream->changed.cancel();
        release_slot();
        asio::steady_timer retention(m_io, kRetentionTime);
        co_await retention.async_wait(kToTuple);
        auto it = m_streams.find(id);
        if (it != m_streams.end() && it->second == stream)
            m_streams.erase(it);
    }

    static bool cancel_if_orphaned(Stream& stream)
    {
        const bool unread = stream.readers == 0 && stream.reader_left_ms > 0;
        if (unread && wall_ms() - stream.reader_left_ms > kOrphanTimeout.count())
            stream.cancelled = true;
        return stream.cancelled;
    }

    asio::awaitable<void> read(HttpExchange& exchange, StreamPtr stream, std::size_t from)
    {
        ++stream->readers;
        bool open = co_await exchange.begin_stream("text/event-stream");
        std::size_t next = from;
        while (open) {
            const std::size_t end = stream->first + stream->tokens.size();
            if (next < end) {
                const json::object event {{"i", next},
                                          {"t", stream->tokens[next - stream->first]}};
                ++next;
                open = co_await exchange.write("data: " + json::serialize(event) + "\n\n");
            } else if (stream->done) {
                break;
            } else {
                co_await stream->changed.async_wait(kToTuple);
            }
        }
        --stream->readers;
        stream->reader_left_ms = wall_ms();
        if (!open || stream->cancelled || m_faults.cut) {
            exchange.drop();
            co_return;
        }
        const json::object last {{"done", true}, {"n", stream->target}};
        co_await exchange.write("data: " + json::serialize(last) + "\n\n");
        co_await exchange.end();
    }

    asio::awaitable<void> resume(HttpExchange& exchange, std::string id)
    {
        auto it = m_streams.find(id);
        const std::string from(exchange.request().query("from"));
        const std::size_t index
            = from.empty() ? 0 : std::strtoul(from.c_str(), nullptr, 10);
        const bool known
            = it != m_streams.end() && !it->second->cancelled && index >= it->second->first;
        if (!known) {
            co_await refuse(exchange, 404, "no such stream");
            co_return;
        }
        const StreamPtr stream = it->second;
        co_await read(exchange, stream, index);
    }

    asio::awaitable<void> cancel(HttpExchange& exchange, std::string id)
    {
        auto it = m_streams.find(id);
        if (it != m_streams.end())
            it->second->cancelled = true;
        const json::object answer {{"cancelled", it != m_streams.end()}};
        co_await exchange.respond(json_response(200, answer));
    }

    asio::awaitable<void> export_kv(HttpExchange& exchange, std::string prefix)
    {
        const bool cached
            = std::find(m_cache.begin(), m_cache.end(), prefix) != m_cache.end();
        if (!cached) {
            co_await refuse(exchange, 404, "not cached");
            co_return;
        }
        const json::object answer {{"prefix", prefix}};
        co_await exchange.respond(json_response(200, answer));
    }

    asio::awaitable<void> import_kv(HttpExchange& exchange)
    {
        cache_prefix(json_text(parse_body(exchange.request()), "prefix"));
        const json::object answer {{"imported", true}};
        co_await exchange.respond(json_response(200, answer));
    }

    /// Lists cached prefixes with a delay: events younger than `report_lag_ms` are left
    /// out.
    asio::awaitable<void> cache_events(HttpExchange& exchange)
    {
        json::array events;
        for (const auto& [at, prefix] : m_cache_events)
            if (static_cast<double>(wall_ms() - at) > m_config.report_lag_ms)
                events.push_back(json::object {{"prefix", prefix}});
        const json::object answer {{"events", std::move(events)}};
        co_await exchange.respond(json_response(200, answer));
    }

    asio::awaitable<void> order(HttpExchange& exchange)
    {
        const auto body = parse_body(exchange.request());
        const auto fence = static_cast<std::int64_t>(json_number(body, "fence", -1));
        if (m_config.checks_fence && fence < m_last_fence) {
            co_await refuse(exchange, 409, "fenced off");
            co_return;
        }
        m_last_fence = std::max(m_last_fence, fence);
        const std::string model = json_text(body, "model");
        m_models.insert(model);
        LogEvent("order")
            .kv("address", m_config.address)
            .kv("model", model)
            .kv("fence", fence);
        const json::object answer {{"loaded", model}};
        co_await exchange.respond(json_response(200, answer));
    }

    asio::awaitable<void> models(HttpExchange& exchange)
    {
        json::array names;
        for (const std::string& name : m_models)
            names.push_back(json::value(name));
        const json::object answer {{"models", std::move(names)}};
        co_await exchange.respond(json_response(200, answer));
    }

    /// True if the prompt's prefix is cached; the prefix is cached afterwards.
    bool look_up_prefix(const std::string& prompt)
    {
        const std::string prefix = prompt.substr(0, kPrefixChars);
        const bool hit = std::find(m_cache.begin(), m_cache.end(), prefix) != m_cache.end();
        cache_prefix(prefix);
        return hit;
    }

    void cache_prefix(const std::string& prefix)
    {
        std::erase(m_cache, prefix);
        m_cache.push_back(prefix);
        m_cache_events.emplace_back(wall_ms(), prefix);
        const auto limit = static_cast<std::size_t>(m_config.cache_entries);
        while (m_cache.size() > limit)
            m_cache.pop_front();
        while (m_cache_events.size() > limit)
            m_cache_events.pop_front();
    }

    std::map<std::string, StreamPtr> m_streams;
    std::deque<std::string> m_cache;
    std::deque<std::pair<std::int64_t, std::string>> m_cache_events;
    std::set<std::string> m_models;
    std::int64_t m_last_fence = -1;
};

std::unique_ptr<Upstream>
make_engine(asio::io_context& io, UpstreamConfig config)
{
    return std::make_unique<Engine>(io, std::move(config));
}

} // namespace cypressford::standin
