"""An operator takes away the only keys of a deployment's tenant.

Traffic goes on from connected clients while the keys are taken away one after the other.
After the bound of configuration, no request may run with a key that was taken away, nor
with a key that no configuration ever held, nor without a key.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import BOUNDS, TROUBLE, CannotRun, Replica, loopback_ip, message, read_message, run

HOST = "jepu9.example"
TENANT = "bozi300"
KEYS = ["9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"]
FOREIGN_KEY = "zzzzzzzzzzzzzzzzzzzz"  # held by no configuration
GAP_S = 1.5  # between two keys that are taken away
SLACK_S = 0.5  # beyond the bound of configuration, for the clients' own delays


def configuration(version, keys):
    route = {"name": "r-scan", "host": HOST, "path_prefix": "/scan/", "kind": "unsafe",
             "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
             "service": "trace", "max_attempts": 1, "stages": [], "anonymous": False,
             "session_affinity": False, "stream_resume": False}
    return {"version": version, "routes": [route],
            "services": [{"name": "trace", "health_path": "/healthz",
                          "max_connections": 110, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": keys, "priority": 1}]}


class Scanner(Replica):
    """A replica of the plain service; keeps the ids and tenants of what it ran."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs = {}

    async def handle(self, method, target, headers, body, writer):
        if self.is_other(headers, writer):
            return True
        attempt = headers.get("x-attempt-id")
        if attempt is None:
            writer.write(message(400, headers={"X-Not-Executed": "1"}))
            return True
        self.runs[attempt] = headers.get("x-tenant")
        self.record(f"{self.id} runs {attempt}, X-Tenant {headers.get('x-tenant')}")
        await asyncio.sleep(0.06)
        writer.write(message(200, b"scanned", {
            "X-Attempt-Id": attempt, "X-Replica-Signature": f"sig-{self.id}"}))
        return True


class Client:
    """Sends requests with one key over a kept connection, and opens a new one when the
    daemon closes it."""

    def __init__(self, name, key, address, record):
        self.name, self.key, self.address, self.record = name, key, address, record
        self.sent = {}  # attempt -> (time, status)
        self.connection = None

    async def send(self):
        attempt = f"{self.name}-{len(self.sent):04d}"
        key = f"Api-Key: {self.key}\r\n" if self.key else ""
        if not self.connection:
            ip, port = self.address.split(":")
            self.connection = await asyncio.open_connection(ip, int(port))
        reader, writer = self.connection
        at = time.monotonic()
        writer.write((f"POST /scan/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Deadline-Ms: 3000\r\n{key}Content-Length: 4\r\n\r\n").encode()
                     + b"code")
        status = 0
        try:
            first, headers, _ = await asyncio.wait_for(read_message(reader), 4)
            status = int(first.split(" ")[1])
            if headers.get("connection", "").lower() == "close":
                raise ConnectionError
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            writer.close()
            self.connection = None
        self.sent[attempt] = (at, status)
        self.record(f"{attempt} sent at front {self.address}, key {self.key}: {status}")

    async def press(self, until):
        while time.monotonic() < until:
            await self.send()
            await asyncio.sleep(0.1)


async def case(fixture):
    record = fixture.record
    replicas = [Scanner(loopback_ip(), f"i-trace{n}", "trace", "riga-a", 6, record)
                for n in range(2)]
    await fixture.start(configuration(7, KEYS), replicas, zones=("riga-a", "riga-b"))
    fronts = [daemon.front for daemon in fixture.daemons]
    clients = [Client(f"{who}{n}", key, front, record)
               for n, front in enumerate(fronts)
               for who, key in (("first", KEYS[0]), ("second", KEYS[1]),
                                ("foreign", FOREIGN_KEY), ("keyless", None))]
    bound_s = BOUNDS["config_apply_ms"] / 1000 + SLACK_S
    end = time.monotonic() + 2 + 2 * GAP_S + bound_s + 3
    traffic = [asyncio.create_task(client.press(end)) for client in clients]
    # From when on no request with the key may run; None: the key is held.
    barred = {KEYS[0]: None, KEYS[1]: None, FOREIGN_KEY: 0, None: 0}
    await asyncio.sleep(2)
    if TROUBLE:
        for version, key, left in ((9, KEYS[0], KEYS[1:]), (12, KEYS[1], [])):
            await fixture.configure(configuration(version, left))
            barred[key] = time.monotonic() + bound_s
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*traffic)

    ran = {attempt: tenant for replica in replicas for attempt, tenant in replica.runs.items()}
    violations, served = [], 0
    for client in clients:
        since = barred[client.key]
        for attempt, (at, status) in client.sent.items():
            served += status == 200
            if since is not None and at > since and attempt in ran:
                violations.append(f"{attempt} ran with key {client.key}, X-Tenant "
                                  f"{ran[attempt]}, answered {status}")
    if served < 20:
        raise CannotRun(f"only {served} requests were served")
    return violations


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
