# Copyright (c) 2026 The cypressford authors.
# SPDX-License-Identifier: Apache-2.0

"""A machine that has been partitioned from all replicas is served through another one. The next
partition resets connections to replicas in the middle of answers that have neither a length nor
chunks. Does the client get a part of an answer as a complete success?"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from bed import BROKEN, HELD, TROUBLE, CannotRun, Replica, Server, call, main, read_answer, reset, route

PARTS = 8
PART_S = 0.02
ROUNDS = 3
NAMES = ("safe", "unsafe", "stream")
PARTITION_S = 1.0
MACHINES = 9
SERVED = "cypressford_served_tunnels"


class Link(Server):
    """The network between the machines and one replica."""

    def __init__(self, bed, address, target):
        super().__init__(address)
        self.bed = bed
        self.target = target

    def cut(self):
        """Open connections are reset, and new ones are refused."""
        self.stop()

    async def serve(self, reader, writer):
        ip, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            reset(writer)
            return
        self.open.update((writer, far_writer))
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        self.open.difference_update((writer, far_writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)


class UnframedReplica(Replica):
    """Its answers have neither a length nor chunks and end with their connection."""

    async def answer_run(self, method, target, headers, body, writer):
        attempt = headers["x-attempt-id"]
        self.bed.record("run", replica=self.identity, attempt=attempt)
        kind = "text/event-stream" if target.startswith("/stream/") else "text/plain"
        head = {"Content-Type": kind, **self.head(attempt)}
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(b"HTTP/1.1 200 OK\r\n" + lines.encode() + b"\r\n")
        for number in range(1, PARTS + 1):
            writer.write(part(attempt, number))
            await writer.drain()
            await asyncio.sleep(PART_S)
        self.bed.record("answered_whole", replica=self.identity, attempt=attempt)
        return False


def part(attempt, number):
    return f"id: {number}\ndata: {attempt} part {number} of {PARTS}\n\n".encode()


def whole(attempt):
    return b"".join(part(attempt, number) for number in range(1, PARTS + 1))


async def later(seconds, awaitable):
    await asyncio.sleep(seconds)
    return await awaitable


async def served_tunnels(bed, node):
    reader, writer = await asyncio.open_connection(bed.daemons[node]["ip"], 9464)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    _, _, body, _ = await read_answer(reader)
    writer.close()
    lines = [line for line in body.decode().splitlines() if line.startswith(SERVED)]
    return sum(float(line.split()[-1]) for line in lines)


async def case(bed):
    await bed.start_store()
    bed.configure([route("safe", "safe", "plain"),
                   route("unsafe", "unsafe", "plain", max_attempts=1),
                   route("stream", "streaming", "plain", max_attempts=1)], [{"name": "plain"}])
    links = []
    for number in range(4):
        replica = UnframedReplica(bed, f"{bed.ip()}:8080", f"i-{number}", "plain", "ab"[number % 2])
        await replica.start()
        links.append(Link(bed, f"{bed.ip()}:8080", replica.address))
        await links[-1].start()
        replica.advertised = links[-1].address
        bed.replicas.append(replica)
        replica.announce()
    bed.plan_daemons({f"edge-{number}": "a" for number in range(1, MACHINES + 1)})
    for node in bed.daemons:
        bed.launch(node)
    await bed.wait_ready(*bed.daemons)
    await asyncio.sleep(1)
    count = 0

    async def ask(name):
        nonlocal count
        count += 1
        attempt = f"a{count:04d}"
        status, headers, body, complete = await call(bed, "edge-1", name, attempt, deadline_ms=3000)
        success = 200 <= status < 300 and complete
        if success and body != whole(attempt):
            bed.say(f"{attempt} ({name}): status {status}, complete, signature "
                    f"{headers.get('x-replica-signature')}, {len(body)} of "
                    f"{len(whole(attempt))} bytes")
            return "cut"
        return "served" if success else "failed"

    for name in NAMES:
        if await ask(name) != "served":
            raise CannotRun("not served before the disruption")
    async def partition(seconds):
        bed.record("partition_begins")
        for link in links:
            link.cut()
        await asyncio.sleep(seconds)
        bed.record("partition_ends")
        for link in links:
            await link.start()

    async def answers_under_way(trouble, after_partition=True):
        """Outcomes of requests in the middle of whose answers `trouble` begins."""
        if TROUBLE and after_partition:
            # One request meets the partition, so that the machine notices it.
            met = asyncio.create_task(later(0.1, ask("unsafe")))
            await partition(PARTITION_S)
            await met
        # The first one finds the machine cut off and goes through another one.
        turn = len(taken) % len(NAMES)
        taken.append(turn)
        asked = [asyncio.create_task(ask(name)) for name in NAMES[turn:] + NAMES[:turn]]
        await asyncio.sleep(PARTS * PART_S / 2)
        if TROUBLE:
            await trouble()
        ends = await asyncio.gather(*asked)
        # A direct connection ends the machine's view that it is cut off.
        await asyncio.sleep(0.5)
        for name in NAMES:
            await ask(name)
        return ends

    async def next_partition():
        await partition(PARTITION_S)

    async def kill_machines_between():
        """Kills the machines that forward the bytes of others."""
        forwarding = [node for node in bed.daemons if await served_tunnels(bed, node) > 0]
        for node in forwarding:
            bed.signal(node, signal.SIGKILL)
        for node in forwarding:
            bed.daemons[node]["process"].wait()
            bed.launch(node)
        await bed.wait_ready(*forwarding)
        await asyncio.sleep(1.5)

    direct, reset, killed, taken = [], [], [], []
    for _ in range(ROUNDS):
        direct += await answers_under_way(next_partition, after_partition=False)
    for _ in range(ROUNDS):
        reset += await answers_under_way(next_partition)
    for _ in range(ROUNDS):
        killed += await answers_under_way(kill_machines_between)
    bed.say(f"partition in the middle, answers on direct connections: {direct}")
    bed.say(f"partition in the middle, answers through other machines: {reset}")
    bed.say(f"machines between killed in the middle: {killed}")
    results = direct + reset + killed
    if not TROUBLE and set(results) != {"served"}:
        raise CannotRun("not served without a disruption")
    return BROKEN if "cut" in results else HELD


main(case, FOLDER)
