"""Real daemons on loopback addresses, with stand-ins for the platform's store and replicas.

The daemon is started with the command of deploy/system.toml.  Its settings are
deploy/settings.yaml, filled in with the example fields of DEPLOY.md.
"""

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
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
             "tenants", "platform", "stages"]
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58,
          "recovery_s": 12, "pass_ms": 120, "retry_after_s": 10}
HEARTBEAT_MS = 1200
ZONES = {"riga-a": "riga", "riga-b": "riga", "riga-c": "riga"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


# ------------------------------------------------------------------ addresses

def loopback_ip():
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


# ------------------------------------------------------------------- messages

async def read_message(reader):
    """First line, headers with lower-case names, and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    return first, headers, body


def message(status, body=b"", headers=None):
    reason = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request",
              410: "Gone", 400: "Bad Request", 409: "Conflict"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server: one request at a time on each connection."""

    def __init__(self, ip):
        self.ip = ip
        self.address = None
        self.server = None

    async def start(self):
        port = free_port(self.ip)
        self.address = f"{self.ip}:{port}"
        self.server = await asyncio.start_server(self.serve, self.ip, port)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if not await self.handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if not asyncio.get_event_loop().is_closed():
                writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


# ---------------------------------------------------------------------- store

class Store(Server):
    """The platform's store: keyed topics with one partition, as PROTOCOL.md has them."""

    def __init__(self, ip):
        super().__init__(ip)
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends a record; returns when the store has taken it."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(records) - 1

    def newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            newest[key] = (value, offset)
        return {key: entry for key, entry in newest.items() if entry[0]}

    async def handle(self, method, target, headers, body, writer):
        url = urllib.parse.urlsplit(target)
        args = dict(urllib.parse.parse_qsl(url.query))
        topic = args.get("topic", "")
        await asyncio.sleep(0.004)  # an answer of the store takes 4 ms
        if url.path == "/log-newest":
            items = [{"private_key": key, "value": base64.b64encode(value).decode(),
                      "offset": offset}
                     for key, (value, offset) in sorted(self.newest(topic).items())
                     if key > args.get("after", "")]
            page = {"items": items, "more": False, "end": len(self.topics.get(topic, []))}
            writer.write(message(200, json.dumps(page).encode()))
        elif url.path == "/log-append":
            offset = None
            while body:
                length = struct.unpack(">I", body[:4])[0]
                entry, body = body[4:4 + length], body[4 + length:]
                at = await self.put(topic, entry[1:1 + entry[0]].decode(),
                                    entry[1 + entry[0]:])
                offset = at if offset is None else offset
            end = len(self.topics.get(topic, []))
            writer.write(message(200, json.dumps({"offset": offset, "end": end}).encode()))
        elif url.path == "/log-read":
            await self.read(topic, int(args["source"]), int(args.get("wait_ms", 0)), writer)
        else:
            writer.write(message(400))
        return True

    async def read(self, topic, source, wait_ms, writer):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while len(self.topics.get(topic, [])) <= source:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        records = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[source:]:
            entry = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(entry)) + entry
        writer.write(message(200, data))


# -------------------------------------------------------------------- daemons

