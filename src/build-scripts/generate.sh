#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Makes the committed code for messages and gRPC anew from the .proto file.

set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc -I . --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" cypressford.proto
