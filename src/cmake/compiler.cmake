# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

# Language level, warnings and sanitizers for all targets.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

set(CYPRESSFORD_SANITIZE "" CACHE STRING "Sanitizer to build with: thread or address")
if(CYPRESSFORD_SANITIZE)
  add_compile_options(-fsanitize=${CYPRESSFORD_SANITIZE} -fno-omit-frame-pointer -g -O1)
  add_link_options(-fsanitize=${CYPRESSFORD_SANITIZE})
endif()
# Conversions and sums of numbers that do not fit differ between processors.
if(CYPRESSFORD_SANITIZE STREQUAL "address")
  set(overflow_checks float-cast-overflow,signed-integer-overflow)
  add_compile_options(-fsanitize=${overflow_checks} -fno-sanitize-recover=${overflow_checks})
  add_link_options(-fsanitize=${overflow_checks})
endif()

option(CYPRESSFORD_LIBFUZZER "Build the libFuzzer target (needs Clang)" OFF)
if(CYPRESSFORD_LIBFUZZER)
  add_compile_options(-fsanitize=fuzzer-no-link,address -g -O1)
  add_link_options(-fsanitize=address)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# Warnings apply to the project's own code, not to generated files.
add_library(cypressford_warnings INTERFACE)
target_compile_options(cypressford_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 reports false positives for std::optional inside std::variant (GCC bug 80635), and
# for Asio's coroutine frames, which are freed by the function that matches their allocation.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  target_compile_options(cypressford_warnings INTERFACE -Wno-maybe-uninitialized
    -Wno-mismatched-new-delete)
endif()
# With -fsanitize GCC 12 reports one more: an axis inside Boost.Histogram, which the reported
# constructor does initialize.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CYPRESSFORD_SANITIZE)
  target_compile_options(cypressford_warnings INTERFACE -Wno-uninitialized)
endif()
if(CYPRESSFORD_SANITIZE STREQUAL "thread")
  target_compile_options(cypressford_warnings INTERFACE -Wno-tsan)
endif()
