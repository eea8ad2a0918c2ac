// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stage pools (encode, retrieve, rerank) and plain services.

#include "answers.h"
#include "upstream.h"

#include "libutil/event_log.h"

namespace cypressford::standin {

namespace asio = boost::asio;

class Pool final : public Upstream {
public:
    using Upstream::Upstream;

protected:
    asio::awaitable<void> serve(HttpExchange& exchange) override
    {
        const HttpRequest& request = exchange.request();
        const auto body = parse_body(request);
        const std::string operation(request.path().substr(request.path().rfind('/') + 1));
        const std::string input = json_text(body, "input");
        const std::string key(request.headers.get("Idempotency-Key"));
        if (request.method != "POST" || operation.empty() || input.empty()) {
            co_await refuse(exchange, 400, "no input");
            co_return;
        }
        const auto known = m_inputs.find(key);
        if (m_config.deduplicates && known != m_inputs.end() && known->second != input) {
            co_await refuse(exchange, 422, "key used with another input");
            co_return;
        }
        if (!co_await acquire_slot(exchange,
                                   static_cast<int>(json_number(body, "priority", 9))))
            co_return;
        const bool repeat
            = m_config.deduplicates && !key.empty() && m_inputs.count(key) > 0;
        if (!repeat) {
            ++m_counters.runs;
            if (!key.empty()) {
                ++m_counters.runs_by_key[key];
                m_inputs[key] = input;
                LogEvent("run").kv("address", m_config.address).kv("key", key);
            }
            co_await simulate_work(m_config.service_ms);
        }
        release_slot();
        if (m_faults.cut) {
            exchange.drop();
            co_return;
        }
        const std::string output = stage_output(operation, input);
        const boost::json::object answer {{"output", output}};
        co_await exchange.respond(json_response(200, answer));
    }

private:
    std::map<std::string, std::string> m_inputs; ///< by key
};

std::unique_ptr<Upstream>
make_pool(asio::io_context& io, UpstreamConfig config)
{
    return std::make_unique<Pool>(io, std::move(config));
}

} // namespace cypressford::standin
