// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Pages that balancers and operators ask a daemon for.

#pragma once

#include <boost/asio/awaitable.hpp>

#include "libserve/kernel.h"
#include "libutil/http_server.h"

namespace cypressford {

/// An answer in plain text.
HttpResponse text_response(int status, std::string text);

/// 200 while this daemon takes requests, else 503.
boost::asio::awaitable<void> serve_readiness(Kernel& kernel, HttpExchange& exchange);

/// Counters and histograms of all workers, for Prometheus.
boost::asio::awaitable<void> serve_metrics(Kernel& kernel, HttpExchange& exchange);

} // namespace cypressford
