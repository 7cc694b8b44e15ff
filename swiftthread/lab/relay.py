"""Three baselines that run in a node's place.

One try, exponential backoff with jitter, an AIMD concurrency limit.

They are told and spoken to like a node, hold events in memory alone and keep of the rules what their strategy
keeps. They are there to be compared with, never to be run.
"""

import asyncio
import json
import os
import random
import signal
import time
from collections import defaultdict

from swiftthread.lab.emulator import Talk, answer_bytes
from swiftthread.lab.load import Line

PATIENCE_MS = 1500.0  # of a call: a few usual latencies, and no more than the rest of the max age
BACKOFF_MS, MOST_BACKOFF_MS = 100.0, 3000.0  # first and longest pause; full jitter between 0 and it
LIST_S = 1.0  # between two looks at discovery
START_LIMIT, CUT = 10.0, 0.5  # AIMD: calls out at a destination at first; what a failure leaves of the limit
ANSWERED = {429: False, 503: False, 400: False, 410: False, 413: False, 504: False}  # status -> may have run


def wall():
    return time.time() * 1000.0


class Event:
    """What a client handed in, and what its sends came to."""

    def __init__(self, headers, target, body, profiles):
        self.ident, self.key, self.body = headers["x-txn"], headers.get("idempotency-key", ""), body
        self.stream = profiles[target.lstrip("/").partition("/")[0]]
        self.subject = target.lstrip("/").partition("/")[2]
        self.dest = int(headers["x-route-to"].partition("dest=")[2])
        self.ends_at = wall() + float(headers["x-remaining"].rstrip("m"))
        self.sends, self.maybe = 0, None  # maybe: (moment, zone) of the first send that may have run

    def left(self):
        return self.ends_at - wall()

    def may_repeat(self):
        """Whether another send, or handing it back, can do no harm."""
        if self.maybe is None or self.stream["Effect"] == "retryable":
            return True
        window = 1000.0 * self.stream.get("Window", 0.0)
        return (
            self.stream["Effect"] == "dedup"
            and self.stream["Group"] == "all"
            and wall() < self.maybe[0] + window - 50.0
        )


class Door(Talk):
    def __init__(self, relay):
        self.relay = relay

    def request(self, method, began):
        if method == "GET":
            self.transport.write(answer_bytes(200))
            return
        status, event = self.relay.take(self.headers, self.target, bytes(self.body))
        self.transport.write(answer_bytes(status))
        if event is not None:
            self.relay.begin(event)


