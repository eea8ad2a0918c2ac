#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Formats shared between builds may only be extended.

    check.py            each line of landed/*.txt is still present; known changes are detected
    check.py --list     the present lines, for landed/COMMIT.txt of a landing

A line is a field of a message with its number and type, a value of an enumeration that crosses
the wire as a number, a path between daemons, a topic or a key in the platform's store."""

import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
#: Enumerations whose values cross the wire as numbers, with the header that defines each.
ENUMERATIONS = {"DirectoryTopic": "src/include/cypressford/directory.h",
                "PieceOutcome": "src/include/cypressford/call_dialect.h",
                "ClaimOutcome": "src/include/cypressford/scheduler.h",
                "TunnelFrame": "src/libutil/tunnel_stream.h"}
#: Files with text constants that other builds or records in the store depend on.
CONSTANTS = {"src/libserve/peers/peer_link.h": r"k\w*Path = (\"[^\"]+\")",
             "src/libserve/links/tunnel_protocol.h": r"kTunnel\w+ = (\"[^\"]+\")",
             "src/libutil/tunnel_stream.h": r"kTunnel\w+ = (\"[^\"]+\")",
             "src/libserve/directory/directory_feed_server.h": r"k\w*Path = (\"[^\"]+\")",
             "platform/directory.cpp": r"(\"keyed\.cypressford[^\"]+\")"}


def without_comments(text):
    return re.sub(r"//[^\n]*", "", text)


def fields(root):
    text = without_comments((root / "src/proto/cypressford.proto").read_text())
    for name, body in re.findall(r"message (\w+) \{([^}]*)\}", text):
        for label, kind, field, number in re.findall(
                r"(repeated |optional |)([\w.]+) (\w+) = (\d+)", body):
            yield f"field {name}.{field} = {number}, {label}{kind}"
    for name, body in re.findall(r"service (\w+) \{([^}]*)\}", text):
        for call in re.findall(r"rpc ([^;{]+)", body):
            yield f"rpc {name}.{' '.join(call.split())}"


def values(root):
    for name, path in ENUMERATIONS.items():
        text = without_comments((root / path).read_text())
        body = re.search(rf"enum class {name} : unsigned char \{{([^}}]*)\}}", text).group(1)
        for number, value in enumerate(re.findall(r"\w+", body)):
            yield f"value {name}.{value} = {number}"


def constants(root):
    for path, pattern in CONSTANTS.items():
        file = root / path
        for value in re.findall(pattern, file.read_text()) if file.exists() else []:
            yield f"text {value}"


def collect_lines(root):
    return sorted({*fields(root), *values(root), *constants(root)})


def missing_lines(landed, present):
    """Lines of a landing that are missing at present."""
    return [line for line in landed if line not in present]


def detects_known_changes(present):
    """A renumbered field, a renamed topic and a value inserted before others are detected."""
    renumbered = [re.sub(r"(FeedRecord.key = )\d+", r"\g<1>9", line) for line in present]
    renamed = [line.replace("keyed.cypressford-daemons", "keyed.daemons") for line in present]
    shifted = [line.replace("PieceOutcome.Failed = 4", "PieceOutcome.Failed = 5")
               for line in present]
    return all(missing_lines(present, changed) for changed in (renumbered, renamed, shifted))


def main():
    present = collect_lines(ROOT)
    if "--list" in sys.argv:
        print("\n".join(present))
        return 0
    failed = 0
    for file in sorted((HERE / "landed").glob("*.txt")):
        missing = missing_lines(file.read_text().splitlines(), present)
        print(f"{file.name}: {len(missing)} of its lines are missing now")
        for line in missing:
            print(f"  {line}")
        failed += len(missing)
    if not detects_known_changes(present):
        print("check.py did not detect a known change")
        failed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
