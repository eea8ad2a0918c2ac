// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/configuration_age.h>

namespace cypressford {

bool
contains_changes_in_force(std::optional<Micros> age, Micros bound)
{
    return age && *age <= bound;
}

/// A newer configuration may have added the route or the key, made the route anonymous or
/// raised the limit on headers and bodies.
bool
depends_on_configuration(ErrorKind kind)
{
    return kind == ErrorKind::Unauthorized || kind == ErrorKind::Forbidden
        || kind == ErrorKind::NotFound || kind == ErrorKind::TooLarge;
}

ErrorKind
refusal_kind(ErrorKind kind, bool is_current)
{
    return depends_on_configuration(kind) && !is_current ? ErrorKind::ConfigurationStale
                                                         : kind;
}

} // namespace cypressford
