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

/// Numbers of a hall's records rise, so the record builds on what the log holds.
int
act_on_hall(BundleAction action, const std::string& hall, const CommandOptions& options)
{
    const std::string pem = read_key(options);
    const auto key = public_key_of(pem);
    if (!key)
        return bad_key(key.error());
    CommandOptions trusting = options;
    trusting.trust.push_back(*key);
    const auto fold = read_fold(trusting);
    if (!fold)
        return unavailable(fold.error());
    BundleRecord record;
    record.action = action;
    record.name = hall;
    record.version = static_cast<std::uint64_t>(
        std::max<Offset>(0, fold->evacuations().newest(hall)) + 1);
    auto sealed = sign_record(std::move(record), pem);
    if (!sealed)
        return bad_key(sealed.error());
    return append_and_tell(*sealed, options);
}

int
list_halls(const CommandOptions& options)
{
    const auto fold = read_fold(options);
    if (!fold)
        return unavailable(fold.error());
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
hall_command(const std::vector<std::string>& words, const CommandOptions& options)
{
    const std::string verb = words.empty() ? "" : words[0];
    const std::size_t count = words.size();
    if (verb == "evacuate" && count == 2)
        return act_on_hall(BundleAction::Evacuate, words[1], options);
    if (verb == "end-evacuation" && count == 2)
        return act_on_hall(BundleAction::EndEvacuation, words[1], options);
    if (verb == "list" && count == 1)
        return list_halls(options);
    std::cerr << "usage: cypressford hall evacuate|end-evacuation|list ...\n";
    return kExitUsage;
}

} // namespace cypressford
