// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Platform client that speaks HTTP with JSON bodies.

#include <cypressford/platform.h>
#include <cypressford/registry.h>

#include "libutil/crypto.h"
#include "libutil/http_client.h"
#include "libutil/hybrid_clock.h"
#include "libutil/json_fields.h"

namespace cypressford {

namespace asio = boost::asio;

class HttpLogClient final : public PlatformClient {
public:
    void open(asio::io_context& io, const PlatformSettings& settings) override
    {
        m_settings = settings;
        m_client = std::make_unique<HttpClient>(io);
    }

    asio::awaitable<Result<Offset>> append(std::string stream, std::string record) override
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/streams/" + stream;
        request.body = std::move(record);
        const auto answer = co_await exchange(m_settings.log, std::move(request), 0);
        if (!answer)
            co_return tl::unexpected(answer.error());
        const boost::json::object& body = answer->body;
        const auto offset = json_integer<Offset>(body, "offset", -1);
        if (offset < 0)
            co_return fail(ErrorKind::Internal, "append answered without an offset");
        co_return offset;
    }

    asio::awaitable<Result<LogPage>> read(std::string stream, Offset from,
                                          Micros wait) override
    {
        HttpRequest request;
        request.target = "/streams/" + stream + "?from=" + std::to_string(from)
            + "&wait_ms=" + std::to_string(wait / kMillisecond);
        const auto answer = co_await exchange(m_settings.log, std::move(request), wait);
        if (!answer)
            co_return tl::unexpected(answer.error());
        const boost::json::object& body = answer->body;
        LogPage page;
        page.first = json_integer<Offset>(body, "first", 0);
        page.from = json_integer<Offset>(body, "from", from);
        page.next = json_integer<Offset>(body, "next", from);
        if (const auto* records = body.if_contains("records");
            records && records->is_array())
            for (const auto& record : records->as_array())
                if (record.is_string())
                    page.records.push_back(from_base64url(record.as_string()));
        co_return page;
    }

    asio::awaitable<Result<std::vector<NodeEntry>>> nodes() override
    {
        HttpRequest request;
        request.target = "/nodes";
        if (!m_nodes_tag.empty())
            request.headers.add("If-None-Match", m_nodes_tag);
        const auto answer = co_await exchange(m_settings.nodes, std::move(request), 0);
        if (!answer)
            co_return tl::unexpected(answer.error());
        if (answer->status == kNotModified)
            co_return m_nodes;
        std::vector<NodeEntry> entries;
        if (const auto* nodes = answer->body.if_contains("nodes");
            nodes && nodes->is_array())
            for (const auto& node : nodes->as_array())
                if (node.is_object())
                    entries.push_back({json_text(node.as_object(), "address"),
                                       json_text(node.as_object(), "state") == "leaving"});
        m_nodes = entries;
        m_nodes_tag = answer->tag;
        co_return entries;
    }

private:
    /// A valid answer: a complete JSON body, or "not modified".
    struct Answer {
        int status = 0;
        std::string tag; ///< ETag of the state that was read
        boost::json::object body;
    };

    asio::awaitable<Result<Answer>> exchange(std::string address, HttpRequest request,
                                             Micros extra_wait)
    {
        request.headers.add("X-Hall", m_settings.hall);
        CallOptions options;
        options.deadline_us = monotonic_us() + m_settings.timeout + extra_wait;
        options.body = kLargeBodyTimeouts;
        const CallResult result
            = co_await m_client->call(std::move(address), std::move(request), options);
        const HttpResponse& response = result.response;
        Answer answer {response.status, std::string(response.headers.get("ETag")), {}};
        if (result.status != CallStatus::Answered)
            co_return fail(ErrorKind::Internal, "no answer from the platform");
        if (response.status == kNotModified)
            co_return answer;
        auto body = parse_json_object(response.body);
        if (response.status != kOk || !body)
            co_return fail(ErrorKind::Internal,
                           "platform answered with an error status or without a JSON body");
        answer.body = *std::move(body);
        co_return answer;
    }

    static constexpr int kOk = 200;
    static constexpr int kNotModified = 304;

    PlatformSettings m_settings;
    std::vector<NodeEntry> m_nodes; ///< as last read
    std::string m_nodes_tag; ///< ETag of that list
    std::unique_ptr<HttpClient> m_client;
};

static const Registration<PlatformClient, HttpLogClient> s_registration("httplog");

} // namespace cypressford
