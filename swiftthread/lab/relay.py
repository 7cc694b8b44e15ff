"""Three baselines that run in a node's place.

One attempt, exponential backoff with jitter, an AIMD concurrency limit.

They are configured and called like a node, hold events in memory alone and keep of the rules what their
strategy keeps. They are there to be compared with, never to be run.
"""

import asyncio
import json
import os
import random
import signal
import time
from collections import defaultdict

from swiftthread.lab.emulator import HttpServerConnection, encode_response
from swiftthread.lab.load import HttpClientConnection

CALL_TIMEOUT_MS = 1500.0  # of a call: a few usual latencies, and no more than the rest of the max age
BACKOFF_MS = 100.0  # ms of the first backoff; full jitter between 0 and it
MAX_BACKOFF_MS = 3000.0  # ms of the longest
DISCOVERY_POLL_INTERVAL_S = 1.0  # between two looks at discovery
INITIAL_CONCURRENCY_LIMIT = 10.0  # AIMD: calls in flight at a destination at first
DECREASE_FACTOR = 0.5  # AIMD: share of the limit that a failure leaves
# Statuses that rule out an execution; any other may have run.
MAY_HAVE_RUN_BY_STATUS = {429: False, 503: False, 400: False, 410: False, 413: False, 504: False}


def wall_clock_ms():
    return time.time() * 1000.0


class Event:
    """What a client submitted, and what its attempts came to."""

    def __init__(self, headers, target, body, profiles):
        self.event_id, self.key, self.body = headers["x-txn"], headers.get("idempotency-key", ""), body
        self.stream = profiles[target.lstrip("/").partition("/")[0]]
        self.subject = target.lstrip("/").partition("/")[2]
        self.destination = int(headers["x-route-to"].partition("dest=")[2])
        self.expires_at = wall_clock_ms() + float(headers["x-remaining"].rstrip("m"))
        self.attempts = 0
        self.possible_execution = None  # (moment, zone) of the first attempt that may have run

    def remaining_ms(self):
        return self.expires_at - wall_clock_ms()

    def may_retry(self):
        """Whether another send, or handing it back, can do no harm."""
        if self.possible_execution is None or self.stream["Effect"] == "retryable":
            return True
        window = 1000.0 * self.stream.get("Window", 0.0)
        return (
            self.stream["Effect"] == "dedup"
            and self.stream["Group"] == "all"
            and wall_clock_ms() < self.possible_execution[0] + window - 50.0
        )


class IngressConnection(HttpServerConnection):
    def __init__(self, node):
        self.node = node

    def on_request(self, method, first_byte_at):
        if method == "GET":
            self.transport.write(encode_response(200))
            return
        status, event = self.node.accept(self.headers, self.target, bytes(self.body))
        self.transport.write(encode_response(status))
        if event is not None:
            self.node.start(event)


