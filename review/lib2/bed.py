# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""A small deployment on loopback addresses for the cases of the second review: the daemons of
the deploy file with its settings template, and stand-ins for the store, replicas and clients that
do what the users' pages say."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "h.example"
KEY = "key-of-tenant"
HELD, BROKEN, UNABLE = 0, 1, 2

BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_skew_ms": 5000, "revoke_partitioned": False,
          "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58,
          "recovery_s": 12, "pass_ms": 120, "retry_after_s": 10}


class CannotRun(Exception):
    pass


# --- Settings -----------------------------------------------------------------------------------

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part, "")
    return value


def render(template, fields):
    """Fills in the gaps of a settings template, as far as deploy/settings.yaml uses them."""
    def gap(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        if form == "json" or isinstance(value, (list, dict)):
            return json.dumps(value)
        return str(value)
    return re.sub(r"\{\{([^}]*)\}\}", gap, template)


def deploy_command():
    text = (ROOT / "deploy" / "system.toml").read_text()
    return re.search(r'^run = "([^"]*)"', text, re.M).group(1).split(" ")


# --- HTTP ---------------------------------------------------------------------------------------

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Body of a message with a length or chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return body


def answer(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                   struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server that handles one request at a time on each connection."""

    def __init__(self, address):
        self.address = address
        self.open = set()
        self.server = None

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 20)

    def stop(self):
        """Ends as a crash does: the address is closed and all connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            reset(writer)

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if not await self.handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


# --- The platform's store -----------------------------------------------------------------------

class Store(Server):
    """The log with keyed topics (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, address, page=500):
        super().__init__(address)
        self.topics = {}  # name -> {"first": offset, "records": [(key, value)], "kept": {}}
        self.page = page
        self.changed = asyncio.Event()
        self.mode = "up"  # or down: 503; silent: no answer

    def topic(self, name):
        return self.topics.setdefault(name, {"first": 0, "records": [], "newest": {}})

    def put(self, name, key, value):
        """Appends a record; returns its offset."""
        log = self.topic(name)
        at = log["first"] + len(log["records"])
        log["records"].append((key, value))
        if value:
            log["newest"][key] = (value, at)
        else:
            log["newest"].pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return at

    def end(self, name):
        log = self.topic(name)
        return log["first"] + len(log["records"])

    def forget_history(self, name):
        """The newest record of each key stays."""
        log = self.topic(name)
        log["first"] += len(log["records"])
        log["records"] = []

    async def handle(self, method, target, headers, body, writer):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "down":
            writer.write(answer(503))
            return True
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        name = args.get("topic", "")
        if path == "/log-newest":
            writer.write(answer(200, json.dumps(self.newest(name, args.get("after"))).encode()))
        elif path == "/log-append":
            if name in ("keyed.servers", "keyed.op"):
                writer.write(answer(403))
                return True
            at = self.end(name)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]].decode()
                self.put(name, key, record[1 + record[0]:])
            writer.write(answer(200, json.dumps({"offset": at, "end": self.end(name)}).encode()))
        elif path == "/log-read":
            await self.read(name, int(args["source"]), int(args.get("wait_ms", 0)), writer)
        else:
            writer.write(answer(404))
        return True

    def newest(self, name, after):
        found = sorted(self.topic(name)["newest"].items())
        if after is not None:
            found = [item for item in found if item[0] > after]
        page = found[:self.page]
        items = [{"private_key": key, "value": base64.b64encode(value).decode(), "offset": at}
                 for key, (value, at) in page]
        return {"items": items, "more": len(found) > len(page), "end": self.end(name)}

    async def read(self, name, source, wait_ms, writer):
        until = time.monotonic() + wait_ms / 1000
        while self.end(name) <= source and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                break
        log = self.topic(name)
        if source < log["first"]:
            writer.write(answer(410, json.dumps({"first": log["first"]}).encode()))
            return
        data = struct.pack(">QQ", self.end(name), log["first"])
        for key, value in log["records"][source - log["first"]:]:
            record = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(record)) + record
        writer.write(answer(200, data))


# --- Replicas -----------------------------------------------------------------------------------

class Replica(Server):
    """A replica of a service.  `answer_run` decides what a request that runs gets."""

    def __init__(self, bed, address, identity, service, zone, slots=8, version="v1"):
        super().__init__(address)
        self.bed = bed
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.sequence = 0
        self.writes_entry = True
        self.advertised = address  # the address in its entry

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.advertised, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence}).encode()

    def announce(self):
        self.bed.store.put("keyed.servers", self.identity, self.entry())

    def head(self, attempt):
        head = {"X-Attempt-Id": attempt, "X-Replica-Signature": f"{self.identity}.sig"}
        if self.state == "draining":
            head["Connection"] = "close"
            head["Server-Leaving"] = "1"
        return head

    async def handle(self, method, target, headers, body, writer):
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(answer(status, headers={"X-Replica-Id": self.identity}))
            return True
        expected = headers.get("x-expect-replica")
        attempt = headers.get("x-attempt-id", "")
        if expected and expected != self.identity:
            writer.write(answer(421, headers={"X-Attempt-Id": attempt, "X-Not-Executed": "1"}))
            return True
        self.bed.record("arrived", replica=self.identity, attempt=attempt, target=target)
        return await self.answer_run(method, target, headers, body, writer)

    async def answer_run(self, method, target, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        self.bed.record("run", replica=self.identity, attempt=attempt)
        await asyncio.sleep(0.02)
        writer.write(answer(200, b"answer to " + attempt.encode(), self.head(attempt)))
        return True


# --- The deployment -----------------------------------------------------------------------------

class Bed:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="cypressford-review-"))
        self.block = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.next_ip = 1
        self.began = time.monotonic()
        self.lines = open(self.folder / "record.txt", "w")
        self.store = Store(f"{self.ip()}:8624")
        self.replicas = []
        self.daemons = {}
        self.tasks = []
        self.version = 0
        program = ROOT / deploy_command()[0]
        if not program.exists():
            raise CannotRun(f"{deploy_command()[0]} is not built")

    def ip(self):
        self.next_ip += 1
        return f"{self.block}.{self.next_ip}"

    def record(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.write(f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
        self.lines.flush()

    def say(self, text):
        print(text, flush=True)
        self.record("note", text=text)

    def configure(self, routes, services, **more):
        """Writes the next version of the configuration, as the operator does."""
        self.version += 3
        configuration = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536,
                       "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
            "tenants": [{"name": "tenant", "api_keys": [KEY], "priority": 1}], **more}
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        self.record("configured", version=self.version)

    async def start_store(self):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.write_entries()))

    async def write_entries(self):
        while True:
            await asyncio.sleep(1.0)
            for replica in self.replicas:
                if replica.writes_entry and self.store.mode == "up":
                    replica.announce()

    async def add(self, replica):
        await replica.start()
        self.replicas.append(replica)
        replica.announce()
        return replica

    def settings_fields(self, node):
        daemon = self.daemons[node]
        ip = daemon["ip"]
        zones = sorted({d["zone"] for d in self.daemons.values()})
        return {
            "node_name": node, "role": "daemon", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": daemon["zone"], "region": "r",
            "zones": {zone: "r" for zone in zones},
            "listen": {"front_http": f"{ip}:8625", "ready": f"{ip}:8621",
                       "control_plane": f"{ip}:8628"},
            "internal_ports": [7740, 7755],
            "seeds": [f"{d['ip']}:8628" for d in list(self.daemons.values())[:3]],
            "bootstrap": True, "fault_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform", "stages"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": daemon.get("store", self.store.address), "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0,
                         "part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000}}

    def plan_daemons(self, zones):
        """zones: name of a machine -> zone."""
        for node, zone in zones.items():
            self.daemons[node] = {"ip": self.ip(), "zone": zone}

    def launch(self, node):
        daemon = self.daemons[node]
        path = self.dir / f"{node}.yaml"
        template = (ROOT / "deploy" / "settings.yaml").read_text()
        path.write_text(render(template, self.settings_fields(node)))
        log = open(self.dir / f"{node}.log", "ab")
        command = deploy_command()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["CYPRESSFORD_SETTINGS"] = str(path)
        daemon["process"] = subprocess.Popen(
            [str(ROOT / command[0])] + command[1:], cwd=ROOT, stdout=log, stderr=log,
            env=environment)
        daemon["front"] = f"{daemon['ip']}:8625"
        self.record("started", node=node, pid=daemon["process"].pid)

    async def ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(self.daemons[node]["ip"], 8621)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200" in first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, *nodes, seconds=20):
        until = time.monotonic() + seconds
        for node in nodes:
            while not await self.ready(node):
                if time.monotonic() > until:
                    raise CannotRun(f"{node} does not become ready")
                await asyncio.sleep(0.05)

    def signal(self, node, number):
        self.record("signal", node=node, number=signal.Signals(number).name)
        self.daemons[node]["process"].send_signal(number)

    def running(self, node):
        return self.daemons[node]["process"].poll() is None

    def stop(self):
        for daemon in self.daemons.values():
            process = daemon.get("process")
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process:
                process.wait()
        for task in self.tasks:
            task.cancel()
        for server in [self.store, *self.replicas]:
            server.stop()
        if os.environ.get("KEEP"):
            print("logs:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)
        self.lines.close()


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 8000, "target_latency_ms": 1000, "priority": 1, "service": service,
            "max_attempts": 3, "anonymous": False, **more}


def request(name, attempt, body=b"", deadline_ms=8000, extra=None, method="POST"):
    fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms, "Api-Key": KEY,
              **(extra or {}), "Content-Length": len(body)}
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"{method} /{name}/{attempt} HTTP/1.1\r\n{head}\r\n".encode() + body


async def read_answer(reader):
    """Returns status, headers, body and whether the answer is whole."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return status, headers, await reader.readexactly(size), True
        except asyncio.IncompleteReadError as part:
            return status, headers, part.partial, False
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError):
                return status, headers, body, False
            if size == 0:
                return status, headers, body, True
            body += chunk[:-2]
    try:
        return status, headers, await reader.read(-1), True
    except ConnectionError:
        return status, headers, body, False


async def call(bed, node, name, attempt, seconds=10, **more):
    """One client attempt on a new connection; returns status, headers, body, whole.  Status 0
    means that the connection ended without a head."""
    ip, port = bed.daemons[node]["front"].split(":")
    bed.record("sent", node=node, route=name, attempt=attempt)
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        writer.write(request(name, attempt, **more))
        result = await asyncio.wait_for(read_answer(reader), seconds)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        bed.record("answered", attempt=attempt, status=0, error=type(error).__name__)
        return 0, {}, b"", False
    finally:
        if writer:
            writer.close()
    bed.record("answered", attempt=attempt, status=result[0], bytes=len(result[2]),
               whole=result[3])
    return result


def main(case, folder, limit_s=110):
    """Runs `case(bed)`, which returns HELD or BROKEN, and ends with its result."""
    async def run():
        bed = Bed(folder)
        try:
            return await asyncio.wait_for(case(bed), limit_s)
        finally:
            bed.stop()
    try:
        result = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"could not run: {error!r}")
        result = UNABLE
    print({HELD: "held", BROKEN: "broken", UNABLE: "could not run"}[result])
    sys.exit(result)
