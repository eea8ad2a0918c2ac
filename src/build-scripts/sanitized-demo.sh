#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# The demo with sanitized daemons: any report of a sanitizer fails.
#   sanitized-demo.sh BUILD_DIRECTORY

set -euo pipefail
cd "$(dirname "$0")/../.."
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT
export TSAN_OPTIONS="log_path=$reports/tsan suppressions=$PWD/src/build-scripts/tsan.supp"
export ASAN_OPTIONS="log_path=$reports/asan detect_leaks=0"
python3 testsuite/demo/run.py "$1"
if compgen -G "$reports/*" > /dev/null; then
  cat "$reports"/*
  exit 1
fi
echo "no reports"
