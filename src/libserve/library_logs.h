// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

namespace cypressford {

/// Writes what gRPC and protocol buffers log of their own as events `library_log`, so that
/// each line of the daemon has the log's form and counts towards its bound.  Call it once
/// the log is open.
void log_libraries();

} // namespace cypressford
