// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a daemon may say to callers, given the age of its configuration.
///
/// "Not found" is a statement about all configurations in force, and a caller does not
/// retry after it.  A daemon that may have missed a change serves what its configuration
/// allows, and refuses everything else as not run, to be retried.

#pragma once

#include <optional>

#include <cypressford/bundle.h>
#include <cypressford/error.h>

namespace cypressford {

/// True if a state of this age (in microseconds) contains every change that must be in
/// force, where a change must be in force within `bound`.  No age: the state was never
/// confirmed.
bool contains_changes_in_force(std::optional<Micros> age, Micros bound);

/// True if requests are refused with this kind because of the configuration, and callers
/// do not retry after it.
bool depends_on_configuration(ErrorKind kind);

/// The kind with which a daemon refuses a request.  `is_current`: its configuration
/// contains every change that must be in force.
ErrorKind refusal_kind(ErrorKind kind, bool is_current);

} // namespace cypressford
