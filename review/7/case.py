# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""All machines are stopped and started again in turn, as for an upgrade. Clients whose streams a stop
ends take them up again at machines that are in touch, where all replicas have one software version
and none of them ended. Do the streams go on?"""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from bed import (BOUNDS, BROKEN, HELD, TROUBLE, CannotRun, Replica, main, read_head, request, route)

MACHINES = 4
REPLICAS = 4
RATE = 6.0  # new streams a second
EVENTS, EVENT_S = 70, 0.15
DEADLINE_MS, TARGET_MS = 12000, 1400  # as status-explain
RESTART_S = 0.5
GAP_S = 2.0  # between two SIGTERMs
QUIET_S = 62  # one version is an old one after a minute
LEAVE_S = 8.0  # in the run without a disruption: connections end at this age
PAUSES_S = (0.1, 0.5, 1.0, 1.0, 1.0)  # before the tries of a client whose stream broke off


class Model(Replica):
    """Sends a stream, behind `Last-Event-Id` where the request names one."""

    async def answer_run(self, method, target, headers, body, writer):
        attempt = headers["x-attempt-id"]
        first = int(headers.get("last-event-id") or 0) + 1
        self.bed.record("run", replica=self.identity, attempt=attempt, first=first)
        head = {"Content-Type": "text/event-stream", **self.head(attempt),
                "Transfer-Encoding": "chunked"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(b"HTTP/1.1 200 OK\r\n" + lines.encode() + b"\r\n")
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True


class Client:
    """Reads one stream over as many tries as it takes."""

    def __init__(self, bed, name, node, deadline):
        self.bed, self.name, self.node, self.deadline = bed, name, node, deadline
        self.loop = asyncio.get_running_loop()
        self.last = 0  # id of the last event
        self.first_attempt = None  # that brought the first event
        self.is_complete = False
        self.tries = 0
        self.leave = asyncio.Event()  # in the run without a disruption: the connection breaks here
        self.retry_after = 0.0  # seconds, of the last answer
        self.outcomes = []  # of each try that took the stream up: (sent at, machine, went on, status)

    async def attempt(self, node):
        """One try; returns the status, 0 without an answer."""
        self.tries += 1
        attempt = f"{self.name}.{self.tries}"
        sent, before, status = self.loop.time(), self.last, 0
        extra = {"X-Model": "m", "X-Token-Count": "900,350", "X-Prefix-Hash": "aa:800,bb:100"}
        if self.last:
            extra |= {"Last-Event-Id": self.last, "Resumes": self.first_attempt}
        left_ms = int((self.deadline - sent) * 1000)
        self.bed.record("sent", node=node, attempt=attempt, after=self.last)
        writer = None
        try:
            ip, port = self.bed.daemons[node]["front"].split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(request("stream", attempt, deadline_ms=left_ms, extra=extra))
            first, headers = await read_head(reader)
            status = int(first.split(" ")[1])
            self.retry_after = float(headers.get("retry-after", 0)) if status == 503 else 0.0
            if status == 200:
                await self.read(reader, attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        if before:
            self.outcomes.append((sent, node, self.last > before, status))
        self.bed.record("ended", attempt=attempt, status=status, last=self.last)
        return status

    async def read(self, reader, attempt):
        while True:
            if self.leave.is_set():
                self.leave.clear()
                return
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                self.is_complete = True
                return
            for event in chunk[:-2].decode().split("\n\n"):
                if event.startswith("id: "):
                    self.last = int(event.split("\n")[0][4:])
                    self.first_attempt = self.first_attempt or attempt

    async def run(self):
        await self.attempt(self.node)
        for pause in PAUSES_S:
            left = self.deadline - self.loop.time()
            pause = max(pause, min(self.retry_after, left / 3))
            if self.is_complete or pause > left:
                break
            await asyncio.sleep(pause)
            await self.attempt(random.choice(self.bed.ready_nodes or list(self.bed.daemons)))


async def case(bed):
    random.seed(16)
    bed.ready_nodes = []
    await bed.start_store()
    bed.configure([route("stream", "streaming", "model", session_affinity=True,
                         stream_resume=True, max_attempts=2, timeout_ms=DEADLINE_MS,
                         target_latency_ms=TARGET_MS, itl_target_ms=200)],
                  [{"name": "model", "engine": {"slots": 64, "kv_capacity": 600000}}])
    for number in range(REPLICAS):
        await bed.add(Model(bed, f"{bed.ip()}:8080", f"i-{number}", "model", "ab"[number % 2],
                            slots=64))
    bed.plan_daemons({f"edge-{number}": "ab"[number % 2] for number in range(MACHINES)})
    nodes = list(bed.daemons)
    for node in nodes:
        bed.launch(node)
    await bed.wait_ready(*nodes)
    loop = asyncio.get_running_loop()
    # When each machine was last ready after a start, or is stopping: None.
    since = {node: loop.time() for node in nodes}
    contact_s = BOUNDS["contact_ms"] / 1000
    clients, running = [], []

    def in_touch(node, at):
        return since[node] is not None and at >= since[node] + contact_s + 0.1

    async def watch_ready():
        """The platform asks each machine every second, and takes it out after two misses."""
        misses = {node: 0 for node in nodes}
        while True:
            for node in nodes:
                misses[node] = 0 if await bed.ready(node) else misses[node] + 1
            bed.ready_nodes = [node for node in nodes if misses[node] < 2]
            await asyncio.sleep(1)

    async def arrivals():
        while True:
            client = Client(bed, f"s{len(clients):04d}", random.choice(bed.ready_nodes or nodes),
                            loop.time() + DEADLINE_MS / 1000)
            client.began = (loop.time(), in_touch(client.node, loop.time()))
            clients.append(client)
            running.append(asyncio.create_task(client.run()))
            if not TROUBLE:
                loop.call_later(LEAVE_S, client.leave.set)
            await asyncio.sleep(1 / RATE)

    async def stop_and_start(node):
        since[node] = None
        bed.signal(node, signal.SIGTERM)
        process = bed.daemons[node]["process"]
        until = loop.time() + BOUNDS["grace_s"]
        while process.poll() is None and loop.time() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            bed.signal(node, signal.SIGKILL)
        process.wait()
        bed.record("ended_process", node=node)
        await asyncio.sleep(RESTART_S)
        bed.launch(node)
        await bed.wait_ready(node)
        since[node] = loop.time()

    watch = asyncio.create_task(watch_ready())
    await asyncio.sleep(QUIET_S)
    load = asyncio.create_task(arrivals())
    await asyncio.sleep(4)
    stops = []
    for node in nodes:
        if TROUBLE:
            stops.append(asyncio.create_task(stop_and_start(node)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)
    await asyncio.sleep(5)
    load.cancel()
    await asyncio.gather(*running)
    watch.cancel()
    taken_up, statuses = [], {}
    for client in clients:
        tries = [(went_on, status) for sent, node, went_on, status in client.outcomes
                 if in_touch(node, sent)]
        if tries:
            taken_up.append(any(went_on for went_on, _ in tries))
            for _, status in tries:
                statuses[status] = statuses.get(status, 0) + 1
    fresh = [client.last > 0 for client in clients if client.began[1]]
    share = sum(taken_up) / max(1, len(taken_up))
    began = sum(fresh) / max(1, len(fresh))
    bed.say(f"{len(clients)} streams, {sum(c.is_complete for c in clients)} whole; "
            f"{len(taken_up)} taken up at machines in touch, {sum(taken_up)} went on, answers "
            f"{statuses}; new streams at machines in touch: {len(fresh)}, {sum(fresh)} began")
    if began < 0.5:
        raise CannotRun("new streams do not begin")
    return BROKEN if len(taken_up) >= 12 and share < began / 2 else HELD


main(case, FOLDER, limit_s=118)
