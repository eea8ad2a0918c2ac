// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "commands.h"

#include <algorithm>
#include <iostream>

#include <boost/json.hpp>

#include "libutil/crypto.h"
#include "operator_log.h"

namespace cypressford {

namespace json = boost::json;

namespace {

/// The versions of a hall's records must increase, so the newest version is first read from
/// the log.
int
act_on_hall(BundleAction action, const std::string& hall, const CommandOptions& options)
{
    const std::string pem = read_key(options);
    const auto key = public_key_of(pem);
    if (!key)
        return report_bad_key(key.error());
    CommandOptions own_key_options = options;
    own_key_options.trust.push_back(*key);
    const auto fold = read_fold(own_key_options);
    if (!fold)
        return report_unavailable(fold.error());
    BundleRecord record;
    record.action = action;
    record.name = hall;
    record.version = static_cast<std::uint64_t>(
        std::max<Offset>(0, fold->evacuations().newest(hall)) + 1);
    auto signed_record = sign_record(std::move(record), pem);
    if (!signed_record)
        return report_bad_key(signed_record.error());
    return append_and_report(*signed_record, options);
}

int
list_halls(const CommandOptions& options)
{
    const auto fold = read_fold(options);
    if (!fold)
        return report_unavailable(fold.error());
    const std::vector<std::string> halls = fold->evacuations().halls();
    if (options.json) {
        std::cout << json::serialize(json::array(halls.begin(), halls.end())) << '\n';
        return kExitOk;
    }
    for (const std::string& hall : halls)
        std::cout << hall << " evacuated\n";
    return kExitOk;
}

} // namespace

int
hall_command(const std::vector<std::string>& arguments, const CommandOptions& options)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    const std::size_t count = arguments.size();
    if (verb == "evacuate" && count == 2)
        return act_on_hall(BundleAction::Evacuate, arguments[1], options);
    if (verb == "end-evacuation" && count == 2)
        return act_on_hall(BundleAction::EndEvacuation, arguments[1], options);
    if (verb == "list" && count == 1)
        return list_halls(options);
    std::cerr << "usage: cypressford hall evacuate|end-evacuation|list ...\n";
    return kExitUsage;
}

} // namespace cypressford
