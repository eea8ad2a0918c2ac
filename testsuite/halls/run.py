#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Nine daemons in three halls under load, while daemons are killed, suspended and replaced, a
hall is cut off from the platform, the log is unreachable, answers of the log are lost, an
upstream leaves, a hall is evacuated and two operators publish at the same time.  No request may
be lost, run twice or misdelivered, and all daemons must have the same bundle in force within
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
LEAVING_LIMIT_S = 3


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


def publish_concurrently(cluster, sets, version):
    """Two operators publish on the same base version; exactly one of them must succeed."""
    key = f"--key={cluster.dir}/operator.pem"
    platform = f"--platform={cluster.platform}"
    codes = []
    for deadline in (1400, 1300):
        bundle = d.make_bundle(sets, pipelines(deadline), version, version - 1)
        path = cluster.write_bundle(bundle, f"race-{deadline}.yaml")
        codes.append(cluster.cli("bundle", "publish", platform, key, str(path),
                                 check=False).returncode)
    assert sorted(codes) == [0, 1], f"not exactly one of two publishes succeeded: {codes}"
    cluster.cli("bundle", "roll", platform, key, "daily", str(version))


def start_daemon(cluster, name):
    cluster.start_daemon(name, threads=1)


def replace_daemons(cluster):
    """n1 is killed and replaced, n5 is suspended for four seconds."""
    cluster.processes["n1"].kill()
    cluster.processes["n5"].send_signal(signal.SIGSTOP)
    time.sleep(2)
    start_daemon(cluster, "n1")
    time.sleep(2)
    cluster.processes["n5"].send_signal(signal.SIGCONT)


def check_leaving(cluster, sets):
    """An upstream leaves; after the limit it must not receive new calls."""
    address = sets["d-tracking"]["halls"]["h1"][0]
    control(address, leaving=True)
    control(cluster.platform, node=address, state="leaving")
    time.sleep(LEAVING_LIMIT_S)
    before = control(address)["after_leaving"]
    time.sleep(1)
    after = control(address)["after_leaving"]
    assert after == before, f"{after - before} calls to an upstream that is leaving"


def cut_and_roll(cluster, sets):
    """A bundle is rolled while one hall is cut off; when the cut ends, the hall must
    apply the bundle in time.  A daemon that is replaced during the cut must get the
    earlier bundle from the peers of its hall."""
    control(cluster.platform, cut_halls=["h2"])
    publish_concurrently(cluster, sets, 2)
    cluster.wait_version(2, HALLS["h1"] + HALLS["h3"], IN_FORCE_S)
    cluster.processes["n6"].kill()
    cluster.processes["n6"].wait()
    start_daemon(cluster, "n6")
    cluster.wait_version(1, ["n6"], 8)
    print("a new daemon of the cut-off hall got the bundle from its peers")
    control(cluster.platform, cut_halls=[])
    started = time.monotonic()
    cluster.wait_version(2, None, IN_FORCE_S)
    print(f"in force everywhere {time.monotonic() - started:.2f} s after the cut")


def evacuation_applied(cluster, halls):
    line = f"\ncypressford_evacuated_halls {halls}\n"
    return all(line in http(address, "/metrics")[2] for address in cluster.callers())


def check_evacuation(cluster, sets):
    """An evacuated hall must get no new calls, and must be used again afterwards."""
    hall = "h3"
    words = (f"--platform={cluster.platform}", f"--key={cluster.dir}/operator.pem",
             f"--trust={cluster.public_key}", hall)
    lookups = sets["d-tracking"]["halls"][hall][0]
    cluster.cli("hall", "evacuate", *words)
    wait_until(lambda: evacuation_applied(cluster, 1), "the evacuation to be in force", IN_FORCE_S)
    assert cluster.cli("hall", "list", *words[:3]) == f"{hall} evacuated\n"
    time.sleep(0.5)
    before = control(lookups)["runs"]
    time.sleep(1)
    runs = control(lookups)["runs"]
    assert runs == before, f"{runs - before} calls in an evacuated hall"
    cluster.cli("hall", "end-evacuation", *words)
    wait_until(lambda: evacuation_applied(cluster, 0), "the evacuation to end", IN_FORCE_S)
    wait_until(lambda: control(lookups)["runs"] > runs, "calls in the hall to resume", 5)
    print("a hall was evacuated and used again")


def inject_log_faults(cluster):
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
            start_daemon(cluster, name)
        cluster.publish(d.make_bundle(sets, pipelines()))
        cluster.wait_version(1)
        load = cluster.start_load({
            "daemons": cluster.callers(), "seed": 11, "duration_s": DURATION_S,
            "retry_lost": True,
            "pipelines": d.load_pipelines([p["name"] for p in pipelines()], 0.7),
            "standins": d.addresses(sets)})
        time.sleep(2)
        replace_daemons(cluster)
        check_leaving(cluster, sets)
        cut_and_roll(cluster, sets)
        check_evacuation(cluster, sets)
        inject_log_faults(cluster)
        cluster.processes["n9"].send_signal(signal.SIGTERM)
        print(load.communicate(timeout=90)[0], end="")
        assert load.returncode == 0, "requests were lost, run twice, misdelivered or cut"
        assert cluster.processes["n9"].wait(timeout=40) == 0
        running = [n for n in cluster.daemons if n != "n9"]
        wait_until(lambda: all(cluster.processes[n].poll() is None for n in running),
                   "all other daemons to be running", 1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
