"""The load tool: clients that hand events in, by schedule (open loop) or one after the other (closed loop).

An open loop's arrivals do not wait for answers, and its latency counts from the scheduled moment: a node that
stands still is not spared the events that would have come meanwhile. Several processes each take their part
of one schedule.
"""

import asyncio
import json
import random
import sys
from bisect import bisect
from collections import deque
from itertools import accumulate, count

import httptools
from hdrh.histogram import HdrHistogram

from swiftthread.lab import records
from swiftthread.lab.records import clock

LONGEST_US = 120_000_000  # of the histogram; nothing waits longer than a run
DIGITS = 3  # significant decimal digits it keeps
LAG_EVERY_MS = 10.0  # ms between two looks at the loop's own lag
BACK_MS = 300.0  # ms a client waits that heeds advice and was given none
MOST_BACK_MS = 3000.0  # ms of advice that clients heed
TRIES = 6  # hand-ins of one event, the first counted in


class Event:
    """One event as its client has it, over all its hand-ins."""

    __slots__ = ("origin", "stream", "dest", "key", "subject", "due", "ends_at", "tries")

    def __init__(self, origin, stream, dest, key, subject, due):
        self.origin, self.stream, self.dest, self.key, self.subject, self.due = (
            origin,
            stream,
            dest,
            key,
            subject,
            due,
        )
        self.ends_at, self.tries = due + stream.max_age_ms, 0


def drawer(script, rng):
    """A function that draws (stream type, destination, subject) by the shares and the skew of a script."""
    load, streams = script.load, script.stream
    dests = [(row.number + at, row.share) for row in script.destination for at in range(row.count)]
    by_stream = list(accumulate(stream.share for stream in streams))
    by_dest = list(accumulate(share / (place + 1) ** load.skew for place, (_, share) in enumerate(dests)))

    def draw():
        stream = streams[bisect(by_stream, rng.random() * by_stream[-1])]
        dest = dests[bisect(by_dest, rng.random() * by_dest[-1])][0]
        return stream, dest, f"{dest}-{rng.randrange(load.subjects)}" if stream.in_order else ""

    return draw


def schedule(script, seed):
    """The arrivals of an open loop: (ms from the start, Event) in order.

    Poisson, with the script's bursts.
    """
    rng = random.Random(f"arrivals {seed}")
    draw, at, number = drawer(script, rng), 0.0, count()
    bursts = [(s.at_ms, s.at_ms + s.for_ms, s.factor) for s in script.step if s.what == "burst"]
    most = script.load.rate_per_s * max([1.0] + [factor for _, _, factor in bursts])
    rows = []
    while True:
        at += rng.expovariate(most / 1000.0)
        if at >= 1000.0 * script.lasts_s:
            return rows
        rate = script.load.rate_per_s
        for start, end, factor in bursts:
            rate *= factor if start <= at < end else 1.0
        if rng.random() * most < rate:
            stream, dest, subject = draw()
            origin = f"e{seed}-{next(number)}"
            key = f"k{origin}" if stream.effect == "deduplicated" else ""
            rows.append((at, Event(origin, stream, dest, key, subject, at)))


class Line(asyncio.Protocol):
    """One connection to a node; at most one request at a time. The answer goes to a future."""

    def __init__(self, idle):
        self.idle, self.waiting, self.status, self.headers, self.sent = idle, None, 0, {}, False

    def connection_made(self, transport):
        self.transport, self.parser = transport, httptools.HttpResponseParser(self)

    def ask(self, data):
        self.waiting, self.headers = asyncio.get_running_loop().create_future(), {}
        self.transport.write(data)
        return self.waiting

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name, value):
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self):
        waiting, self.waiting = self.waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result((self.parser.get_status_code(), self.headers))
        if self.parser.should_keep_alive():
            self.parser = httptools.HttpResponseParser(self)
            self.idle.append(self)
        else:
            self.transport.close()

    def connection_lost(self, exc):
        if self in self.idle:
            self.idle.remove(self)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result((0, None))

    def drop(self):
        self.waiting = None
        self.transport.abort()


