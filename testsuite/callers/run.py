#!/usr/bin/env python3
# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""Behaviour visible to callers and operators: refusals, idempotency keys, streams that survive
the loss of a daemon, limits on what one caller can occupy, settings, the timeline, TLS between
peers."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))

import deployments as d
from cluster import Cluster, build_directory, control, credential, http, wait_until

HALL = "riga-1"


def uuid7(offset_ms=0):
    ms = int(time.time() * 1000) + offset_ms
    value = (ms << 80) | (0x7 << 76) | (uuid.uuid4().int & ((1 << 76) - 1))
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def post(address, pipeline, body, account, **headers):
    fields = {"Authorization": f"Bearer {credential(account)}", **headers}
    status, answer_headers, text = http(address, f"/v1/pipelines/{pipeline}", body, fields)
    return status, answer_headers, json.loads(text) if text else {}


def expect_equal(name, got, expected):
    assert got == expected, f"{name}: got {got}, expected {expected}"


def expect_problem(name, answer, status, kind, ran):
    expect_equal(name, (answer[0], answer[2].get("kind"), answer[2].get("ran")),
                 (status, kind, ran))


def check_refusals(address):
    key = {"Idempotency-Key": uuid7()}
    cases = [
        ("unknown credential", post(address, "scan-lookup", "x", "nobody"), 401, "unauthorized"),
        ("unknown pipeline", post(address, "nothing", "x", "couriers"), 404, "not_found"),
        ("empty body", post(address, "scan-lookup", b"", "couriers"), 400, "bad_request"),
        ("bad deadline", post(address, "scan-lookup", "x", "couriers", **{"X-Deadline-Ms": "0"}),
         400, "bad_request"),
        ("no key", post(address, "label-print", "x", "depots"), 400, "key_required"),
        ("no UUIDv7", post(address, "label-print", "x", "depots",
                           **{"Idempotency-Key": str(uuid.uuid4())}), 400, "key_invalid"),
        ("key from the future", post(address, "label-print", "x", "depots",
                                     **{"Idempotency-Key": uuid7(3_600_000)}), 400, "key_invalid"),
        ("too large", post(address, "scan-lookup", b"x" * (1 << 21), "couriers"),
         413, "too_large"),
        ("hopeless deadline", post(address, "label-print", "x", "depots",
                                   **{"X-Deadline-Ms": "1", **key}), 503, None),
    ]
    for name, answer, status, kind in cases:
        if answer[0] == 0 and kind == "too_large":
            continue  # the kernel may reset the connection before the client reads the answer
        expect_equal(name, answer[0], status)
        if kind:
            expect_problem(name, answer, status, kind, "not_run")


