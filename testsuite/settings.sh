#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# `settings check` refuses an unknown or renamed policy switch or key, and names its line.
#   settings.sh BUILD_DIRECTORY

set -euo pipefail
command="$1/src/cypressford/cypressford"
file=$(mktemp)
trap 'rm -f "$file"' EXIT

write_settings() {
  cat > "$file" <<YAML
node: n
hall: h
listen:
  callers: "127.0.0.1:1"
platform:
  kind: keyedlog
  store: "127.0.0.1:2"
policy:
  without: [$1]
YAML
}

write_settings "hall_waits, latest_start"
"$command" settings check "$file" | grep -q ': ok$'

write_settings "hall_waits, hall_wait"
if faults=$("$command" settings check "$file" 2>&1); then
  echo "settings check accepted an unknown mechanism"
  exit 1
fi
grep -q ":9: without: no 'hall_wait' among: hall_waits whole_groups" <<< "$faults"

# A renamed key or switch is refused, and the message states its current name.
write_settings "stable_homes"
cat >> "$file" <<YAML
claims:
  outage_patience_ms: 500
YAML
if faults=$("$command" settings check "$file" 2>&1); then
  echo "settings check accepted renamed keys"
  exit 1
fi
grep -q ":9: without: 'stable_homes' is now called 'stable_engines'" <<< "$faults"
grep -q "'outage_patience_ms' is now called 'outage_wait_limit_ms'" <<< "$faults"

# The platform's plug-in decides which of its contracts switches a mechanism on; the policy
# can switch it off again.  Contracts that it does not know are accepted.
write_contracts() {
  sed -i "s/^  store: .*/&\n  contracts: $1/" "$file"
}
contract=$(grep -oP 'kPressure = "\K[^"]*' "$(dirname "$0")/../platform/directory.cpp")
write_settings "hall_waits"
write_contracts "[unknown, $contract]"
"$command" settings check "$file" | grep -q '^with: account_precedence$'
write_settings "account_precedence"
write_contracts "[$contract]"
if "$command" settings check "$file" | grep -q account_precedence; then
  echo "policy: without does not switch off a mechanism of a contract"
  exit 1
fi
write_settings "hall_waits"
write_contracts "[unknown]"
if "$command" settings check "$file" | grep -q account_precedence; then
  echo "an unknown contract switched a mechanism on"
  exit 1
fi
echo "settings: ok"