class Client:
    """All clients of one process; owner of their connections, by node."""

    def __init__(self, script, seed, part, parts, nodes, book):
        self.script, self.load, self.nodes, self.book = script, script.load, nodes, book
        self.part, self.parts, self.seed = part, parts, seed
        self.rng, self.numbers = random.Random(f"clients {seed} {part}"), count()
        self.idle = [deque() for _ in nodes]
        self.body = bytes(self.rng.choices(b"abcdefghijklmnopqrstuvwxyz ", k=self.load.body_bytes))
        self.taken, self.jobs, self.lag = (
            {},
            set(),
            0.0,
        )  # taken: ident -> event; emptied as their max age passes
        self.histogram = HdrHistogram(1, LONGEST_US, DIGITS)
        self.last = 0.0  # moment after which nothing is handed in

    def spawn(self, job):
        task = asyncio.ensure_future(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    async def run(self, t0, feed):
        self.last = t0 + 1000.0 * self.script.lasts_s
        self.spawn(self._watch_lag())
        self.spawn(self._hear(feed))
        if self.load.kind == "open":
            await self._open(t0)
        else:
            mine = range(self.part, self.load.clients, self.parts)
            await asyncio.gather(*[self._closed(t0, number) for number in mine])

    async def _open(self, t0):
        for at, event in schedule(self.script, self.seed)[self.part :: self.parts]:
            due = t0 + at
            if (rest := due - clock()) > 1.0:
                await asyncio.sleep(rest / 1000.0)
            event.due, event.ends_at = due, due + event.stream.max_age_ms
            self.spawn(self.hand_in(event))

    async def _closed(self, t0, number):
        draw, mine = drawer(self.script, random.Random(f"client {self.seed} {number}")), count()
        await asyncio.sleep(max(0.0, t0 - clock()) / 1000.0)
        while clock() < self.last:
            stream, dest, subject = draw()
            origin = f"e{self.seed}-c{number}-{next(mine)}"
            key = f"k{origin}" if stream.effect == "deduplicated" else ""
            await self.hand_in(Event(origin, stream, dest, key, subject, clock()))

    async def hand_in(self, event):
        """One hand-in and what follows from its answer."""
        ident = event.origin if not event.tries else f"{event.origin}.{event.tries}"
        event.tries += 1
        node, begun = self.rng.randrange(len(self.nodes)), clock()
        self.book.write(
            records.HandedIn(
                begun,
                ident,
                event.origin,
                f"n{node}",
                event.stream.name,
                event.dest,
                event.key,
                event.subject,
                event.ends_at,
                event.due,
            )
        )
        status, back_ms, broke = await self._ask(node, ident, event)
        now = clock()
        self.book.write(records.Heard(now, ident, status, back_ms, broke))
        self.histogram.record_value(
            int(1000.0 * max(0.0, now - (event.due if event.tries == 1 else begun))) or 1
        )
        if status == 202:
            self.taken[ident] = event
        else:
            # Without an answer the event may be held: a client hands it in anew, as the platform's do.
            self._again(event, back_ms)

    def _again(self, event, back_ms):
        if self.load.come_back == "never" or event.tries >= TRIES:
            return
        wait = 0.0 if self.load.come_back == "at_once" else min(back_ms or BACK_MS, MOST_BACK_MS)
        if clock() + wait + 50.0 < event.ends_at:
            self.spawn(self._later(event, wait))

    async def _later(self, event, wait):
        await asyncio.sleep(wait / 1000.0)
        await self.hand_in(event)

    async def _ask(self, node, ident, event):
        """(status, ms of advice, whether the connection broke with the request written)."""
        try:
            async with asyncio.timeout(self.load.patience_ms / 1000.0):
                line = None
                while line is None or line.transport.is_closing():
                    line = self.idle[node].pop() if self.idle[node] else await self._connect(node)
                try:
                    status, headers = await line.ask(self._request(ident, event))
                except asyncio.CancelledError:
                    line.drop()
                    raise
                if headers is None and line.sent:
                    # It was closed between requests as ours crossed it: once more, on a new connection.
                    line = await self._connect(node)
                    status, headers = await line.ask(self._request(ident, event))
                line.sent = True
        except (TimeoutError, OSError):
            return 0, 0.0, False
        if headers is None:
            return 0, 0.0, True
        try:
            return status, 1000.0 * float(headers.get("retry-after", 0)), False
        except ValueError:
            return status, 0.0, False

    async def _connect(self, node):
        host, port = self.nodes[node]
        _, line = await asyncio.get_running_loop().create_connection(
            lambda: Line(self.idle[node]), host, port
        )
        return line

    def _request(self, ident, event):
        left = max(1, int(event.ends_at - clock()))
        key = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
        path = f"/{event.stream.name}/{event.subject}" if event.subject else f"/{event.stream.name}"
        return (
            f"POST {path} HTTP/1.1\r\nHost: node\r\nX-Txn: {ident}\r\nX-Lane: {event.stream.name}\r\n"
            f"X-Remaining: {left}m\r\nX-Route-To: dest={event.dest}\r\n{key}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body

    async def _hear(self, feed):
        """What the platform says was handed back comes again."""
        host, _, port = feed.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /feed HTTP/1.1\r\nHost: lab\r\n\r\n")
        while line := await reader.readline():
            ident, back_ms = json.loads(line)
            event = self.taken.pop(ident, None)
            if event is not None:
                self._again(event, back_ms)

    async def _watch_lag(self):
        said_at = clock()
        while True:
            due = clock() + LAG_EVERY_MS
            await asyncio.sleep(LAG_EVERY_MS / 1000.0)
            now = clock()
            self.lag = max(self.lag, now - due)
            if now - said_at > 250.0:
                self.book.write(records.Lagged(now, f"load {self.part}", self.lag))
                self.lag, said_at = 0.0, now
                for ident in [i for i, event in self.taken.items() if event.ends_at < now]:
                    del self.taken[ident]

    def close(self):
        for task in self.jobs:
            task.cancel()
        for lines in self.idle:
            for line in list(lines):
                line.drop()
        self.book.write(records.Spread(clock(), f"load {self.part}", self.histogram.encode().decode()))


async def serve(script, seed, part, parts, path):
    """Clients as a process: prints `ready`, takes `go MOMENT FEED NODES` and `stop` as lines of input."""
    book = records.Book(path)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    client = None
    try:
        print("ready", flush=True)
        while line := (await reader.readline()).split():
            if line[0] == b"go":
                nodes = [tuple(place.rsplit(":", 1)) for place in line[3].decode().split(",")]
                client = Client(script, seed, part, parts, nodes, book)
                client.spawn(client.run(float(line[1]), line[2].decode()))
            elif line[0] == b"stop":
                break
    finally:
        if client:
            client.close()
        book.close()
