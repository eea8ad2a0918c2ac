// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Limits, backoffs and other state that upstreams report about themselves in any answer.

#pragma once

#include <string_view>

#include <cypressford/call_dialect.h>
#include <cypressford/upstream.h>

namespace cypressford {

/// The call whose answer carries a report.
struct AnswerOrigin {
    Micros sent = 0; ///< when the call was sent
    Micros connected = 0; ///< when its connection was established
    std::string_view call; ///< name of the call for the log
    RatePart part = RatePart::Own; ///< that the call was sent with
};

/// Applies the reports in an upstream's answer to its state.
void record_upstream_report(UpstreamState& upstream, const UpstreamAnswer& answer,
                            const AnswerOrigin& origin);

/// Applies only the load in an upstream's answer to its state.
void record_upstream_load(UpstreamState& upstream, const UpstreamAnswer& answer,
                          std::string_view call);

/// What an announced rate counts.
enum class AnnouncedKind : unsigned char { Limit, Rejections };

/// Reports for other daemons on rates that upstreams of the set have announced.
LimitReports reports_of(const UpstreamSet& set, AnnouncedKind kind, Micros now);

/// Applies the reports of another daemon.
void receive_reports(const UpstreamSet& set, AnnouncedKind kind,
                     const LimitReports& reports, Micros now);

/// This daemon's limit reports that differ from `reports` for the same run of an upstream.
LimitReports newer_limit_reports(const UpstreamSet& set, const LimitReports& reports,
                                 Micros now);

} // namespace cypressford
