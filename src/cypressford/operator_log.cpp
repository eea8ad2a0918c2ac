// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "operator_log.h"

#include <iostream>

#include <boost/json.hpp>

#include <cypressford/registry.h>

#include "libutil/crypto.h"

namespace cypressford {

namespace json = boost::json;

namespace {

constexpr const char* kStream = "bundles";
constexpr int kMaxAppendAttempts = 5;

} // namespace

OperatorLog::OperatorLog(const std::string& address)
    : m_client(Registry<PlatformClient>::instance().make("httplog"))
{
    PlatformSettings settings;
    settings.log = address;
    settings.nodes = address;
    m_client->open(m_io, settings);
}

Result<Offset>
OperatorLog::append(const std::string& record)
{
    return run(m_io, m_client->append(kStream, record));
}

Result<std::pair<Offset, std::vector<std::string>>>
OperatorLog::read_all()
{
    std::vector<std::string> records;
    std::optional<Offset> first;
    Offset next = 0;
    for (;;) {
        auto page = run(m_io, m_client->read(kStream, next, 0));
        if (!page)
            return tl::unexpected(page.error());
        first = first.value_or(page->from);
        next = page->from + static_cast<Offset>(page->records.size());
        for (std::string& record : page->records)
            records.push_back(std::move(record));
        if (next >= page->next)
            return std::pair {*first, std::move(records)};
    }
}

Result<BundleFold>
read_fold(const CommandOptions& options)
{
    OperatorLog log(options.platform);
    const auto all = log.read_all();
    if (!all)
        return tl::unexpected(all.error());
    BundleFold fold({options.trust, from_hex(options.daemon_key)});
    Offset offset = all->first;
    fold.on_first_retained(offset);
    for (const std::string& text : all->second)
        fold.apply(offset++, text);
    return fold;
}

int
report_unavailable(const Error& error)
{
    std::cerr << error.detail << '\n';
    return kExitUnavailable;
}

int
report_bad_key(const Error& error)
{
    std::cerr << error.detail << '\n';
    return kExitUsage;
}

std::string
read_key(const CommandOptions& options)
{
    std::string pem;
    if (!read_file(options.key_file, pem))
        std::cerr << "can't read the key '" << options.key_file << "'\n";
    return pem;
}

namespace {

/// Returns the result of applying `record` at its place in the log, or nullopt if the log
/// can't be read or does not contain the record.
std::optional<FoldResult>
find_result(OperatorLog& log, const BundleRecord& record, const CommandOptions& options)
{
    const auto all = log.read_all();
    if (!all)
        return std::nullopt;
    BundleTrust trust {options.trust, from_hex(options.daemon_key)};
    trust.operators.push_back(record.key);
    // Records of operators that are not in --trust are ignored here, so the list must be
    // the same as in the daemons' settings.
    BundleFold fold(std::move(trust));
    const std::string wanted = encode(record);
    std::optional<FoldResult> result;
    Offset offset = all->first;
    fold.on_first_retained(offset);
    for (const std::string& text : all->second) {
        const FoldResult outcome = fold.apply(offset++, text);
        if (text == wanted && (!result || outcome == FoldResult::Accepted))
            result = outcome;
    }
    return result;
}

} // namespace

int
append_and_report(const BundleRecord& record, const CommandOptions& options)
{
    OperatorLog log(options.platform);
    std::optional<FoldResult> result_in_log;
    for (int i = 0; i < kMaxAppendAttempts && !result_in_log; ++i) {
        log.append(encode(record));
        result_in_log = find_result(log, record, options);
    }
    if (!result_in_log)
        return report_unavailable(
            {ErrorKind::Internal, "the log service can't be reached"});
    const std::string name(to_string(*result_in_log));
    if (options.json)
        std::cout << json::serialize(json::object {
            {"name", record.name}, {"version", record.version}, {"result", name}})
                  << '\n';
    else
        std::cout << record.name << " version " << record.version << ": " << name << '\n';
    const bool done
        = *result_in_log == FoldResult::Accepted || *result_in_log == FoldResult::Repeated;
    return done ? kExitOk : kExitRefused;
}

} // namespace cypressford
