#!/usr/bin/env bash
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0
#
# Regenerates the committed protobuf and gRPC code from the .proto file.

set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc -I . --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" cypressford.proto
