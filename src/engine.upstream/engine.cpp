// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model engines: generation as server-sent events; streams can be resumed by id and
/// cancelled.

#include <cypressford/registry.h>
#include <cypressford/upstream_kind.h>

#include "libutil/json_fields.h"

namespace cypressford {

namespace {

/// Server-sent events whose data is {"i":index,"t":text} or {"done":true}.
class EngineStreamDecoder final : public StreamDecoder {
public:
    std::vector<StreamToken> feed(std::string_view chunk) override
    {
        m_buffer += chunk;
        std::vector<StreamToken> tokens;
        std::size_t end = 0;
        while ((end = m_buffer.find("\n\n")) != std::string::npos) {
            take_event(std::string_view(m_buffer).substr(0, end), tokens);
            m_buffer.erase(0, end + 2);
        }
        return tokens;
    }
    bool finished() const override { return m_finished; }

private:
    void take_event(std::string_view event, std::vector<StreamToken>& tokens)
    {
        constexpr std::string_view prefix = "data: ";
        if (!event.starts_with(prefix))
            return;
        const auto body = parse_json_object(event.substr(prefix.size()));
        if (!body)
            return;
        if (json_flag(*body, "done"))
            m_finished = true;
        else
            tokens.push_back(
                {json_integer<std::size_t>(*body, "i", 0), json_text(*body, "t")});
    }

    std::string m_buffer;
    bool m_finished = false;
};

} // namespace

class EngineKind final : public UpstreamKind {
public:
    HttpRequest encode(const StageCall& call) const override
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/generate";
        request.headers.add("Content-Type", "application/json");
        request.body
            = boost::json::serialize(boost::json::object {{"stream", call.stream},
                                                          {"model", call.stage->model},
                                                          {"adapter", call.stage->adapter},
                                                          {"prompt", call.input},
                                                          {"delivered", call.delivered},
                                                          {"prefix", call.prefix},
                                                          {"priority", call.priority},
                                                          {"budget_ms", call.budget_ms}});
        return request;
    }

    Result<std::string> decode(const HttpResponse&) const override
    {
        return fail(ErrorKind::UpstreamFailed, "an engine answers as a stream");
    }

    std::unique_ptr<StreamDecoder> stream_decoder() const override
    {
        return std::make_unique<EngineStreamDecoder>();
    }

    HttpRequest resume(std::string_view stream, std::size_t from) const override
    {
        HttpRequest request;
        request.target
            = "/v1/streams/" + std::string(stream) + "?from=" + std::to_string(from);
        return request;
    }

    bool takes_orders() const override { return true; }

    HttpRequest models_request() const override
    {
        HttpRequest request;
        request.target = "/v1/models";
        return request;
    }

    std::vector<std::string> decode_models(const HttpResponse& response) const override
    {
        std::vector<std::string> names;
        const auto body = parse_json_object(response.body);
        const auto* models = body ? body->if_contains("models") : nullptr;
        if (models && models->is_array())
            for (const auto& model : models->as_array())
                if (model.is_string())
                    names.emplace_back(model.as_string());
        return names;
    }

    HttpRequest load_order(std::string_view model, std::string_view adapter,
                           std::int64_t fence) const override
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/orders";
        request.headers.add("Content-Type", "application/json");
        request.body = boost::json::serialize(boost::json::object {
            {"op", "load"}, {"model", model_name(model, adapter)}, {"fence", fence}});
        return request;
    }

    HttpRequest cancel(std::string_view stream) const override
    {
        HttpRequest request;
        request.method = "DELETE";
        request.target = "/v1/streams/" + std::string(stream);
        return request;
    }
};

static const Registration<UpstreamKind, EngineKind> s_registration("engine");

} // namespace cypressford
