# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

# A thin wrapper around CMake and Ninja.

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build demo test fuzz capacity measure bench lint format clean

all: build

deps:
	@src/build-scripts/install-deps.sh

$(BUILD)/build.ninja: | deps
	@cmake -G Ninja -S . -B $(BUILD) $(CMAKE_FLAGS) > /dev/null

build: $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@python3 testsuite/demo/run.py $(BUILD)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

# Fuzzes for SECONDS with seeds that differ each time.
SECONDS ?= 60
fuzz: build
	@$(BUILD)/testsuite/fuzz/cypressford_fuzz --seconds=$(SECONDS) --seed=$$(date +%s)

# The slopes of docs/CAPACITY.md, about three minutes.
capacity: build
	@$(BUILD)/src/bench/cypressford-bench
	@python3 testsuite/capacity/run.py $(BUILD)

bench: build
	@$(BUILD)/src/bench/cypressford-bench

lint: build
	@src/build-scripts/lint.sh $(BUILD)

format:
	@src/build-scripts/lint.sh --fix

clean:
	@rm -rf $(BUILD)
