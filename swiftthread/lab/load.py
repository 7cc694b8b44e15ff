"""The load tool: clients that submit events, by schedule (open loop) or one after the other (closed loop).

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

from swiftthread.lab import run_records
from swiftthread.lab.run_records import monotonic_ms

HISTOGRAM_MAX_US = 120_000_000  # of the histogram; nothing waits longer than a run
HISTOGRAM_DIGITS = 3  # significant decimal digits it keeps
LAG_CHECK_INTERVAL_MS = 10.0  # ms between two looks at the loop's own lag
DEFAULT_RETRY_AFTER_MS = 300.0  # ms a client waits that heeds advice and was given none
MAX_RETRY_AFTER_MS = 3000.0  # ms of advice that clients heed
MAX_SUBMISSIONS = 6  # submissions of one event, the first counted in


class Event:
    """One event as its client has it, over all its submissions."""

    __slots__ = (
        "original_id",
        "stream",
        "destination",
        "key",
        "subject",
        "scheduled_at",
        "expires_at",
        "attempts",
    )

    def __init__(self, original_id, stream, destination, key, subject, scheduled_at):
        self.original_id, self.stream, self.destination, self.key, self.subject, self.scheduled_at = (
            original_id,
            stream,
            destination,
            key,
            subject,
            scheduled_at,
        )
        self.expires_at, self.attempts = scheduled_at + stream.max_age_ms, 0


def event_sampler(incident, rng):
    """A function that draws (stream type, destination, subject) by the shares and the skew of an incident."""
    load, streams = incident.load, incident.stream
    destinations = [(row.number + at, row.share) for row in incident.destination for at in range(row.count)]
    cumulative_stream_shares = list(accumulate(stream.share for stream in streams))
    cumulative_destination_shares = list(
        accumulate(share / (rank + 1) ** load.skew for rank, (_, share) in enumerate(destinations))
    )

    def draw():
        stream = streams[bisect(cumulative_stream_shares, rng.random() * cumulative_stream_shares[-1])]
        destination = destinations[
            bisect(cumulative_destination_shares, rng.random() * cumulative_destination_shares[-1])
        ][0]
        return stream, destination, f"{destination}-{rng.randrange(load.subjects)}" if stream.in_order else ""

    return draw


def schedule(incident, seed):
    """The arrivals of an open loop: (ms from the start, Event) in order.

    Poisson, with the incident's bursts.
    """
    rng = random.Random(f"arrivals {seed}")
    draw, at, numbers = event_sampler(incident, rng), 0.0, count()
    bursts = [
        (step.at_ms, step.at_ms + step.for_ms, step.factor) for step in incident.step if step.what == "burst"
    ]
    peak_rate_per_s = incident.load.rate_per_s * max([1.0] + [factor for _, _, factor in bursts])
    arrivals = []
    while True:
        at += rng.expovariate(peak_rate_per_s / 1000.0)
        if at >= 1000.0 * incident.lasts_s:
            return arrivals
        rate_per_s = incident.load.rate_per_s
        for start, end, factor in bursts:
            rate_per_s *= factor if start <= at < end else 1.0
        if rng.random() * peak_rate_per_s < rate_per_s:
            stream, destination, subject = draw()
            original_id = f"e{seed}-{next(numbers)}"
            key = f"k{original_id}" if stream.effect == "deduplicated" else ""
            arrivals.append((at, Event(original_id, stream, destination, key, subject, at)))


class HttpClientConnection(asyncio.Protocol):
    """One connection to a node; at most one request at a time. The answer goes to a future."""

    def __init__(self, idle):
        self.idle, self.pending_reply, self.status, self.headers, self.has_been_used = (
            idle,
            None,
            0,
            {},
            False,
        )

    def connection_made(self, transport):
        self.transport, self.parser = transport, httptools.HttpResponseParser(self)

    def request(self, data):
        self.pending_reply, self.headers = asyncio.get_running_loop().create_future(), {}
        self.transport.write(data)
        return self.pending_reply

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name, value):
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self):
        pending_reply, self.pending_reply = self.pending_reply, None
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result((self.parser.get_status_code(), self.headers))
        if self.parser.should_keep_alive():
            self.parser = httptools.HttpResponseParser(self)
            self.idle.append(self)
        else:
            self.transport.close()

    def connection_lost(self, exc):
        if self in self.idle:
            self.idle.remove(self)
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_result((0, None))

    def abort(self):
        self.pending_reply = None
        self.transport.abort()


class LoadGenerator:
    """All clients of one process; owner of their connections, by node."""

    def __init__(self, incident, seed, part, parts, nodes, record_writer):
        self.incident, self.load, self.nodes, self.record_writer = (
            incident,
            incident.load,
            nodes,
            record_writer,
        )
        self.part, self.parts, self.seed = part, parts, seed
        self.rng, self.numbers = random.Random(f"clients {seed} {part}"), count()
        self.idle = [deque() for _ in nodes]
        self.body = bytes(self.rng.choices(b"abcdefghijklmnopqrstuvwxyz ", k=self.load.body_bytes))
        self.accepted = {}  # event_id -> event; emptied as their max age passes
        self.tasks = set()
        self.max_lag_ms = 0.0
        self.histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        self.submissions_end_at = 0.0  # moment after which nothing is submitted

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, t0, notification_address):
        self.submissions_end_at = t0 + 1000.0 * self.incident.lasts_s
        self.spawn(self._watch_lag())
        self.spawn(self._follow_notifications(notification_address))
        if self.load.kind == "open":
            await self._run_open_loop(t0)
        else:
            own_numbers = range(self.part, self.load.clients, self.parts)
            await asyncio.gather(*[self._run_closed_loop(t0, number) for number in own_numbers])

    async def _run_open_loop(self, t0):
        for at, event in schedule(self.incident, self.seed)[self.part :: self.parts]:
            scheduled_at = t0 + at
            if (delay_ms := scheduled_at - monotonic_ms()) > 1.0:
                await asyncio.sleep(delay_ms / 1000.0)
            event.scheduled_at, event.expires_at = scheduled_at, scheduled_at + event.stream.max_age_ms
            self.spawn(self.submit(event))

    async def _run_closed_loop(self, t0, number):
        draw, own_numbers = (
            event_sampler(self.incident, random.Random(f"client {self.seed} {number}")),
            count(),
        )
        await asyncio.sleep(max(0.0, t0 - monotonic_ms()) / 1000.0)
        while monotonic_ms() < self.submissions_end_at:
            stream, destination, subject = draw()
            original_id = f"e{self.seed}-c{number}-{next(own_numbers)}"
            key = f"k{original_id}" if stream.effect == "deduplicated" else ""
            await self.submit(Event(original_id, stream, destination, key, subject, monotonic_ms()))

    async def submit(self, event):
        """One submission and what follows from its answer."""
        event_id = event.original_id if not event.attempts else f"{event.original_id}.{event.attempts}"
        event.attempts += 1
        node, started_at = self.rng.randrange(len(self.nodes)), monotonic_ms()
        self.record_writer.write(
            run_records.EventSubmitted(
                started_at,
                event_id,
                event.original_id,
                f"n{node}",
                event.stream.name,
                event.destination,
                event.key,
                event.subject,
                event.expires_at,
                event.scheduled_at,
            )
        )
        status, retry_after_ms, is_connection_broken = await self._request_with_timeout(node, event_id, event)
        now = monotonic_ms()
        self.record_writer.write(
            run_records.ClientAnswered(now, event_id, status, retry_after_ms, is_connection_broken)
        )
        self.histogram.record_value(
            int(1000.0 * max(0.0, now - (event.scheduled_at if event.attempts == 1 else started_at))) or 1
        )
        if status == 202:
            self.accepted[event_id] = event
        else:
            # Without an answer the event may be held: a client hands it in anew, as the platform's do.
            self._resubmit(event, retry_after_ms)

    def _resubmit(self, event, retry_after_ms):
        if self.load.come_back == "never" or event.attempts >= MAX_SUBMISSIONS:
            return
        wait_ms = (
            0.0
            if self.load.come_back == "at_once"
            else min(retry_after_ms or DEFAULT_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        )
        if monotonic_ms() + wait_ms + 50.0 < event.expires_at:
            self.spawn(self._resubmit_after(event, wait_ms))

    async def _resubmit_after(self, event, wait_ms):
        await asyncio.sleep(wait_ms / 1000.0)
        await self.submit(event)

    async def _request_with_timeout(self, node, event_id, event):
        """(status, ms of advice, whether the connection broke with the request written)."""
        try:
            async with asyncio.timeout(self.load.patience_ms / 1000.0):
                connection = None
                while connection is None or connection.transport.is_closing():
                    connection = self.idle[node].pop() if self.idle[node] else await self._connect(node)
                try:
                    status, headers = await connection.request(self._encode_request(event_id, event))
                except asyncio.CancelledError:
                    connection.abort()
                    raise
                if headers is None and connection.has_been_used:
                    # It was closed between requests as ours crossed it: once more, on a new connection.
                    connection = await self._connect(node)
                    status, headers = await connection.request(self._encode_request(event_id, event))
                connection.has_been_used = True
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
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpClientConnection(self.idle[node]), host, port
        )
        return connection

    def _encode_request(self, event_id, event):
        remaining_ms = max(1, int(event.expires_at - monotonic_ms()))
        key = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
        path = f"/{event.stream.name}/{event.subject}" if event.subject else f"/{event.stream.name}"
        return (
            f"POST {path} HTTP/1.1\r\nHost: node\r\nX-Txn: {event_id}\r\nX-Lane: {event.stream.name}\r\n"
            f"X-Remaining: {remaining_ms}m\r\nX-Route-To: dest={event.destination}\r\n{key}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body

    async def _follow_notifications(self, notification_address):
        """What the platform says was handed back comes again."""
        host, _, port = notification_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /feed HTTP/1.1\r\nHost: lab\r\n\r\n")
        while line := await reader.readline():
            event_id, retry_after_ms = json.loads(line)
            event = self.accepted.pop(event_id, None)
            if event is not None:
                self._resubmit(event, retry_after_ms)

    async def _watch_lag(self):
        reported_at = monotonic_ms()
        while True:
            expected_at = monotonic_ms() + LAG_CHECK_INTERVAL_MS
            await asyncio.sleep(LAG_CHECK_INTERVAL_MS / 1000.0)
            now = monotonic_ms()
            self.max_lag_ms = max(self.max_lag_ms, now - expected_at)
            if now - reported_at > 250.0:
                self.record_writer.write(
                    run_records.EventLoopLagged(now, f"load {self.part}", self.max_lag_ms)
                )
                self.max_lag_ms, reported_at = 0.0, now
                for event_id in [
                    event_id for event_id, event in self.accepted.items() if event.expires_at < now
                ]:
                    del self.accepted[event_id]

    def close(self):
        for task in self.tasks:
            task.cancel()
        for connections in self.idle:
            for connection in list(connections):
                connection.abort()
        self.record_writer.write(
            run_records.LatencyHistogramRecorded(
                monotonic_ms(), f"load {self.part}", self.histogram.encode().decode()
            )
        )


async def serve(incident, seed, part, parts, path):
    """Clients as a process: prints `ready`, takes `go MOMENT FEED NODES` and `stop` as lines of input."""
    record_writer = run_records.RecordWriter(path)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    generator = None
    try:
        print("ready", flush=True)
        while command := (await reader.readline()).split():
            if command[0] == b"go":
                nodes = [tuple(address.rsplit(":", 1)) for address in command[3].decode().split(",")]
                generator = LoadGenerator(incident, seed, part, parts, nodes, record_writer)
                generator.spawn(generator.run(float(command[1]), command[2].decode()))
            elif command[0] == b"stop":
                break
    finally:
        if generator:
            generator.close()
        record_writer.close()
