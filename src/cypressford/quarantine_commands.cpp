// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Quarantined requests, which are no longer sent to upstreams: lists the records that all
/// daemons read on the users' platform, and adds records of the operator.

#include "commands.h"

#include <iostream>

#include <boost/json.hpp>

#include <cypressford/directory.h>
#include <cypressford/registry.h>
#include <cypressford/suspects.h>

#include "libutil/crypto.h"
#include "libutil/http_client.h"
#include "libutil/hybrid_clock.h"
#include "operator_log.h"

namespace cypressford {

namespace json = boost::json;

namespace {

constexpr Micros kAnswerTimeout = 3 * kSecond;
constexpr int kOk = 200;

/// The topic of suspect requests in the platform's directory.
class SuspectLog {
public:
    explicit SuspectLog(std::string address)
        : m_address(std::move(address))
        , m_dialect(Registry<DirectoryDialect>::instance().make("keyedlog"))
        , m_client(m_io)
    {
    }

    /// All records of the topic; unreadable records are ignored, as in daemons.
    Result<SuspectTable> read_all()
    {
        SuspectTable table;
        std::string after;
        for (;;) {
            const auto page = m_dialect->decode_newest(
                call(m_dialect->newest(DirectoryTopic::Suspects, after)));
            if (!page)
                return tl::unexpected(page.error());
            for (const DirectoryRecord& record : page->records)
                if (const auto suspects = decode_suspects(record.value))
                    table.apply(record.key, *suspects, record.offset);
            if (!page->more || page->records.empty() || page->records.back().key == after)
                return table;
            after = page->records.back().key;
        }
    }

    Result<void> append(SuspectRecord record)
    {
        record.at = wall_ms();
        const std::string key = "operator." + format_stamp(random_u64());
        const HttpResponse response
            = call(m_dialect->append(DirectoryTopic::Suspects, {key, encode(record)}));
        if (response.status == kOk)
            return {};
        return fail(ErrorKind::UpstreamFailed,
                    "the platform's store answered " + std::to_string(response.status));
    }

private:
    HttpResponse call(HttpRequest request)
    {
        CallOptions options;
        options.deadline_us = monotonic_us() + kAnswerTimeout;
        options.send_clock = false;
        CallResult result
            = run(m_io, m_client.call(m_address, std::move(request), options));
        if (result.status != CallStatus::Answered)
            result.response.status = 0;
        return result.response;
    }

    boost::asio::io_context m_io;
    const std::string m_address;
    const std::unique_ptr<DirectoryDialect> m_dialect;
    HttpClient m_client;
};

std::string_view
state_of(const SuspectView::Suspicion& suspicion)
{
    return suspicion.quarantined ? "quarantined" : "watched";
}

int
list(const CommandOptions& options)
{
    const auto table = SuspectLog(options.platform).read_all();
    if (!table)
        return report_unavailable(table.error());
    const SuspectViewPtr suspects = table->view();
    json::array lines;
    for (const auto& [digest, suspicion] : suspects->suspicions())
        lines.push_back({{"digest", to_text(digest)},
                         {"ends", suspicion.ends},
                         {"state", state_of(suspicion)}});
    if (options.json) {
        std::cout << json::serialize(lines) << '\n';
        return kExitOk;
    }
    for (const auto& [digest, suspicion] : suspects->suspicions())
        std::cout << to_text(digest) << " ended " << suspicion.ends << " upstreams, "
                  << state_of(suspicion) << '\n';
    return kExitOk;
}

/// Until three more ends of upstreams quarantine the request again, daemons send it to
/// upstreams.
Result<void>
release(SuspectLog& log, const RequestDigest& digest)
{
    const auto table = log.read_all();
    if (!table)
        return tl::unexpected(table.error());
    return log.append(table->release_of(digest));
}

/// A record of ends of upstreams that ran only this request, or requests with this prompt
/// part, under identities that no upstream has.
SuspectRecord
quarantine_of(const RequestDigest& digest)
{
    SuspectRecord record;
    if (is_prompt_part(digest)) {
        for (int end = 1; end <= SuspectTable::kEndsOfInseparableParts; ++end)
            record.ends.push_back({{"operator/" + to_text(digest), end},
                                   {},
                                   {digest},
                                   wall_ms() + 2 * SuspectTable::kMomentMs * end});
        return record;
    }
    for (int end = 1; end <= SuspectTable::kEndsToQuarantine; ++end)
        record.ends.push_back({{"operator/" + to_text(digest), end}, {digest}});
    return record;
}

Result<void>
add(SuspectLog& log, const RequestDigest& digest)
{
    return log.append(quarantine_of(digest));
}

int
change(const std::string& text,
       Result<void> (*change_of)(SuspectLog&, const RequestDigest&),
       const CommandOptions& options)
{
    const std::string bytes = from_hex(text);
    if (bytes.size() != RequestDigest::kBytes) {
        std::cerr << "'" << text
                  << "' is not a request digest; see the event run_broken in the logs\n";
        return kExitUsage;
    }
    SuspectLog log(options.platform);
    const auto done = change_of(log, digest_from(bytes));
    if (!done)
        return report_unavailable(done.error());
    std::cout << text << ": recorded\n";
    return kExitOk;
}

} // namespace

int
quarantine_command(const std::vector<std::string>& arguments, const CommandOptions& options)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    const std::size_t count = arguments.size();
    if (verb == "list" && count == 1)
        return list(options);
    if (verb == "release" && count == 2)
        return change(arguments[1], release, options);
    if (verb == "add" && count == 2)
        return change(arguments[1], add, options);
    std::cerr << "usage: cypressford quarantine list|release|add ...\n";
    return kExitUsage;
}

} // namespace cypressford
