# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

# Libraries, all from Debian's packages; src/build-scripts/install-deps.sh
# installs them.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(OpenSSL REQUIRED)
find_package(Protobuf REQUIRED)
find_package(absl REQUIRED)
find_package(gRPC REQUIRED)
find_package(log4cplus REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
