#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Nine daemons in three halls under load, while daemons are killed, paused and
replaced, halls are cut off from the platform, the log goes away, answers of the
log are lost, an upstream leaves, a hall is evacuated and two operators race.  Nothing may be lost,
doubled or misdelivered, and the same bundle must be in force everywhere within
four seconds of the end of a cut."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, build_directory, control, http, wait_until

DURATION_S = 32
HALLS = {"h1": ["n1", "n2", "n3"], "h2": ["n4", "n5", "n6"], "h3": ["n7", "n8", "n9"]}
IN_FORCE_S = 4
LEAVING_BOUND_S = 3


def sizes():
    return {
        "d-engines": d.engine(9, 4, 8, 30, d.TOKENS),
        "d-encoders": d.pool(6, 4, 15),
        "d-retrievers": d.pool(6, 4, 12),
        "d-tracking": d.service(3, 16, 4),
        "d-labels": d.service(6, 8, 8),
        "a-registry": d.service(6, 8, 4),
        "a-push": d.service(3, 8, 6),
    }


def pipelines(urgent_deadline=1500):
    wanted = {"scan-lookup", "label-print", "shopper-chat", "push-alert"}
    result = [p for p in d.pipelines_daugava() + d.pipelines_avisa() if p["name"] in wanted]
    for pipeline in result:
        if pipeline["name"] == "push-alert":
            pipeline["deadline_ms"] = urgent_deadline
    return result


def race(cluster, sets, version):
    """Two operators publish on the same base; exactly one of them wins."""
    key = f"--key={cluster.dir}/operator.pem"
    platform = f"--platform={cluster.platform}"
    codes = []
    for deadline in (1400, 1300):
        bundle = d.make_bundle(sets, pipelines(deadline), version, version - 1)
        path = cluster.write_bundle(bundle, f"race-{deadline}.yaml")
        codes.append(cluster.cli("bundle", "publish", platform, key, str(path),
                                 check=False).returncode)
    assert sorted(codes) == [0, 1], f"both or none of two racing publishes won: {codes}"
    cluster.cli("bundle", "roll", platform, key, "daily", str(version))


def start(cluster, name):
    cluster.start_daemon(name, threads=1)


def replace_daemons(cluster):
    """One is killed, one is frozen for a while, one is new."""
    cluster.processes["n1"].kill()
    cluster.processes["n5"].send_signal(signal.SIGSTOP)
    time.sleep(2)
    start(cluster, "n1")
    time.sleep(2)
    cluster.processes["n5"].send_signal(signal.SIGCONT)


def leave(cluster, sets):
    """An upstream leaves; after the bound it sees no new work."""
    address = sets["d-tracking"]["halls"]["h1"][0]
    control(address, leaving=True)
    control(cluster.platform, node=address, state="leaving")
    time.sleep(LEAVING_BOUND_S)
    before = control(address)["after_leaving"]
    time.sleep(1)
    after = control(address)["after_leaving"]
    assert after == before, f"{after - before} calls to an upstream that is leaving"


def cut_and_roll(cluster, sets):
    """While one hall is cut off a new bundle is rolled; when the cut ends, the
    hall must catch up in time.  A daemon that is replaced during the cut takes
    the bundle from its hall."""
    control(cluster.platform, cut_halls=["h2"])
    race(cluster, sets, 2)
    cluster.wait_version(2, HALLS["h1"] + HALLS["h3"], IN_FORCE_S)
    cluster.processes["n6"].kill()
    cluster.processes["n6"].wait()
    start(cluster, "n6")
    cluster.wait_version(1, ["n6"], 8)
    print("a fresh daemon of the cut hall took the bundle from its peers")
    control(cluster.platform, cut_halls=[])
    began = time.monotonic()
    cluster.wait_version(2, None, IN_FORCE_S)
    print(f"in force everywhere {time.monotonic() - began:.2f} s after the cut")


def evacuated(cluster, halls):
    line = f"\ncypressford_evacuated_halls {halls}\n"
    return all(line in http(address, "/metrics")[2] for address in cluster.callers())


def evacuate(cluster, sets):
    """Nothing new goes to an evacuated hall, and it is used again later."""
    hall = "h3"
    words = (f"--platform={cluster.platform}", f"--key={cluster.dir}/operator.pem",
             f"--trust={cluster.public_key}", hall)
    lookups = sets["d-tracking"]["halls"][hall][0]
    cluster.cli("hall", "evacuate", *words)
    wait_until(lambda: evacuated(cluster, 1), "the evacuation in force", IN_FORCE_S)
    assert cluster.cli("hall", "list", *words[:3]) == f"{hall} evacuated\n"
    time.sleep(0.5)
    before = control(lookups)["runs"]
    time.sleep(1)
    runs = control(lookups)["runs"]
    assert runs == before, f"{runs - before} calls in an evacuated hall"
    cluster.cli("hall", "end-evacuation", *words)
    wait_until(lambda: evacuated(cluster, 0), "the end of the evacuation", IN_FORCE_S)
    wait_until(lambda: control(lookups)["runs"] > runs, "calls in the hall again", 5)
    print("a hall was evacuated and taken back")


def log_faults(cluster):
    control(cluster.platform, lose_answers=True)
    time.sleep(1.5)
    control(cluster.platform, lose_answers=False, outage=True)
    time.sleep(3)
    control(cluster.platform, outage=False)


def main():
    with Cluster(build_directory(), "halls") as cluster:
        sets = d.upstream_sets(cluster, list(HALLS), sizes())
        cluster.start_standins(d.standins(sets), platform={})
        cluster.plan_daemons(HALLS)
        for name in cluster.daemons:
            start(cluster, name)
        cluster.publish(d.make_bundle(sets, pipelines()))
        cluster.wait_version(1)
        load = cluster.start_load({
            "daemons": cluster.callers(), "seed": 11, "duration_s": DURATION_S,
            "retry_lost": True,
            "pipelines": d.load_pipelines([p["name"] for p in pipelines()], 0.7),
            "standins": d.addresses(sets)})
        time.sleep(2)
        replace_daemons(cluster)
        leave(cluster, sets)
        cut_and_roll(cluster, sets)
        evacuate(cluster, sets)
        log_faults(cluster)
        cluster.processes["n9"].send_signal(signal.SIGTERM)
        print(load.communicate(timeout=90)[0], end="")
        assert load.returncode == 0, "something was lost, doubled, misdelivered or cut"
        assert cluster.processes["n9"].wait(timeout=40) == 0
        running = [n for n in cluster.daemons if n != "n9"]
        wait_until(lambda: all(cluster.processes[n].poll() is None for n in running),
                   "daemons to be alive", 1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
