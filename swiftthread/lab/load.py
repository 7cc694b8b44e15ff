"""The load generator: clients that submit events, by schedule (open loop) or one at a time (closed loop).

An open loop's arrivals do not wait for answers, and its latency counts from the scheduled moment: a node that
stalls is not spared the events that would have come meanwhile. Several processes each take their part of one
schedule.
"""

import asyncio
import json
import random
from collections.abc import Sequence
from contextlib import closing
from dataclasses import dataclass
from itertools import count

from hdrh.histogram import HdrHistogram

from swiftthread.lab.arrivals import Event, EventSampler, schedule
from swiftthread.lab.background_tasks import BackgroundTasks
from swiftthread.lab.control_channel import go_commands, open_stdin
from swiftthread.lab.event_loop_lag import EventLoopLagMonitor
from swiftthread.lab.http_client import NO_STATUS, ConnectionPool, HttpReply
from swiftthread.lab.incident import Incident
from swiftthread.lab.run_records import (
    ClientAnswered,
    EventSubmitted,
    LatencyHistogramRecorded,
    RecordWriter,
    monotonic_ms,
)

HISTOGRAM_MAX_US = 120_000_000  # of the histogram; nothing waits longer than a run
HISTOGRAM_DIGITS = 3  # significant decimal digits it keeps
DEFAULT_RETRY_AFTER_MS = 300.0  # ms that a client waits that heeds Retry-After and was given none
MAX_RETRY_AFTER_MS = 3000.0  # ms of Retry-After that clients heed
MAX_SUBMISSIONS = 6  # submissions of one event, the first counted in
MIN_REMAINING_MS = 50.0  # ms before its max age after which an event is not submitted again
SLEEP_THRESHOLD_MS = 1.0  # ms: a submission that is due sooner is made at once

BODY_ALPHABET = b"abcdefghijklmnopqrstuvwxyz "
FEED_REQUEST = b"GET /feed HTTP/1.1\r\nHost: lab\r\n\r\n"


@dataclass(frozen=True, slots=True)
class SubmissionReply:
    """What became of a submission.

    Attributes:
        status: The status of the answer, or `NO_STATUS`.
        retry_after_ms: Its Retry-After; 0 for none.
        is_connection_broken: Whether the connection closed after the request was written.
    """

    status: int
    retry_after_ms: float = 0.0
    is_connection_broken: bool = False


