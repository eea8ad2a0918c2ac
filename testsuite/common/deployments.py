# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""The two users' deployments at their present sizes, as bundles and stand-ins.

Service times are those of the stand-ins: they keep the proportions between stages
(a lookup is short, a summary long) and let a run finish in seconds.
"""

from cluster import account, credential


def upstream_sets(cluster, halls, sizes):
    """Addresses for each set, assigned to the halls in turn."""
    sets = {}
    for name, (count, spec) in sizes.items():
        by_hall = {hall: [] for hall in halls}
        for i in range(count):
            by_hall[halls[i % len(halls)]].append(cluster.address())
        sets[name] = {"halls": by_hall, **spec}
    return sets


def standins(sets):
    """Stand-in configurations for sets, each with its own seed."""
    result = []
    for spec in sets.values():
        for addresses in spec["halls"].values():
            for address in addresses:
                result.append({"address": address, "seed": len(result) + 1, **spec["standin"]})
    return result


def bundle_sets(sets):
    return [{"name": name, "halls": spec["halls"], **spec["bundle"]}
            for name, spec in sets.items()]


def addresses(sets):
    return {name: [a for group in spec["halls"].values() for a in group]
            for name, spec in sets.items()}


def pool(count, slots, ms):
    return (count, {"bundle": {"kind": "pool", "slots": slots},
                    "standin": {"role": "pool", "slots": slots, "service_ms": ms}})


def service(count, slots, ms, deduplicates=False):
    return (count, {"bundle": {"kind": "service", "slots": slots, "deduplicates": deduplicates},
                    "standin": {"role": "service", "slots": slots, "service_ms": ms,
                                "deduplicates": deduplicates}})


def engine(count, slots, token_ms, prefill_ms, tokens):
    return (count, {"bundle": {"kind": "engine", "slots": slots},
                    "standin": {"role": "engine", "slots": slots, "service_ms": token_ms,
                                "prefill_ms": prefill_ms, "max_tokens": tokens}})


TOKENS = 12

DAUGAVA_SIZES = {
    "d-engines": engine(20, 4, 8, 30, TOKENS),
    "d-encoders": pool(4, 4, 15),
    "d-retrievers": pool(4, 4, 12),
    "d-rerankers": pool(3, 4, 10),
    "d-tracking": service(3, 16, 4),
    "d-labels": service(6, 8, 8),
}

AVISA_SIZES = {
    "a-engines": engine(12, 4, 8, 30, TOKENS),
    "a-encoders": pool(3, 4, 15),
    "a-retrievers": pool(3, 4, 12),
    "a-push": service(3, 8, 6),
    "a-registry": service(5, 8, 4),
}


def stage(name, kind, upstreams, **more):
    return {"name": name, "kind": kind, "upstreams": upstreams, **more}


def pipelines_daugava():
    model = {"model": "claims", "adapter": "damage"}
    return [
        {"name": "scan-lookup", "priority": 0, "deadline_ms": 500,
         "stages": [stage("lookup", "call", "d-tracking")]},
        {"name": "label-print", "priority": 1, "deadline_ms": 1500,
         "stages": [stage("print", "call", "d-labels", repeatable=False)]},
        {"name": "shopper-chat", "priority": 4, "deadline_ms": 4000, "stream": True,
         "stages": [stage("encode", "encode", "d-encoders"),
                    stage("retrieve", "retrieve", "d-retrievers"),
                    stage("generate", "generate", "d-engines", **model)]},
        {"name": "claim-summary", "priority": 6, "deadline_ms": 4000,
         "stages": [stage("encode", "encode", "d-encoders"),
                    stage("retrieve", "retrieve", "d-retrievers"),
                    stage("rerank", "rerank", "d-rerankers"),
                    stage("generate", "generate", "d-engines", **model)]},
    ]


def pipelines_avisa():
    model = {"model": "alerts"}
    return [
        {"name": "push-alert", "priority": 0, "deadline_ms": 1500,
         "stages": [stage("registry", "call", "a-registry"),
                    stage("push", "call", "a-push", repeatable=False)]},
        {"name": "tag-reply", "priority": 3, "deadline_ms": 2000,
         "stages": [stage("encode", "encode", "a-encoders"),
                    stage("retrieve", "retrieve", "a-retrievers")]},
        {"name": "alert-draft", "priority": 5, "deadline_ms": 4000, "stream": True,
         "stages": [stage("encode", "encode", "a-encoders"),
                    stage("retrieve", "retrieve", "a-retrievers"),
                    stage("generate", "generate", "a-engines", **model)]},
    ]


LOADS = {
    "scan-lookup": dict(account="couriers", rate=150, deadline_ms=500, urgent=True,
                        stages=["lookup"]),
    "label-print": dict(account="depots", rate=40, deadline_ms=1500, urgent=True, keyed=True,
                        stages=["print"]),
    "shopper-chat": dict(account="shoppers", rate=40, deadline_ms=4000, stream=True,
                         sessions=200, tokens=TOKENS, stages=["encode", "retrieve", "generate"]),
    "claim-summary": dict(account="damage-desk", rate=30, deadline_ms=4000, tokens=TOKENS,
                          stages=["encode", "retrieve", "rerank", "generate"]),
    "push-alert": dict(account="dispatch", rate=40, deadline_ms=1500, urgent=True, keyed=True,
                       stages=["registry", "push"]),
    "tag-reply": dict(account="replies", rate=50, deadline_ms=2000,
                      stages=["encode", "retrieve"]),
    "alert-draft": dict(account="drafting", rate=30, deadline_ms=4000, stream=True, sessions=100,
                        tokens=TOKENS, stages=["encode", "retrieve", "generate"]),
}


def load_pipelines(names, factor=1.0, phases=None):
    """Loads of the named pipelines; `phases` maps a name to its phases."""
    result = []
    for name in names:
        load = dict(LOADS[name])
        load["credential"] = credential(load.pop("account"))
        load["rate"] *= factor
        load["name"] = name
        if phases and name in phases:
            load["phases"] = phases[name]
        result.append(load)
    return result


def make_bundle(sets, pipelines, version=1, builds_on=0, name="daily"):
    accounts = sorted({LOADS[p["name"]]["account"] for p in pipelines})
    return {
        "name": name, "version": version, "builds_on": builds_on,
        "models": [{"name": "claims", "adapters": ["damage"]}, {"name": "alerts"}],
        "upstreams": bundle_sets(sets),
        "pipelines": pipelines,
        "accounts": [account(a) for a in accounts],
    }
