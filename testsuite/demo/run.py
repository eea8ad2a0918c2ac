#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""The complete path: stand-ins, three daemons, a signed bundle, a bounded load over
both deployments' pipelines, and a planned stop of one daemon during the load."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, build_directory

DURATION_S = 10
HALL = "riga-1"


def main():
    with Cluster(build_directory(), "demo") as cluster:
        sets = d.upstream_sets(cluster, [HALL], {**d.DAUGAVA_SIZES, **d.AVISA_SIZES})
        cluster.start_standins(d.standins(sets), platform={})
        cluster.plan_daemons({HALL: ["n1", "n2", "n3"]})
        for name in cluster.daemons:
            cluster.start_daemon(name)
        pipelines = d.pipelines_daugava() + d.pipelines_avisa()
        cluster.publish(d.make_bundle(sets, pipelines))
        cluster.wait_version(1)
        print("bundle in force on:", ", ".join(cluster.daemons))
        load = cluster.start_load({
            "daemons": cluster.callers(), "seed": 7, "duration_s": DURATION_S,
            "pipelines": d.load_pipelines([p["name"] for p in pipelines]),
            "standins": d.addresses(sets)})
        time.sleep(DURATION_S / 2)
        print("planned stop of n2")
        cluster.processes["n2"].send_signal(signal.SIGTERM)
        print(load.communicate(timeout=60)[0], end="")
        stopped = cluster.processes["n2"].wait(timeout=40)
        if stopped != 0:
            print(f"n2 exited with code {stopped}")
        cluster.keep = bool(load.returncode or stopped)
        return load.returncode or stopped


if __name__ == "__main__":
    sys.exit(main())