class LoadGenerator:
    """All clients of one process; owner of their connections.

    Args:
        incident: What load there is.
        seed: Of all chance.
        part: Which of the processes this is, from 0 on.
        parts: How many processes there are.
        nodes: A connection pool for each node.
        record_writer: Where submissions and answers are recorded.
    """

    def __init__(
        self,
        incident: Incident,
        seed: int,
        part: int,
        parts: int,
        nodes: Sequence[ConnectionPool],
        record_writer: RecordWriter,
    ) -> None:
        self._incident = incident
        self._load = incident.load
        self._seed = seed
        self._part = part
        self._parts = parts
        self._nodes = nodes
        self._record_writer = record_writer
        self._process = f"load {part}"
        self._rng = random.Random(f"clients {seed} {part}")
        self._body = bytes(self._rng.choices(BODY_ALPHABET, k=self._load.body_bytes))
        self._accepted: dict[str, Event] = {}  # by submission's id, until their max age
        self._tasks = BackgroundTasks()
        self._histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    def start(self, started_at: float, feed_address: str) -> None:
        """Let the clients submit from this moment on, in ms, until the incident's end."""
        self._tasks.spawn(self._run(started_at, feed_address))

    async def _run(self, started_at: float, feed_address: str) -> None:
        self._tasks.spawn(self._watch_lag())
        self._tasks.spawn(self._follow_feed(feed_address))
        if self._load.kind == "open":
            await self._run_open_loop(started_at)
            return
        numbers = range(self._part, self._load.clients, self._parts)
        await asyncio.gather(*[self._run_closed_loop(started_at, number) for number in numbers])

    async def _run_open_loop(self, started_at: float) -> None:
        arrivals = schedule(self._incident, self._seed)
        for at, event in arrivals[self._part :: self._parts]:
            event.scheduled_at = started_at + at
            delay_ms = event.scheduled_at - monotonic_ms()
            if delay_ms > SLEEP_THRESHOLD_MS:
                await asyncio.sleep(delay_ms / 1000.0)
            self._tasks.spawn(self._submit(event))

    async def _run_closed_loop(self, started_at: float, number: int) -> None:
        sampler = EventSampler(self._incident, random.Random(f"client {self._seed} {number}"))
        event_numbers = count()
        ends_at = started_at + 1000.0 * self._incident.lasts_s
        await asyncio.sleep(max(0.0, started_at - monotonic_ms()) / 1000.0)
        while monotonic_ms() < ends_at:
            original_id = f"e{self._seed}-c{number}-{next(event_numbers)}"
            await self._submit(sampler.draw(original_id, monotonic_ms()))

    async def _submit(self, event: Event) -> None:
        """Submit an event once, and do what follows from the answer."""
        event_id = event.original_id if not event.attempts else f"{event.original_id}.{event.attempts}"
        event.attempts += 1
        node = self._rng.randrange(len(self._nodes))
        started_at = monotonic_ms()
        latency_from = event.scheduled_at if event.attempts == 1 else started_at
        self._record_submission(event, event_id, node, started_at)
        reply = await self._request(self._nodes[node], event_id, event)
        now = monotonic_ms()
        self._record_writer.write(
            ClientAnswered(now, event_id, reply.status, reply.retry_after_ms, reply.is_connection_broken)
        )
        self._histogram.record_value(int(1000.0 * max(0.0, now - latency_from)) or 1)
        if reply.status == 202:
            self._accepted[event_id] = event
        else:
            # Without an answer the node may have accepted it: a client submits it again all the same.
            self._resubmit(event, reply.retry_after_ms)

    def _record_submission(self, event: Event, event_id: str, node: int, started_at: float) -> None:
        self._record_writer.write(
            EventSubmitted(
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

    def _resubmit(self, event: Event, retry_after_ms: float) -> None:
        """Submit an event again after a wait, if its client does that and there is time left."""
        if self._load.come_back == "never" or event.attempts >= MAX_SUBMISSIONS:
            return
        wait_ms = 0.0
        if self._load.come_back == "as_told":
            wait_ms = min(retry_after_ms or DEFAULT_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        if monotonic_ms() + wait_ms + MIN_REMAINING_MS < event.expires_at:
            self._tasks.spawn(self._submit_after(event, wait_ms))

    async def _submit_after(self, event: Event, wait_ms: float) -> None:
        await asyncio.sleep(wait_ms / 1000.0)
        await self._submit(event)

    async def _request(self, node: ConnectionPool, event_id: str, event: Event) -> SubmissionReply:
        """Submit an event to a node within the client's patience."""
        try:
            async with asyncio.timeout(self._load.patience_ms / 1000.0):
                reply = await self._exchange(node, event_id, event)
        except (TimeoutError, OSError):
            return SubmissionReply(NO_STATUS)
        if not reply.is_response():
            return SubmissionReply(NO_STATUS, is_connection_broken=True)
        try:
            retry_after_ms = 1000.0 * float(reply.headers.get("retry-after", 0))
        except ValueError:
            retry_after_ms = 0.0
        return SubmissionReply(reply.status, retry_after_ms)

    async def _exchange(self, node: ConnectionPool, event_id: str, event: Event) -> HttpReply:
        connection = await node.acquire()
        try:
            reply = await connection.request(self._encode_request(event_id, event))
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not reply.is_response() and connection.has_been_used:
            # The node closed it between two requests, as ours was on its way: repeat on a new connection.
            connection = await node.connect()
            reply = await connection.request(self._encode_request(event_id, event))
        connection.has_been_used = True
        return reply

    def _encode_request(self, event_id: str, event: Event) -> bytes:
        remaining_ms = max(1, int(event.expires_at - monotonic_ms()))
        key = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
        path = f"/{event.stream.name}/{event.subject}" if event.subject else f"/{event.stream.name}"
        head = (
            f"POST {path} HTTP/1.1\r\n"
            "Host: node\r\n"
            f"X-Txn: {event_id}\r\n"
            f"X-Lane: {event.stream.name}\r\n"
            f"X-Remaining: {remaining_ms}m\r\n"
            f"X-Route-To: dest={event.destination}\r\n"
            f"{key}"
            f"Content-Length: {len(self._body)}\r\n"
            "\r\n"
        )
        return head.encode() + self._body

    async def _follow_feed(self, address: str) -> None:
        """Submit again what nodes handed back."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with closing(writer):
            writer.write(FEED_REQUEST)
            while line := await reader.readline():
                event_id, retry_after_ms = json.loads(line)
                event = self._accepted.pop(event_id, None)
                if event is not None:
                    self._resubmit(event, retry_after_ms)

    async def _watch_lag(self) -> None:
        """Record the event loop's lag, and forget expired events now and then."""
        lag_monitor = EventLoopLagMonitor(self._process, self._record_writer)
        while True:
            if await lag_monitor.check():
                now = monotonic_ms()
                self._accepted = {
                    event_id: event for event_id, event in self._accepted.items() if event.expires_at >= now
                }

    def close(self) -> None:
        """Cancel all clients, abort idle connections and record the latency histogram."""
        self._tasks.cancel()
        for node in self._nodes:
            node.abort()
        encoded = self._histogram.encode().decode()
        self._record_writer.write(LatencyHistogramRecorded(monotonic_ms(), self._process, encoded))


async def serve(incident: Incident, seed: int, part: int, parts: int, path: str) -> None:
    """Run the clients of one process until `stop` is read from standard input.

    Prints `ready`, then starts them at a `go MOMENT FEED_ADDRESS NODE_ADDRESS,...`.

    Args:
        incident: What load there is.
        seed: Of all chance.
        part: Which of the processes this is, from 0 on.
        parts: How many processes there are.
        path: The file for records.
    """
    with closing(RecordWriter(path)) as record_writer:
        stdin = await open_stdin()
        generator: LoadGenerator | None = None
        try:
            print("ready", flush=True)
            async for started_at, feed_address, node_addresses in go_commands(stdin):
                nodes = [_connection_pool(address) for address in node_addresses.split(",")]
                generator = LoadGenerator(incident, seed, part, parts, nodes, record_writer)
                generator.start(float(started_at), feed_address)
        finally:
            if generator is not None:
                generator.close()


def _connection_pool(address: str) -> ConnectionPool:
    host, _, port = address.rpartition(":")
    return ConnectionPool(host, int(port))
