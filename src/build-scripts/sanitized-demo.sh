#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Runs the demo and the platform test with sanitized daemons.  Any sanitizer report is
# printed and fails the run, whatever the exit codes of the programs.
#   sanitized-demo.sh BUILD_DIRECTORY

set -euo pipefail
cd "$(dirname "$0")/../.."
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT
export TSAN_OPTIONS="log_path=$reports/tsan suppressions=$PWD/src/build-scripts/tsan.supp"
export ASAN_OPTIONS="log_path=$reports/asan detect_leaks=0"
failed=0
python3 testsuite/demo/run.py "$1" || failed=1
python3 platform/testing/run.py "$1" || failed=1
if compgen -G "$reports/*" > /dev/null; then
  cat "$reports"/*
  failed=1
fi
[ $failed = 0 ] && echo "no sanitizer reports"
exit $failed