def fill(template, fields):
    """Fills the gaps {{a.b}} and {{a|json}} of a template of DEPLOY.md."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        entry = fields
        for name in path.split("."):
            entry = entry[int(name)] if isinstance(entry, list) else entry[name]
        if form == "json" or isinstance(entry, (dict, list)):
            return json.dumps(entry)
        return str(entry)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Daemon:
    """One process of the system on an address of its own."""

    def __init__(self, fixture, node, zone):
        self.fixture, self.node, self.zone = fixture, node, zone
        self.ip = loopback_ip()
        while not is_free(self.ip, 9464):
            self.ip = loopback_ip()
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(self.ip))
        self.ports = sorted(ports)
        self.front = f"{self.ip}:{self.ports[0]}"
        self.ready = f"{self.ip}:{self.ports[1]}"
        self.control = f"{self.ip}:{self.ports[2]}"
        self.process = None

    def fields(self):
        return {
            "node_name": self.node, "role": "daemon", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": self.ip, "zone": self.zone,
            "region": "riga", "zones": ZONES,
            "listen": {"front_http": self.front, "ready": self.ready,
                       "control_plane": self.control},
            "internal_ports": [self.ports[3], self.ports[4]],
            "seeds": [d.control for d in self.fixture.daemons][:3],
            "bootstrap": True, "fault_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS, "contracts": CONTRACTS, "bounds": BOUNDS,
            "platform": {"address": self.fixture.store.address, "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000, "parts": 8,
                         "append_ms": 4.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
                         "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300,
                         "part_mb": 200, "ttl_min_ms": 1000}}

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["daemon"]
        settings = self.fixture.dir / f"{self.node}.yaml"
        settings.write_text(fill((ROOT / role["template"]).read_text(), self.fields()))
        log = open(self.fixture.dir / f"{self.node}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CYPRESSFORD_SETTINGS"] = str(settings)
        self.process = subprocess.Popen(role["run"].split(" "), cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.fixture.record(f"daemon {self.node} started, front {self.front}")

    def signal(self, number):
        self.process.send_signal(number)
        self.fixture.record(f"daemon {self.node} got {signal.Signals(number).name}")

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.node} ended with {self.process.returncode}")
            try:
                status, _, _ = await call(self.ready, b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                                                      b"Connection: close\r\n\r\n", 1)
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.node} did not become ready")


async def call(address, data, limit_s):
    """Sends one request on a new connection; returns status, headers and body."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(data)
        first, headers, body = await asyncio.wait_for(read_message(reader), limit_s)
        return int(first.split(" ")[1]), headers, body
    finally:
        writer.close()


class Fixture:
    """Store, replicas and daemons of one run."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.ip = loopback_ip()
        self.store = Store(self.ip)
        self.daemons = []
        self.replicas = []
        self.tasks = []

    async def start(self, configuration, replicas, zones=("riga-a",)):
        if not (ROOT / "target/src/cypressfordd/cypressfordd").exists():
            raise CannotRun("the daemon is not built: run the build of deploy/system.toml")
        await self.store.start()
        await self.configure(configuration)
        for replica in replicas:
            await self.add(replica)
        self.tasks.append(asyncio.create_task(self.beat()))
        self.daemons = [Daemon(self, f"edge-{zone}-{number}", zone)
                        for number, zone in enumerate(zones, 1)]
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(1)

    async def configure(self, configuration):
        await self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        self.record(f"store acknowledged configuration {json.dumps(configuration)}")

    async def add(self, replica):
        await replica.start()
        self.replicas.append(replica)
        await self.store.put("keyed.servers", replica.id, replica.entry())
        self.record(f"replica {replica.id} of {replica.service} at {replica.address}")

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for replica in self.replicas:
                await self.store.put("keyed.servers", replica.id, replica.entry())

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Replica(Server):
    """What all stand-ins for replicas share."""

    def __init__(self, ip, identity, service, zone, slots, record):
        super().__init__(ip)
        self.id, self.service, self.zone, self.slots = identity, service, zone, slots
        self.record = record
        self.sequence = 0

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address,
                           "zone": self.zone, "version": "v1", "slots": self.slots,
                           "state": "ready", "cold_remaining_ms": 0,
                           "sequence": self.sequence}).encode()

    def is_other(self, headers, writer):
        """Answers 421 if another replica is expected."""
        expected = headers.get("x-expect-replica")
        if not expected or expected == self.id:
            return False
        writer.write(message(421, headers={"X-Replica-Id": self.id}))
        return True


async def within(limit_s, fixture, case):
    try:
        return await asyncio.wait_for(case(fixture), limit_s)
    finally:
        # The daemons end first, so that the stand-ins' connections end by themselves.
        fixture.stop()
        await asyncio.sleep(0.1)


def run(case, folder, limit_s=100):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
    `case` returns a list of violations."""
    fixture = Fixture(folder)

    def terminate(*_):
        fixture.stop()
        os._exit(2)

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGINT, terminate)
    try:
        violations = asyncio.run(within(limit_s, fixture, case))
    except Exception as error:  # a fault of the test is no broken rule
        fixture.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        fixture.stop()
    for violation in violations:
        fixture.record(f"broken: {violation}")
    verdict = f"rule broken {len(violations)} times" if violations else "rule held"
    fixture.record(verdict)
    print(verdict)
    return 1 if violations else 0