class SingleAttemptNode:
    """One attempt for each event. Others derive from it by `strategy`."""

    def __init__(self, configuration, seed):
        self.configuration, self.rng = configuration, random.Random(seed)
        settings = configuration["settings"]
        self.profiles = {row["Name"]: row for row in settings["Profiles"]}
        self.max_attempts, self.capacity = (
            settings["Permissions"]["TryLimit"],
            settings["Permissions"]["MaxOpen"],
        )
        self.destinations, self.idle, self.tasks = defaultdict(list), defaultdict(list), set()
        self.pending, self.round_robin = {}, defaultdict(int)
        self.update_endpoints(configuration["known"])

    def update_endpoints(self, endpoint_list):
        self.destinations.clear()
        for row in endpoint_list["servers"]:
            if row["state"] == "SERVING":
                host, _, port = row["addr"].rpartition(":")
                self.destinations[row["cell"]].append((row["id"], row["zone"], host, int(port)))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def accept(self, headers, target, body):
        try:
            event = Event(headers, target, body, self.profiles)
        except (KeyError, ValueError):
            return 400, None
        if event.event_id in self.pending:
            return 202, None
        if len(self.pending) >= self.capacity:
            return 503, None
        self.pending[event.event_id] = event
        return 202, event

    def start(self, event):
        self.spawn(self._deliver(event))

    async def _deliver(self, event):
        outcome = await self.strategy(event)
        self.pending.pop(event.event_id, None)
        if outcome:
            await self.notify({"message": event.event_id, "outcome": outcome})

    def final_outcome(self, event):
        """How an event that is given up is answered."""
        return "handed_back" if event.may_retry() else "given_up"

    async def strategy(self, event):
        status, _ = await self.send(event)
        return None if status == 200 else self.final_outcome(event)

    def pick_endpoint(self, event):
        rows = self.destinations.get(event.destination)
        if not rows:
            return None
        self.round_robin[event.destination] += 1
        return rows[self.round_robin[event.destination] % len(rows)]

    async def send(self, event):
        """(status, Retry-After in ms) of one attempt; 0: it may have run, -1: it reached nobody."""
        endpoint = self.pick_endpoint(event)
        if endpoint is None:
            return -1, 0.0
        event.attempts += 1
        started_at = wall_clock_ms()
        status, headers = await self.call(event, endpoint)
        if status > 0 and not MAY_HAVE_RUN_BY_STATUS.get(status, True) or status in (-1, 200):
            return status, 1000.0 * float((headers or {}).get("retry-after", 0))
        event.possible_execution = event.possible_execution or (started_at, endpoint[1])
        return status, 0.0

    async def call(self, event, endpoint):
        connection, idle = None, self.idle[endpoint]
        try:
            async with asyncio.timeout(max(1.0, min(CALL_TIMEOUT_MS, event.remaining_ms())) / 1000.0):
                while connection is None or connection.transport.is_closing():
                    connection = idle.pop() if idle else await self.connect(endpoint)
                key = f"Idempotency-Key: {event.key}\r\n" if event.key else ""
                status, headers = await connection.request(
                    f"POST /receive HTTP/1.1\r\nHost: endpoint\r\nX-Txn: {event.event_id}\r\n{key}"
                    f"Content-Length: {len(event.body)}\r\n\r\n".encode()
                    + event.body
                )
            return status, headers
        except TimeoutError:
            if connection is None:
                return -1, None
            connection.abort()
            return 0, None
        except OSError:
            return -1, None

    async def connect(self, endpoint):
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: HttpClientConnection(self.idle[endpoint]), *endpoint[2:]
        )
        return connection

    async def request_platform(self, data):
        host, _, port = self.configuration["discovery"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return await reader.readexactly(length)
        finally:
            writer.close()

    async def notify(self, row):
        body = json.dumps(row).encode()
        for _ in range(5):
            try:
                await self.request_platform(
                    b"POST /status HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                return
            except (OSError, EOFError):
                await asyncio.sleep(0.1)

    async def follow_discovery(self):
        while True:
            try:
                async with asyncio.timeout(DISCOVERY_POLL_INTERVAL_S):
                    self.update_endpoints(
                        json.loads(
                            await self.request_platform(b"GET /catalog/members HTTP/1.1\r\nHost: p\r\n\r\n")
                        )
                    )
            except (OSError, EOFError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL_S)

    async def serve(self):
        loop, terminated = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, terminated.set)
        host, _, port = self.configuration["listen"].rpartition(":")
        server = await loop.create_server(lambda: IngressConnection(self), host, int(port), backlog=1024)
        self.spawn(self.follow_discovery())
        await terminated.wait()
        server.close()


class BackoffNode(SingleAttemptNode):
    """Fixed retry with exponential backoff and full jitter.

    A Retry-After lengthens the backoff of the event that got it.
    """

    async def strategy(self, event):
        backoff_ms = BACKOFF_MS
        while event.attempts < self.max_attempts and event.remaining_ms() > 20.0:
            status, retry_after_ms = await self.send(event)
            if status == 200:
                return None
            delay_ms = max(retry_after_ms, self.rng.uniform(0.0, backoff_ms))
            backoff_ms = min(2.0 * backoff_ms, MAX_BACKOFF_MS)
            if not event.may_retry() or delay_ms > event.remaining_ms() - 20.0:
                break
            await asyncio.sleep(delay_ms / 1000.0)
            if not event.may_retry():
                break
        return self.final_outcome(event)


class AimdNode(SingleAttemptNode):
    """A concurrency limit for each destination.

    One more by a limit's worth of acks, half at a refusal or a fault.
    """

    def __init__(self, configuration, seed):
        super().__init__(configuration, seed)
        self.limit, self.in_flight = defaultdict(lambda: INITIAL_CONCURRENCY_LIMIT), defaultdict(int)
        self.capacity_freed = defaultdict(asyncio.Event)

    async def strategy(self, event):
        destination = event.destination
        while event.attempts < self.max_attempts and event.remaining_ms() > 20.0 and event.may_retry():
            while self.in_flight[destination] >= self.limit[destination]:
                self.capacity_freed[destination].clear()
                try:
                    async with asyncio.timeout(max(0.0, event.remaining_ms() - 20.0) / 1000.0):
                        await self.capacity_freed[destination].wait()
                except TimeoutError:
                    return self.final_outcome(event)
            if not event.may_retry():
                break
            self.in_flight[destination] += 1
            status, retry_after_ms = await self.send(event)
            self.in_flight[destination] -= 1
            self.limit[destination] = (
                self.limit[destination] + 1.0 / self.limit[destination]
                if status == 200
                else max(1.0, self.limit[destination] * DECREASE_FACTOR)
            )
            self.capacity_freed[destination].set()
            if status == 200:
                return None
            if not event.may_retry() or retry_after_ms > event.remaining_ms() - 20.0:
                break
            await asyncio.sleep(max(retry_after_ms, self.rng.uniform(0.0, BACKOFF_MS)) / 1000.0)
        return self.final_outcome(event)


NODE_KINDS = {"once": SingleAttemptNode, "backoff": BackoffNode, "aimd": AimdNode}


def main(kind):
    with open(os.environ["LB_CONFIG"], encoding="utf-8") as source:
        configuration = json.load(source)
    asyncio.run(kind(configuration, configuration["seed"]).serve())
