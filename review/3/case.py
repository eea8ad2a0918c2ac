"""Replicas of a service with resumable streams turn slow, one at a time.

Each event that a client gets must be one whole event of one run: its id, and the data that
the replica made for this request and this id.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import TROUBLE, CannotRun, Replica, loopback_ip, message, run

HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
REPLICAS = 7  # one slow replica is a share of 0.143
SLOW_X = 5  # work takes so many times as long
SLOW_FOR_S = 6.5
TIMES = 3  # how often the disruption comes, each time at another replica
PAUSE_S = 2.0  # between two of them
CALM_S = 8.0  # before the first
EVENTS = 8
TOKENS = 5  # of one event
TOKEN_S = 0.020


def configuration(version):
    route = {"name": "r-notes", "host": HOST, "path_prefix": "/notes/", "kind": "streaming",
             "timeout_ms": 8000, "target_latency_ms": 1600, "priority": 1,
             "service": "notes", "max_attempts": 2, "stages": [], "anonymous": False,
             "session_affinity": False, "stream_resume": True, "itl_target_ms": 400}
    return {"version": version, "routes": [route],
            "services": [{"name": "notes", "health_path": "/healthz",
                          "max_connections": 370, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}]}


def tokens_of(attempt, number):
    return [f" {attempt}/{number}.{token}" for token in range(TOKENS)]


def event_of(attempt, number):
    return f"id: {number}\ndata:{''.join(tokens_of(attempt, number))}\n\n"


class Notes(Replica):
    """Streams its events token by token, as they are made; several tokens are one event."""

    def __init__(self, *args):
        super().__init__(*args)
        self.x = 1

    async def handle(self, method, target, headers, body, writer):
        if self.is_other(headers, writer):
            return True
        attempt = headers.get("x-attempt-id")
        if attempt is None:
            writer.write(message(400, headers={"X-Not-Executed": "1"}))
            return True
        after = int(headers.get("last-event-id", "0"))
        self.record(f"{self.id} begins {attempt} after event {after}")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Transfer-Encoding: chunked\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Replica-Signature: sig-{self.id}\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            await self.send(writer, f"id: {number}\ndata:")
            for token in tokens_of(attempt, number):
                await asyncio.sleep(TOKEN_S * self.x)
                await self.send(writer, token)
            await self.send(writer, "\n\n")
        writer.write(b"0\r\n\r\n")
        self.record(f"{self.id} ends {attempt}")
        return True

    async def send(self, writer, text):
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
        await writer.drain()


class Client:
    def __init__(self, address, record):
        self.address, self.record = address, record
        self.streams = {}  # attempt -> (status, text, complete)

    async def stream(self, attempt):
        ip, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write((f"POST /notes/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Deadline-Ms: 8000\r\nApi-Key: {KEY}\r\n"
                      f"Content-Length: 4\r\n\r\nnote").encode())
        status, text, complete = 0, b"", False
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 9)
            status = int(head.split(b" ")[1])
            while status == 200:
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), 9), 16)
                text += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    complete = True
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        self.streams[attempt] = (status, text.decode(), complete)
        self.record(f"{attempt}: {status}, {len(text)} bytes, complete {complete}")

    async def press(self, until):
        tasks = []
        while time.monotonic() < until:
            attempt = f"n{id(self) % 997:03d}{len(tasks):05d}"
            tasks.append(asyncio.create_task(self.stream(attempt)))
            await asyncio.sleep(0.06)
        await asyncio.gather(*tasks)


def check(attempt, status, text, complete):
    """What is wrong with the answer to one request; empty if nothing is."""
    if status != 200:
        return ""
    events = text.split("\n\n")
    if events.pop():
        return "ends within an event" if complete else ""
    for number, event in enumerate(events, 1):
        if event + "\n\n" != event_of(attempt, number):
            return f"event {number} is {event!r}, its replicas made " \
                   f"{event_of(attempt, number)!r}"
    return "complete without its last events" if complete and len(events) < EVENTS else ""


async def case(fixture):
    record = fixture.record
    replicas = [Notes(loopback_ip(), f"i-notes{n}", "notes", "riga-a", 64, record)
                for n in range(REPLICAS)]
    await fixture.start(configuration(7), replicas, zones=("riga-a",))
    client = Client(fixture.daemons[0].front, record)
    end = time.monotonic() + CALM_S + TIMES * (SLOW_FOR_S + PAUSE_S)
    traffic = asyncio.create_task(client.press(end))
    await asyncio.sleep(CALM_S)
    for slow in replicas[:TIMES]:
        if TROUBLE:
            slow.x = SLOW_X
            record(f"{slow.id} turns slow, x = {SLOW_X}")
        await asyncio.sleep(SLOW_FOR_S)
        slow.x = 1
        record(f"{slow.id} is as before")
        await asyncio.sleep(PAUSE_S)
    await traffic
    served = sum(1 for _, _, complete in client.streams.values() if complete)
    if served < 50:
        raise CannotRun(f"only {served} streams were served")
    found = ((attempt, check(attempt, *stream)) for attempt, stream in client.streams.items())
    return [f"{attempt}: {wrong}" for attempt, wrong in found if wrong]


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
