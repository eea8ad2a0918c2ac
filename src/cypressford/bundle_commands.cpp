// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "commands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cypressford/bundle_fold.h>

#include "libserve/settings.h"
#include "libutil/crypto.h"
#include "libutil/http_client.h"
#include "libutil/hybrid_clock.h"
#include "operator_log.h"

namespace cypressford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

int
print_faults(const std::string& path, const std::vector<Fault>& faults)
{
    std::cerr << format_faults(path, faults);
    return kExitUsage;
}

tl::expected<BundleRecord, int>
signed_publish(const std::string& path, const CommandOptions& options)
{
    std::string text;
    if (!read_file(path, text)) {
        std::cerr << "can't read '" << path << "'\n";
        return tl::unexpected<int>(kExitUsage);
    }
    const auto bundle = parse_bundle_yaml(text);
    if (!bundle)
        return tl::unexpected<int>(print_faults(path, bundle.error()));
    BundleRecord record;
    record.action = BundleAction::Publish;
    record.name = bundle->name;
    record.version = bundle->version;
    record.bundle = canonical_json(*bundle);
    auto signed_record = sign_record(std::move(record), read_key(options));
    if (!signed_record)
        return tl::unexpected<int>(report_bad_key(signed_record.error()));
    return *std::move(signed_record);
}

int
check(const std::string& path)
{
    std::string text;
    if (!read_file(path, text)) {
        std::cerr << "can't read '" << path << "'\n";
        return kExitUsage;
    }
    const auto bundle = parse_bundle_yaml(text);
    if (!bundle)
        return print_faults(path, bundle.error());
    std::cout << path << ": ok, " << bundle->name << " version " << bundle->version << '\n';
    return kExitOk;
}

int
sign_file(const std::string& path, const CommandOptions& options)
{
    const auto record = signed_publish(path, options);
    if (!record)
        return record.error();
    if (options.out_file.empty())
        std::cout << encode(*record) << '\n';
    else
        std::ofstream(options.out_file) << encode(*record) << '\n';
    return kExitOk;
}

int
publish(const std::string& path, const CommandOptions& options)
{
    const auto record = signed_publish(path, options);
    return record ? append_and_report(*record, options) : record.error();
}

int
act_on_version(BundleAction action, const std::string& name, const std::string& version,
               const CommandOptions& options)
{
    BundleRecord record;
    record.action = action;
    record.name = name;
    const auto [end, error]
        = std::from_chars(version.data(), version.data() + version.size(), record.version);
    if (error != std::errc {} || end != version.data() + version.size()) {
        std::cerr << "'" << version << "' is not a version number\n";
        return kExitUsage;
    }
    auto signed_record = sign_record(std::move(record), read_key(options));
    if (!signed_record)
        return report_bad_key(signed_record.error());
    return append_and_report(*signed_record, options);
}

int
list(const CommandOptions& options)
{
    const auto fold = read_fold(options);
    if (!fold)
        return report_unavailable(fold.error());
    json::array versions;
    for (const BundleRecord& record : fold->snapshot().accepted) {
        const bool in_force = record.version == fold->in_force_version();
        versions.push_back(json::object {
            {"name", record.name}, {"version", record.version}, {"in_force", in_force}});
        if (!options.json)
            std::cout << record.name << " version " << record.version
                      << (in_force ? " in force" : "") << '\n';
    }
    if (options.json)
        std::cout << json::serialize(versions) << '\n';
    return kExitOk;
}

/// Version of the bundle in force on one daemon, from its metrics; nullopt if unreachable.
std::optional<std::uint64_t>
version_at(const std::string& address)
{
    asio::io_context io;
    HttpClient client(io);
    HttpRequest request;
    request.target = "/metrics";
    CallOptions call;
    call.deadline_us = monotonic_us() + 2 * kSecond;
    const CallResult result = run(io, client.call(address, request, call));
    constexpr std::string_view name = "\ncypressford_bundle_version ";
    const std::size_t at = result.response.body.find(name);
    if (result.status != CallStatus::Answered || at == std::string::npos)
        return std::nullopt;
    return std::strtoull(result.response.body.c_str() + at + name.size(), nullptr, 10);
}

int
status(const CommandOptions& options)
{
    int code = kExitOk;
    json::array lines;
    for (const std::string& address : options.daemons) {
        const auto version = version_at(address);
        if (!version)
            code = kExitUnavailable;
        lines.push_back(json::object {
            {"daemon", address}, {"version", version ? json::value(*version) : nullptr}});
        if (!options.json)
            std::cout << address << ' '
                      << (version ? std::to_string(*version) : "unreachable") << '\n';
    }
    if (options.json)
        std::cout << json::serialize(lines) << '\n';
    return code;
}

} // namespace

int
bundle_command(const std::vector<std::string>& arguments, const CommandOptions& options)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    const std::size_t count = arguments.size();
    if (verb == "check" && count == 2)
        return check(arguments[1]);
    if (verb == "sign" && count == 2)
        return sign_file(arguments[1], options);
    if (verb == "publish" && count == 2)
        return publish(arguments[1], options);
    if (verb == "roll" && count == 3)
        return act_on_version(BundleAction::Roll, arguments[1], arguments[2], options);
    if (verb == "retire" && count == 3)
        return act_on_version(BundleAction::Retire, arguments[1], arguments[2], options);
    if (verb == "list" && count == 1)
        return list(options);
    if (verb == "status" && count == 1)
        return status(options);
    std::cerr
        << "usage: cypressford bundle check|sign|publish|roll|retire|list|status ...\n";
    return kExitUsage;
}

} // namespace cypressford
