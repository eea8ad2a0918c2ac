#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Fails if a daemon or library reads a clock, or waits by one, that stands still while the
# node is suspended.  Tools that only measure may.

set -euo pipefail
cd "$1"
if grep -rnE 'steady_clock|steady_timer|tcp_stream|high_resolution_clock|CLOCK_MONOTONIC' \
    src platform --include='*.cpp' --include='*.h' \
  | grep -vE '_test\.cpp:|^src/(load|standin|bench)/'; then
  echo "a clock that stands still in a suspension; BootClock and BootTimer go on" >&2
  exit 1
fi
echo "clocks: all go on in a suspension"
