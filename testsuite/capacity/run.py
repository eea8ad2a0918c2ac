#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Cost of the control work of real daemons on loopback: processor time, memory and bytes of a
daemon without callers, by the number of daemons and of upstreams in its hall.  Prints one line
of key=value for each size."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, account, build_directory

MEASURE_S = 10
SETTLE_S = 12
SIZES = [(3, 30), (9, 30), (20, 30), (64, 30), (20, 285), (20, 800)]


def loopback_bytes():
    for line in open("/proc/net/dev"):
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def measure(daemons, upstreams, accounts):
    with Cluster(build_directory(), "capacity") as cluster:
        names = [f"n{i}" for i in range(daemons)]
        sets = d.upstream_sets(cluster, ["h"], {"pool": d.pool(upstreams, 8, 5)})
        cluster.start_standins(d.standins(sets), platform={})
        cluster.plan_daemons({"h": names})
        for name in names:
            cluster.start_daemon(name, threads=1, log={"level": "warn"})
        pipelines = [{"name": f"p{i}", "priority": 1, "deadline_ms": 4000,
                      "stages": [d.stage("s", "encode", "pool")]} for i in range(16)]
        bundle = {"name": "daily", "version": 1, "builds_on": 0, "models": [],
                  "upstreams": d.bundle_sets(sets), "pipelines": pipelines,
                  "accounts": [account(f"a{i}") for i in range(accounts)]}
        started = time.monotonic()
        cluster.publish(bundle)
        cluster.wait_version(1)
        in_force_s = time.monotonic() - started
        time.sleep(SETTLE_S)
        pids = [cluster.processes[n].pid for n in names]
        cpu, network, start = [cpu_seconds(p) for p in pids], loopback_bytes(), time.monotonic()
        time.sleep(MEASURE_S)
        span = time.monotonic() - start
        used = [(cpu_seconds(p) - c) / span for p, c in zip(pids, cpu)]
        rate = (loopback_bytes() - network) / span / daemons
        bundle.update(version=2, builds_on=1)
        started = time.monotonic()
        cluster.publish(bundle)
        cluster.wait_version(2)
        roll_s = time.monotonic() - started
        print(f"daemons={daemons} upstreams={upstreams} accounts={accounts} "
              f"core_percent={100 * sum(used) / daemons:.2f} "
              f"resident_mb={max(resident_mb(p) for p in pids):.1f} "
              f"kbytes_per_s={rate / 1000:.2f} in_force_s={in_force_s:.2f} roll_s={roll_s:.2f}", flush=True)


def main():
    for daemons, upstreams in SIZES:
        measure(daemons, upstreams, accounts=1600 if upstreams >= 285 else 100)
    return 0


if __name__ == "__main__":
    sys.exit(main())
