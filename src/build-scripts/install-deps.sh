#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Installs missing build dependencies from Debian's packages.

set -euo pipefail

packages=(
  build-essential ca-certificates ccache cmake ninja-build pkg-config
  clang-16 clang-format-16 clang-tidy-16 libclang-rt-16-dev
  doctest-dev libabsl-dev libbenchmark-dev libboost1.81-dev libboost-json1.81-dev
  libexpected-dev libgrpc++-dev liblog4cplus-dev libprotobuf-dev librapidcheck-dev
  libssl-dev openssl liburcu-dev libxxhash-dev libyaml-cpp-dev libzstd-dev prometheus-cpp-dev
  protobuf-compiler protobuf-compiler-grpc python3
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0

echo "installing: ${missing[*]}"
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends \
  "${missing[@]}" > /dev/null
