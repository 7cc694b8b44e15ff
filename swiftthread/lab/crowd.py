"""Crowds: many clients of one kind that spend a node's memory or time and do not wait for an outcome.

Each client connects, sends what its kind sends, reads whatever it is sent, and keeps its connection until the
node closes it. Then it connects again, until the crowd's time is over.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import anyio
from anyio.abc import SocketStream

MAX_BODY_BYTES = 64 * 1024  # of the protocol
INCOMPLETE_BODY_BYTES = 60_000
INCOMPLETE_HEAD_BYTES = 15_000
# Very many fields in a head that stays below the 16 KiB that nodes accept.
SHORT_FIELDS = b"".join(b"%x:\r\n" % number for number in range(2300))
# Slow clients send pieces of this size, with this pause between them.
PIECE_BYTES = 15_000
PIECE_INTERVAL_S = 0.3
# Events that a client of kind LEAVES writes before it closes its connection.
EVENTS_BEFORE_CLOSE = 60
# A client connects again after this pause once its connection was closed or could not be established.
RECONNECT_PAUSE_S = 0.1
READ_BYTES = 64 * 1024


class CrowdKind(StrEnum):
    """What the clients of a crowd do on their connections."""

    IDLE = "idle"
    """Send nothing."""
    INCOMPLETE_LINE = "incomplete_line"
    """Stop in the middle of the request line."""
    INCOMPLETE_HEAD = "incomplete_head"
    """Stop in the middle of a large head."""
    INCOMPLETE_BODY = "incomplete_body"
    """Stop in the middle of a large body."""
    SLOW_BODY = "slow_body"
    """Send a large body in pieces with pauses, and stop in the middle of it."""
    MANY_FIELDS = "many_fields"
    """Send heads of very many short fields, one after the other."""
    MANY_FIELDS_AND_BODY = "many_fields_and_body"
    """Send a head of very many short fields, and stop in the middle of the body."""
    ONE_BYTE_CHUNKS = "one_byte_chunks"
    """Send a body in chunks of one byte, each with an extension."""
    INVALID = "invalid"
    """Send small invalid requests without waiting for responses."""
    NEW_NAMES = "new_names"
    """Send valid events with ever new ids, ordering keys and tenants without waiting for responses."""
    UNKNOWN_NAMES = "unknown_names"
    """Send events for ever new destinations, which do not exist, without waiting for responses."""
    LEAVES = "leaves"
    """Write many events at once and close the connection without reading."""


ENDLESS_KINDS = (CrowdKind.MANY_FIELDS, CrowdKind.INVALID, CrowdKind.NEW_NAMES, CrowdKind.UNKNOWN_NAMES)
"""Kinds whose clients send complete requests, one after the other."""

RULE_ABIDING_KINDS = tuple(kind for kind in CrowdKind if kind not in (CrowdKind.NEW_NAMES, CrowdKind.LEAVES))
"""Kinds whose clients submit no event that a node may accept, so that the referee need not know of them."""


@dataclass(frozen=True, slots=True)
class CrowdTarget:
    """What a crowd calls.

    Attributes:
        host: The host of the node.
        port: The port of the node.
        stream: The name of a stream type of idempotent events.
        destination: The number of an existing destination.
    """

    host: str
    port: int
    stream: str
    destination: int


class Crowd:
    """A crowd of clients of one kind.

    Args:
        kind: What the clients do.
        clients: The number of clients.
        target: The node that they call.
        seed: The random seed of names and pauses.

    Attributes:
        submitted_before_close: The ids of the events that clients of kind LEAVES wrote before they closed.
    """

    def __init__(self, kind: CrowdKind, clients: int, target: CrowdTarget, seed: int) -> None:
        self.submitted_before_close: list[str] = []
        self._kind = kind
        self._clients = clients
        self._target = target
        self._rng = random.Random(f"crowd {kind} {seed}")
        self._prefix = f"{self._rng.getrandbits(32):08x}"
        self._numbers = itertools.count()

    async def run(self, duration_s: float) -> None:
        """Run the clients for a time, then close their connections."""
        with anyio.move_on_after(duration_s):
            async with anyio.create_task_group() as tasks:
                for _ in range(self._clients):
                    tasks.start_soon(self._run_client)

    async def _run_client(self) -> None:
        while True:
            try:
                stream = await anyio.connect_tcp(self._target.host, self._target.port)
                async with stream:
                    await self._use(stream)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, anyio.ClosedResourceError):
                pass
            await anyio.sleep(RECONNECT_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _use(self, stream: SocketStream) -> None:
        """Use a connection until it closes."""
        if self._kind is CrowdKind.LEAVES:
            await self._write_and_leave(stream)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, stream)
            await self._discard_responses(stream)
            tasks.cancel_scope.cancel()

    async def _write(self, stream: SocketStream) -> None:
        try:
            for piece in self._pieces():
                await stream.send(piece)
                if self._kind is CrowdKind.SLOW_BODY:
                    await anyio.sleep(PIECE_INTERVAL_S)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # the reader sees the end of the connection

    @staticmethod
    async def _discard_responses(stream: SocketStream) -> None:
        try:
            while True:
                await stream.receive(READ_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass

    async def _write_and_leave(self, stream: SocketStream) -> None:
        requests = b""
        for _ in range(EVENTS_BEFORE_CLOSE):
            event_id = self._new_name()
            self.submitted_before_close.append(event_id)
            requests += self._event(event_id)
        await stream.send(requests)

    def _pieces(self) -> Iterator[bytes]:
        """Yield what a client sends on one connection, in the pieces in which it sends it."""
        if self._kind in ENDLESS_KINDS:
            while True:
                yield from self._repeated_pieces()
        yield from self._single_request()

    def _single_request(self) -> Iterator[bytes]:
        """Yield the part of a request after which a client stops."""
        head = self._head({"Content-Length": str(MAX_BODY_BYTES)})
        match self._kind:
            case CrowdKind.INCOMPLETE_LINE:
                yield head[:15]
            case CrowdKind.INCOMPLETE_HEAD:
                yield head[:-2] + b"X-Padding: " + b"x" * INCOMPLETE_HEAD_BYTES
            case CrowdKind.INCOMPLETE_BODY:
                yield head + bytes(INCOMPLETE_BODY_BYTES)
            case CrowdKind.MANY_FIELDS_AND_BODY:
                yield head[:-2] + SHORT_FIELDS + b"\r\n" + bytes(INCOMPLETE_BODY_BYTES)
            case CrowdKind.SLOW_BODY:
                yield head
                yield from [bytes(PIECE_BYTES)] * (INCOMPLETE_BODY_BYTES // PIECE_BYTES)
            case CrowdKind.ONE_BYTE_CHUNKS:
                yield self._head({"Transfer-Encoding": "chunked"})
                yield from itertools.repeat(b"1;extension\r\nx\r\n" * 100)

    def _repeated_pieces(self) -> Iterator[bytes]:
        """Yield one or several complete requests."""
        match self._kind:
            case CrowdKind.MANY_FIELDS:
                yield self._head({"Content-Length": "0"})[:-2] + SHORT_FIELDS + b"\r\n"
            case CrowdKind.INVALID:
                yield b"GET /x HTTP/1.1\r\nHost: n\r\n\r\n"
                yield b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"
                yield self._head({"X-Remaining": "soon", "Content-Length": "0"})
            case CrowdKind.NEW_NAMES:
                yield self._event(self._new_name())
            case CrowdKind.UNKNOWN_NAMES:
                yield self._event(self._new_name(), destination=self._rng.randrange(10**5, 10**9))

    def _new_name(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    def _event(self, event_id: str, destination: int | None = None) -> bytes:
        headers = {"X-Txn": event_id, "X-Entity": event_id, "X-Org": event_id, "Content-Length": "0"}
        return self._head(headers, destination)

    def _head(self, headers: dict[str, str], destination: int | None = None) -> bytes:
        fields = {
            "Host": "api.internal",
            "X-Txn": self._new_name(),
            "X-Lane": self._target.stream,
            "X-Remaining": "4000m",
            "X-Route-To": f"dest={self._target.destination if destination is None else destination}",
        } | headers
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"POST /{self._target.stream} HTTP/1.1\r\n{lines}\r\n".encode()
