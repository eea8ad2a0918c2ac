// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/kernel.h"

#include <cypressford/registry.h>

#include "libutil/crypto.h"

namespace cypressford {

namespace {

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

Kernel::Kernel(Settings settings_)
    : settings(std::move(settings_))
    , router(Registry<Router>::instance().make(settings.router))
    , admission(Registry<Admission>::instance().make(settings.admission))
    , kinds(make_kinds())
    , calls(Registry<CallDialect>::instance().make(settings.platform.kind))
    , tokens(settings.daemon_key)
    , incarnation(random_u64())
    , upstreams(settings.hall, incarnation, settings.hall_regions)
{
    reloaded.store(std::make_shared<const Settings>(settings));
}

} // namespace cypressford
