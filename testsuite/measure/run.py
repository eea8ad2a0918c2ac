#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Attainment and cost of the present policy against two simple baselines, for both
deployments at their present sizes, under load and faults.  Prints one line of key=value
for each run; docs/MEASUREMENTS.md has tables of them."""

import argparse
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, control

DURATION_S = 9
FAULT_AT_S = 2
HALLS = {"h1": ["n1", "n2", "n3"], "h2": ["n4", "n5", "n6"], "h3": ["n7", "n8", "n9"]}

POLICIES = {
    "roundrobin": {"router": "roundrobin", "admission": "open", "hedging": False,
                   "eject": False},
    "leastinflight": {"router": "leastinflight", "admission": "fixed", "hedging": False,
                      "eject": False},
    "present": {"router": "adaptive", "admission": "budget"},
}

# Service times are longer than in the demo, so that one machine can generate an overload.
SIZES = {
    "daugava": {
        "d-engines": d.engine(20, 4, 25, 100, d.TOKENS),
        "d-encoders": d.pool(6, 4, 60),
        "d-retrievers": d.pool(6, 4, 40),
        "d-rerankers": d.pool(3, 4, 40),
        "d-tracking": d.service(3, 16, 10),
        "d-labels": d.service(6, 8, 15),
    },
    "avisa": {
        "a-engines": d.engine(12, 4, 25, 100, d.TOKENS),
        "a-encoders": d.pool(6, 4, 60),
        "a-retrievers": d.pool(6, 4, 40),
        "a-push": d.service(3, 8, 15),
        "a-registry": d.service(5, 8, 10),
    },
}
PIPELINES = {"daugava": d.pipelines_daugava, "avisa": d.pipelines_avisa}
# Requests per second of each pipeline, mostly model work, which the faults and bursts affect.
RATES = {
    "daugava": {"scan-lookup": 120, "label-print": 30, "shopper-chat": 50, "claim-summary": 50},
    "avisa": {"push-alert": 60, "tag-reply": 40, "alert-draft": 60},
}
BURST = {"daugava": "claim-summary", "avisa": "alert-draft"}
REVERSE = {"daugava": "shopper-chat", "avisa": "tag-reply"}
MODEL = {"daugava": ["shopper-chat", "claim-summary"], "avisa": ["alert-draft"]}
ENGINES = {"daugava": "d-engines", "avisa": "a-engines"}
ENCODERS = {"daugava": "d-encoders", "avisa": "a-encoders"}


def burst(name, factor=7):
    return {name: [{"from_s": 2, "to_s": 6, "factor": factor}]}


def no_fault(cluster, sets, deployment):
    pass


def slow_replica(cluster, sets, deployment):
    control(sets[ENGINES[deployment]]["halls"]["h1"][0], slow=10)


def lost_member(cluster, sets, deployment):
    control(sets[ENCODERS[deployment]]["halls"]["h1"][0], hang=True)


def lost_daemon(cluster, sets, deployment):
    cluster.processes["n1"].kill()


def log_outage(cluster, sets, deployment):
    control(cluster.platform, outage=True)
    time.sleep(3)
    control(cluster.platform, outage=False)


def hall_cut(cluster, sets, deployment):
    control(cluster.platform, cut_halls=["h2"])
    time.sleep(3)
    control(cluster.platform, cut_halls=[])


SCENARIOS = {
    "steady": (lambda w: {}, no_fault),
    "burst": (lambda w: burst(BURST[w]), no_fault),
    "reverse-burst": (lambda w: burst(REVERSE[w]), no_fault),
    "overload-2x": (lambda w: {p: [{"from_s": 0, "to_s": 99, "factor": 4}] for p in MODEL[w]},
                    no_fault),
    "slow-replica": (lambda w: {}, slow_replica),
    "lost-member": (lambda w: {}, lost_member),
    "lost-daemon": (lambda w: {}, lost_daemon),
    "log-out": (lambda w: {}, log_outage),
    "hall-cut": (lambda w: {}, hall_cut),
}


def run(build, deployment, scenario, policy):
    phases, fault = SCENARIOS[scenario]
    with Cluster(build, "measure") as cluster:
        sets = d.upstream_sets(cluster, list(HALLS), SIZES[deployment])
        cluster.start_standins(d.standins(sets), platform={})
        cluster.plan_daemons(HALLS)
        for name in cluster.daemons:
            cluster.start_daemon(name, threads=1, policy=POLICIES[policy])
        bundle = d.make_bundle(sets, PIPELINES[deployment]())
        path = cluster.write_bundle(bundle)
        key, platform = f"--key={cluster.dir}/operator.pem", f"--platform={cluster.platform}"
        cluster.cli("bundle", "publish", platform, key, str(path))
        cluster.cli("bundle", "roll", platform, key, "daily", "1")
        cluster.wait_version(1)
        loads = d.load_pipelines(list(RATES[deployment]), 1.0, phases(deployment))
        for load in loads:
            load["rate"] = RATES[deployment][load["name"]]
        process = cluster.start_load({
            "daemons": cluster.callers(), "seed": 5, "duration_s": DURATION_S,
            "retry_lost": True, "pipelines": loads, "standins": d.addresses(sets)},
            output="json")
        time.sleep(FAULT_AT_S)
        fault(cluster, sets, deployment)
        report = json.loads(process.communicate(timeout=120)[0])
    model = [p for p in report["pipelines"] if p["name"] in MODEL[deployment]]
    bad = sum(report[k] for k in ("lost", "doubled", "misdelivered", "cut"))
    print(f"deployment={deployment} scenario={scenario} policy={policy} "
          f"attainment={report['attainment']:.4f} urgent={report['urgent']:.4f} "
          f"attained={report['attained']} refused={report['refused']} "
          f"cost_ms={sum(report['cost_ms'].values()):.1f} "
          f"kinds={json.dumps(report['kinds'], separators=(',', ':'))} "
          f"engine_s={report['cost_ms'][ENGINES[deployment]] * report['attained'] / 1000:.0f} "
          f"p99_model_ms={max(p['p99_ms'] for p in model):.0f} violations={bad}", flush=True)
    return report


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", nargs="?", default="build")
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--deployments", default="daugava,avisa")
    options = parser.parse_args()
    for deployment in options.deployments.split(","):
        for scenario in options.scenarios.split(","):
            for policy in options.policies.split(","):
                run(options.build, deployment, scenario, policy)
    return 0


if __name__ == "__main__":
    sys.exit(main())
