// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "request.h"

#include <cypressford/mutation.h>

namespace cypressford {

ErrorKind
settle_kind(ErrorKind kind, const Request& request)
{
    if (mutated(Mutation::FalseNotRun))
        return kind == ErrorKind::DeadlineExceeded ? ErrorKind::DeadlineUnreachable : kind;
    const bool sent = request.may_have_run > 0;
    if (request.non_repeatable_may_have_run
        && (kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::UpstreamFailed))
        return ErrorKind::OutcomeUnknown;
    if (sent && kind == ErrorKind::DeadlineUnreachable)
        return ErrorKind::DeadlineExceeded;
    const bool is_refusal = kind == ErrorKind::NoUpstream || kind == ErrorKind::Resting
        || kind == ErrorKind::Quarantined || kind == ErrorKind::VersionGone;
    if (sent && is_refusal)
        return ErrorKind::UpstreamFailed;
    if (!sent && kind == ErrorKind::DeadlineExceeded)
        return ErrorKind::DeadlineUnreachable;
    if (!sent && kind == ErrorKind::UpstreamFailed)
        return ErrorKind::NoUpstream;
    return kind;
}

Ran
settle_ran(ErrorKind kind, const Request& request)
{
    const Ran stated = error_row(kind).ran;
    if (stated == Ran::NotRun && request.may_have_run > 0
        && !mutated(Mutation::FalseNotRun))
        return Ran::Unknown;
    return stated;
}

} // namespace cypressford
