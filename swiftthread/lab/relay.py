"""Baselines that run in place of a node: one attempt, backoff with jitter, an AIMD concurrency limit.

They are configured and called like a node, store events in memory only, and comply only with those rules of
the referee that their strategy implies. They exist for comparison and must not be deployed.
"""

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from swiftthread.lab.background_tasks import BackgroundTasks
from swiftthread.lab.http_client import NO_STATUS, ConnectionPool, HttpClientConnection, HttpResponse
from swiftthread.lab.http_server import HttpRequest, HttpServerConnection, encode_response
from swiftthread.lab.node_configuration import (
    ListedEndpoint,
    NodeConfiguration,
    StreamProfile,
    read_configuration,
    split_address,
)
from swiftthread.lab.outcomes import EndpointState, EventOutcome
from swiftthread.lab.platform_client import PlatformClient

MAX_CALL_TIMEOUT_MS = 1500.0  # A few typical latencies; the remaining max age limits the timeout, too.
MIN_CALL_TIMEOUT_MS = 1.0  # The timeout of a call whose event has reached its max age.
MIN_REMAINING_MS = 20.0  # An event with less time than this until its max age is not attempted again.
DEDUPLICATION_WINDOW_MARGIN_MS = 50.0  # Retries stop this long before the deduplication window ends.
INITIAL_BACKOFF_MS = 100.0  # The delay is drawn between 0 and the backoff (full jitter).
MAX_BACKOFF_MS = 3000.0
BACKOFF_MULTIPLIER = 2.0
DISCOVERY_POLL_INTERVAL_S = 1.0  # This is the timeout of each poll, too.
INITIAL_CONCURRENCY_LIMIT = 10.0  # The initial AIMD limit on calls in flight at a destination.
DECREASE_FACTOR = 0.5  # A failed call multiplies the AIMD limit by this.
LISTEN_BACKLOG = 1024

NOT_SENT = -1  # Stands in place of a status if there was no endpoint or no connection for the call.
NOT_EXECUTED_STATUSES = frozenset({400, 410, 413, 429, 503, 504})  # After any other, the call may have run.


def wall_clock_ms() -> float:
    """Return the current time in ms of the wall clock."""
    return time.time() * 1000.0


@dataclass(slots=True, eq=False)
class Event:
    """An event that a client submitted, and the state of its delivery; times are in ms of the wall clock.

    Attributes:
        event_id: The id that the client assigned.
        key: The idempotency key, or "" if there is none.
        body: The body that is delivered.
        stream: The stream type.
        destination: The number of the destination.
        expires_at: When the event reaches its max age.
        attempts: The number of attempts so far.
        possibly_executed_at: When the first attempt that may have been executed began; None if there is none.
    """

    event_id: str
    key: str
    body: bytes
    stream: StreamProfile
    destination: int
    expires_at: float
    attempts: int = 0
    possibly_executed_at: float | None = None

    @classmethod
    def parse(cls, request: HttpRequest, profiles: Mapping[str, StreamProfile]) -> "Event":
        """Parse the event that a request submits.

        Raises:
            KeyError: A header field is missing, or there is no such stream type.
            ValueError: A header field is malformed.
        """
        headers = request.headers
        stream_name, _, _ = request.target.lstrip("/").partition("/")
        return cls(
            event_id=headers["x-txn"],
            key=headers.get("idempotency-key", ""),
            body=request.body,
            stream=profiles[stream_name],
            destination=int(headers["x-route-to"].partition("dest=")[2]),
            expires_at=wall_clock_ms() + float(headers["x-remaining"].rstrip("m")),
        )

    def remaining_ms(self) -> float:
        """Return the time until its max age in ms."""
        return self.expires_at - wall_clock_ms()

    def may_retry(self) -> bool:
        """Return whether another attempt, or a resubmission by the client, is free of duplicate effects."""
        if self.possibly_executed_at is None or self.stream.effect == "retryable":
            return True
        return (
            self.stream.effect == "dedup"
            and self.stream.group == "all"
            and wall_clock_ms()
            < self.possibly_executed_at + self.stream.window_ms - DEDUPLICATION_WINDOW_MARGIN_MS
        )

    def has_time_for_attempt(self) -> bool:
        """Return whether enough time is left before the max age for another attempt."""
        return self.remaining_ms() > MIN_REMAINING_MS


class IngressReply(NamedTuple):
    """The status of the response to a client, and the event to deliver if there is one."""

    status: int
    event: Event | None = None


class AttemptResult(NamedTuple):
    """The status of an attempt, `NO_STATUS` or `NOT_SENT`, and a Retry-After in ms (0 if there is none)."""

    status: int
    retry_after_ms: float = 0.0

    def is_acked(self) -> bool:
        """Return whether the endpoint acknowledged the event."""
        return self.status == 200