class Relay:
    """One try for each event. Others are made of it by `strategy`."""

    def __init__(self, conf, seed):
        self.conf, self.rng = conf, random.Random(seed)
        settings = conf["settings"]
        self.profiles = {row["Name"]: row for row in settings["Profiles"]}
        self.most_sends, self.room = settings["Permissions"]["TryLimit"], settings["Permissions"]["MaxOpen"]
        self.dests, self.idle, self.jobs = defaultdict(list), defaultdict(list), set()
        self.held, self.turn = {}, defaultdict(int)
        self.learn(conf["known"])

    def learn(self, page):
        self.dests.clear()
        for row in page["servers"]:
            if row["state"] == "SERVING":
                host, _, port = row["addr"].rpartition(":")
                self.dests[row["cell"]].append((row["id"], row["zone"], host, int(port)))

    def spawn(self, job):
        task = asyncio.ensure_future(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    def take(self, headers, target, body):
        try:
            event = Event(headers, target, body, self.profiles)
        except (KeyError, ValueError):
            return 400, None
        if event.ident in self.held:
            return 202, None
        if len(self.held) >= self.room:
            return 503, None
        self.held[event.ident] = event
        return 202, event

    def begin(self, event):
        self.spawn(self._life(event))

    async def _life(self, event):
        outcome = await self.strategy(event)
        self.held.pop(event.ident, None)
        if outcome:
            await self.tell({"message": event.ident, "outcome": outcome})

    def end(self, event):
        """How an event that is given up is answered."""
        return "handed_back" if event.may_repeat() else "given_up"

    async def strategy(self, event):
        status, _ = await self.send(event)
        return None if status == 200 else self.end(event)

    def pick(self, event):
        rows = self.dests.get(event.dest)
        if not rows:
            return None
        self.turn[event.dest] += 1
        return rows[self.turn[event.dest] % len(rows)]

    async def send(self, event):
        """(status, told wait ms) of one send; 0: it may have run, -1: it reached nobody."""
        place = self.pick(event)
        if place is None:
            return -1, 0.0
        event.sends += 1
        begun = wall()
        status, headers = await self.call(event, place)
        if status > 0 and not ANSWERED.get(status, True) or status in (-1, 200):
            return status, 1000.0 * float((headers or {}).get("retry-after", 0))
        event.maybe = event.maybe or (begun, place[1])
        return status, 0.0

    async def call(self, event, place):
        line, idle = None, self.idle[place]
        try:
            async with asyncio.timeout(max(1.0, min(PATIENCE_MS, event.left())) / 1000.0):
                while line is None or line.transport.is_closing():
                    line = idle.pop() if idle else await self.connect(place)
                key = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
                status, headers = await line.ask(
                    f"POST /receive HTTP/1.1\r\nHost: endpoint\r\nX-Txn: {event.ident}\r\n{key}"
                    f"Content-Length: {len(event.body)}\r\n\r\n".encode()
                    + event.body
                )
            return status, headers
        except TimeoutError:
            if line is None:
                return -1, None
            line.drop()
            return 0, None
        except OSError:
            return -1, None

    async def connect(self, place):
        _, line = await asyncio.get_running_loop().create_connection(
            lambda: Line(self.idle[place]), *place[2:]
        )
        return line

    async def ask_platform(self, data):
        host, _, port = self.conf["discovery"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return await reader.readexactly(length)
        finally:
            writer.close()

    async def tell(self, row):
        body = json.dumps(row).encode()
        for _ in range(5):
            try:
                await self.ask_platform(
                    b"POST /status HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                return
            except (OSError, EOFError):
                await asyncio.sleep(0.1)

    async def follow(self):
        while True:
            try:
                async with asyncio.timeout(LIST_S):
                    self.learn(
                        json.loads(
                            await self.ask_platform(b"GET /catalog/members HTTP/1.1\r\nHost: p\r\n\r\n")
                        )
                    )
            except (OSError, EOFError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(LIST_S)

    async def serve(self):
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        host, _, port = self.conf["listen"].rpartition(":")
        server = await loop.create_server(lambda: Door(self), host, int(port), backlog=1024)
        self.spawn(self.follow())
        await ended.wait()
        server.close()


class Backoff(Relay):
    """Fixed retry with exponential backoff and full jitter.

    A told wait lengthens the pause of the event told.
    """

    async def strategy(self, event):
        pause = BACKOFF_MS
        while event.sends < self.most_sends and event.left() > 20.0:
            status, wait = await self.send(event)
            if status == 200:
                return None
            rest = max(wait, self.rng.uniform(0.0, pause))
            pause = min(2.0 * pause, MOST_BACKOFF_MS)
            if not event.may_repeat() or rest > event.left() - 20.0:
                break
            await asyncio.sleep(rest / 1000.0)
            if not event.may_repeat():
                break
        return self.end(event)


class Aimd(Relay):
    """A concurrency limit for each destination.

    One more by a limit's worth of acks, half at a refusal or a fault.
    """

    def __init__(self, conf, seed):
        super().__init__(conf, seed)
        self.limit, self.out = defaultdict(lambda: START_LIMIT), defaultdict(int)
        self.rooms = defaultdict(asyncio.Event)

    async def strategy(self, event):
        dest = event.dest
        while event.sends < self.most_sends and event.left() > 20.0 and event.may_repeat():
            while self.out[dest] >= self.limit[dest]:
                self.rooms[dest].clear()
                try:
                    async with asyncio.timeout(max(0.0, event.left() - 20.0) / 1000.0):
                        await self.rooms[dest].wait()
                except TimeoutError:
                    return self.end(event)
            if not event.may_repeat():
                break
            self.out[dest] += 1
            status, wait = await self.send(event)
            self.out[dest] -= 1
            self.limit[dest] = (
                self.limit[dest] + 1.0 / self.limit[dest]
                if status == 200
                else max(1.0, self.limit[dest] * CUT)
            )
            self.rooms[dest].set()
            if status == 200:
                return None
            if not event.may_repeat() or wait > event.left() - 20.0:
                break
            await asyncio.sleep(max(wait, self.rng.uniform(0.0, BACKOFF_MS)) / 1000.0)
        return self.end(event)


KINDS = {"once": Relay, "backoff": Backoff, "aimd": Aimd}


def main(kind):
    with open(os.environ["LB_CONFIG"], encoding="utf-8") as source:
        conf = json.load(source)
    asyncio.run(kind(conf, conf["seed"]).serve())
