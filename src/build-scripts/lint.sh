#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# clang-format and clang-tidy over the project's own sources; any finding is an error.
#   lint.sh BUILD_DIRECTORY [FILE...]   checks all files, or the given ones
#   lint.sh --fix             formats in place

set -euo pipefail
cd "$(dirname "$0")/../.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' \
  'testsuite/*.cpp' 'testsuite/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '/gen/')

if [ "${1:-}" = --fix ]; then
  clang-format-16 -i "${files[@]}"
  exit 0
fi

build=${1:-build}
shift || true
[ $# -eq 0 ] || files=("$@")
clang-format-16 --dry-run --Werror "${files[@]}"
# A task that is spawned detached ends at an exception without a trace: see libutil/task.h.
if printf '%s\n' "${files[@]}" | grep -v '_test\.cpp$' | xargs grep -n 'asio::detached'; then
  echo "lint: spawn tasks with spawn_task() or spawn_restarting_task()" >&2
  exit 1
fi
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 1 clang-tidy-16 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option --warnings-as-errors='*' \
    2> >(grep -vE 'warnings? generated|^Suppressed|^Use -header-filter' >&2 || true)
echo "lint: clean, ${#files[@]} files"
