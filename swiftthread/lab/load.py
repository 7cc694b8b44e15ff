"""The load generator: clients that submit events on a schedule (open loop) or one at a time (closed loop).

Open-loop clients submit each event at its scheduled time, whether or not earlier submissions have a response,
and measure latency from the scheduled time. A node that stalls therefore still receives the events that
arrive during the stall, and its latency includes the stall. Several client processes can share one schedule;
each submits every n-th event of it.
"""

import asyncio
import json
import random
from collections.abc import Sequence
from contextlib import closing
from dataclasses import dataclass
from itertools import count

from hdrh.histogram import HdrHistogram

from swiftthread.lab.arrivals import Event, EventSampler, generate_arrivals
from swiftthread.lab.background_tasks import BackgroundTasks
from swiftthread.lab.control_channel import go_commands, open_stdin
from swiftthread.lab.event_loop_lag import EventLoopLagMonitor
from swiftthread.lab.http_client import NO_STATUS, ConnectionPool, HttpResponse
from swiftthread.lab.incident import Incident
from swiftthread.lab.run_records import (
    ClientResponded,
    EventSubmitted,
    LatencyHistogramRecorded,
    RecordWriter,
    monotonic_ms,
)

# Largest latency that the histogram can hold. No submission waits longer than a run, and runs are shorter.
HISTOGRAM_MAX_US = 120_000_000
# Significant decimal digits of the histogram's values.
HISTOGRAM_DIGITS = 3
# Time after which a client that honours Retry-After resubmits, if the response named none.
DEFAULT_RETRY_AFTER_MS = 300.0
# Longest Retry-After that clients honour.
MAX_RETRY_AFTER_MS = 3000.0
# Largest number of submissions of one event, including the first.
MAX_SUBMISSIONS = 6
# Smallest time before its max age at which an event is still resubmitted.
MIN_REMAINING_MS = 50.0
# A submission that is due within this time is made without a sleep.
SLEEP_THRESHOLD_MS = 1.0

BODY_ALPHABET = b"abcdefghijklmnopqrstuvwxyz "
FEED_REQUEST = b"GET /feed HTTP/1.1\r\nHost: lab\r\n\r\n"


@dataclass(frozen=True, slots=True)
class SubmissionResponse:
    """The node's response to a submission, or the failure of the submission.

    Attributes:
        status: The HTTP status of the response, or `NO_STATUS` if there was none.
        retry_after_ms: The Retry-After of the response. 0 if there was none.
        is_connection_broken: Whether the connection closed without a response after the request was written.
    """

    status: int
    retry_after_ms: float = 0.0
    is_connection_broken: bool = False