def send_raw(address, data, wait_s=8):
    """Answer of a server to raw bytes, read until it closes the connection."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=wait_s) as sock:
        sock.sendall(data)
        answer = b""
        try:
            while chunk := sock.recv(4096):
                answer += chunk
        except OSError:
            pass
        return answer.decode(errors="replace")


def check_limits(address):
    assert " 400 " in send_raw(address, b"NO HTTP AT ALL\r\n\r\n").split("\r\n")[0]
    header = b"GET /health HTTP/1.1\r\nX-Long: " + b"a" * 40_000 + b"\r\n\r\n"
    assert " 413 " in send_raw(address, header).split("\r\n")[0]
    # A slow caller gets a 408 and does not delay other callers.
    slow = send_raw(address, b"POST /v1/pipelines/scan-lookup HTTP/1.1\r\nHost: a\r\n")
    assert " 408 " in slow.split("\r\n")[0], slow
    expect_equal("another caller", post(address, "scan-lookup", "x", "couriers")[0], 200)


def check_keys(first, second, labels):
    key = {"Idempotency-Key": uuid7()}
    once = post(first, "label-print", "parcel 1", "depots", **key)
    expect_equal("first", once[0], 200)
    again = post(second, "label-print", "parcel 1", "depots", **key)
    expect_equal("replay", (again[0], again[2]), (200, once[2]))
    expect_equal("marked as a replay", again[1].get("Idempotent-Replayed"), "true")
    expect_problem("other body", post(second, "label-print", "parcel 2", "depots", **key),
                   422, "key_mismatch", "unknown")
    runs = {k: n for a in labels for k, n in control(a)["runs_by_key"].items()}
    expect_equal("runs", runs.get("depots/" + key["Idempotency-Key"]), 1)


def check_unknown(first, second, labels):
    """The connection of a keyed call breaks while it runs: it must not run again, and must not
    be reported as not run."""
    for address in labels:
        control(address, cut=True)
    key = {"Idempotency-Key": uuid7()}
    expect_problem("cut", post(first, "label-print", "parcel 3", "depots", **key),
                   504, "outcome_unknown", "unknown")
    for address in labels:
        control(address, cut=False)

    def settled():
        answer = post(second, "label-print", "parcel 3", "depots", **key)
        return answer[2].get("kind") == "outcome_unknown"
    wait_until(settled, "the outcome to be recorded as unknown", 10)
    runs = sum(control(a)["runs_by_key"].get("depots/" + key["Idempotency-Key"], 0)
               for a in labels)
    expect_equal("runs of a cut call", runs, 1)


def read_stream(address, body, account, stop_after=None, last_id=None):
    """Text, last event id, and whether the stream was complete."""
    host, port = address.split(":")
    token = f"Last-Event-ID: {last_id}\r\n" if last_id else ""
    request = (f"POST /v1/pipelines/shopper-chat HTTP/1.1\r\nHost: a\r\n{token}"
               f"Authorization: Bearer {credential(account)}\r\n"
               f"Content-Length: {len(body)}\r\n\r\n{body}")
    text, seen_id, ended, pieces, rest = "", last_id, False, 0, ""
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(request.encode())
        while not ended and (stop_after is None or pieces < stop_after):
            chunk = sock.recv(4096).decode()
            if not chunk:
                break
            rest += chunk
            while "\n\n" in rest:
                event, rest = rest.split("\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.splitlines() if ": " in line)
                if fields.get("event") == "end":
                    ended = True
                elif "id" in fields:
                    seen_id = fields["id"]
                    text += json.loads(fields["data"])["t"]
                    pieces += 1
    return text, seen_id, ended


def check_sessions(cluster, engines):
    first, second = cluster.callers("n1", "n2")
    whole = read_stream(first, "where is my parcel", "shoppers")
    assert whole[2] and whole[0].count(" ") == d.TOKENS
    part, token, ended = read_stream(first, "where is my parcel", "shoppers", stop_after=4)
    assert not ended and part == whole[0][:len(part)]
    path, body = "shopper-chat", "where is my parcel"
    headers = {"Last-Event-ID": token}
    expect_problem("foreign token", post(second, path, body, "couriers", **headers),
                   403, "token_foreign", "not_run")
    expect_problem("token of another body", post(second, path, body + "?", "shoppers", **headers),
                   400, "token_invalid", "not_run")
    forged = {"Last-Event-ID": token[:-2] + ("AA" if token[-2:] != "AA" else "BB")}
    expect_problem("forged token", post(second, path, body, "shoppers", **forged),
                   400, "token_invalid", "not_run")
    # The daemon is killed in the middle of the stream; another one resumes it.
    cluster.processes["n1"].kill()
    cluster.processes["n1"].wait()
    rest, _, ended = read_stream(second, body, "shoppers", last_id=token)
    expect_equal("resumed at another daemon", (part + rest, ended), (whole[0], True))
    # The engine has dropped the stream as well, so the text is generated again.
    time.sleep(6)
    rest, _, ended = read_stream(second, body, "shoppers", last_id=token)
    expect_equal("generated again", (part + rest, ended), (whole[0], True))
    cluster.start_daemon("n1")
    cluster.wait_version(1, ["n1"])


def check_engine_death(cluster, engines):
    """Engines close the connection at the end of a stream: the daemon continues the text on
    another engine, and the caller receives it complete."""
    address = cluster.callers("n2")[0]
    whole = read_stream(address, "long story", "shoppers")
    for engine in engines[:-1]:
        control(engine, cut=True)
    for _ in range(3):
        expect_equal("whole text", read_stream(address, "long story", "shoppers")[0], whole[0])
    for engine in engines[:-1]:
        control(engine, cut=False)


def check_command_line(cluster):
    path = cluster.dir / "faulty.yaml"
    path.write_text("node: n1\nhall: h\nthreads: many\nlisten: {callers: nowhere}\n"
                    "platform: {log: '127.0.0.1:1', nodes: '127.0.0.1:1', spare: 1}\n"
                    "operators: [zz]\ndaemon_key: '00'\npolicy: {router: magic}\n")
    done = cluster.cli("settings", "check", str(path), check=False)
    expect_equal("exit code", done.returncode, 2)
    for word in ("threads", "nowhere", "spare", "zz", "daemon_key", "magic"):
        assert word in done.stderr, f"no error about {word}: {done.stderr}"
    started = subprocess.run([cluster.program("cypressfordd"), f"--settings={path}"],
                             capture_output=True, timeout=20)
    expect_equal("daemon with faulty settings", started.returncode, 2)
    logs = [str(cluster.dir / f"{name}.log") for name in ("n1", "n2", "standin")]
    lines = cluster.cli("timeline", *logs).splitlines()
    stamps = [line.split()[0] for line in lines]
    assert len(lines) > 20 and stamps == sorted(stamps)
    trace = json.loads(cluster.cli("timeline", "--output=json", *logs))
    assert len(trace["traceEvents"]) > len(lines)
    # The upstream's run must stand before the end of its request in the timeline.
    run = next(i for i, line in enumerate(lines) if "event=run" in line)
    key = lines[run].split("key=")[1].split("/")[-1]
    end = next(i for i, line in enumerate(lines) if "event=request_end" in line and key in line)
    assert run < end


def make_certificates(cluster, authority, name):
    files = {k: str(cluster.dir / f"{authority}-{name}.{k}") for k in ("key", "csr", "crt")}
    ca = [str(cluster.dir / f"{authority}.{k}") for k in ("crt", "key")]

    def openssl(*words):
        subprocess.run(["openssl", *words], check=True, capture_output=True)
    if not pathlib.Path(ca[0]).exists():
        openssl("req", "-x509", "-newkey", "ed25519", "-nodes", "-keyout", ca[1], "-out", ca[0],
                "-subj", f"/CN={authority}", "-days", "2")
    openssl("req", "-newkey", "ed25519", "-nodes", "-keyout", files["key"], "-out", files["csr"],
            "-subj", "/CN=cypressford", "-addext", "subjectAltName=DNS:cypressford")
    openssl("x509", "-req", "-in", files["csr"], "-CA", ca[0], "-CAkey", ca[1],
            "-out", files["crt"], "-days", "2", "-copy_extensions", "copy")
    return {"certificate": files["crt"], "private_key": files["key"], "authority": ca[0]}


def check_tls(cluster):
    """Peers with certificates of one authority discover each other; a daemon with a
    certificate of another authority must not be admitted."""
    names = ["t1", "t2", "t3"]
    cluster.plan_daemons({"tls": names})
    for name in names:
        authority = "other" if name == "t3" else "ours"
        cluster.start_daemon(name, tls=make_certificates(cluster, authority, name),
                             hall_control={"gossip_ms": 100})

    def members(name):
        text = http(cluster.callers(name)[0], "/metrics")[2]
        at = text.find("\ncypressford_hall_daemons ")
        return text[at + 1:].split("\n")[0].split(" ")[1] if at >= 0 else ""
    wait_until(lambda: members("t1") == "2" and members("t2") == "2",
               "the peers of one authority to discover each other")
    # The third daemon may still be starting at this point.
    wait_until(lambda: members("t3") != "", "the daemon of the other authority to serve")
    expect_equal("members seen by the daemon of the other authority", members("t3"), "1")


def check_second_signal(cluster):
    process = cluster.processes["n2"]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: http(cluster.callers("n2")[0], "/ready")[0] != 200, "n2 to become unready")
    process.send_signal(signal.SIGTERM)
    expect_equal("exit code", process.wait(timeout=10), 0)


def main():
    with Cluster(build_directory(), "callers") as cluster:
        sets = d.upstream_sets(cluster, [HALL], {
            "d-engines": d.engine(3, 4, 20, 30, d.TOKENS), "d-encoders": d.pool(2, 4, 5),
            "d-retrievers": d.pool(2, 4, 5), "d-rerankers": d.pool(1, 4, 5),
            "d-tracking": d.service(2, 8, 4), "d-labels": d.service(2, 8, 8)})
        cluster.start_standins(d.standins(sets), platform={})
        cluster.plan_daemons({HALL: ["n1", "n2"]})
        limits = {"header_ms": 1000, "body_ms": 1000}
        for name in ("n1", "n2"):
            cluster.start_daemon(name, limits=limits)
        cluster.publish(d.make_bundle(sets, d.pipelines_daugava()))
        cluster.wait_version(1)
        first, second = cluster.callers("n1", "n2")
        where = d.addresses(sets)
        check_refusals(first)
        check_limits(first)
        check_keys(first, second, where["d-labels"])
        check_unknown(first, second, where["d-labels"])
        check_sessions(cluster, where["d-engines"])
        check_engine_death(cluster, where["d-engines"])
        check_command_line(cluster)
        check_tls(cluster)
        check_second_signal(cluster)
    print("callers: all checks passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
