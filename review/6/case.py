# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""All machines are killed at the same moment and start again. Clients take their streams up again at
machines that are in touch, where all replicas have one software version and none of them ended. Do
the streams go on?"""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from bed import (BOUNDS, BROKEN, HELD, TROUBLE, CannotRun, Replica, main, read_head, request, route)

MACHINES = 3
REPLICAS = 4
STREAMS = 24
EVENTS, EVENT_S = 50, 0.15
DEADLINE_MS, TARGET_MS = 12000, 1400  # as status-explain
RESTART_S = 0.5
PAUSES_S = (0.2, 1.0, 2.0, 1.0, 0.8)  # before the tries of a client whose stream broke off
ROUNDS = 1


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
            await self.attempt(random.choice(list(self.bed.daemons)))


async def case(bed):
    random.seed(16)
    await bed.start_store()
    bed.configure([route("stream", "streaming", "model", session_affinity=True,
                         stream_resume=True, max_attempts=2, timeout_ms=DEADLINE_MS,
                         target_latency_ms=TARGET_MS, itl_target_ms=200)],
                  [{"name": "model", "engine": {"slots": 64, "kv_capacity": 600000}}])
    for number in range(REPLICAS):
        await bed.add(Model(bed, f"{bed.ip()}:8080", f"i-{number}", "model", "ab"[number % 2],
                            slots=64))
    bed.plan_daemons({f"edge-{number}": "ab"[number % 2] for number in range(MACHINES)})
    for node in bed.daemons:
        bed.launch(node)
    await bed.wait_ready(*bed.daemons)
    await asyncio.sleep(26)  # longer than twice the deadline: the one version is an old one
    loop = asyncio.get_running_loop()
    contact_s = BOUNDS["contact_ms"] / 1000
    is_broken = False
    for turn in range(ROUNDS):
        nodes = list(bed.daemons)
        clients = [Client(bed, f"r{turn}s{number}", nodes[number % MACHINES],
                          loop.time() + DEADLINE_MS / 1000) for number in range(STREAMS)]
        running = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(1.5)
        if not all(client.last for client in clients):
            raise CannotRun("not all streams began")
        since = loop.time() - contact_s
        if TROUBLE:
            for node in nodes:
                bed.signal(node, signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            for node in nodes:
                bed.daemons[node]["process"].wait()
                bed.launch(node)
            await bed.wait_ready(*nodes)
            since = loop.time()
        else:
            for client in clients:
                client.leave.set()
        await asyncio.sleep(max(0, since + contact_s + 0.2 - loop.time()))
        in_touch_from = since + contact_s + 0.1
        fresh = [Client(bed, f"r{turn}n{number}", nodes[number % MACHINES],
                        loop.time() + DEADLINE_MS / 1000) for number in range(STREAMS)]
        new = [asyncio.create_task(client.attempt(client.node)) for client in fresh]
        await asyncio.gather(*running)
        await asyncio.sleep(1)
        began = sum(1 for client in fresh if client.last) / len(fresh)
        for task in new:
            task.cancel()
        taken_up = [[went_on for sent, _, went_on, _ in client.outcomes if sent >= in_touch_from]
                    for client in clients]
        taken_up = [any(tries) for tries in taken_up if tries]
        share = sum(taken_up) / max(1, len(taken_up))
        statuses = sorted({status for client in clients
                           for sent, _, _, status in client.outcomes if sent >= in_touch_from})
        whole = sum(1 for client in clients if client.is_complete)
        bed.say(f"round {turn}: {len(taken_up)} streams taken up at machines in touch, "
                f"{sum(taken_up)} went on, answers {statuses}; new streams that began: "
                f"{began:.2f}; whole in the end: {whole} of {STREAMS}")
        if began < 0.5:
            raise CannotRun("new streams do not begin")
        is_broken = is_broken or (len(taken_up) >= 12 and share < began / 2)
    return BROKEN if is_broken else HELD


main(case, FOLDER)
