#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Fails if a name of the users' platform occurs outside platform/ and deploy/.

set -euo pipefail
cd "$1"
names='X-Attempt-Id|X-Replica-|X-Segments|X-Segment-Key|X-Expect-|X-Not-Executed|X-Tenant'
names+='|X-Prefix-Hash|X-Token-Count|Api-Key|stage-run|stage-free|op/config'
names+='|Store-Era|X-Cold-|allowed_regions|cold_start_s|cold_per_s|cold_remaining'
names+='|keyed\.(op|servers)|log-(read|append|newest)|health_path|path_prefix"'
names+='|"pressure"'
if grep -rnE "$names" src testsuite --include='*' --exclude=platform_names.sh; then
  echo "names of the platform occur outside platform/" >&2
  exit 1
fi
echo "names: only in platform/"
