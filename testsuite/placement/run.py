#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""One daemon of a hall, the lease holder, loads models onto its engines.  It is suspended and
another daemon takes over, then it is resumed; the new holder is killed during an outage of the
log.  Engines must never receive an order with an older fencing token after a newer one."""

import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, build_directory, control, http, wait_until

HALL = "riga-1"
LEASE = {"lease_ms": 3000, "renew_ms": 600, "margin_ms": 300, "orders_per_s": 50}


def holders(cluster, names):
    return [n for n in names
            if "\ncypressford_placement_holder 1\n" in http(cluster.callers(n)[0], "/metrics")[2]]


def wait_models(engines, count):
    def all_loaded():
        return all(len(loaded_models(e)) >= count for e in engines)
    wait_until(all_loaded, f"{count} models on each engine", 20)


def loaded_models(engine):
    return re.findall(r'"([^"]+)"', http(engine, "/v1/models")[2].split(":", 1)[1])


def bundle(sets, version, models):
    pipelines = [{"name": f"p-{m}", "priority": 3, "deadline_ms": 4000,
                  "stages": [d.stage("generate", "generate", "engines", model=m)]}
                 for m in models]
    return {"name": "daily", "version": version, "builds_on": version - 1,
            "models": [{"name": m} for m in models], "upstreams": d.bundle_sets(sets),
            "pipelines": pipelines, "accounts": []}


def check_fences(cluster, engines):
    """Fencing tokens that an engine accepted must never decrease.  Returns the number of
    different tokens at the last engine."""
    log = (cluster.dir / "standin.log").read_text()
    for engine in engines:
        fences = [int(f) for f in re.findall(rf"event=order address={engine} \S+ fence=(\d+)", log)]
        assert fences, f"no orders at {engine}"
        assert fences == sorted(fences), f"{engine} accepted orders with decreasing fences {fences}"
    return len(set(fences))


def main():
    with Cluster(build_directory(), "placement") as cluster:
        names = ["n1", "n2", "n3"]
        sets = d.upstream_sets(cluster, [HALL], {"engines": d.engine(4, 4, 5, 10, 4)})
        sets["engines"]["standin"]["checks_fence"] = True
        sets["engines"]["bundle"]["checks_fence"] = True
        cluster.start_standins(d.standins(sets), platform={})
        engines = d.addresses(sets)["engines"]
        cluster.plan_daemons({HALL: names})
        for name in names:
            cluster.start_daemon(name, threads=1, placement=LEASE,
                                 hall_control={"gossip_ms": 200, "suspect_ms": 2000})
        cluster.publish(bundle(sets, 1, ["claims"]))
        cluster.wait_version(1)
        wait_models(engines, 1)
        wait_until(lambda: len(holders(cluster, names)) == 1, "one lease holder")
        first = holders(cluster, names)[0]
        cluster.processes[first].send_signal(signal.SIGSTOP)
        others = [n for n in names if n != first]
        cluster.publish(bundle(sets, 2, ["claims", "notes"]))
        wait_models(engines, 2)
        second = holders(cluster, others)
        assert len(second) == 1, second
        cluster.processes[first].send_signal(signal.SIGCONT)
        cluster.wait_version(2)
        wait_until(lambda: holders(cluster, names) == second,
                   "the resumed daemon to drop its lease")
        control(cluster.platform, outage=True)
        cluster.processes[second[0]].kill()
        cluster.processes[second[0]].wait()
        control(cluster.platform, outage=False)
        remaining = [n for n in names if n != second[0]]
        cluster.publish(bundle(sets, 3, ["claims", "notes", "alerts"]))
        wait_models(engines, 3)
        assert len(holders(cluster, remaining)) == 1
        fence_count = check_fences(cluster, engines)
        print(f"placement: three lease holders, fences increased, "
              f"{fence_count} fences at the last engine")
    return 0


if __name__ == "__main__":
    sys.exit(main())
