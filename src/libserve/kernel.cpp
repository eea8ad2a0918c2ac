// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/kernel.h"

#include <algorithm>

#include <cypressford/configuration_age.h>
#include <cypressford/registry.h>

#include "libutil/crypto.h"

namespace cypressford {

namespace {

/// After a suspension a daemon needs 10 to 50 ms to read the changes that it missed.
constexpr Micros kCatchUpLimit = 300 * kMillisecond;

std::map<std::string, std::unique_ptr<UpstreamKind>>
make_kinds()
{
    std::map<std::string, std::unique_ptr<UpstreamKind>> kinds;
    const auto& registry = Registry<UpstreamKind>::instance();
    for (const std::string& name : registry.names())
        kinds.emplace(name, registry.make(name));
    return kinds;
}

} // namespace

bool
Kernel::is_catching_up(Micros now) const
{
    const Micros resumed_at = last_resumed_at.load(std::memory_order_relaxed);
    if (now - resumed_at > kCatchUpLimit || !settings.uses_directory)
        return false;
    const Micros as_of = directory_as_of.load(std::memory_order_acquire);
    // State younger than the bound for changes is as fresh as without a suspension.
    return as_of < resumed_at - settings.max_change_delay;
}

std::optional<Micros>
Kernel::configuration_age(Micros now) const
{
    if (!settings.uses_directory)
        return 0;
    const Micros as_of = configuration_as_of.load(std::memory_order_acquire);
    return as_of > 0 ? std::optional(std::max<Micros>(now - as_of, 0)) : std::nullopt;
}

bool
Kernel::knows_configuration(Micros now) const
{
    return contains_changes_in_force(configuration_age(now), settings.max_change_delay);
}

bool
Kernel::knows_directory(Micros now) const
{
    const Micros as_of = directory_as_of.load(std::memory_order_acquire);
    return contains_changes_in_force(now - as_of, settings.max_change_delay);
}

Kernel::Kernel(Settings settings_)
    : settings(std::move(settings_))
    , router(Registry<Router>::instance().make(settings.router))
    , admission(Registry<Admission>::instance().make(settings.admission))
    , kinds(make_kinds())
    , calls(Registry<CallDialect>::instance().make(settings.platform.kind))
    , tokens(settings.daemon_key)
    , incarnation(random_u64())
    , upstreams(settings.hall, incarnation, settings.hall_regions)
    , answers(settings.unread_bytes)
    , knows_all_daemons(!settings.uses_directory)
{
    reloaded.store(std::make_shared<const Settings>(settings));
}

} // namespace cypressford
