#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Builds the daemon of an earlier commit into a folder, for tests of two builds side by side.
#
#   build-landing.sh COMMIT FOLDER [JOBS]

set -euo pipefail
commit=$1
folder=$2
jobs=${3:-$(nproc)}
cd "$(dirname "$0")/../.."

if ! git cat-file -e "$commit^{commit}" 2> /dev/null; then
  echo "build-landing.sh: commit $commit is not in this clone; fetch the full history" >&2
  exit 1
fi

mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
# The sources of that commit, extracted without registering a git worktree.
if [ ! -d "$folder/source" ]; then
  rm -rf "$folder/source.part"
  mkdir "$folder/source.part"
  git archive "$commit" | tar -x -C "$folder/source.part"
  mv "$folder/source.part" "$folder/source"
fi
# Shares compiler cache entries with other clones.
export CCACHE_BASEDIR=$folder CCACHE_NOHASHDIR=1
cmake -G Ninja -S "$folder/source" -B "$folder" -DCYPRESSFORD_DAEMON_ONLY=ON > /dev/null
cmake --build "$folder" -j "$jobs" --target cypressfordd