class IngressConnection(HttpServerConnection):
    """A connection of a client."""

    def __init__(self, node: "SingleAttemptNode") -> None:
        super().__init__()
        self._node = node

    def on_request(self, request: HttpRequest) -> None:
        """Respond to a health check or a submission, and start to deliver an event that was accepted."""
        if request.method == "GET":
            self.transport.write(encode_response(200))
            return
        status, event = self._node.accept(request)
        self.transport.write(encode_response(status))
        if event is not None:
            self._node.start(event)


class SingleAttemptNode:
    """Makes one attempt for each event. Subclasses implement other strategies in `deliver`.

    Attributes:
        max_attempts: The maximum number of attempts for an event.
        rng: The random source of the node.
        destinations: The serving endpoints of each destination, by its number.
    """

    def __init__(self, configuration: NodeConfiguration) -> None:
        self.max_attempts = configuration.max_attempts
        self.rng = random.Random(configuration.seed)
        self.destinations: dict[int, list[ListedEndpoint]] = defaultdict(list)
        self._listen_address = configuration.listen
        self._profiles = configuration.profiles
        self._max_pending = configuration.max_pending
        self._pending: dict[str, Event] = {}
        self._platform = PlatformClient(configuration.discovery)
        self._pools: dict[ListedEndpoint, ConnectionPool] = {}
        self._round_robin: dict[int, int] = defaultdict(int)
        self._tasks = BackgroundTasks()
        self._update_endpoints(configuration.endpoints)

    def _update_endpoints(self, endpoints: list[ListedEndpoint]) -> None:
        self.destinations.clear()
        for endpoint in endpoints:
            if endpoint.state == EndpointState.SERVING:
                self.destinations[endpoint.destination].append(endpoint)

    def accept(self, request: HttpRequest) -> IngressReply:
        """Accept or reject a submission."""
        try:
            event = Event.parse(request, self._profiles)
        except (KeyError, ValueError):
            return IngressReply(400)
        if event.event_id in self._pending:
            return IngressReply(202)
        if len(self._pending) >= self._max_pending:
            return IngressReply(503)
        self._pending[event.event_id] = event
        return IngressReply(202, event)

    def start(self, event: Event) -> None:
        """Deliver an event in the background and notify the platform of its outcome."""
        self._tasks.spawn(self._deliver_and_notify(event))

    async def _deliver_and_notify(self, event: Event) -> None:
        outcome = await self.deliver(event)
        self._pending.pop(event.event_id, None)
        if outcome is not None:
            await self.notify(event, outcome)

    async def deliver(self, event: Event) -> EventOutcome | None:
        """Make the attempts for an event; return its final outcome, or None if it was acknowledged."""
        result = await self.send(event)
        return None if result.is_acked() else self.final_outcome(event)

    def final_outcome(self, event: Event) -> EventOutcome:
        """Return the final outcome of an event that gets no further attempt."""
        return EventOutcome.REJECTED if event.may_retry() else EventOutcome.ABANDONED

    async def notify(self, event: Event, outcome: EventOutcome) -> None:
        """Notify the platform of the final outcome of an event."""
        await self._platform.notify(event.event_id, outcome)

    def _pick_endpoint(self, event: Event) -> ListedEndpoint | None:
        endpoints = self.destinations.get(event.destination)
        if not endpoints:
            return None
        self._round_robin[event.destination] += 1
        return endpoints[self._round_robin[event.destination] % len(endpoints)]

    async def send(self, event: Event) -> AttemptResult:
        """Make one attempt; if it may have been executed, record its start time on the event."""
        endpoint = self._pick_endpoint(event)
        if endpoint is None:
            return AttemptResult(NOT_SENT)
        event.attempts += 1
        started_at = wall_clock_ms()
        reply = await self.call(event, endpoint)
        if reply.status in NOT_EXECUTED_STATUSES or reply.status in (NOT_SENT, 200):
            return AttemptResult(reply.status, 1000.0 * float(reply.headers.get("retry-after", 0)))
        if event.possibly_executed_at is None:
            event.possibly_executed_at = started_at
        return AttemptResult(reply.status)

    async def call(self, event: Event, endpoint: ListedEndpoint) -> HttpResponse:
        """Call an endpoint; return its response, or a reply with the status `NO_STATUS` or `NOT_SENT`."""
        connection: HttpClientConnection | None = None
        timeout_ms = max(MIN_CALL_TIMEOUT_MS, min(MAX_CALL_TIMEOUT_MS, event.remaining_ms()))
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                connection = await self._pool(endpoint).acquire()
                return await connection.request(_encode_call(event))
        except TimeoutError:
            if connection is None:
                return HttpResponse(NOT_SENT, {})
            connection.abort()
            return HttpResponse(NO_STATUS, {})
        except OSError:
            return HttpResponse(NOT_SENT, {})

    def _pool(self, endpoint: ListedEndpoint) -> ConnectionPool:
        if endpoint not in self._pools:
            self._pools[endpoint] = ConnectionPool(endpoint.host, endpoint.port)
        return self._pools[endpoint]

    async def follow_discovery(self) -> None:
        """Poll the endpoint list until cancelled."""
        while True:
            try:
                async with asyncio.timeout(DISCOVERY_POLL_INTERVAL_S):
                    self._update_endpoints(await self._platform.fetch_endpoints())
            except (OSError, EOFError, TimeoutError, ValueError):
                pass  # The endpoint list stays unchanged until the next poll.
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL_S)

    async def serve(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        terminated = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, terminated.set)
        host, port = split_address(self._listen_address)
        server = await loop.create_server(lambda: IngressConnection(self), host, port, backlog=LISTEN_BACKLOG)
        self._tasks.spawn(self.follow_discovery())
        await terminated.wait()
        server.close()


