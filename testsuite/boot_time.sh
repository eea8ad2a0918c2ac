#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Fails if a daemon or library uses a clock or timer that stops while the node is suspended.
# Load, stand-in and benchmark tools are exempt, since they only measure.

set -euo pipefail
cd "$1"
if grep -rnE 'steady_clock|steady_timer|tcp_stream|high_resolution_clock|CLOCK_MONOTONIC' \
    src platform --include='*.cpp' --include='*.h' \
  | grep -vE '_test\.cpp:|^src/(load|standin|bench)/'; then
  echo "clock or timer that stops during a suspension; use BootClock or BootTimer" >&2
  exit 1
fi
echo "clocks: all run during a suspension"