class LoadGenerator:
    """All clients of one client process, and the owner of their connections.

    Args:
        incident: The incident whose load is generated.
        seed: The random seed of the run.
        process_index: The index of this client process, starting at 0.
        process_count: The number of client processes in the run.
        node_pools: A connection pool for each node.
        record_writer: Receives records of submissions and responses.
    """

    def __init__(
        self,
        incident: Incident,
        seed: int,
        process_index: int,
        process_count: int,
        node_pools: Sequence[ConnectionPool],
        record_writer: RecordWriter,
    ) -> None:
        self._incident = incident
        self._load = incident.load
        self._seed = seed
        self._process_index = process_index
        self._process_count = process_count
        self._node_pools = node_pools
        self._record_writer = record_writer
        self._process = f"load {process_index}"
        self._rng = random.Random(f"clients {seed} {process_index}")
        self._body = bytes(self._rng.choices(BODY_ALPHABET, k=self._load.body_bytes))
        # Accepted events by the event id of the submission, until their max age.
        self._accepted: dict[str, Event] = {}
        self._tasks = BackgroundTasks()
        self._histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    def start(self, started_at: float, feed_address: str) -> None:
        """Start the clients, which submit events from `started_at` (ms) for `lasts_s` of the incident."""
        self._tasks.spawn(self._run(started_at, feed_address))

    async def _run(self, started_at: float, feed_address: str) -> None:
        self._tasks.spawn(self._watch_lag())
        self._tasks.spawn(self._follow_feed(feed_address))
        if self._load.kind == "open":
            await self._run_open_loop(started_at)
            return
        client_numbers = range(self._process_index, self._load.clients, self._process_count)
        await asyncio.gather(*[self._run_closed_loop(started_at, number) for number in client_numbers])

    async def _run_open_loop(self, started_at: float) -> None:
        arrivals = generate_arrivals(self._incident, self._seed)
        for arrives_at, event in arrivals[self._process_index :: self._process_count]:
            event.scheduled_at = started_at + arrives_at
            delay_ms = event.scheduled_at - monotonic_ms()
            if delay_ms > SLEEP_THRESHOLD_MS:
                await asyncio.sleep(delay_ms / 1000.0)
            self._tasks.spawn(self._submit(event))

    async def _run_closed_loop(self, started_at: float, client_number: int) -> None:
        sampler = EventSampler(self._incident, random.Random(f"client {self._seed} {client_number}"))
        event_numbers = count()
        ends_at = started_at + 1000.0 * self._incident.lasts_s
        await asyncio.sleep(max(0.0, started_at - monotonic_ms()) / 1000.0)
        while monotonic_ms() < ends_at:
            original_id = f"e{self._seed}-c{client_number}-{next(event_numbers)}"
            await self._submit(sampler.draw(original_id, monotonic_ms()))

    async def _submit(self, event: Event) -> None:
        """Submit an event to a random node and record the response. Resubmit it if it was not accepted."""
        event_id = event.original_id if not event.attempts else f"{event.original_id}.{event.attempts}"
        event.attempts += 1
        node_number = self._rng.randrange(len(self._node_pools))
        started_at = monotonic_ms()
        latency_started_at = event.scheduled_at if event.attempts == 1 else started_at
        self._record_submission(event, event_id, node_number, started_at)
        reply = await self._request(self._node_pools[node_number], event_id, event)
        now = monotonic_ms()
        self._record_writer.write(
            ClientResponded(now, event_id, reply.status, reply.retry_after_ms, reply.is_connection_broken)
        )
        self._histogram.record_value(int(1000.0 * max(0.0, now - latency_started_at)) or 1)
        if reply.status == 202:
            self._accepted[event_id] = event
        else:
            # Without a response the node may have accepted the event. Clients resubmit it nevertheless.
            self._resubmit(event, reply.retry_after_ms)

    def _record_submission(self, event: Event, event_id: str, node_number: int, started_at: float) -> None:
        self._record_writer.write(
            EventSubmitted(
                started_at,
                event_id,
                event.original_id,
                f"n{node_number}",
                event.stream.name,
                event.destination,
                event.key,
                event.subject,
                event.expires_at,
                event.scheduled_at,
            )
        )

    def _resubmit(self, event: Event, retry_after_ms: float) -> None:
        """Schedule a resubmission, unless the load or `MAX_SUBMISSIONS` forbids it or max age is too near."""
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

    async def _request(self, pool: ConnectionPool, event_id: str, event: Event) -> SubmissionResponse:
        """Submit an event to a node and wait up to `patience_ms` for the response."""
        try:
            async with asyncio.timeout(self._load.patience_ms / 1000.0):
                reply = await self._exchange(pool, event_id, event)
        except (TimeoutError, OSError):
            return SubmissionResponse(NO_STATUS)
        if not reply.is_response():
            return SubmissionResponse(NO_STATUS, is_connection_broken=True)
        try:
            retry_after_ms = 1000.0 * float(reply.headers.get("retry-after", 0))
        except ValueError:
            retry_after_ms = 0.0
        return SubmissionResponse(reply.status, retry_after_ms)

    async def _exchange(self, pool: ConnectionPool, event_id: str, event: Event) -> HttpResponse:
        connection = await pool.acquire()
        try:
            reply = await connection.request(self._encode_request(event_id, event))
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not reply.is_response() and connection.has_been_used:
            # The node closed the idle connection while the request was sent: repeat it on a new connection.
            connection = await pool.connect()
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
        """Resubmit the accepted events that nodes reject later, as the notification feed reports them."""
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
        """Record the lag of the event loop, and remove expired events whenever a lag record is written."""
        lag_monitor = EventLoopLagMonitor(self._process, self._record_writer)
        while True:
            if await lag_monitor.check():
                now = monotonic_ms()
                self._accepted = {
                    event_id: event for event_id, event in self._accepted.items() if event.expires_at >= now
                }

    def close(self) -> None:
        """Cancel all clients, abort idle connections, and record the latency histogram."""
        self._tasks.cancel()
        for pool in self._node_pools:
            pool.abort()
        encoded = self._histogram.encode().decode()
        self._record_writer.write(LatencyHistogramRecorded(monotonic_ms(), self._process, encoded))


async def serve(
    incident: Incident, seed: int, process_index: int, process_count: int, records_path: str
) -> None:
    """Run the clients of one client process until `stop` is read from standard input.

    Prints `ready`, then waits for the command `go START_TIME FEED_ADDRESS NODE_ADDRESS,...` and starts the
    clients at that time (ms on the monotonic clock).

    Args:
        incident: The incident whose load is generated.
        seed: The random seed of the run.
        process_index: The index of this client process, starting at 0.
        process_count: The number of client processes in the run.
        records_path: The file to which records are written.
    """
    with closing(RecordWriter(records_path)) as record_writer:
        stdin = await open_stdin()
        generator: LoadGenerator | None = None
        try:
            print("ready", flush=True)
            async for started_at, feed_address, node_addresses in go_commands(stdin):
                node_pools = [_connection_pool(address) for address in node_addresses.split(",")]
                generator = LoadGenerator(
                    incident, seed, process_index, process_count, node_pools, record_writer
                )
                generator.start(float(started_at), feed_address)
        finally:
            if generator is not None:
                generator.close()


def _connection_pool(address: str) -> ConnectionPool:
    host, _, port = address.rpartition(":")
    return ConnectionPool(host, int(port))