def _encode_call(event: Event) -> bytes:
    key_header = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
    head = (
        "POST /receive HTTP/1.1\r\n"
        "Host: endpoint\r\n"
        f"X-Txn: {event.event_id}\r\n"
        f"{key_header}"
        f"Content-Length: {len(event.body)}\r\n"
        "\r\n"
    )
    return head.encode() + event.body


class BackoffNode(SingleAttemptNode):
    """Retries with exponential backoff and full jitter, and waits at least as long as a Retry-After asks."""

    async def deliver(self, event: Event) -> EventOutcome | None:
        """Make attempts until one is acknowledged, or until a retry would be unsafe or too late."""
        backoff_ms = INITIAL_BACKOFF_MS
        while event.attempts < self.max_attempts and event.has_time_for_attempt():
            result = await self.send(event)
            if result.is_acked():
                return None
            delay_ms = max(result.retry_after_ms, self.rng.uniform(0.0, backoff_ms))
            backoff_ms = min(BACKOFF_MULTIPLIER * backoff_ms, MAX_BACKOFF_MS)
            if not event.may_retry() or delay_ms > event.remaining_ms() - MIN_REMAINING_MS:
                break
            await asyncio.sleep(delay_ms / 1000.0)
            if not event.may_retry():
                break
        return self.final_outcome(event)


@dataclass(slots=True)
class ConcurrencyLimiter:
    """An additive-increase, multiplicative-decrease limit on the calls in flight at a destination."""

    limit: float = INITIAL_CONCURRENCY_LIMIT
    in_flight: int = 0
    _released: asyncio.Event = field(default_factory=asyncio.Event, init=False)

    async def wait_for_capacity(self) -> None:
        """Wait until fewer calls are in flight than the limit allows."""
        while self.in_flight >= self.limit:
            self._released.clear()
            await self._released.wait()

    def release(self, *, is_acked: bool) -> None:
        """Release the slot of a completed call; raise the limit if it was acknowledged, else lower it."""
        self.in_flight -= 1
        if is_acked:
            self.limit += 1.0 / self.limit
        else:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
        self._released.set()


class AimdNode(SingleAttemptNode):
    """Retries after a short random backoff, under a concurrency limit for each destination."""

    def __init__(self, configuration: NodeConfiguration) -> None:
        super().__init__(configuration)
        self._limiters: dict[int, ConcurrencyLimiter] = defaultdict(ConcurrencyLimiter)

    async def deliver(self, event: Event) -> EventOutcome | None:
        """Make attempts until one is acknowledged, or until a retry would be unsafe or too late."""
        limiter = self._limiters[event.destination]
        while event.attempts < self.max_attempts and event.has_time_for_attempt() and event.may_retry():
            wait_limit_ms = max(0.0, event.remaining_ms() - MIN_REMAINING_MS)
            try:
                async with asyncio.timeout(wait_limit_ms / 1000.0):
                    await limiter.wait_for_capacity()
            except TimeoutError:
                break
            if not event.may_retry():
                break
            limiter.in_flight += 1
            result = await self.send(event)
            limiter.release(is_acked=result.is_acked())
            if result.is_acked():
                return None
            if not event.may_retry() or result.retry_after_ms > event.remaining_ms() - MIN_REMAINING_MS:
                break
            delay_ms = max(result.retry_after_ms, self.rng.uniform(0.0, INITIAL_BACKOFF_MS))
            await asyncio.sleep(delay_ms / 1000.0)
        return self.final_outcome(event)


BASELINE_CLASSES = {"once": SingleAttemptNode, "backoff": BackoffNode, "aimd": AimdNode}


def main(node_class: type[SingleAttemptNode]) -> None:
    """Run a baseline until SIGTERM, with the configuration file named in the environment."""
    asyncio.run(node_class(read_configuration()).serve())
