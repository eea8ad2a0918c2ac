// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP pages of a daemon for load balancers and operators.

#pragma once

#include <boost/asio/awaitable.hpp>

#include "libserve/kernel.h"
#include "libutil/http_server.h"

namespace cypressford {

/// A plain-text answer.
HttpResponse text_response(int status, std::string text);

/// Answers 200 while this daemon takes requests, else 503.
boost::asio::awaitable<void> serve_readiness(Kernel& kernel, HttpExchange& exchange);

/// Counters and histograms of all workers, in Prometheus text format.
boost::asio::awaitable<void> serve_metrics(Kernel& kernel, HttpExchange& exchange);

} // namespace cypressford
