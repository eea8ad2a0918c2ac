// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Relayed streams go on only at upstreams of the software version that began them, within
/// one answer and when their callers resume them.  The decisions are in stream_origin.h.

#include <boost/asio/use_awaitable.hpp>

#include "libserve/relay/relayed_call.h"
#include "libserve/streams/stream_origins.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

std::string_view
to_string(ResumeDecision decision)
{
    switch (decision) {
    case ResumeDecision::Anywhere:
        return "anywhere";
    case ResumeDecision::AtVersion:
        return "at_version";
    case ResumeDecision::OtherSet:
        return "other_set";
    case ResumeDecision::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

asio::awaitable<Result<ContextPtr>>
Worker::bind_version(const HttpRequest& request, ContextPtr context)
{
    const RequestSpec& spec = context->spec;
    const UpstreamSet& set = spec.snapshot->sets[context->resolved().sets.front()];
    if (!context->resolved().spec.stream || !m_kernel.streams)
        co_return context;
    const std::string began_as = context->relay->call.resumes;
    StreamHistory history = co_await m_kernel.streams->find(began_as, set.spec.name);
    const Micros now = monotonic_us();
    const bool is_current = m_kernel.knows_directory(now);
    const Micros longest = longest_stream(context->resolved().spec.deadline);
    const ResumeVerdict verdict = decide_resume({set, history, longest, is_current, now});
    LogEvent("stream_resumed")
        .kv("request", context->log_id())
        .kv("resumes", began_as)
        .kv("after_event", context->relay->call.last_event)
        .kv("origin_known", history.origin.has_value())
        .kv("witnesses", history.witnesses)
        .kv("decision", to_string(verdict.decision))
        .kv("software", verdict.version)
        .kv("us", now - context->arrived);
    if (verdict.decision == ResumeDecision::Unknown)
        co_return fail(ErrorKind::VersionUnknown, set.spec.name);
    if (verdict.decision == ResumeDecision::OtherSet) {
        // Shares of one path may go to several sets.
        const std::string origin_set = history.origin->upstream_set;
        auto moved = make_relay(request, context->arrived, origin_set);
        if (!moved)
            co_return fail(ErrorKind::VersionGone, origin_set);
        context = *moved;
    }
    if (verdict.decision != ResumeDecision::Anywhere)
        context->spec.version = verdict.version;
    co_return context;
}

void
Worker::choose_stream(RelayedCall& call)
{
    Relay& relay = call.relay();
    if (call.has_events)
        return;
    call.has_events = true;
    relay.streaming = call.send.attempt;
    if (!relay.has_events)
        begin_stream(call);
    // Cancels the request's other attempts.
    feed(StreamBegan {call.send.attempt});
}

void
Worker::begin_stream(RelayedCall& call)
{
    Relay& relay = call.relay();
    relay.has_events = true;
    relay.head = call.head;
    RequestSpec& spec = call.context->spec;
    if (!spec.version)
        spec.version = call.send.upstream->version;
    const bool may_resume = call.context->resolved().spec.resumable;
    if (may_resume && relay.call.last_event.empty() && m_kernel.streams)
        m_kernel.streams->record(relay.call.attempt,
                                 {call.context->set_name(), *spec.version});
}

/// Another call may have become the one whose events are passed on, and upstreams that were
/// chosen before the first event may be of another version.
bool
Worker::may_send_events(const RelayedCall& call)
{
    const std::optional<std::string>& version = call.context->spec.version;
    return call.may_stream() && (!version || *version == call.send.upstream->version);
}

} // namespace cypressford
