# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of the links from single daemons to all replicas, which the daemons of a test build inject
into themselves (testsuite/common/link_faults.cpp)."""

import os

#: Nothing arrives; connections are reset; open connections stay usable and new ones are refused.
HANG, RESET, REFUSE = "hang", "reset", "refuse"
MODES = (HANG, RESET, REFUSE)
PASS = "pass"


class NodeLinks:
    """The links of each node of a fixture to the fixture's replicas."""

    def __init__(self, build, directory, replica_addresses):
        self.program = build / "testsuite" / "cypressfordd_link_faults"
        self.directory = directory
        self.replica_addresses = replica_addresses  # function
        self.modes = {}  # node -> mode

    def environment(self, node):
        """Environment of the node's daemon."""
        self.set_mode(node, self.modes.get(node, PASS))
        return {**os.environ, "LINK_FAULTS": str(self.path(node))}

    def path(self, node):
        return self.directory / f"{node}.links"

    def set_mode(self, node, mode):
        self.modes[node] = mode
        ports = " ".join(address.split(":")[1] for address in self.replica_addresses())
        new = self.path(node).with_suffix(".new")
        new.write_text(f"{mode} {ports}\n")
        new.rename(self.path(node))  # so that the daemon never reads half a file

    def refresh(self):
        """Applies the modes to replicas that were added."""
        for node, mode in list(self.modes.items()):
            self.set_mode(node, mode)
