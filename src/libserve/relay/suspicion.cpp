// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Quarantine of relayed requests that end upstreams, and the reports of broken runs and
/// complete answers.

#include "libserve/entry/worker.h"

#include <cypressford/request_digest.h>

#include "libserve/suspects/end_watch.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace {

RequestDigest
digest_of(const HttpRequest& request, const CallerCall& call, std::string_view account)
{
    return cypressford::digest_of(
        {request.method, call.host, request.target, account, request.body});
}

std::string
join(const std::vector<RequestDigest>& digests)
{
    std::string text;
    for (const RequestDigest& digest : digests)
        text += (text.empty() ? "" : ",") + to_text(digest);
    return text;
}

} // namespace

/// The last part belongs to the request itself or to its session.
std::vector<RequestDigest>
Worker::shared_parts(const CallerCall& call, std::string_view set_name)
{
    std::vector<RequestDigest> parts;
    for (std::size_t i = 0; i + 1 < call.prefix.size(); ++i)
        parts.push_back(digest_of_part(set_name, call.prefix[i].id));
    return parts;
}

Result<void>
Worker::check_suspicion(const HttpRequest& request, const CallerCall& call,
                        const RequestContext& context)
{
    const std::string& account = context.account;
    const SuspectViewPtr suspects = m_kernel.suspects.load();
    if (!suspects || suspects->empty())
        return {};
    for (const RequestDigest& part : shared_parts(call, context.set_name()))
        if (suspects->is_quarantined(part))
            return fail(ErrorKind::Quarantined, to_text(part));
    const RequestDigest digest = digest_of(request, call, account);
    if (!suspects->is_quarantined(digest))
        return {};
    if (!m_answered.contains(hash_of(request, call, account)))
        return fail(ErrorKind::Quarantined, to_text(digest));
    m_kernel.ends->record_answer(digest);
    return {};
}

void
Worker::record_answer(const RequestContext& context)
{
    const Relay& relay = *context.relay;
    m_answered.add(hash_of(relay.request, relay.call, context.account));
    const SuspectViewPtr suspects = m_kernel.suspects.load();
    if (!suspects || suspects->empty())
        return;
    const RequestDigest digest = digest_of(relay.request, relay.call, context.account);
    if (suspects->is_suspect(digest))
        m_kernel.ends->record_answer(digest);
    for (const RequestDigest& part : shared_parts(relay.call, context.set_name()))
        if (suspects->is_suspect(part))
            m_kernel.ends->record_answer(part);
}

std::uint64_t
Worker::hash_of(const HttpRequest& request, const CallerCall& call,
                const std::string& account) const
{
    std::uint64_t hash = m_hash_seed;
    for (const std::string_view part :
         {std::string_view(request.method), std::string_view(call.host),
          std::string_view(request.target), std::string_view(account),
          std::string_view(request.body)})
        hash = fast_hash(part, hash);
    return hash;
}

void
Worker::record_broken_run(const SendAttempt& send, const RequestContext& context,
                          bool closed_by_peer) const
{
    const Relay& relay = *context.relay;
    const RequestDigest digest = digest_of(relay.request, relay.call, context.account);
    std::vector<RequestDigest> parts = shared_parts(relay.call, context.set_name());
    const bool leaving = send.upstream->is_leaving(monotonic_us());
    LogEvent("run_broken")
        .kv("request", context.log_id())
        .kv("identity", send.upstream->identity)
        .kv("digest", to_text(digest))
        .kv("parts", join(parts))
        .kv("closed_there", closed_by_peer)
        .kv("leaving", leaving);
    // The end of an upstream that is leaving is planned and not caused by a request.
    if (closed_by_peer && !leaving && m_kernel.ends)
        m_kernel.ends->record_broken_run({{send.upstream->identity, send.upstream->born},
                                          send.upstream->address,
                                          context.log_id(),
                                          digest,
                                          std::move(parts)});
}

} // namespace cypressford
